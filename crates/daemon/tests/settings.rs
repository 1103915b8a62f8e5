//! Tests of the settings: examples, reference page, errors with line and field, secrets, reload.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    fs,
    os::unix::fs::PermissionsExt,
    path::{Path, PathBuf},
};

use camphordale_daemon::settings::{
    FIELDS, Level, RawSettings, Settings, SettingsError, changed_sections, parse_duration,
};
use rstest::rstest;

const SINGLE: &str = "\
vm: 1
domain: local
roles:
  entry: true
  control: true
data: data
callers:
  listen: 127.0.0.1:8080
  limits: {connections: 100, per_source: 50}
targets:
  listen: 127.0.0.1:8081
  keys: [00112233445566778899aabbccddeeff]
operators:
  listen: 127.0.0.1:8082
  key: 00112233445566778899aabbccddeefe
  first:
    needed: 1
    keys:
      - name: amina
        key: d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a
peers:
  listen: 127.0.0.1:8083
  keys:
    - id: 1
      secret: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
control:
  voters:
    - vm: 1
      address: 127.0.0.1:8083
group:
  size: 3
drain:
  notice: 1s
";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn load(text: &str) -> Result<Settings, SettingsError> {
    Settings::from_yaml(text, Path::new("."))
}

fn write_private(file: &Path, text: &str) {
    fs::create_dir_all(file.parent().unwrap()).unwrap();
    fs::write(file, text).unwrap();
    fs::set_permissions(file, fs::Permissions::from_mode(0o600)).unwrap();
}

// Guards against example files that are not valid.
#[rstest]
fn examples_load(
    #[values("single", "entry", "control", "kilimo-entry", "wiratama-entry")] name: &str,
) {
    let folder = tempfile::tempdir().unwrap();
    for file in ["target", "operator-access", "peer", "peer-1", "peer-2"] {
        let file = folder.path().join(format!("keys/{file}.key"));
        write_private(
            &file,
            &format!("# made for the test\n{}\n", "5a".repeat(32)),
        );
    }
    let file = folder.path().join(format!("{name}.yaml"));
    fs::copy(root().join(format!("examples/settings/{name}.yaml")), &file).unwrap();
    let settings = Settings::load(&file).unwrap();
    assert_eq!(settings.roles.control, settings.data.is_some());
}

// Guards against an example file that no test loads.
#[test]
fn all_examples_are_loaded() {
    let files = fs::read_dir(root().join("examples/settings")).unwrap();
    assert_eq!(files.count(), 5);
}

