//! A small deployment of real processes with targets in the test's own process.

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

/// Longest wait for a step of the start and for a recovery that is expected to take seconds.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Header with the key of keyed services.
pub const KEY: &str = "x-key";

/// Time between looks at a condition.
const POLL: Duration = Duration::from_millis(10);

/// One keyed service that does not list `repeat`, so a POST may not be repeated.
pub const KEYED: &str = "
  - name: holds
    route: {prefix: /holds}
    key: {header: X-Key}
    shards: 8
    deadline: 1s
    slots: 4
    connections: 64
";

/// The first VM, which votes in the control group.
pub const FIRST: VmLocation = VmLocation { domain: 1, vm: 1 };

/// Returns a VM of the first domain.
pub fn vm(vm: u8) -> VmLocation {
    VmLocation { domain: 1, vm }
}

/// What a target is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    pub name: &'static str,
    pub domain: u8,
    pub service: &'static str,
    pub checks: bool,
    pub slots: u32,
    pub work: Duration,
}

/// A target of the service `holds` in domain 1.
pub fn holds(name: &'static str, checks: bool) -> Setup {
    Setup {
        name,
        domain: 1,
        service: "holds",
        checks,
        slots: 4,
        work: Duration::from_millis(2),
    }
}

/// A deployment under test.
pub struct Site {
    pub fleet: Fleet,
    pub targets: BTreeMap<&'static str, Arc<Target>>,
    journals: Vec<PathBuf>,
    vms: u8,
    name: &'static str,
    began: Instant,
    folder: tempfile::TempDir,
}

impl Site {
    /// Starts the VMs and waits for a control leader.
    pub fn start(name: &'static str, domains: u8, vms: u8) -> Site {
        let folder = tempfile::tempdir().unwrap();
        let began = Instant::now();
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
        fleet.wait_for_leader(LIMIT).unwrap();
        Site {
            fleet,
            targets: BTreeMap::new(),
            journals: Vec::new(),
            vms,
            name,
            began,
            folder,
        }
    }

    /// Starts the VMs with a bundle in force, targets, and an owner for every shard of `holds`.
    pub fn serving(name: &'static str, domains: u8, vms: u8, targets: &[Setup]) -> Site {
        let mut site = Site::start(name, domains, vms);
        let version = site.fleet.submit(KEYED, FIRST).unwrap();
        site.fleet.wait_for_bundle(version, LIMIT).unwrap();
        // Rights to send go to the VMs that have a lease when a target comes.
        site.fleet.wait_for_leases(LIMIT).unwrap();
        for setup in targets {
            site.add_target(setup);
        }
        site.fleet.wait_for_leases(LIMIT).unwrap();
        site.fleet.wait_for_owners(&["holds"], LIMIT).unwrap();
        site.note("ready");
        site
    }

    /// Prints how long ago the test began.
    pub fn note(&self, what: &str) {
        let at = self.began.elapsed().as_millis();
        println!("{}: {what} at {at} ms", self.name);
    }

    pub fn add_target(&mut self, setup: &Setup) -> Arc<Target> {
        let journal = self.folder.path().join(format!("{}.journal", setup.name));
        let place = |vm| VmLocation {
            domain: setup.domain,
            vm,
        };
        let entries = (1..=self.vms)
            .map(|vm| self.fleet.address(place(vm), TARGET_PORT))
            .collect();
        let target = Target::start(TargetOptions {
            name: setup.name.into(),
            service: setup.service.into(),
            side: Side::Old,
            listen: "127.0.0.1:0".parse().unwrap(),
            entry_vms: entries,
            bearer_key: ACCESS_KEY.into(),
            slots: setup.slots,
            max_connections: 64,
            checks_tokens: setup.checks,
            work_time: setup.work,
            padding_size: 200,
            key_header: KEY.into(),
            journal: Some(journal.clone()),
        })
        .unwrap();
        self.journals.push(journal);
        self.targets.insert(setup.name, target.clone());
        target
    }

    /// Uses a switch of a target, such as `freeze` or `cut?share=0.5`; returns its figures.
    pub fn switch(&self, target: &str, command: &str) -> Value {
        let address = self.targets[target].address();
        get_json(address, &format!("/standin/{command}")).unwrap()
    }

    pub fn callers(&self, place: VmLocation) -> SocketAddr {
        self.fleet.address(place, CALLER_PORT)
    }

    /// Returns the shards of `holds` as a VM sees them: owner and sender by shard.
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

    /// Returns a key of the shard.
    pub fn key_of(&self, shard: u64) -> String {
        let at = self.fleet.address(FIRST, OPERATOR_PORT);
        (0..1000)
            .map(|i| format!("k{i}"))
            .find(|key| {
                let path = format!("/v1/explain?service=holds&key={key}");
                get_json(at, &path).is_ok_and(|found| found["shard"].as_u64() == Some(shard))
            })
            .unwrap()
    }

    /// Sends requests to all VMs in the background: a fifth GET, the others POST, half of them
    /// with `Idempotency-Key`.
    pub fn load(&self, name: &str, rate: f64, time: Duration) -> Load {
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
        Load { thread, records }
    }

