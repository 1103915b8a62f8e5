//! Tests of commands against a fake operators' listener.

#![allow(clippy::unwrap_used)]

use std::{
    collections::VecDeque,
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    os::unix::fs::PermissionsExt,
    sync::{Arc, Mutex},
    thread,
};

use camphordale_api::SignedBundleBody;
use camphordale_bundle::{SignedBundle, SigningKey, parse_bundle};
use camphordale_cli::{Exit, run};
use camphordale_control::{Command, State};
use camphordale_types::{Bundle, Digest, Operators};
use rstest::rstest;
use serde_json::{Value, json};

const KEY: &str = "00112233445566778899aabbccddeeff";

/// How the fake server handles one request.
#[derive(Clone)]
enum Action {
    /// Responds with a status and a body.
    Respond(u16, String),
    /// Closes the connection after it has read the request.
    Close,
}

/// A server that executes a script and repeats its last action.
struct FakeServer {
    address: SocketAddr,
    /// The requests that it has read, with header and body.
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    fn new(script: Vec<Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&requests);
        let mut script = VecDeque::from(script);
        // The thread ends with the process of the test.
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                log.lock().unwrap().push(read_request(&mut stream));
                let action = match script.len() {
                    1 => script[0].clone(),
                    _ => script.pop_front().unwrap(),
                };
                if let Action::Respond(status, body) = action {
                    let length = body.len();
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
                    );
                    stream.write_all(text.as_bytes()).unwrap();
                }
            }
        });
        FakeServer { address, requests }
    }

    fn responding(responses: Vec<(u16, Value)>) -> Self {
        let actions = responses
            .into_iter()
            .map(|(status, body)| Action::Respond(status, body.to_string()));
        FakeServer::new(actions.collect())
    }

    /// Returns the request lines without the HTTP version.
    fn request_lines(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        let request_line = |text: &String| text.lines().next().unwrap().replace(" HTTP/1.1", "");
        requests.iter().map(request_line).collect()
    }
}

/// Reads a request with a body of the length that its header states.
fn read_request(stream: &mut impl Read) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
        bytes.push(byte[0]);
    }
    let header = String::from_utf8(bytes).unwrap();
    let length = header.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.parse().unwrap())
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).unwrap();
    header + &String::from_utf8(body).unwrap()
}

/// Returns an address that refuses connections. It is a port that no test binds: one that was
/// bound and closed again could be taken by a test that runs at the same time.
fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn run_cli(servers: &[SocketAddr], line: &str) -> (Exit, String, String) {
    let mut args: Vec<String> = Vec::new();
    for server in servers {
        args.extend(["--server".into(), server.to_string()]);
    }
    args.extend(line.split_whitespace().map(String::from));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&args, &mut out, &mut err);
    (
        exit,
        String::from_utf8(out).unwrap(),
        String::from_utf8(err).unwrap(),
    )
}

fn bundle(version: u64) -> Bundle {
    let text = fs::read_to_string(format!(
        "{}/../../examples/bundles/kilimo.yaml",
        env!("CARGO_MANIFEST_DIR")
    ));
    Bundle {
        version,
        previous: (version > 1).then(|| Digest::of(&[version as u8])),
        ..parse_bundle(&text.unwrap()).unwrap()
    }
}

fn signed_body(bundle: &Bundle) -> (Value, Digest) {
    let mut signed = SignedBundle::new(bundle);
    signed.sign("asha", &SigningKey::from_bytes(&[7; 32]));
    let digest = signed.digest();
    let signatures = signed
        .signatures
        .into_iter()
        .map(|s| (s.operator, s.bytes))
        .collect();
    let body = SignedBundleBody::from((signed.bytes, signatures));
    (serde_json::to_value(body).unwrap(), digest)
}

fn accepted(version: u64, digest: Digest, resent: bool) -> (u16, Value) {
    let digest = digest.to_string();
    let body = json!({
        "version": version, "digest": digest, "resent": resent,
        "standing_version": version, "standing_digest": digest,
    });
    (200, body)
}

