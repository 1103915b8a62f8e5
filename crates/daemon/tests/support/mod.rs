//! A small deployment with VMs as real processes and targets in the process of the test.

#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_bundle::SignedBundle;
use camphordale_standin::{
    AttemptRecord, CallerOptions, CheckReport, JournalEntry, Script, Summary, Target,
    TargetOptions, agent, check,
    fleet::{
        ACCESS_KEY,
        CALLER_PORT,
        Fleet,
        FleetOptions,
        OPERATOR_PORT,
        Programs,
        TARGET_PORT,
        VmLocation,
        get_json, //
    },
    read_lines, run_caller,
};
use camphordale_types::Side;
use serde_json::{
    Value,
    json, //
};

/// Maximum wait for a step of the start, and for a recovery that is expected to take seconds.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Header with the shard key of a request.
pub const KEY_HEADER: &str = "x-key";

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A keyed service without the setting `repeat`, so that a POST may not be retried.
pub const KEYED_SERVICE: &str = "
  - name: holds
    route: {prefix: /holds}
    key: {header: X-Key}
    shards: 8
    deadline: 1s
    slots: 4
    connections: 64
";

/// The first VM, which is a control voter.
pub const FIRST_VM: VmLocation = VmLocation { domain: 1, vm: 1 };

/// Returns a VM of the first domain.
pub fn vm(vm: u8) -> VmLocation {
    VmLocation { domain: 1, vm }
}

/// Parameters of a target.
#[derive(Clone, Debug)]
pub struct TargetParams {
    pub name: &'static str,
    pub domain: u8,
    pub service: &'static str,
    pub checks_tokens: bool,
    pub slots: u32,
    /// Time that each request takes.
    pub work_time: Duration,
}

/// Returns the parameters of a target of the service `holds` in domain 1.
pub fn holds_target(name: &'static str, checks_tokens: bool) -> TargetParams {
    TargetParams {
        name,
        domain: 1,
        service: "holds",
        checks_tokens,
        slots: 4,
        work_time: Duration::from_millis(2),
    }
}

/// A deployment under test.
pub struct Deployment {
    pub fleet: Fleet,
    pub targets: BTreeMap<&'static str, Arc<Target>>,
    journals: Vec<PathBuf>,
    vms: u8,
    name: &'static str,
    started: Instant,
    folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts the VMs and waits for a control leader.
    pub fn start(name: &'static str, domains: u8, vms: u8) -> Deployment {
        let folder = state_folder();
        let started = Instant::now();
        let fleet = Fleet::start(FleetOptions {
            programs: Programs {
                daemon: env!("CARGO_BIN_EXE_camphordaled").into(),
                target: None,
                link: None,
            },
            folder: folder.path().into(),
            domains,
            vms,
            extra_settings: "drain: {notice: 200ms, limit: 10s}\n".into(),
        })
        .unwrap();
        fleet.wait_for_leader(STEP_TIMEOUT).unwrap();
        Deployment {
            fleet,
            targets: BTreeMap::new(),
            journals: Vec::new(),
            vms,
            name,
            started,
            folder,
        }
    }

    /// Starts the VMs and targets. Returns when a bundle is in force and each shard of `holds` has
    /// an owner.
    pub fn serving(
        name: &'static str,
        domains: u8,
        vms: u8,
        targets: &[TargetParams],
    ) -> Deployment {
        let mut deployment = Deployment::start(name, domains, vms);
        let version = deployment.fleet.submit(KEYED_SERVICE, FIRST_VM).unwrap();
        deployment
            .fleet
            .wait_for_bundle(version, STEP_TIMEOUT)
            .unwrap();
        // The rights to send are assigned to VMs that have a lease when a target announces itself.
        deployment.fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
        for params in targets {
            deployment.add_target(params);
        }
        deployment.fleet.wait_for_leases(STEP_TIMEOUT).unwrap();
        deployment
            .fleet
            .wait_for_owners(&["holds"], STEP_TIMEOUT)
            .unwrap();
        deployment.log_step("ready");
        deployment
    }