    /// Prints every attempt of the requests that did not end well, and the logs of all VMs.
    pub fn explain(&mut self, records: &[AttemptRecord]) {
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

    /// Checks the journals of all targets against the records.
    pub fn check(&self, records: &[AttemptRecord]) -> CheckReport {
        let mut entries: Vec<JournalEntry> = Vec::new();
        for journal in &self.journals {
            entries.extend(read_lines::<JournalEntry>(journal).unwrap());
        }
        entries.sort_by_key(|entry| entry.wall_us);
        check(&entries, records)
    }

    /// Returns the commits whose marker is `marker`, in order of time.
    pub fn commits(&self, marker: &str) -> Vec<JournalEntry> {
        let mut found = Vec::new();
        for journal in &self.journals {
            // The last line may be half written while targets work; it is read again then.
            let (entries, _) = wait_for("a whole journal", LIMIT, || {
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

/// Requests under way.
pub struct Load {
    thread: JoinHandle<Summary>,
    records: PathBuf,
}

impl Load {
    pub fn finish(self) -> (Summary, Vec<AttemptRecord>) {
        let summary = self.thread.join().unwrap();
        (summary, read_lines(&self.records).unwrap())
    }
}

/// A request of a test.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub post: bool,
    pub path: String,
    pub key: String,
    pub marker: String,
    pub idempotency: Option<String>,
    pub deadline_ms: Option<u64>,
}

impl Ask {
    pub fn get(key: &str) -> Ask {
        Ask {
            path: "/holds".into(),
            key: key.into(),
            ..Ask::default()
        }
    }

    /// A POST that may not be repeated, found in the journals by `marker`.
    pub fn post(key: &str, marker: &str) -> Ask {
        Ask {
            post: true,
            marker: marker.into(),
            ..Ask::get(key)
        }
    }

    pub fn idempotent(mut self, key: &str) -> Ask {
        self.idempotency = Some(key.into());
        self
    }

    /// Sends it once.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let began = Instant::now();
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
        let took = began.elapsed();
        let Ok(mut response) = result else {
            return Answer {
                took,
                ..Answer::default()
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
        Answer {
            status: response.status().as_u16(),
            outcome,
            reason,
            target,
            body: response.body_mut().read_json().unwrap_or_default(),
            took: began.elapsed(),
        }
    }

    /// Sends it until a target answers; returns that answer and the time since the first try.
    /// Only a request that may be repeated may be sent so.
    pub fn until_answered(&self, to: SocketAddr, limit: Duration) -> (Answer, Duration) {
        let began = Instant::now();
        loop {
            let answer = self.send(to);
            if answer.is_answer() {
                return (answer, began.elapsed());
            }
            assert!(
                began.elapsed() < limit,
                "{self:?} is not answered: {answer:?}"
            );
            thread::sleep(POLL);
        }
    }
}

/// What a caller saw.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status, 0 without an answer.
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    /// The target that answered.
    pub target: String,
    pub body: Value,
    pub took: Duration,
}

impl Answer {
    /// Tells whether a target answered.
    pub fn is_answer(&self) -> bool {
        self.status == 200 && self.outcome.is_empty()
    }

    pub fn is_unknown(&self) -> bool {
        self.outcome == "unknown" && (self.status == 502 || self.status == 504)
    }

    pub fn is_not_run(&self) -> bool {
        self.outcome == "not-run"
    }
}

/// Tells whether a test that KNOWN-RED.txt lists is passed over, and prints its name. With
/// CAMPHORDALE_KNOWN_RED=1 it runs.
pub fn is_known_red(name: &str) -> bool {
    let runs = std::env::var("CAMPHORDALE_KNOWN_RED").is_ok_and(|value| value == "1");
    if !runs {
        println!("KNOWN-RED: {name} is passed over");
    }
    !runs
}

/// Waits until `look` returns something; returns it with the time that this took.
pub fn wait_for<T, F>(what: &str, limit: Duration, mut look: F) -> (T, Duration)
where
    F: FnMut() -> Option<T>,
{
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return (found, began.elapsed());
        }
        assert!(began.elapsed() < limit, "{what}: not within {limit:?}");
        thread::sleep(POLL);
    }
}

/// Submits a bundle once; returns the status and the answer.
pub fn post_bundle(to: SocketAddr, signed: &SignedBundle) -> (u16, Value) {
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let signatures: Vec<Value> = signed
        .signatures
        .iter()
        .map(|one| json!({ "operator": one.operator, "bytes": hex(&one.bytes) }))
        .collect();
    let body = json!({ "bytes": hex(&signed.bytes), "signatures": signatures });
    let mut answer = agent(None, LIMIT)
        .post(format!("http://{to}/v1/bundle"))
        .send_json(&body)
        .unwrap();
    let status = answer.status().as_u16();
    (status, answer.body_mut().read_json().unwrap_or_default())
}

/// Returns the voters of the control group as a VM sees them.
pub fn voters(fleet: &Fleet, at: VmLocation) -> Option<Vec<u64>> {
    let members = get_json(fleet.address(at, OPERATOR_PORT), "/v1/members").ok()?;
    let list = members["members"].as_array()?;
    let voters = list.iter().filter(|one| one["voter"] == true);
    Some(voters.filter_map(|one| one["member"].as_u64()).collect())
}