fn status(versions: &[u64]) -> (u16, Value) {
    let versions: Vec<Value> = (1..)
        .zip(versions)
        .map(|(vm, version)| json!({"vm": vm, "domain": "a", "version": version, "age_ms": 40}))
        .collect();
    let leader = json!({"term": 3, "epoch": 2, "leader": 1, "voter": true});
    let body = json!({
        "vm": 1, "incarnation": 99, "domain": "a", "roles": {"entry": true, "control": true},
        "program": "0.1.0", "bundle_version": 4, "bundle_digest": null, "versions": versions,
        "control": leader, "group": leader, "lease": {"valid": true, "left_ms": 400},
        "draining": false,
        "counters": {"answered": 10, "not_run": 1, "unknown": 0, "retries": 2, "forwards": 3,
            "inflight": 4, "queued": 5},
    });
    (200, body)
}

/// Writes the signed file of bundle 4. Returns its folder, the command line that submits it and
/// its digest.
fn submission() -> (tempfile::TempDir, String, Digest) {
    let folder = tempfile::tempdir().unwrap();
    let (body, digest) = signed_body(&bundle(4));
    fs::write(folder.path().join("b.signed"), body.to_string()).unwrap();
    let line = format!("bundle submit {}/b.signed", folder.path().display());
    (folder, line, digest)
}

// Guards against reporting success before the bundle is in force on every VM.
#[test]
fn submit_waits_for_all_vms() {
    let (_folder, line, digest) = submission();
    let script = vec![
        accepted(4, digest, false),
        status(&[4, 3, 3]),
        status(&[4, 4, 3]),
        status(&[4, 4, 5]),
    ];
    let fake = FakeServer::responding(script);
    let (exit, out, err) = run_cli(&[fake.address], &line);
    assert_eq!(exit, Exit::Done, "{err}");
    assert!(out.contains("in force on every VM"), "{out}");
    assert!(err.contains("1 of 3") && err.contains("2 of 3"), "{err}");
    assert_eq!(fake.request_lines().len(), 4);
    assert_eq!(fake.request_lines()[0], "POST /v1/bundle");
}

// Guards against waiting without a limit, and against taking an empty list of VMs for all VMs.
#[rstest]
#[case(&[4, 3], "VM 2 (a, version 3)")]
#[case(&[], "any VM")]
fn submit_reports_missing_vms(#[case] versions: &[u64], #[case] expected: &str) {
    let (_folder, line, digest) = submission();
    let fake = FakeServer::responding(vec![accepted(4, digest, false), status(versions)]);
    let (exit, _, err) = run_cli(&[fake.address], &format!("{line} --wait 300ms"));
    assert_eq!(exit, Exit::NotInForce);
    assert!(err.contains(expected), "{err}");
}

// Guards against reporting an accepted bundle as refused because the status cannot be read without
// a bearer key.
#[test]
fn accepted_without_status_is_not_a_refusal() {
    let (_folder, line, digest) = submission();
    let denied = json!({"error": "the key is wrong", "step": "authorize"});
    let fake = FakeServer::responding(vec![accepted(4, digest, false), (401, denied)]);
    let (exit, _, err) = run_cli(&[fake.address], &line);
    assert_eq!(exit, Exit::NotInForce);
    assert!(
        err.contains("was accepted") && err.contains("the key is wrong"),
        "{err}"
    );
}