// Guards against invalid settings that are accepted, or reported with a wrong line or field.
#[rstest]
#[case("vm: 1", "vm: 0", 1, "vm", "not between")]
#[case("vm: 1", "vm: -1", 1, "vm", "expected u32")]
#[case("vm: 1\n", "", 1, "vm", "required")]
#[case("domain: local", "domain: Local", 2, "domain", "lower-case")]
#[case("domain: local", "colour: red", 2, "colour", "unknown field")]
#[case(
    "  entry: true",
    "  entry: true\n  extra: 1",
    5,
    "roles.extra",
    "unknown field"
)]
#[case(
    "  entry: true\n  control: true",
    "  entry: false\n  control: false",
    3,
    "roles",
    "no role"
)]
#[case(
    "  control: true",
    "  control: false",
    5,
    "roles.control",
    "control.voters"
)]
#[case("data: data\n", "", 1, "data", "folder")]
#[case("127.0.0.1:8080", "localhost:8080", 8, "callers.listen", "IP:PORT")]
#[case(
    "{connections: 100",
    "{connections: 0",
    9,
    "callers.limits.connections",
    "not between"
)]
#[case(
    "per_source: 50",
    "per_source: 0",
    9,
    "callers.limits.per_source",
    "not between"
)]
#[case(
    "per_source: 50",
    "header_time: 5",
    9,
    "callers.limits.header_time",
    "with a unit"
)]
#[case(
    "per_source: 50",
    "header_time: 5d",
    9,
    "callers.limits.header_time",
    "with a unit"
)]
#[case(
    "per_source: 50",
    "body_size: 1MB",
    9,
    "callers.limits.body_size",
    "with a unit"
)]
#[case(
    "per_source: 50",
    "body_size: 8GiB",
    9,
    "callers.limits.body_size",
    "not between"
)]
#[case("127.0.0.1:8081", "0.0.0.0:8080", 11, "targets.listen", "same port")]
#[case(
    "keys: [00112233445566778899aabbccddeeff]",
    "keys: [zz]",
    12,
    "targets.keys[0]",
    "hexadecimal"
)]
#[case(
    "keys: [00112233445566778899aabbccddeeff]",
    "keys: []",
    12,
    "targets.keys",
    "at least one"
)]
#[case(
    "keys: [00112233445566778899aabbccddeeff]",
    "keys_file: absent",
    12,
    "targets.keys_file",
    "absent"
)]
#[case(
    "  key: 00112233445566778899aabbccddeefe\n",
    "",
    13,
    "operators.key",
    "required"
)]
#[case(
    "    needed: 1",
    "    needed: 2",
    17,
    "operators.first.needed",
    "not between"
)]
#[case(
    "      - name: amina",
    "      - name: amina\n        key: 11\n      - name: b",
    20,
    "operators.first.keys[0].key",
    "64 hex"
)]
#[case(
    "127.0.0.1:8083\n  keys",
    "0.0.0.0:8083\n  keys",
    21,
    "peers.inner",
    "cannot connect"
)]
#[case(
    "    - id: 1\n",
    "    - id: 1\n      secret: bb\n    - id: 1\n",
    25,
    "peers.keys[0].secret",
    "64 hex"
)]
#[case(
    "control:\n  voters",
    "  send: 9\ncontrol:\n  voters",
    26,
    "peers.send",
    "key 9"
)]
#[case(
    "    - vm: 1\n",
    "    - vm: 1\n      address: 127.0.0.1:9\n    - vm: 1\n",
    30,
    "control.voters[1].vm",
    "twice"
)]
#[case(
    "group:\n",
    "  tolerate: 1\ngroup:\n",
    30,
    "control.tolerate",
    "3 voters"
)]
#[case(
    "group:\n",
    "  election: 300ms\ngroup:\n",
    30,
    "control.election",
    "heartbeats"
)]
#[case("  size: 3", "  size: 6", 31, "group.size", "not between")]
#[case(
    "  size: 3",
    "  size: 3\n  tolerate: 2",
    32,
    "group.tolerate",
    "5 voters"
)]
#[case("  size: 3", "  vm_lease: 200ms", 31, "group.vm_lease", "renewals")]
#[case(
    "  size: 3",
    "  target_renew: 400ms",
    30,
    "group.target_lease",
    "renewals"
)]
#[case("  notice: 1s", "  notice: 1m", 32, "drain.limit", "above")]
#[case("  notice: 1s", "  notice: '", 34, "", "")]
#[case(
    "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a",
    "0100000000000000000000000000000000000000000000000000000000000000",
    20,
    "operators.first.keys[0].key",
    "usable"
)]
fn invalid_settings_are_refused(
    #[case] from: &str,
    #[case] to: &str,
    #[case] line: usize,
    #[case] field: &str,
    #[case] message: &str,
) {
    assert!(SINGLE.contains(from), "{from:?} is not in the settings");
    let error = load(&SINGLE.replacen(from, to, 1)).unwrap_err();
    let problem = error.problem().unwrap();
    assert_eq!(
        (problem.line, &*problem.field),
        (Some(line), field),
        "{error}"
    );
    assert!(problem.message.contains(message), "{error}");
}

// Guards against refusing the smallest deployment: one entry VM that is the only control voter.
#[test]
fn single_vm_is_valid() {
    let settings = load(SINGLE).unwrap();
    assert_eq!(settings.control.tolerate, 0);
    assert_eq!(settings.group.tolerate, 1);
    assert_eq!(settings.peers.outer, settings.peers.listen);
}

