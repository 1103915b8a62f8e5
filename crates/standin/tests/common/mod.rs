//! Test helpers: a fake entry VM and requests to a target.
#![allow(dead_code, clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_standin::{
    Grant,
    Target,
    TargetOptions, //
};
use camphordale_types::Side;
use rouille::{
    Request,
    Response,
    Server, //
};
use serde_json::{
    Value,
    json, //
};

/// Timeout of each wait in a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `condition` returns true; fails the test after a timeout.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::yield_now();
    }
}

#[derive(Default)]
pub(crate) struct FakeEntryVmState {
    /// Status of all responses; 0 handles requests normally.
    pub(crate) status: u16,
    pub(crate) grants: Vec<Grant>,
    pub(crate) version: u64,
    pub(crate) leaving: bool,
    pub(crate) announced: Vec<Value>,
    pub(crate) renewed: Vec<Value>,
    pub(crate) session: u64,
    /// Renewal interval in milliseconds.
    pub(crate) renew_ms: u64,
    pub(crate) lease_ms: u64,
}

/// Fake entry VM whose responses the test controls.
#[derive(Clone)]
pub(crate) struct FakeEntryVm {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<FakeEntryVmState>>,
}

impl FakeEntryVm {
    pub(crate) fn start() -> Self {
        let state = Arc::new(Mutex::new(FakeEntryVmState {
            renew_ms: 150,
            lease_ms: 600,
            // Higher than the sequence numbers of the tokens in the tests, because the version
            // of a list of grants is higher than those of the tokens that it contains.
            version: 100,
            ..FakeEntryVmState::default()
        }));
        let shared = state.clone();
        let server = Server::new("127.0.0.1:0", move |request| {
            handle_request(&shared, request)
        })
        .unwrap();
        let address = server.server_addr();
        thread::spawn(move || server.run());
        FakeEntryVm { address, state }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, FakeEntryVmState> {
        self.state.lock().unwrap()
    }

    /// Replaces the grants by one for shard `index` with `token`.
    pub(crate) fn grant(&self, index: u32, token: &str) {
        let mut state = self.state();
        state.version += 1;
        state.grants = vec![Grant {
            service: "cat".into(),
            shard: index,
            token: token.parse().unwrap(),
        }];
    }
}

fn handle_request(state: &Mutex<FakeEntryVmState>, request: &Request) -> Response {
    let mut state = state.lock().unwrap();
    if state.status != 0 {
        return Response::json(&json!({"error": "scripted"})).with_status_code(state.status);
    }
    if request.header("authorization") != Some("Bearer k") {
        return Response::json(&json!({"error": "bad key"})).with_status_code(401);
    }
    let body: Value = serde_json::from_reader(request.data().unwrap()).unwrap();
    let path = request.url();
    let session = format!("/v1/targets/{}", state.session);
    let left = state.grants.len();
    if path == "/v1/targets" {
        state.session += 1;
        state.announced.push(body);
        return Response::json(&json!({
            "target": state.session, "lease_ms": state.lease_ms, "renew_ms": state.renew_ms,
            "grants_version": state.version, "grants": state.grants,
        }));
    }
    if path == format!("{session}/drain") {
        state.leaving = true;
        return Response::json(&json!({"state": "leaving", "shards_left": left}));
    }
    if path != format!("{session}/renew") {
        return Response::json(&json!({"error": "no session"})).with_status_code(404);
    }
    let mut response = json!({
        "lease_ms": state.lease_ms, "renew_ms": state.renew_ms, "grants_version": state.version,
        "state": if state.leaving { "leaving" } else { "serving" }, "shards_left": left,
    });
    if body["grants_version"] != state.version {
        response["grants"] = json!(state.grants);
    }
    state.renewed.push(body);
    Response::json(&response)
}

pub(crate) fn options(entries: &[&FakeEntryVm]) -> TargetOptions {
    TargetOptions {
        name: "t".into(),
        service: "cat".into(),
        side: Side::New,
        listen: ([127, 0, 0, 1], 0).into(),
        entry_vms: entries.iter().map(|entry| entry.address).collect(),
        bearer_key: "k".into(),
        slots: 2,
        max_connections: 64,
        checks_tokens: true,
        work_time: Duration::ZERO,
        padding_size: 0,
        key_header: "x-key".into(),
        journal: None,
    }
}

/// Response of a target: status, outcome and request id headers, and JSON body.
#[derive(Debug, PartialEq)]
pub(crate) struct TargetResponse {
    pub(crate) status: u16,
    pub(crate) outcome: Option<String>,
    pub(crate) request: Option<String>,
    pub(crate) body: Value,
}

impl TargetResponse {
    pub(crate) fn not_run(&self) -> bool {
        self.status == 503 && self.outcome.as_deref() == Some("not-run")
    }
}

/// Sends a POST with `headers` on a new connection.
pub(crate) fn post(
    address: SocketAddr,
    headers: &[(&str, &str)],
) -> Result<TargetResponse, ureq::Error> {
    let agent = camphordale_standin::agent(None, TEST_TIMEOUT);
    let builder = agent.post(format!("http://{address}/cat"));
    let request = headers
        .iter()
        .fold(builder, |r, (name, value)| r.header(*name, *value));
    let mut response = request.send("body")?;
    let header = |name| {
        let value = response.headers().get(name);
        value.map(|value| value.to_str().unwrap().to_owned())
    };
    Ok(TargetResponse {
        status: response.status().as_u16(),
        outcome: header("camphordale-outcome"),
        request: header("camphordale-request"),
        body: {
            let bytes = response.body_mut().read_to_vec()?;
            serde_json::from_slice(&bytes).unwrap_or(Value::Null)
        },
    })
}

/// Sends a request for shard 4 with `token`.
pub(crate) fn post_keyed(target: &Target, token: &str) -> TargetResponse {
    let headers = [
        ("camphordale-request", "0d9f3c5be1a24f7788c1b20f6a7e4d13"),
        ("camphordale-shard", "cat/4"),
        ("camphordale-token", token),
    ];
    post(target.address(), &headers).unwrap()
}

/// Sends a `/standin/` command and returns the statistics.
pub(crate) fn send_command(address: SocketAddr, command: &str) -> Value {
    let mut response = ureq::get(format!("http://{address}/standin/{command}"))
        .call()
        .unwrap();
    response.body_mut().read_json().unwrap()
}