// Guards against taking a lost response for a refusal, and against submitting a bundle to the next
// server without the operator's knowledge. Submitting the same file again succeeds.
#[test]
fn lost_response_then_resend() {
    let (_folder, line, digest) = submission();
    let fake = FakeServer::new(vec![
        Action::Close,
        Action::Respond(200, accepted(4, digest, true).1.to_string()),
        Action::Respond(200, status(&[4]).1.to_string()),
    ]);
    let other = FakeServer::responding(vec![accepted(4, digest, false)]);
    let (exit, _, err) = run_cli(&[fake.address, other.address], &line);
    assert_eq!(exit, Exit::Unknown);
    assert!(err.contains("sending the same file again is safe"), "{err}");
    assert_eq!(
        (fake.request_lines().len(), other.request_lines().len()),
        (1, 0)
    );
    let (exit, _, err) = run_cli(&[fake.address], &line);
    assert_eq!(exit, Exit::Done, "{err}");
    assert!(err.contains("accepted before"), "{err}");
}

// Guards against taking a truncated response for a complete one.
#[test]
fn truncated_response_is_unknown() {
    let (_folder, line, _) = submission();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"ver")
            .unwrap();
    });
    let (exit, _, err) = run_cli(&[address], &line);
    assert_eq!(exit, Exit::Unknown, "{err}");
}

// Guards against taking a conflict with a bundle of the same version for acceptance.
#[test]
fn conflict_names_the_latest_bundle() {
    let (_folder, line, digest) = submission();
    let other = Digest::of(b"other");
    let (_, mut body) = accepted(4, digest, false);
    body["standing_digest"] = other.to_string().into();
    let fake = FakeServer::responding(vec![(409, body)]);
    let (exit, _, err) = run_cli(&[fake.address], &line);
    assert_eq!(exit, Exit::Refused);
    assert!(err.contains(&*other.short()), "{err}");
    assert_eq!(fake.request_lines().len(), 1);
}