// Guards against keys that YAML parses as numbers because they have only digits, and against
// accepting a sign in a key.
#[test]
fn keys_are_text() {
    let digits = SINGLE.replace("00112233445566778899aabbccddeefe", &"12".repeat(16));
    assert!(
        load(&digits)
            .unwrap()
            .operators
            .key
            .accepts(&format!("Bearer {}", "12".repeat(16)))
    );
    let secret = "a".repeat(64);
    assert!(load(&SINGLE.replace(&secret, &"98".repeat(32))).is_ok());
    assert!(load(&SINGLE.replace(&secret, &"+9".repeat(32))).is_err());
}

// Guards against accepting more control voters than supported.
#[test]
fn eight_control_voters_are_refused() {
    let more: String = (2..=8)
        .map(|vm| format!("    - vm: {vm}\n      address: 127.0.0.{vm}:8083\n"))
        .collect();
    let text = SINGLE.replace("group:\n", &format!("{more}group:\n"));
    let error = load(&text).unwrap_err();
    assert_eq!(&*error.problem().unwrap().field, "control.voters");
}

// Guards against keys in debug output, and against settings files with keys that other users can
// read.
#[test]
fn secrets_stay_secret() {
    let shown = format!(
        "{:?} {:?}",
        load(SINGLE).unwrap(),
        RawSettings::parse(SINGLE).unwrap()
    );
    for secret in ["aaaaaaaa", "00112233"] {
        assert!(!shown.contains(secret), "{secret} is in {shown}");
    }
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.yaml");
    write_private(&file, SINGLE);
    Settings::load(&file).unwrap();
    fs::set_permissions(&file, fs::Permissions::from_mode(0o640)).unwrap();
    let error = Settings::load(&file).unwrap_err().to_string();
    assert!(error.contains("0640"), "{error}");
}

// Guards against accepting a key file that other users can read because the settings file is
// private.
#[test]
fn readable_key_file_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("target.key");
    write_private(&file, "00112233445566778899aabbccddeeff");
    let text = SINGLE.replace(
        "keys: [00112233445566778899aabbccddeeff]",
        "keys_file: target.key",
    );
    Settings::from_yaml(&text, folder.path()).unwrap();
    fs::set_permissions(&file, fs::Permissions::from_mode(0o604)).unwrap();
    let error = Settings::from_yaml(&text, folder.path()).unwrap_err();
    assert_eq!(&*error.problem().unwrap().field, "targets.keys_file");
}

/// Collects the paths and values of all scalars under `value`.
fn collect_scalars(path: &str, value: &serde_norway::Value, out: &mut Vec<(String, String)>) {
    match value {
        serde_norway::Value::Mapping(map) => {
            for (key, value) in map {
                let key = key.as_str().unwrap();
                let dot = if path.is_empty() { "" } else { "." };
                collect_scalars(&format!("{path}{dot}{key}"), value, out);
            }
        }
        serde_norway::Value::Sequence(_) => (),
        value => out.push((
            path.into(),
            serde_norway::to_string(value).unwrap().trim().into(),
        )),
    }
}

// Guards against defaults in the list of fields that differ from those in the code.
#[test]
fn defaults_match_the_list_of_fields() {
    let value = serde_norway::from_str(&Settings::defaults_yaml()).unwrap();
    let mut defaults = Vec::new();
    collect_scalars("", &value, &mut defaults);
    for (path, default) in &defaults {
        let field = FIELDS.iter().find(|f| f.path == path);
        assert_eq!(field.map(|f| f.default), Some(&**default), "{path}");
    }
    // The remaining five defaults are values of other fields.
    let listed = FIELDS.iter().filter(|f| !f.default.is_empty()).count();
    assert_eq!(listed, defaults.len() + 5);
}

