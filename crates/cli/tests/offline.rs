//! Tests of commands that need no server.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
};

use camphordale_api::{BundleParts, SignedBundleBody};
use camphordale_bundle::{Signature, SignedBundle, parse_bundle};
use camphordale_cli::{Exit, run};
use rstest::rstest;

/// Runs a command line, split at white space. Returns the exit code, the output and the errors.
fn run_cli(line: &str) -> (Exit, String, String) {
    let args: Vec<String> = line.split_whitespace().map(String::from).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&args, &mut out, &mut err);
    (
        exit,
        String::from_utf8(out).unwrap(),
        String::from_utf8(err).unwrap(),
    )
}

/// Generates a key file. Returns its path and its public key.
fn new_key(folder: &Path, name: &str) -> (PathBuf, String) {
    let file = folder.join(name);
    let (exit, out, err) = run_cli(&format!("--json key new {}", file.display()));
    assert_eq!(exit, Exit::Done, "{err}");
    let value: serde_json::Value = serde_json::from_str(&out).unwrap();
    (file, value["public"].as_str().unwrap().into())
}

// Guards against a first bundle whose signatures by several operators cannot be verified.
#[test]
fn first_bundle_is_signed_by_all_operators() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path().display();
    let (amina, amina_public) = new_key(folder.path(), "amina.key");
    let (budi, budi_public) = new_key(folder.path(), "budi.key");
    let line = format!(
        "bundle new {dir}/b.yaml --operator amina={amina_public} --operator budi={budi_public}"
    );
    assert_eq!(run_cli(&line).0, Exit::Done);
    assert_eq!(run_cli(&line).0, Exit::Usage, "an existing file is kept");
    let bundle = parse_bundle(&fs::read_to_string(folder.path().join("b.yaml")).unwrap()).unwrap();
    assert_eq!((bundle.version, bundle.operators.needed), (1, 2));
    for (name, file) in [("amina", &amina), ("budi", &budi)] {
        let file = file.display();
        let (exit, _, err) = run_cli(&format!(
            "bundle sign {dir}/b.yaml --operator {name} --key-file {file}"
        ));
        assert_eq!(exit, Exit::Done, "{err}");
    }
    let text = fs::read_to_string(folder.path().join("b.signed")).unwrap();
    let body: SignedBundleBody = serde_json::from_str(&text).unwrap();
    let (bytes, signatures) = BundleParts::try_from(body).unwrap();
    let signatures = signatures
        .into_iter()
        .map(|(operator, bytes)| Signature { operator, bytes });
    let signed = SignedBundle {
        bytes,
        signatures: signatures.collect(),
    };
    assert_eq!(signed.verify(&bundle.operators).unwrap(), bundle);
    let (exit, out, _) = run_cli(&format!("bundle check {dir}/b.signed"));
    assert_eq!(exit, Exit::Done);
    assert!(out.contains("signed by amina, budi"), "{out}");
}

// Guards against adding a signature to a file with the signatures of another bundle.
#[test]
fn signatures_of_another_bundle_are_not_replaced() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path().display();
    let (file, public) = new_key(folder.path(), "amina.key");
    let file = file.display();
    run_cli(&format!(
        "bundle new {dir}/b.yaml --operator amina={public}"
    ));
    let sign = format!("bundle sign {dir}/b.yaml --operator amina --key-file {file}");
    assert_eq!(run_cli(&sign).0, Exit::Done);
    let yaml = folder.path().join("b.yaml");
    let text = fs::read_to_string(&yaml).unwrap();
    fs::write(&yaml, text.replace("/example", "/other")).unwrap();
    let before = fs::read_to_string(folder.path().join("b.signed")).unwrap();
    let (exit, _, err) = run_cli(&sign);
    assert_eq!(exit, Exit::Refused);
    assert!(err.contains("another bundle"), "{err}");
    assert_eq!(
        fs::read_to_string(folder.path().join("b.signed")).unwrap(),
        before
    );
    let (exit, out, _) = run_cli(&format!("bundle diff {dir}/b.yaml --from {dir}/b.signed"));
    assert_eq!(exit, Exit::Done);
    assert!(out.contains("route") && out.contains("/other"), "{out}");
}

// Guards against key files that other users can read, and against overwritten key files.
#[test]
fn key_files_are_private() {
    let folder = tempfile::tempdir().unwrap();
    let (file, public) = new_key(folder.path(), "amina.key");
    let mode = fs::metadata(&file).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    assert_eq!(
        run_cli(&format!("key new {}", file.display())).0,
        Exit::Usage
    );
    let dir = folder.path().display();
    run_cli(&format!(
        "bundle new {dir}/b.yaml --operator amina={public}"
    ));
    fs::set_permissions(&file, fs::Permissions::from_mode(0o644)).unwrap();
    let line = format!(
        "bundle sign {dir}/b.yaml --operator amina --key-file {}",
        file.display()
    );
    let (exit, _, err) = run_cli(&line);
    assert_eq!(exit, Exit::Usage);
    assert!(err.contains("0644"), "{err}");
    assert!(!folder.path().join("b.signed").exists());
}

// Guards against wrong exit codes and errors that do not name the invalid argument.
#[rstest]
#[case("", Exit::Usage, "a command is required")]
#[case("bundle", Exit::Usage, "command")]
#[case("bundle sign", Exit::Usage, "required")]
#[case("--server host:1 status", Exit::Usage, "--server")]
#[case("status", Exit::Usage, "needs --server")]
#[case("bundle submit x.signed --wait 3", Exit::Usage, "--wait")]
#[case("bundle check absent.yaml", Exit::Usage, "absent.yaml")]
#[case("bundle new x.yaml --operator amina", Exit::Usage, "NAME=KEY")]
#[case(
    "bundle new x.yaml --operator amina=12",
    Exit::Usage,
    "64 hexadecimal digits"
)]
#[case("audit verify --hash 12", Exit::Usage, "64 hexadecimal digits")]
fn usage_errors(#[case] line: &str, #[case] expected: Exit, #[case] message: &str) {
    let (exit, out, err) = run_cli(line);
    assert_eq!((exit, &*out), (expected, ""), "{err}");
    assert!(err.contains(message), "{err}");
}

// Guards against errors in a bundle that are reported without their line.
#[test]
fn bundle_errors_name_the_line() {
    let folder = tempfile::tempdir().unwrap();
    let dir = folder.path().display();
    let (_, public) = new_key(folder.path(), "amina.key");
    run_cli(&format!(
        "bundle new {dir}/b.yaml --operator amina={public}"
    ));
    let yaml = folder.path().join("b.yaml");
    let text = fs::read_to_string(&yaml)
        .unwrap()
        .replace("version:", "versoin:");
    fs::write(&yaml, text).unwrap();
    let (exit, _, err) = run_cli(&format!("bundle check {dir}/b.yaml"));
    assert_eq!(exit, Exit::Refused);
    assert!(err.contains("line 1") && err.contains("versoin"), "{err}");
}

// Guards against commands without help.
#[rstest]
#[case("--help", "bundle")]
#[case("bundle --help", "rollback")]
#[case("bundle submit --help", "--wait")]
#[case("shard move --help", "--to")]
#[case("explain --help", "--key")]
#[case("--version", "camphorctl 0")]
fn help(#[case] line: &str, #[case] expected: &str) {
    let (exit, out, err) = run_cli(line);
    assert_eq!((exit, &*err), (Exit::Done, ""));
    assert!(out.contains(expected), "{out}");
}
