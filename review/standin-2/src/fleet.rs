//! The processes of a small deployment on loopback addresses, started as the deploy file has it.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// Time from SIGTERM to SIGKILL (`grace_s`).
const GRACE: Duration = Duration::from_secs(6);

/// Time within which a fleet must serve.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Bounds of a small deployment, as its settings state them.
const BOUNDS: &str = "[\"seed_lag_s=3\",\"reuse_after_s=2\",\"contact_ms=3000\",\"ack_ms=4000\",\
    \"catch_up_s=4\",\"drain_ms=2000\",\"grace_s=6\",\"loss_slack_ms=200\",\
    \"config_apply_ms=2000\",\"rollback_slack_ms=250\",\"max_skew_ms=5000\",\
    \"retry_budget_ratio=0.2\",\"retry_window_s=10\",\"retry_budget_extra=58\",\
    \"recovery_s=15\",\"hold_max_ms=10000\",\"thaw_slack_ms=300\"]";

/// What the deploy file says of a role.
struct Role {
    run: Vec<String>,
    cluster_key: String,
}

pub struct Fleet {
    pub record: Record,
    block: (u8, u8),
    port: u16,
    dir: PathBuf,
    zones: Vec<String>,
    /// Numbers of the core machines, as the operator's list has them.
    cores: Vec<u8>,
    role: Role,
    children: Vec<(String, Child)>,
    /// Offset of the internal ports of a machine, by the last part of its address.
    pub port_offset: fn(u8) -> u16,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn quoted(text: &str, key: &str) -> Option<String> {
    let at = text.find(&format!("{key} = \""))?;
    let rest = &text[at + key.len() + 4..];
    Some(rest[..rest.find('"')?].to_owned())
}

impl Fleet {
    /// Picks free addresses and a temporary folder. The present folder is the repository.
    pub fn new(record: Record, zones: &[&str]) -> Result<Fleet, String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let run = quoted(&deploy, "run").ok_or("no command in the deploy file")?;
        let key = quoted(&deploy, "CAMPHORDALE_CLUSTER_KEY").ok_or("no cluster key")?;
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mix = nanos.subsec_nanos() / 7 + std::process::id() * 131;
        let block = ((mix % 200 + 20) as u8, (mix / 200 % 250 + 1) as u8);
        let mut port = 20_000 + (mix % 8_000) as u16;
        // Internal ports may have an offset of up to 80.
        let is_free = |port: u16| {
            let all = (1..=60).map(|host| (Ipv4Addr::new(127, block.0, block.1, host), port));
            all.clone()
                .all(|address| TcpListener::bind(address).is_ok())
        };
        while !(0..90).all(|offset| is_free(port + offset)) {
            port += 10;
        }
        let dir = std::env::temp_dir().join(format!("review-2-{}-{mix}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        Ok(Fleet {
            record,
            block,
            port,
            dir,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            cores: vec![1, 2, 3],
            role: Role {
                run: run.split(' ').map(str::to_owned).collect(),
                cluster_key: key,
            },
            children: Vec::new(),
            port_offset: |_| 0,
        })
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.block.0, self.block.1, host).into()
    }

    /// First internal port of a machine.
    pub fn internal_port(&self, host: u8) -> u16 {
        self.port + (self.port_offset)(host)
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        (self.ip(number), self.port + 8).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let cores = self.cores.iter();
        cores.map(|number| self.control(*number)).collect()
    }

    /// The line of the settings that names the seeds.
    fn seeds_line(&self) -> String {
        let seeds = self.controls().into_iter().take(3);
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}\"")).collect();
        format!("seeds = [{}]", seeds.join(","))
    }

    /// Changes the list of core machines, and the seeds in all settings files.
    pub fn list_cores(&mut self, cores: &[u8]) {
        self.cores = cores.to_vec();
        self.record
            .add(format!("core machines in the list: {cores:?}"));
        let line = self.seeds_line();
        for (name, _) in &self.children {
            let path = self.dir.join(format!("{name}.toml"));
            let Ok(text) = fs::read_to_string(&path) else {
                continue;
            };
            let is_seeds = |old: &str| old.starts_with("seeds = ");
            let lines = text
                .lines()
                .map(|old| if is_seeds(old) { line.as_str() } else { old });
            let text: Vec<&str> = lines.collect();
            // Readers see the old file or the new one.
            let next = path.with_extension("next");
            let written = fs::write(&next, text.join("\n") + "\n");
            if written.and_then(|()| fs::rename(&next, &path)).is_err() {
                self.record.add(format!("settings of {name} not written"));
            }
        }
    }

    /// Deletes the disk of a machine.
    pub fn wipe(&self, name: &str) {
        let removed = fs::remove_dir_all(self.dir.join(format!("{name}-data")));
        self.record
            .add(format!("disk of {name} lost: {}", removed.is_ok()));
    }

    /// Sends SIGTERM to a process, by the system's `kill`, and waits for its end.
    pub fn terminate(&mut self, name: &str) {
        let Some(at) = self.children.iter().position(|(other, _)| other == name) else {
            return;
        };
        let (_, mut child) = self.children.remove(at);
        let id = child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let until = Instant::now() + GRACE;
        while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record
            .add(format!("process {name} stopped with SIGTERM"));
    }

    /// Address for callers of a front machine.
    pub fn front(&self, number: u8) -> SocketAddr {
        (self.ip(10 + number), self.port + 9).into()
    }

    fn ready_address(&self, number: u8) -> SocketAddr {
        (self.ip(10 + number), self.port + 7).into()
    }

    /// Address of an upstream.
    pub fn upstream(&self, number: u8) -> SocketAddr {
        (self.ip(30 + number), self.port + 6).into()
    }

    fn start(&mut self, name: &str, host: u8, zone: &str, listen: &str, bootstrap: bool) {
        let settings = self.dir.join(format!("{name}.toml"));
        let data = self.dir.join(format!("{name}-data"));
        let seeds = self.seeds_line();
        let zones: String = self
            .zones
            .iter()
            .map(|z| format!("{z} = \"region\"\n"))
            .collect();
        let text = format!(
            "node = \"{name}\"\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             internal_ports = [{}, {}]\n{seeds}\nbootstrap = {bootstrap}\n\
             discovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 870\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\"]\n\
             bounds = {BOUNDS}\ngrants = \"call\"\ndata_dir = \"{}\"\n[zones]\n{zones}\
             [listen]\n{listen}\n[limits]\nmemory_mb = 256\nmax_fds = 4096\n\
             link_mbps = 1000.0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n",
            self.ip(host),
            self.internal_port(host),
            self.internal_port(host) + 5,
            data.display(),
        );
        let child = fs::write(&settings, text).and_then(|()| {
            let log = fs::File::options()
                .create(true)
                .append(true)
                .open(self.dir.join(format!("{name}.log")))?;
            Command::new(&self.role.run[0])
                .args(&self.role.run[1..])
                .env("CAMPHORDALE_NODE_FILE", &settings)
                .env("CAMPHORDALE_CLUSTER_KEY", &self.role.cluster_key)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()
        });
        match child {
            Ok(child) => {
                self.record.add(format!("process {name} started"));
                self.children.push((name.to_owned(), child));
            }
            Err(error) => self
                .record
                .add(format!("process {name} not started: {error}")),
        }
    }

    pub fn start_core(&mut self, number: u8, bootstrap: bool) {
        let zone = self.zones[usize::from(number - 1) % self.zones.len()].clone();
        let listen = format!("control = \"{}\"", self.control(number));
        self.start(&format!("core-{number}"), number, &zone, &listen, bootstrap);
    }

    pub fn start_front(&mut self, number: u8) {
        let zone = self.zones[usize::from(number - 1) % self.zones.len()].clone();
        let (front, ready) = (self.front(number), self.ready_address(number));
        let listen = format!("front = \"{front}\"\nready = \"{ready}\"");
        self.start(
            &format!("front-{number}"),
            10 + number,
            &zone,
            &listen,
            true,
        );
    }

    /// Starts an upstream of a service as a process of its own, whose events are added to the record.
    pub fn start_upstream(&mut self, number: u8, service: &str, given: &[&str]) {
        let name = format!("upstream-{number}");
        let controls: Vec<String> = self.controls().iter().map(ToString::to_string).collect();
        let arguments = [
            format!("id=i-{number}"),
            format!("address={}", self.upstream(number)),
            format!("controls={}", controls.join(",")),
            format!("service={service}"),
            format!(
                "zone={}",
                self.zones[usize::from(number - 1) % self.zones.len()]
            ),
        ];
        let Ok(program) = std::env::current_exe() else {
            return self.record.add("own program not found");
        };
        let mut command = Command::new(program);
        command.arg("upstream").args(arguments).args(given);
        match command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn() {
            Ok(mut child) => {
                self.record.add(format!("process {name} started"));
                if let Some(output) = child.stdout.take() {
                    let (record, name) = (self.record.clone(), name.clone());
                    thread::spawn(move || {
                        for line in BufReader::new(output).lines().map_while(Result::ok) {
                            record.add(format!("{name} {line}"));
                        }
                    });
                }
                self.children.push((name, child));
            }
            Err(error) => self
                .record
                .add(format!("process {name} not started: {error}")),
        }
    }

    /// Sends SIGKILL to a process.
    pub fn kill(&mut self, name: &str) {
        if let Some(at) = self.children.iter().position(|(other, _)| other == name) {
            let (_, mut child) = self.children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
            self.record.add(format!("process {name} killed"));
        }
    }

    pub fn is_running(&mut self, name: &str) -> bool {
        let child = self.children.iter_mut().find(|(other, _)| other == name);
        child.is_some_and(|(_, child)| matches!(child.try_wait(), Ok(None)))
    }

    /// Text that a process has written.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sends a call of the operator to the core machines in turn, and follows redirects.
    pub fn operate(&self, head: &str, body: &[u8]) -> Option<Message> {
        operate(&self.controls(), head, body)
    }

    /// Sends a configuration until it has an answer other than 503.
    pub fn put(&self, base: u32, version: u32, body: &str) -> Option<u16> {
        let head = format!(
            "POST /Config.Put HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Camphordale-Base-Version: {base:08x}"
        );
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if let Some(response) = self.operate(&head, body.as_bytes())
                && response.status() < 500
            {
                let status = response.status();
                self.record
                    .add(format!("operator put {version:08x} answered {status}"));
                return Some(status);
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    pub fn is_ready(&self, number: u8) -> bool {
        let head = "GET /ready HTTP/1.1\r\nHost: front";
        let response = http::call(
            self.ready_address(number),
            head,
            b"",
            Duration::from_secs(1),
        );
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Starts the core and the front machines, and puts the first configuration in force.
    pub fn found(&mut self, fronts: u8, config: &str) -> Result<(), String> {
        for number in 1..=3 {
            self.start_core(number, true);
        }
        for number in 1..=fronts {
            self.start_front(number);
        }
        if self.put(0, 1, config) != Some(200) {
            return Err("the first configuration was not accepted".into());
        }
        let until = Instant::now() + START_LIMIT;
        while !(1..=fronts).all(|number| self.is_ready(number)) {
            if Instant::now() >= until {
                return Err("the front machines are not ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

/// Sends a call to the core machines in turn, and follows redirects twice.
pub fn operate(controls: &[SocketAddr], head: &str, body: &[u8]) -> Option<Message> {
    let limit = Duration::from_secs(1);
    for control in controls {
        let mut to = *control;
        for _ in 0..3 {
            let Ok(response) = http::call(to, head, body, limit) else {
                break;
            };
            if response.status() != 307 {
                if response.status() >= 500 {
                    break;
                }
                return Some(response);
            }
            let next = response.header("location").and_then(|location| {
                let rest = location.strip_prefix("http://")?;
                rest.split('/').next()?.parse().ok()
            });
            match next {
                Some(next) => to = next,
                None => break,
            }
        }
    }
    None
}

/// A route of a configuration.
pub fn route(name: &str, kind: &str, timeout_ms: u32, attempts: u32) -> String {
    format!(
        "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\"spec\":{{\
         \"host\":\"{name}.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{},\"priority\":1,\
         \"service\":\"{name}\",\"max_attempts\":{attempts}}}}}",
        timeout_ms / 2
    )
}

/// A service of a configuration.
pub fn service(name: &str, sharded: bool, connections: u32) -> String {
    let keys = match sharded {
        true => ",\"sharded\":true,\"warm_s\":2.0,\"grants\":\"call\"",
        false => "",
    };
    format!(
        "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
         \"health_path\":\"/health\",\"max_connections\":{connections},\"protocol\":\"h1\",\
         \"tls\":false{keys}}}}}"
    )
}

/// A configuration with these entries and the usual limits for clients.
pub fn config(version: u32, entries: &[String]) -> String {
    format!(
        "{{\"version\":\"{version:08x}\",\"resources\":[{},{{\"resource_type\":\"limits\",\
         \"metadata\":{{}},\"spec\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}]}}",
        entries.join(",")
    )
}
