//! The platform: starts the processes of the deploy file on loopback addresses, watches their
//! memory, and starts upstreams. Everything that was started ends when the fleet is dropped.

use std::{
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::{Record, unix_ms},
    upstream::Spec,
};

const PROGRAM: &str = "target/release/camphordale-platform";
const TUNING: &str = "deploy/camphordale.yaml";
const CLUSTER_KEY: &str = "8f1c2b7de4a05936c7d81e2f90ab34cd5566778899aabbccddeeff0011223344";
pub const HEARTBEAT_MS: u64 = 870;
/// Bounds of a small deployment.
const BOUNDS: &str = r#"["seed_lag_s=3","reuse_after_s=2","contact_ms=3000","ack_ms=4000","catch_up_s=4","drain_ms=2000","grace_s=6","loss_slack_ms=200","config_apply_ms=2000","rollback_slack_ms=250","max_skew_ms=5000","retry_budget_ratio=0.2","retry_window_s=10","retry_budget_extra=58","recovery_s=15","hold_max_ms=10000","thaw_slack_ms=300"]"#;

/// A line that an upstream has printed.
#[derive(Clone, Debug)]
pub struct Event {
    /// Milliseconds since the start of the case.
    pub at: u64,
    pub upstream: String,
    pub text: String,
}

/// A process of the system, which the platform may kill from another thread.
pub type Process = Arc<Mutex<Child>>;

