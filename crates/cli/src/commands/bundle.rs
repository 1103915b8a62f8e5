//! `bundle`: creates, checks, compares and signs bundles.

use std::path::Path;

use camphordale_api::SignedBundleBody;
use camphordale_bundle::{SignedBundle, decode, diff, parse_bundle, public_from_text, to_yaml};
use camphordale_types::{Bundle, Digest};

use super::{require_command, submit};
use crate::{
    CliError,
    args::{self, DiffArgs, NewArgs, RollbackArgs, SignArgs},
    client::Client,
    console::Console,
    files::{
        create, from_body, is_signed, read_bundle, read_signed, read_signing_key, replace,
        signed_path, to_body,
    },
};

/// The services of a first bundle, which are an example for the operator to edit.
const EXAMPLE_SERVICES: &str = "\
services:
  - name: example
    route: {prefix: /example}
    key: {segment: 1}
    slots: 4
    connections: 64
";

pub(crate) fn run(
    command: Option<args::Bundle>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    match require_command(command)? {
        args::Bundle::New(args) => new(&args, client, console),
        args::Bundle::Check(args) => check(&args.file, console),
        args::Bundle::Diff(args) => compare(&args, client, console),
        args::Bundle::Sign(args) => sign(&args, console),
        args::Bundle::Submit(args) => submit::run(&args, client, console),
        args::Bundle::Status(_) => submit::status(client, console),
        args::Bundle::Rollback(args) => rollback(&args, client, console),
    }
}

/// Fetches the bundle with a version, or the latest one without `version`.
fn fetch(client: &Client, version: Option<u64>) -> Result<(Bundle, Digest), CliError> {
    let path = match version {
        Some(version) => format!("/v1/bundle?version={version}"),
        None => "/v1/bundle".into(),
    };
    let invalid = |reason: String| CliError::InvalidData {
        step: "read the bundle of the server",
        reason,
    };
    let body: SignedBundleBody = client.get(&path)?;
    let signed = from_body(body).map_err(|e| invalid(e.to_string()))?;
    let bundle = decode(&signed.bytes).map_err(|e| invalid(e.to_string()))?;
    match version {
        Some(version) if version != bundle.version => Err(invalid(format!(
            "received version {} instead of {version}",
            bundle.version
        ))),
        _ => Ok((bundle, signed.digest())),
    }
}

fn new(args: &NewArgs, client: &Client, console: &mut Console<'_>) -> Result<(), CliError> {
    if args.operator.is_empty() {
        let (latest, digest) = fetch(client, None)?;
        let next = Bundle {
            version: latest.version + 1,
            previous: Some(digest),
            ..latest
        };
        return write(&args.file, &next, console);
    }
    let usage = |reason: String| CliError::Usage(reason);
    let mut keys = String::new();
    for operator in &args.operator {
        let (name, key) = operator
            .split_once('=')
            .ok_or_else(|| usage(format!("--operator {operator}: expected NAME=KEY")))?;
        public_from_text(key).map_err(|e| usage(format!("--operator {name}: {e}")))?;
        keys.push_str(&format!("    - {{name: {name}, key: {key}}}\n"));
    }
    let needed = args.needed.unwrap_or(args.operator.len() as u32 / 2 + 1);
    let text =
        format!("version: 1\noperators:\n  needed: {needed}\n  keys:\n{keys}{EXAMPLE_SERVICES}");
    let bundle = parse_bundle(&text).map_err(|e| usage(e.to_string()))?;
    write(&args.file, &bundle, console)
}

fn write(file: &Path, bundle: &Bundle, console: &mut Console<'_>) -> Result<(), CliError> {
    create(file, &to_yaml(bundle))?;
    let value = serde_json::json!({"file": file, "version": bundle.version});
    console.show(&value, || {
        format!("{} written, bundle {}", file.display(), bundle.version)
    })
}