// Guards against sending an action again after it may have been executed, and against not trying
// the next server although the action was certainly not executed.
#[rstest]
#[case(Action::Close, Exit::Unknown, 0)]
#[case(Action::Respond(504, r#"{"error":"no answer of the leader","step":"propose"}"#.into()), Exit::Unknown, 0)]
#[case(Action::Respond(503, r#"{"error":"no leader","step":"propose"}"#.into()), Exit::Done, 1)]
#[case(Action::Respond(409, r#"{"error":"it is leaving","step":"apply"}"#.into()), Exit::Refused, 0)]
#[case(Action::Respond(401, "".into()), Exit::Refused, 0)]
fn actions_are_sent_once(#[case] first: Action, #[case] expected: Exit, #[case] later: usize) {
    let first = FakeServer::new(vec![first]);
    let second = FakeServer::responding(vec![(200, json!({"done": "target 7 is leaving"}))]);
    let servers = [closed_address(), first.address, second.address];
    let (exit, _, err) = run_cli(&servers, "target drain 7 --operator asha");
    assert_eq!(exit, expected, "{err}");
    assert_eq!(second.request_lines().len(), later);
    let requests = first.requests.lock().unwrap();
    assert!(requests[0].ends_with(r#"{"by":"asha"}"#), "{}", requests[0]);
}

// Guards against reads that fail at the first server without a response.
#[test]
fn reads_try_every_server() {
    let (broken, good) = (
        FakeServer::new(vec![Action::Close]),
        FakeServer::responding(vec![status(&[4])]),
    );
    let (exit, out, _) = run_cli(&[closed_address(), broken.address, good.address], "status");
    assert_eq!(exit, Exit::Done);
    assert!(out.contains("leader VM 1"), "{out}");
    let (exit, _, err) = run_cli(&[closed_address(), broken.address], "status");
    assert_eq!(exit, Exit::Unknown);
    assert!(err.contains(&broken.address.to_string()), "{err}");
}

// Guards against a bearer key that is not sent with a request that needs it, or sent with one that
// does not.
#[test]
fn bearer_key_is_sent_only_where_needed() {
    let (folder, line, digest) = submission();
    let file = folder.path().join("access.key");
    fs::write(&file, format!("# access\n{KEY}\n")).unwrap();
    fs::set_permissions(&file, fs::Permissions::from_mode(0o600)).unwrap();
    let fake = FakeServer::responding(vec![accepted(4, digest, false), status(&[4])]);
    let (exit, _, err) = run_cli(
        &[fake.address],
        &format!("--key-file {} {line}", file.display()),
    );
    assert_eq!(exit, Exit::Done, "{err}");
    let requests = fake.requests.lock().unwrap();
    let bearer = format!("Bearer {KEY}");
    assert_eq!(
        [requests[0].contains(&bearer), requests[1].contains(&bearer)],
        [false, true]
    );
}

// Guards against a rollback that does not follow the latest bundle, and against one that restores
// the keys of removed operators.
#[rstest]
#[case("", 2)]
#[case("--with-operators", 3)]
fn rollback_follows_the_latest_bundle(#[case] option: &str, #[case] operators: usize) {
    let folder = tempfile::tempdir().unwrap();
    let old = bundle(2);
    let mut latest = bundle(7);
    latest.operators.keys.truncate(2);
    latest.services.truncate(1);
    let (latest_body, digest) = signed_body(&latest);
    let fake = FakeServer::responding(vec![(200, latest_body), (200, signed_body(&old).0)]);
    let file = folder.path().join("r.yaml");
    let line = format!("bundle rollback --to 2 {} {option}", file.display());
    let (exit, _, err) = run_cli(&[fake.address], &line);
    assert_eq!(exit, Exit::Done, "{err}");
    assert_eq!(
        fake.request_lines(),
        ["GET /v1/bundle", "GET /v1/bundle?version=2"]
    );
    let next = parse_bundle(&fs::read_to_string(file).unwrap()).unwrap();
    assert_eq!((next.version, next.previous), (8, Some(digest)));
    assert_eq!(next.services, old.services);
    assert_eq!(next.operators.keys.len(), operators);
    assert_eq!(err.contains("--with-operators"), option.is_empty());
}

/// Returns an audit trail with four records, as the listener sends it.
fn audit_records() -> Vec<Value> {
    let mut state = State::new(Operators {
        needed: 1,
        keys: Vec::new(),
    });
    for index in 1..=4 {
        let action = format!("rotated key {index}").into();
        state.apply(
            index,
            &Command::RecordAction {
                action,
                by: "asha".into(),
                at: 951_782_400,
            },
        );
    }
    let text = |digest: Option<Digest>| digest.map(|d| d.to_string());
    let entries = state.audit().to_vec().into_iter().map(|e| {
        json!({
            "number": e.number, "at": e.at, "by": e.by, "action": e.action,
            "before": text(e.before), "after": text(e.after),
            "previous": e.previous.to_string(), "hash": e.hash.to_string(),
        })
    });
    entries.collect()
}

/// Verifies `records`, which the server returns in two pages.
fn verify(records: &[Value], option: &str) -> (Exit, String, String) {
    let (first, second) = records.split_at(2);
    let pages = [first, second, &[]].map(|page| (200, json!(page)));
    let fake = FakeServer::responding(pages.to_vec());
    let result = run_cli(&[fake.address], &format!("audit verify {option}"));
    assert_eq!(
        fake.request_lines()[..2],
        ["GET /v1/audit?from=1", "GET /v1/audit?from=3"]
    );
    result
}

// Guards against changed, removed and truncated records that the verification does not detect.
#[test]
fn audit_trail_is_verified() {
    let records = audit_records();
    let last = records[3]["hash"].as_str().unwrap().to_string();
    let (exit, out, err) = verify(&records, "");
    assert_eq!(exit, Exit::Done, "{err}");
    assert!(out.contains(&last), "{out}");
    let mut changed = records.clone();
    changed[2]["by"] = "budi".into();
    assert_eq!(verify(&changed, "").0, Exit::Refused);
    let mut missing = records.clone();
    missing.remove(2);
    assert_eq!(verify(&missing, "").0, Exit::Refused);
    let hash = format!("--hash {last}");
    assert_eq!(verify(&records, &hash).0, Exit::Done);
    assert_eq!(verify(&records[..3], &hash).0, Exit::Refused);
}

// Guards against wrong dates: 951782400 is the leap day of the year 2000.
#[test]
fn audit_dates() {
    let fake = FakeServer::responding(vec![(200, json!(audit_records())), (200, json!([]))]);
    let (exit, out, err) = run_cli(&[fake.address], "audit show");
    assert_eq!(exit, Exit::Done, "{err}");
    assert!(out.contains("2000-02-29 00:00:00Z"), "{out}");
}

// Guards against commands that request a path that the listener does not serve, or that cannot
// display its response.
#[rstest]
#[case("vm list", "GET /v1/vms", json!([{"vm": 2, "incarnation": 1, "domain": "a",
    "inner": "127.0.0.1:1", "outer": "127.0.0.1:2", "entry": true, "control_voter": false,
    "group_voter": null, "version": 4}]), "127.0.0.1:2")]