    /// Prints a step of the test and the time since its start.
    pub fn log_step(&self, step: &str) {
        let at = self.started.elapsed().as_millis();
        println!("{}: {step} at {at} ms", self.name);
    }

    pub fn add_target(&mut self, params: &TargetParams) -> Arc<Target> {
        let journal = self.folder.path().join(format!("{}.journal", params.name));
        let location = |vm| VmLocation {
            domain: params.domain,
            vm,
        };
        let addresses = (1..=self.vms)
            .map(|vm| self.fleet.address(location(vm), TARGET_PORT))
            .collect();
        let target = Target::start(TargetOptions {
            name: params.name.into(),
            service: params.service.into(),
            side: Side::Old,
            listen: "127.0.0.1:0".parse().unwrap(),
            entry_vms: addresses,
            bearer_key: ACCESS_KEY.into(),
            slots: params.slots,
            max_connections: 64,
            checks_tokens: params.checks_tokens,
            work_time: params.work_time,
            padding_size: 200,
            key_header: KEY_HEADER.into(),
            journal: Some(journal.clone()),
        })
        .unwrap();
        self.journals.push(journal);
        self.targets.insert(params.name, target.clone());
        target
    }

    /// Sends a command to a target, such as `freeze` or `cut?share=0.5`; returns its statistics.
    pub fn send_command(&self, target: &str, command: &str) -> Value {
        let address = self.targets[target].address();
        get_json(address, &format!("/standin/{command}")).unwrap()
    }

    pub fn caller_address(&self, location: VmLocation) -> SocketAddr {
        self.fleet.address(location, CALLER_PORT)
    }

    /// Returns the owner and the sender of each shard of `holds`, from the view of a VM.
    pub fn shards(&self, at: VmLocation) -> BTreeMap<u64, (String, u64)> {
        let at = self.fleet.address(at, OPERATOR_PORT);
        let Ok(Value::Array(shards)) = get_json(at, "/v1/shards?service=holds") else {
            return BTreeMap::new();
        };
        shards
            .iter()
            .filter_map(|shard| {
                let owner = shard["owner"].as_str()?.to_owned();
                Some((shard["shard"].as_u64()?, (owner, shard["sender"].as_u64()?)))
            })
            .collect()
    }

    /// Returns a key that belongs to the shard.
    pub fn key_in_shard(&self, shard: u64) -> String {
        let at = self.fleet.address(FIRST_VM, OPERATOR_PORT);
        (0..1000)
            .map(|i| format!("k{i}"))
            .find(|key| {
                let path = format!("/v1/explain?service=holds&key={key}");
                get_json(at, &path).is_ok_and(|found| found["shard"].as_u64() == Some(shard))
            })
            .unwrap()
    }

    /// Sends requests to all VMs in the background: one fifth GET, the others POST, half of them
    /// with an `Idempotency-Key`.
    pub fn load(&self, name: &str, rate: f64, time: Duration) -> BackgroundLoad {
        let yaml = "services:
  - {name: holds, path: /holds, key_header: X-Key, keys: 60, post_percent: 80, body_size: 60}
  - {name: plain, path: /holds, key_header: X-Key, keys: 60, post_percent: 80, body_size: 60, idempotent: false}";
        let script: Script = parse_script(yaml);
        let records = self.folder.path().join(format!("{name}.records"));
        let options = CallerOptions {
            name: name.into(),
            vms: self.fleet.caller_addresses(),
            script,
            seed: 1,
            rate,
            threads: 48,
            duration: time,
            attempt_timeout: Duration::from_secs(4),
            deadline_ms: Some(1_000),
            max_retries: 5,
            retry_delay: Duration::from_millis(50),
            retry_unknown: true,
            key_shift: (0, Duration::ZERO),
            source_ip: None,
            records: Some(records.clone()),
        };
        let thread = thread::spawn(move || run_caller(options).unwrap());
        BackgroundLoad { thread, records }
    }

