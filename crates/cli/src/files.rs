//! Reading and writing of bundle files, files with signatures and key files.

use std::{
    fs,
    io::{self, Write},
    path::{Path, PathBuf},
};

use camphordale_api::{BundleParts, SignedBundleBody};
use camphordale_bundle::{Signature, SignedBundle, SigningKey, key_from_text, parse_bundle};
use camphordale_types::Bundle;

use crate::CliError;

/// Extension of files with signatures.
const SIGNED_EXTENSION: &str = "signed";

/// Tells whether `file` has the extension of files with signatures.
pub(crate) fn is_signed(file: &Path) -> bool {
    file.extension().is_some_and(|e| e == SIGNED_EXTENSION)
}

/// Returns the path of the file with the signatures of the bundle in `file`.
pub(crate) fn signed_path(file: &Path) -> PathBuf {
    file.with_extension(SIGNED_EXTENSION)
}

pub(crate) fn read(file: &Path) -> Result<String, CliError> {
    fs::read_to_string(file).map_err(CliError::file(file))
}

/// Reads a bundle from a YAML file or from a file with signatures.
pub(crate) fn read_bundle(file: &Path) -> Result<Bundle, CliError> {
    if is_signed(file) {
        let signed = read_signed(file)?;
        return camphordale_bundle::decode(&signed.bytes).map_err(|e| CliError::content(file, e));
    }
    parse_bundle(&read(file)?).map_err(|e| CliError::content(file, e))
}

/// Reads a file with signatures.
pub(crate) fn read_signed(file: &Path) -> Result<SignedBundle, CliError> {
    let body: SignedBundleBody =
        serde_json::from_str(&read(file)?).map_err(|e| CliError::content(file, e))?;
    from_body(body).map_err(|e| CliError::content(file, e))
}

pub(crate) fn from_body(
    body: SignedBundleBody,
) -> Result<SignedBundle, camphordale_api::BodyError> {
    let (bytes, signatures) = BundleParts::try_from(body)?;
    let signatures = signatures
        .into_iter()
        .map(|(operator, bytes)| Signature { operator, bytes });
    Ok(SignedBundle {
        bytes,
        signatures: signatures.collect(),
    })
}

pub(crate) fn to_body(signed: SignedBundle) -> SignedBundleBody {
    let signatures = signed.signatures.into_iter();
    let parts: BundleParts = (
        signed.bytes,
        signatures.map(|s| (s.operator, s.bytes)).collect(),
    );
    parts.into()
}

/// Replaces the content of `file` atomically, by renaming a temporary file.
pub(crate) fn replace(file: &Path, text: &str) -> Result<(), CliError> {
    let mut name = file.as_os_str().to_os_string();
    name.push(".tmp");
    let temporary = PathBuf::from(name);
    let write = || {
        let mut out = fs::File::create(&temporary)?;
        out.write_all(text.as_bytes())?;
        out.sync_all()?;
        fs::rename(&temporary, file)
    };
    write().map_err(CliError::file(file))
}

/// Writes a new file; fails if it exists.
pub(crate) fn create(file: &Path, text: &str) -> Result<(), CliError> {
    let write = || {
        let mut out = fs::File::create_new(file)?;
        out.write_all(text.as_bytes())?;
        out.sync_all()
    };
    write().map_err(CliError::file(file))
}

/// Writes a new key file that only its owner can access; fails if it exists.
pub(crate) fn create_key(file: &Path, text: &str) -> Result<(), CliError> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    let write = || {
        let mut out = options.open(file)?;
        out.write_all(text.as_bytes())?;
        out.sync_all()
    };
    write().map_err(CliError::file(file))
}

/// Reads an operator's signing key.
pub(crate) fn read_signing_key(file: &Path) -> Result<SigningKey, CliError> {
    key_from_text(&read_key(file)?).map_err(|e| CliError::content(file, e))
}

/// Reads the key in a key file. Empty lines and lines that start with `#` are skipped.
pub(crate) fn read_key(file: &Path) -> Result<String, CliError> {
    check_private(file).map_err(CliError::file(file))?;
    let text = read(file)?;
    let mut lines = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty() && !line.starts_with('#'));
    match (lines.next(), lines.next()) {
        (Some(key), None) => Ok(key.into()),
        _ => Err(CliError::content(
            file,
            "the file must contain exactly one key",
        )),
    }
}

#[cfg(unix)]
fn check_private(file: &Path) -> io::Result<()> {
    use std::os::unix::fs::PermissionsExt;

    let mode = fs::metadata(file)?.permissions().mode() & 0o777;
    match mode & 0o077 {
        0 => Ok(()),
        _ => Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            format!("mode {mode:04o} lets others than the owner use the key; set it to 0600"),
        )),
    }
}

#[cfg(not(unix))]
fn check_private(_: &Path) -> io::Result<()> {
    Ok(())
}