#[case("target list", "GET /v1/targets", json!([{"id": 5, "name": "t5", "service": "booking",
    "side": "old", "address": "127.0.0.1:3", "checks_tokens": true, "slots": 6,
    "state": "leaving", "sender": 2, "shards": 31}]), "leaving")]
#[case("shard show --service a/b", "GET /v1/shards?service=a%2Fb", json!([{"service": "a/b",
    "shard": 3, "side": "new", "home": "north", "next": null, "owner": "t5", "sender": 2,
    "releasing": false, "token": "1.2.3"}]), "1.2.3")]
#[case("explain --service s --key R&D=1", "GET /v1/explain?service=s&key=R%26D%3D1",
    json!({"service": "s", "key": "R&D=1", "shard": 3, "side": "new", "home": null,
    "sender": null, "owner": null, "token": null, "would_send_here": false,
    "why": ["the shard has no owner"]}), "no owner")]
#[case("member list", "GET /v1/members", json!({"epoch": 4, "leader": 1, "commit": 77,
    "members": [{"member": 9, "vm": 1, "voter": true, "matched": 77}], "tolerate": 0}), "leader")]
#[case("bundle status", "GET /v1/status", status(&[4, 3]).1, "40 ms ago")]
#[case("shard move --service s --shard 3 --to north --operator asha", "POST /v1/shards/move",
    json!({"done": "moving"}), "moving")]
#[case("domain declare-lost north --operator asha", "POST /v1/domains/north/lost",
    json!({"done": "lost"}), "lost")]
#[case("domain return north --operator asha", "POST /v1/domains/north/return",
    json!({"done": "back"}), "back")]
#[case("domain evacuate north --operator asha", "POST /v1/domains/north/evacuate",
    json!({"done": "evacuated"}), "evacuated")]
#[case("domain readmit north --operator asha", "POST /v1/domains/north/readmit",
    json!({"done": "readmitted"}), "readmitted")]
#[case("member add --vm 4 --operator asha", "POST /v1/members/add", json!({"done": "added"}), "added")]
#[case("member remove --vm 4 --operator asha", "POST /v1/members/remove",
    json!({"done": "removed"}), "removed")]
fn paths_and_tables(
    #[case] line: &str,
    #[case] path: &str,
    #[case] body: Value,
    #[case] expected: &str,
) {
    let fake = FakeServer::responding(vec![(200, body.clone())]);
    let (exit, out, err) = run_cli(&[fake.address], line);
    assert_eq!((exit, &*err), (Exit::Done, ""));
    assert!(out.contains(expected), "{out}");
    let (_, out, _) = run_cli(&[fake.address], &format!("--json {line}"));
    if !line.starts_with("bundle") {
        assert_eq!(serde_json::from_str::<Value>(&out).unwrap(), body);
    }
    assert_eq!(fake.request_lines(), [path, path]);
}