    /// Prints each attempt of the requests that failed, and the logs of all VMs.
    pub fn print_failures(&mut self, records: &[AttemptRecord]) {
        let failed: std::collections::BTreeSet<_> = records
            .iter()
            .filter(|record| record.last && record.outcome != camphordale_standin::Outcome::Ok)
            .map(|record| record.id.clone())
            .collect();
        for record in records.iter().filter(|record| failed.contains(&record.id)) {
            println!("attempt: {record:?}");
        }
        for number in 1..=self.vms {
            if let Some(daemon) = self.fleet.daemon(vm(number)) {
                println!("log of VM {number}:\n{}", daemon.log_text());
            }
        }
    }

    /// Checks the journals of all targets against the records of the callers.
    pub fn check(&self, records: &[AttemptRecord]) -> CheckReport {
        let mut entries: Vec<JournalEntry> = Vec::new();
        for journal in &self.journals {
            entries.extend(read_lines::<JournalEntry>(journal).unwrap());
        }
        entries.sort_by_key(|entry| entry.wall_us);
        check(&entries, records)
    }

    /// Returns the commits with this marker from the journals of all targets.
    pub fn commits(&self, marker: &str) -> Vec<JournalEntry> {
        let mut found = Vec::new();
        for journal in &self.journals {
            // While targets work, the last line may be incomplete; the journal is read again then.
            let (entries, _) = wait_for("a complete journal", STEP_TIMEOUT, || {
                read_lines::<JournalEntry>(journal).ok()
            });
            found.extend(entries.into_iter().filter(|entry| {
                entry.phase == camphordale_standin::Phase::Commit
                    && entry.marker.as_deref() == Some(marker)
            }));
        }
        found
    }
}

fn parse_script(yaml: &str) -> Script {
    serde_norway::from_str(yaml).unwrap()
}

/// Requests that are sent in the background.
pub struct BackgroundLoad {
    thread: JoinHandle<Summary>,
    records: PathBuf,
}

impl BackgroundLoad {
    pub fn finish(self) -> (Summary, Vec<AttemptRecord>) {
        let summary = self.thread.join().unwrap();
        (summary, read_lines(&self.records).unwrap())
    }
}

/// A request that a test sends.
#[derive(Clone, Debug, Default)]
pub struct TestRequest {
    pub post: bool,
    pub path: String,
    pub key: String,
    pub marker: String,
    pub idempotency: Option<String>,
    pub deadline_ms: Option<u64>,
}

impl TestRequest {
    pub fn get(key: &str) -> TestRequest {
        TestRequest {
            path: "/holds".into(),
            key: key.into(),
            ..TestRequest::default()
        }
    }

    /// Returns a POST that may not be retried and that `marker` identifies in the journals.
    pub fn post(key: &str, marker: &str) -> TestRequest {
        TestRequest {
            post: true,
            marker: marker.into(),
            ..TestRequest::get(key)
        }
    }

    pub fn idempotent(mut self, key: &str) -> TestRequest {
        self.idempotency = Some(key.into());
        self
    }

    /// Sends the request once.
    pub fn send(&self, to: SocketAddr) -> TestResponse {
        let started = Instant::now();
        let agent = agent(None, Duration::from_secs(10));
        let url = format!("http://{to}{}", self.path);
        let mut headers = vec![("x-key", self.key.clone())];
        headers.push(("x-standin-marker", self.marker.clone()));
        if let Some(key) = &self.idempotency {
            headers.push(("idempotency-key", key.clone()));
        }
        if let Some(ms) = self.deadline_ms {
            headers.push(("camphordale-deadline", ms.to_string()));
        }
        let result = if self.post {
            let request = agent.post(url);
            let request = headers.iter().fold(request, |r, (n, v)| r.header(*n, v));
            request.send(self.marker.as_bytes())
        } else {
            let request = agent.get(url);
            let request = headers.iter().fold(request, |r, (n, v)| r.header(*n, v));
            request.call()
        };
        let took = started.elapsed();
        let Ok(mut response) = result else {
            return TestResponse {
                took,
                ..TestResponse::default()
            };
        };
        let header = |name: &str| {
            let value = response.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or("")
                .to_owned()
        };
        let (outcome, reason, target) = (
            header("camphordale-outcome"),
            header("camphordale-reason"),
            header("camphordale-target"),
        );
        TestResponse {
            status: response.status().as_u16(),
            outcome,
            reason,
            target,
            body: response.body_mut().read_json().unwrap_or_default(),
            took: started.elapsed(),
        }
    }

