//! Stand-in target.

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr,
        TcpListener, //
    },
    path::PathBuf,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU32,
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::Duration,
};

use camphordale_types::Side;

use crate::{
    Clock,
    FaultInjector,
    FencingState,
    JsonLineWriter,
    Server,
    fault_api,
    run,
    serve,
    session, //
};

/// Interval at which a drain checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time to send the final responses after a drain.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// Options of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name, unique in the failure domain.
    pub name: Box<str>,
    /// Service that the target serves.
    pub service: Box<str>,
    /// Whether the target belongs to the old or the new system.
    pub side: Side,
    /// Address to listen on; calls to the entry VMs use the same source IP address.
    pub listen: SocketAddr,
    /// Addresses of the target listeners of entry VMs.
    pub entry_vms: Vec<SocketAddr>,
    /// Bearer key for calls to entry VMs.
    pub bearer_key: Box<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Whether the target checks fencing tokens and its lease.
    pub checks_tokens: bool,
    /// Processing time of each request.
    pub work_time: Duration,
    /// Padding of each response in bytes.
    pub padding_size: usize,
    /// Lower-case name of the header with the key, which is copied to the journal and the response.
    pub key_header: Box<str>,
    /// Path of the journal file.
    pub journal: Option<PathBuf>,
}

impl TargetOptions {
    pub(crate) fn bearer(&self) -> String {
        format!("Bearer {}", self.bearer_key)
    }
}

/// A running target.
///
/// Requests for `/standin/NAME?...` on its listener, with any method, control fault injection and
/// return statistics as JSON. `share` is the fraction of requests affected, from 0 to 1; the
/// default is 1.
///
/// | name | parameters | effect |
/// |---|---|---|
/// | `freeze`, `thaw` | | accepts connections, but sends no responses and no renewals |
/// | `slow` | `ms` | adds `ms` to the processing time; 0 ends it |
/// | `shed` | `share` | responds 503 not-run |
/// | `cut` | `share` | executes the request, sends half of the response and closes the connection |
/// | `late` | `share`, `ms` | executes the request and responds `ms` after its deadline |
/// | `crossed` | `share`, `mode=swap` or `wrong-id` | swaps two responses, or responds with a wrong request id |
/// | `lie` | `on=0` ends it | reports zero load |
/// | `mute` | | open connections never respond again; new ones work |
/// | `clear` | | ends all of these except `mute` |
/// | `drain` | | starts to drain |
/// | `stats` | | returns statistics only |
#[derive(Debug)]
pub struct Target {
    pub(crate) options: TargetOptions,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Clock,
    pub(crate) faults: FaultInjector,
    pub(crate) journal: Option<JsonLineWriter>,
    pub(crate) running: AtomicU32,
    pub(crate) runs: AtomicU64,
    pub(crate) commits: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) draining: AtomicBool,
    fencing: Mutex<FencingState>,
    server: Mutex<Option<Server>>,
    drain_status: Mutex<DrainStatus>,
    renew_requested: Mutex<bool>,
    renew_signal: Condvar,
}

#[derive(Clone, Copy, Debug, Default)]
struct DrainStatus {
    leaving: bool,
    shards_left: u32,
}

impl Target {
    /// Starts a target, which listens, announces itself and renews its session until the process
    /// ends. Without entry VMs it only listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the target cannot listen, open its journal or start a thread.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_standin::{Target, TargetOptions};
    /// use camphordale_types::Side;
    ///
    /// let target = Target::start(TargetOptions {
    ///     name: "cat-1".into(),
    ///     service: "catalogue".into(),
    ///     side: Side::New,
    ///     listen: ([127, 0, 0, 1], 0).into(),
    ///     entry_vms: Vec::new(),
    ///     bearer_key: "k".into(),
    ///     slots: 4,
    ///     max_connections: 110,
    ///     checks_tokens: false,
    ///     work_time: Duration::ZERO,
    ///     padding_size: 0,
    ///     key_header: "x-key".into(),
    ///     journal: None,
    /// })?;
    /// let url = format!("http://{}/catalogue", target.address());
    /// let response = ureq::get(&url).call().map_err(std::io::Error::other)?;
    /// assert_eq!(response.status(), 200);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: TargetOptions) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(options.listen)?;
        let journal = match &options.journal {
            Some(path) => Some(JsonLineWriter::open(path)?),
            None => None,
        };
        let target = Arc::new(Target {
            address: listener.local_addr()?,
            clock: Clock::start(),
            faults: FaultInjector::default(),
            journal,
            running: AtomicU32::new(0),
            runs: AtomicU64::new(0),
            commits: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            fencing: Mutex::default(),
            server: Mutex::default(),
            drain_status: Mutex::default(),
            renew_requested: Mutex::default(),
            renew_signal: Condvar::new(),
            options,
        });
        let handler = target.clone();
        let server = serve(
            listener,
            target.options.max_connections,
            move |request| match request.path.strip_prefix("/standin/") {
                Some(command) => fault_api::handle_command(&handler, command),
                None => run::handle_request(&handler, request),
            },
        )?;
        *lock(&target.server) = Some(server);
        if !target.options.entry_vms.is_empty() {
            let owner = target.clone();
            let spawned = thread::Builder::new().name("session".into());
            spawned.spawn(move || session::run(&owner))?;
        }
        Ok(target)
    }

    /// Returns the address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the IP address from which the target calls entry VMs.
    pub fn source(&self) -> IpAddr {
        self.address.ip()
    }

    /// Starts to drain and waits until the target owns no shard and has no request in flight, or
    /// until `timeout` has passed. Returns whether the drain completed.
    pub fn drain(&self, timeout: Duration) -> bool {
        self.start_drain();
        let deadline = self.clock.now() + timeout;
        let is_standalone = self.options.entry_vms.is_empty();
        while self.clock.now() < deadline {
            let status = *lock(&self.drain_status);
            let released = is_standalone || (status.leaving && status.shards_left == 0);
            if released && self.running.load(Ordering::SeqCst) == 0 {
                thread::sleep(FINAL_RESPONSE_DELAY);
                return true;
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        false
    }

    pub(crate) fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.request_renewal();
    }

    pub(crate) fn fencing(&self) -> MutexGuard<'_, FencingState> {
        lock(&self.fencing)
    }

    pub(crate) fn mute_connections(&self) {
        if let Some(server) = &*lock(&self.server) {
            server.mute_connections();
        }
    }

    pub(crate) fn set_shards_left(&self, shards_left: u32) {
        lock(&self.drain_status).shards_left = shards_left;
    }

    pub(crate) fn set_leaving(&self, shards_left: u32) {
        *lock(&self.drain_status) = DrainStatus {
            leaving: true,
            shards_left,
        };
    }

    /// Wakes the session to renew immediately.
    pub(crate) fn request_renewal(&self) {
        *lock(&self.renew_requested) = true;
        self.renew_signal.notify_all();
    }

    /// Waits for `timeout` or until [`Target::request_renewal`] is called.
    pub(crate) fn wait_for_renewal(&self, timeout: Duration) {
        let guard = lock(&self.renew_requested);
        let waited = self
            .renew_signal
            .wait_timeout_while(guard, timeout, |requested| !*requested);
        let (mut requested, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *requested = false;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