// Guards against fields that are missing in the list and against listed fields that do not exist.
// The parser's error for an unknown field names all fields of the section.
#[test]
fn the_list_of_fields_is_complete() {
    let mut sections = BTreeSet::new();
    for field in FIELDS {
        let plain = field.path.replace("[]", "[0]");
        let (section, _) = plain.rsplit_once('.').unwrap_or(("", &plain));
        sections.insert(section.to_string());
    }
    for section in sections {
        let mut text = String::new();
        let steps: Vec<&str> = section.split('.').filter(|s| !s.is_empty()).collect();
        for (depth, step) in steps.iter().enumerate() {
            let list = step.strip_suffix("[0]");
            let dash = depth > 0 && steps[depth - 1].ends_with("[0]");
            let pad = " ".repeat(4 * depth);
            assert!(!dash, "no list holds another section");
            text += &format!("{pad}{}:\n", list.unwrap_or(step));
        }
        let pad = " ".repeat(4 * steps.len());
        let dash = if section.ends_with("[0]") { "- " } else { "" };
        text += &format!("{pad}{dash}unknown_field: 1\n");
        let error = RawSettings::parse(&text).unwrap_err();
        let message = &error.problem().unwrap().message;
        let known: BTreeSet<&str> = message.split('`').skip(3).step_by(2).collect();
        let start = match section.as_str() {
            "" => String::new(),
            section => format!("{}.", section.replace("[0]", "[]")),
        };
        let listed: BTreeSet<&str> = FIELDS
            .iter()
            .filter_map(|f| f.path.strip_prefix(&*start))
            .map(|rest| rest.split(['.', '[']).next().unwrap())
            .collect();
        assert_eq!(known, listed, "section {section:?}: {message}");
    }
}

// Guards against a reference page that differs from the list of fields.
#[test]
fn reference_page_matches_the_list_of_fields() {
    let page = fs::read_to_string(root().join("docs/settings.md")).unwrap();
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = FIELDS
        .iter()
        .map(|f| {
            let default = match f.default {
                "" => String::new(),
                default => format!("`{default}`"),
            };
            let reload = if f.reload { "yes" } else { "" };
            format!("| `{}` | {default} | {reload} | {} |", f.path, f.meaning)
        })
        .collect();
    assert_eq!(rows, expected);
}

// Guards against changed settings that take effect only in part, or not at all, without being
// reported.
#[rstest]
#[case("drain:\n", "log: {level: debug}\ndrain:\n", &["log.level"], &[])]
#[case("notice: 1s", "notice: 2s", &["drain"], &[])]
#[case("per_source: 50", "per_source: 60", &[], &["callers.limits"])]
#[case("127.0.0.1:8080", "127.0.0.1:8090", &[], &["callers.listen"])]
#[case("size: 3", "size: 5", &[], &["group"])]
#[case("ddeeff]", "ddee00]", &["targets.keys"], &[])]
#[case("secret: aa", "secret: bb", &[], &["peers.keys"])]
#[case("vm: 1\ndomain: local", "vm: 2\ndomain: east", &[], &["vm", "domain"])]
fn changes_are_reloaded_or_need_a_restart(
    #[case] from: &str,
    #[case] to: &str,
    #[case] reload: &[&str],
    #[case] restart: &[&str],
) {
    let old = load(SINGLE).unwrap();
    assert_eq!(changed_sections(&old, &old), Default::default());
    let text = SINGLE.replacen(from, to, 1);
    assert_ne!(text, SINGLE);
    let changes = changed_sections(&old, &load(&text).unwrap());
    assert_eq!((&*changes.reload, &*changes.restart), (reload, restart));
}

// Guards against accepting durations that overflow, have a sign or a fraction, or are incomplete.
#[rstest]
#[case("18446744073709551615h")]
#[case("-1s")]
#[case("1.5s")]
#[case("s")]
#[case("")]
fn invalid_durations_are_refused(#[case] text: &str) {
    assert_eq!(parse_duration(text), None);
    assert_eq!(Level::default(), Level::Info);
}