    /// Sends the request until a target responds. Returns the response and the time since the
    /// first attempt. Only for requests that may be retried.
    pub fn send_until_served(&self, to: SocketAddr, limit: Duration) -> (TestResponse, Duration) {
        let started = Instant::now();
        loop {
            let response = self.send(to);
            if response.is_from_target() {
                return (response, started.elapsed());
            }
            assert!(
                started.elapsed() < limit,
                "{self:?} is not served: {response:?}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// A response as seen by the caller.
#[derive(Clone, Debug, Default)]
pub struct TestResponse {
    /// HTTP status; 0 without a response.
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    /// Name of the target that responded.
    pub target: String,
    pub body: Value,
    pub took: Duration,
}

impl TestResponse {
    /// Tells whether the response is from a target.
    pub fn is_from_target(&self) -> bool {
        self.status == 200 && self.outcome.is_empty()
    }

    pub fn is_unknown(&self) -> bool {
        self.outcome == "unknown" && (self.status == 502 || self.status == 504)
    }

    pub fn is_not_run(&self) -> bool {
        self.outcome == "not-run"
    }
}

/// A folder for the state of a fleet, in memory where the system has a place for that. The control
/// group waits for each sync of its logs, so beside other users of the disk it may lose its leader.
fn state_folder() -> tempfile::TempDir {
    let memory = std::path::Path::new("/dev/shm");
    match memory.is_dir() {
        true => tempfile::tempdir_in(memory).unwrap(),
        false => tempfile::tempdir().unwrap(),
    }
}

/// Tells whether to skip a test listed in KNOWN-RED.txt, and prints its name if so. With
/// CAMPHORDALE_KNOWN_RED=1 the test runs.
pub fn is_known_red(name: &str) -> bool {
    let runs = std::env::var("CAMPHORDALE_KNOWN_RED").is_ok_and(|value| value == "1");
    if !runs {
        println!("KNOWN-RED: {name} is passed over");
    }
    !runs
}

/// Waits until `look` returns something; returns it with the time that this took.
pub fn wait_for<T, F>(what: &str, limit: Duration, mut poll: F) -> (T, Duration)
where
    F: FnMut() -> Option<T>,
{
    let started = Instant::now();
    loop {
        if let Some(found) = poll() {
            return (found, started.elapsed());
        }
        assert!(started.elapsed() < limit, "{what}: not within {limit:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Submits a bundle once. Returns the status and the body of the response.
pub fn post_bundle(to: SocketAddr, signed: &SignedBundle) -> (u16, Value) {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let signatures: Vec<Value> = signed
        .signatures
        .iter()
        .map(|item| json!({ "operator": item.operator, "bytes": hex(&item.bytes) }))
        .collect();
    let body = json!({ "bytes": hex(&signed.bytes), "signatures": signatures });
    let mut response = agent(None, STEP_TIMEOUT)
        .post(format!("http://{to}/v1/bundle"))
        .send_json(&body)
        .unwrap();
    let status = response.status().as_u16();
    (status, response.body_mut().read_json().unwrap_or_default())
}

/// Returns the member ids of the control voters, from the view of a VM.
pub fn control_voters(fleet: &Fleet, at: VmLocation) -> Option<Vec<u64>> {
    let members = get_json(fleet.address(at, OPERATOR_PORT), "/v1/members").ok()?;
    let list = members["members"].as_array()?;
    let voters = list.iter().filter(|item| item["voter"] == true);
    Some(voters.filter_map(|item| item["member"].as_u64()).collect())
}