fn check(file: &Path, console: &mut Console<'_>) -> Result<(), CliError> {
    let bundle = read_bundle(file)?;
    let digest = SignedBundle::new(&bundle).digest();
    let signed_by: Vec<_> = match is_signed(file) {
        true => read_signed(file)?
            .signatures
            .into_iter()
            .map(|s| s.operator)
            .collect(),
        false => Vec::new(),
    };
    let value = serde_json::json!({
        "version": bundle.version,
        "digest": digest.to_string(),
        "previous": bundle.previous.map(|d| d.to_string()),
        "services": bundle.services.iter().map(|s| &s.name).collect::<Vec<_>>(),
        "operators": bundle.operators.keys.iter().map(|o| &o.name).collect::<Vec<_>>(),
        "needed": bundle.operators.needed,
        "signed_by": signed_by,
    });
    console.show(&value, || {
        let mut text = format!("bundle {} is valid\ndigest {digest}\n", bundle.version);
        let names: Vec<&str> = bundle.services.iter().map(|s| &*s.name).collect();
        text.push_str(&format!("services {}\n", names.join(", ")));
        if is_signed(file) {
            let names = if signed_by.is_empty() {
                "nobody".into()
            } else {
                signed_by.join(", ")
            };
            text.push_str(&format!(
                "signed by {names}, to be verified when it is submitted\n"
            ));
        }
        text
    })
}

fn compare(args: &DiffArgs, client: &Client, console: &mut Console<'_>) -> Result<(), CliError> {
    let after = read_bundle(&args.file)?;
    let before = match &args.from {
        Some(file) => read_bundle(file)?,
        None => fetch(client, None)?.0,
    };
    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    console.show(&lines, || match lines.is_empty() {
        true => "no differences".into(),
        false => lines.join("\n"),
    })
}

/// Adds a signature to the `.signed` file of a bundle, which is created if it does not exist.
fn sign(args: &SignArgs, console: &mut Console<'_>) -> Result<(), CliError> {
    let key = read_signing_key(&args.key_file)?;
    let signed_file = signed_path(&args.file);
    let mut signed = SignedBundle::new(&read_bundle(&args.file)?);
    if signed_file.exists() {
        let existing = read_signed(&signed_file)?;
        if existing.bytes != signed.bytes {
            let reason = "the file has signatures of another bundle; remove it first";
            return Err(CliError::content(&signed_file, reason));
        }
        signed = existing;
    }
    signed.sign(&args.operator, &key);
    let digest = signed.digest();
    let names: Vec<Box<str>> = signed
        .signatures
        .iter()
        .map(|s| s.operator.clone())
        .collect();
    let text = serde_json::to_string_pretty(&to_body(signed))
        .map_err(|e| CliError::content(&signed_file, e))?;
    replace(&signed_file, &format!("{text}\n"))?;
    let value = serde_json::json!({
        "file": signed_file,
        "digest": digest.to_string(),
        "signed_by": names,
    });
    console.show(&value, || {
        format!(
            "{} written\ndigest {digest}\nsigned by {}",
            signed_file.display(),
            names.join(", ")
        )
    })
}

/// Writes a bundle with the services of an earlier version. It keeps the operators of the latest
/// bundle unless `--with-operators` is set, because a rollback of services must not restore the
/// key of a removed operator.
fn rollback(
    args: &RollbackArgs,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let (latest, digest) = fetch(client, None)?;
    let (old, _) = fetch(client, Some(args.to))?;
    if old.operators != latest.operators && !args.with_operators {
        console.notice(&format!(
            "the operators of bundle {} are kept; those of bundle {} differ (--with-operators)",
            latest.version, old.version
        ));
    }
    let operators = match args.with_operators {
        true => old.operators,
        false => latest.operators,
    };
    let next = Bundle {
        version: latest.version + 1,
        previous: Some(digest),
        operators,
        services: old.services,
    };
    write(&args.file, &next, console)
}