/// Kills a process with SIGKILL.
pub fn end(process: &Process) {
    if let Ok(mut child) = process.lock() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// All processes of the system that were started, or `None` once no more may be.
static STARTED: Mutex<Option<Vec<Process>>> = Mutex::new(Some(Vec::new()));

/// Ends all processes of the system, when a case is given up. Upstreams end with their input.
pub fn end_all() {
    let started = STARTED.lock().ok().and_then(|mut started| started.take());
    started.iter().flatten().for_each(end);
}

pub struct Fleet {
    pub record: Record,
    dir: PathBuf,
    port: u16,
    /// Part of the loopback addresses that is this case's own.
    net: u8,
    processes: Vec<(String, Process)>,
    upstreams: Vec<(String, Child)>,
    sender: mpsc::Sender<Event>,
    pub events: Arc<Mutex<Vec<Event>>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.upstreams {
            let _ = child.kill();
            let _ = child.wait();
        }
        for (_, process) in &self.processes {
            end(process);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Fleet {
    pub fn new(record: Record) -> io::Result<Fleet> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-{pid}-{}", unix_ms()));
        fs::create_dir_all(&dir)?;
        let net = 64 + (pid % 128) as u8;
        let is_free = |port: &u16| {
            (0..12).all(|offset| {
                let numbers = [1, 2, 3, 11, 12, 13];
                numbers
                    .iter()
                    .all(|n| TcpListener::bind((format!("127.0.{net}.{n}"), port + offset)).is_ok())
            })
        };
        let first = 20_000 + (pid % 500) as u16 * 20;
        let port = (0..20).map(|n| first + n * 20).find(is_free);
        let (sender, receiver) = mpsc::channel::<Event>();
        let events: Arc<Mutex<Vec<Event>>> = Arc::default();
        let (kept, log) = (events.clone(), record.clone());
        thread::spawn(move || {
            for event in receiver {
                log.write_at(event.at, &format!("{}: {}", event.upstream, event.text));
                if let Ok(mut kept) = kept.lock() {
                    kept.push(event);
                }
            }
        });
        Ok(Fleet {
            record,
            dir,
            port: port.ok_or(io::ErrorKind::AddrInUse)?,
            net,
            processes: Vec::new(),
            upstreams: Vec::new(),
            sender,
            events,
        })
    }

    fn address(&self, host: u8, offset: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, self.net, host], self.port + offset))
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.address(number, 8)
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 9)
    }

    /// A further free address, for upstreams and proxies.
    pub fn free_address(&self) -> io::Result<SocketAddr> {
        TcpListener::bind((format!("127.0.{}.50", self.net), 0))?.local_addr()
    }

    fn start(
        &mut self,
        name: &str,
        host: u8,
        bootstrap: bool,
        listen: &str,
        class: &str,
    ) -> io::Result<()> {
        let path = self.dir.join(format!("{name}.toml"));
        let data = self.dir.join(format!("{name}-data"));
        let seeds: Vec<String> = (1..=3)
            .map(|n| format!("\"{}\"", self.control(n)))
            .collect();
        let (memory, disk) = if class == "front" {
            (260, "")
        } else {
            (256, "x")
        };
        let data_dir = match disk {
            "" => String::new(),
            _ => format!("data_dir = \"{}\"\n", data.display()),
        };
        let text = format!(
            "node = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\n\
             ip = \"127.0.{}.{host}\"\nzone = \"a\"\nregion = \"r\"\n\
             internal_ports = [{}, {}]\nseeds = [{}]\nbootstrap = {bootstrap}\n{data_dir}\
             heartbeat_ms = {HEARTBEAT_MS}\nbounds = {BOUNDS}\ngrants = \"call\"\n\
             [zones]\na = \"r\"\n[listen]\n{listen}\n\
             [limits]\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4096\nlink_mbps = 1000.0\n\
             [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n",
            self.net,
            self.port,
            self.port + 5,
            seeds.join(","),
        );
        fs::write(&path, text)?;
        let log = fs::File::create(self.dir.join(format!("{name}.{}.log", unix_ms())))?;
        let child = Command::new(PROGRAM)
            .arg(TUNING)
            .env("CAMPHORDALE_NODE_FILE", &path)
            .env("CAMPHORDALE_CLUSTER_KEY", CLUSTER_KEY)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.write(&format!("{name} is started"));
        let process = Arc::new(Mutex::new(child));
        match STARTED.lock().as_deref_mut() {
            Ok(Some(started)) => started.push(process.clone()),
            _ => end(&process),
        }
        self.processes.push((name.to_owned(), process));
        Ok(())
    }

    pub fn start_control(&mut self, number: u8, bootstrap: bool) -> io::Result<()> {
        let listen = format!("control = \"{}\"", self.control(number));
        self.start(
            &format!("core-{number}"),
            number,
            bootstrap,
            &listen,
            "core",
        )
    }

    pub fn start_front(&mut self, number: u8) -> io::Result<()> {
        let listen = format!(
            "front = \"{}\"\nready = \"{}\"",
            self.front(number),
            self.address(10 + number, 7)
        );
        self.start(
            &format!("front-{number}"),
            10 + number,
            true,
            &listen,
            "front",
        )
    }

    /// Starts three control machines and some front machines.
    pub fn start_all(&mut self, fronts: u8) -> io::Result<()> {
        for number in 1..=3 {
            self.start_control(number, true)?;
        }
        for number in 1..=fronts {
            self.start_front(number)?;
        }
        Ok(())
    }

    pub fn process(&self, name: &str) -> Option<Process> {
        let found = self.processes.iter().find(|(n, _)| n == name);
        found.map(|(_, process)| process.clone())
    }

    /// Kills a process of the system with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(at) = self.processes.iter().position(|(n, _)| n == name) {
            let (_, process) = self.processes.remove(at);
            end(&process);
            self.record.write(&format!("{name} is killed"));
        }
    }

    pub fn start_upstream(&mut self, spec: &Spec) -> io::Result<()> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("upstream")
            .args(spec.to_args())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (sender, id, start) = (self.sender.clone(), spec.id.clone(), self.record.start);
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let Some((at, text)) = line.split_once(' ') else {
                    continue;
                };
                let at = at.parse::<u64>().unwrap_or(start).saturating_sub(start);
                let event = Event {
                    at,
                    upstream: id.clone(),
                    text: text.to_owned(),
                };
                if sender.send(event).is_err() {
                    return;
                }
            }
        });
        self.upstreams.push((spec.id.clone(), child));
        Ok(())
    }

    /// Sends a command to an upstream.
    pub fn tell(&mut self, upstream: &str, command: &str) {
        self.record.write(&format!("{upstream} is told: {command}"));
        for (_, child) in self.upstreams.iter_mut().filter(|(id, _)| id == upstream) {
            if let Some(stdin) = &mut child.stdin {
                let _ = writeln!(stdin, "{command}");
                let _ = stdin.flush();
            }
        }
    }

    /// Kills an upstream.
    pub fn end_upstream(&mut self, upstream: &str) {
        for (_, child) in self.upstreams.iter_mut().filter(|(id, _)| id == upstream) {
            let _ = child.kill();
        }
        self.record.write(&format!("{upstream} is killed"));
    }

    /// Ids of upstreams whose process has ended; they are forgotten.
    pub fn take_ended_upstreams(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        self.upstreams.retain_mut(|(id, child)| {
            let is_over = matches!(child.try_wait(), Ok(Some(_)));
            if is_over {
                ended.push(id.clone());
            }
            !is_over
        });
        ended
    }

    /// What upstreams have printed so far.
    pub fn seen(&self) -> Vec<Event> {
        let events = self.events.lock();
        events.map(|events| events.clone()).unwrap_or_default()
    }

    /// Waits until an event fits.
    pub fn wait_for<Fits>(&self, what: &str, limit: Duration, fits: Fits) -> io::Result<Event>
    where
        Fits: Fn(&Event) -> bool,
    {
        let begun = Instant::now();
        while begun.elapsed() < limit {
            if let Some(found) = self.seen().into_iter().find(&fits) {
                return Ok(found);
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("not seen: {what}")))
    }

    /// Sends a call of the operator until it gets a clear answer.
    pub fn operator(&self, start: &str, base: Option<&str>, body: &str) -> io::Result<Message> {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            if let Some(answer) = self.operator_once(start, base, body) {
                return Ok(answer);
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the operator got no answer"))
    }

    /// Sends a call of the operator to the nodes in turn and follows redirects. `None` if no node
    /// gives a clear answer.
    pub fn operator_once(&self, start: &str, base: Option<&str>, body: &str) -> Option<Message> {
        for number in 1..=3 {
            let mut to = self.control(number);
            for _ in 0..3 {
                let host = to.to_string();
                let mut headers = vec![("Host", host.as_str()), ("Connection", "close")];
                headers.push(("Content-Type", "application/json"));
                headers.extend(base.map(|base| ("Camphordale-Base-Version", base)));
                let request = http::encode(start, &headers, body.as_bytes());
                let Ok(answer) = http::call(to, &request, Duration::from_secs(1)) else {
                    break;
                };
                let location = answer.header("location").unwrap_or_default();
                let next = location.trim_start_matches("http://").split('/').next();
                match (answer.status(), next.and_then(|next| next.parse().ok())) {
                    (307, Some(next)) => to = next,
                    (503, _) => break,
                    _ => return Some(answer),
                }
            }
        }
        None
    }

    /// The number of the control machine that leads.
    pub fn leader(&self) -> Option<u8> {
        (1..=3).find(|number| {
            let to = self.control(*number);
            let host = to.to_string();
            let headers = [("Host", host.as_str()), ("Connection", "close")];
            let request = http::encode("GET /Config.Get HTTP/1.1", &headers, b"");
            http::call(to, &request, Duration::from_millis(500)).is_ok_and(|a| a.status() == 200)
        })
    }
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}

/// A link to `to` on which what is sent there arrives `delay` late, also after its sender is gone.
/// Answers come back at once.
pub fn slow_link(listen: SocketAddr, to: SocketAddr, delay: Duration) -> io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = carry(client, to, delay);
            });
        }
    });
    Ok(())
}

fn carry(client: TcpStream, to: SocketAddr, delay: Duration) -> io::Result<()> {
    use std::io::Read;
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    let mut reader = client.try_clone()?;
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = reader.read(&mut buffer) {
            if count == 0
                || sender
                    .send((Instant::now(), buffer[..count].to_vec()))
                    .is_err()
            {
                return;
            }
        }
    });
    let mut server: Option<TcpStream> = None;
    for (at, bytes) in receiver {
        thread::sleep((at + delay).saturating_duration_since(Instant::now()));
        let stream = match &mut server {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
                let (mut back, mut client) = (stream.try_clone()?, client.try_clone()?);
                thread::spawn(move || {
                    let _ = io::copy(&mut back, &mut client);
                    let _ = client.shutdown(std::net::Shutdown::Write);
                });
                server.insert(stream)
            }
        };
        stream.write_all(&bytes)?;
    }
    // The answer may still be on its way.
    thread::sleep(Duration::from_secs(2));
    Ok(())
}
