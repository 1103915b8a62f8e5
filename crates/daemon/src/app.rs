//! Starts the parts of the daemon, connects them and shuts them down.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use camphordale_control::{
    PlannerConfig,
    SnapshotError,
    State as ControlState, //
};
use camphordale_domain::LeaseConfig;
use camphordale_http::{
    Limits,
    Pool,
    PoolConfig,
    Request,
    Response,
    Server,
    ServerError, //
};
use camphordale_net::{
    DatagramSocket,
    NetError,
    PeerClient,
    PeerClientConfig,
    PeerServer,
    PeerServerConfig,
    ServerLimits, //
};
use camphordale_node::{
    ControlConfig,
    ControlNode,
    EntryConfig,
    EntryEvent,
    EntryNode,
    member_id, //
};
use camphordale_raft::{
    Config as RaftConfig,
    DurableWrite,
    Members,
    Snapshot, //
};
use camphordale_route::{
    Event as RouteEvent,
    Router,
    RouterConfig, //
};
use camphordale_store::{
    Identity,
    Store,
    StoreError, //
};
use camphordale_types::{
    MemberId,
    Operators,
    VmInfo, //
};
use camphordale_wire::{
    ClusterKey,
    KeyError,
    Keyring, //
};
use slog::{
    Logger,
    info,
    warn, //
};

use crate::{
    Clock,
    bundle_file::BundleFile,
    control_loop::{
        ControlHandle,
        ControlLoop, //
    },
    data_plane::{
        DataPlane,
        DataPlaneConfig, //
    },
    entry_loop::EntryLoop,
    live_settings::LiveSettings,
    metrics::{
        Metrics,
        MetricsError, //
    },
    metrics_collector::MetricsCollector,
    node_handle::{
        NodeHandle,
        NodeInput, //
    },
    operator_listener::OperatorListener,
    peer_calls::CallPool,
    peer_handler::PeerHandler,
    settings::{
        self,
        Settings,
        changed_sections, //
    },
    target_listener::TargetListener,
};

/// Maximum idle time of a pooled connection to a target.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Age at which a pooled connection to a target is replaced.
const POOL_MAX_AGE: Duration = Duration::from_secs(60);

/// Time between checks for requests in flight during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the domain leader to assign this VM's rights to send to other VMs.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Stack size of a listener's threads, in bytes. The router runs on these threads.
const STACK_SIZE: usize = 512 * 1024;

/// The daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum AppError {
    /// The data folder cannot be opened.
    #[error("cannot open the data folder: {0}")]
    Store(#[from] StoreError),
    /// The snapshot of the control state cannot be read.
    #[error("cannot read the control state: {0}")]
    Snapshot(#[from] SnapshotError),
    /// The keys that VMs share are not valid.
    #[error("the keys shared by VMs are not valid: {0}")]
    Keys(#[from] KeyError),
    /// A listener between VMs could not be started.
    #[error("cannot listen for VMs: {0}")]
    Net(#[from] NetError),
    /// A listener for callers or targets could not be started.
    #[error("cannot listen for HTTP: {0}")]
    Http(#[from] ServerError),
    /// The operators' listener could not be started.
    #[error("cannot listen for operators at {address}: {reason}")]
    Operators {
        /// Listen address.
        address: SocketAddr,
        /// Error of the listener.
        reason: Box<str>,
    },
    /// The metrics could not be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(#[from] MetricsError),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The settings do not allow the requested action.
    #[error("{0}")]
    Settings(&'static str),
}

/// A running daemon.
pub struct App {
    settings: Arc<Settings>,
    live_settings: Arc<LiveSettings>,
    log: Logger,
    node: NodeHandle,
    data_plane: Arc<DataPlane>,
    draining: Arc<AtomicBool>,
    caller_server: Option<Server>,
    target_server: Option<Server>,
    peer_server: Arc<PeerServer>,
    datagrams: Arc<DatagramSocket>,
    /// Thread of the operators' listener, and the channel that stops it.
    operator_server: (JoinHandle<()>, std::sync::mpsc::Sender<()>),
    control: Option<(ControlHandle, JoinHandle<()>)>,
    entry: JoinHandle<()>,
}

/// Initializes the data folder of one of the first voters of a new control group. This is done
/// once per deployment: a voter that lost its disk must join the existing group instead.
///
/// # Errors
///
/// Fails without the control role, and if the data folder is not empty.
pub fn init(settings: &Settings) -> Result<(), AppError> {
    let (true, Some(data)) = (settings.roles.control, &settings.data) else {
        return Err(AppError::Settings(
            "--init needs the control role and the setting data",
        ));
    };
    std::fs::create_dir_all(data)?;
    if std::fs::read_dir(data)?.next().is_some() {
        return Err(AppError::Settings("the data folder is not empty"));
    }
    Identity::open(data, founding_member(settings))?;
    Ok(())
}

fn founding_member(settings: &Settings) -> MemberId {
    member_id(settings.vm, 0)
}

fn new_member(settings: &Settings) -> MemberId {
    member_id(settings.vm, rand::random::<u32>().max(1))
}

impl App {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Fails with an [`AppError`] that names the part that could not be started.
    pub fn start(settings: Settings, log: &Logger) -> Result<App, AppError> {
        let live_settings = Arc::new(LiveSettings::new(&settings));
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new()?);
        let incarnation = incarnation();
        let keyring = keyring(&settings)?;
        let source_ip = settings.peers.source_ip;

        let mut client = PeerClientConfig::new(settings.vm, keyring.clone());
        client.bind_ip = source_ip;
        let peers = Arc::new(PeerClient::new(client));
        let (node, input) = NodeHandle::new();

        let mut pool = Pool::new(PoolConfig {
            idle_timeout: POOL_IDLE_TIMEOUT,
            max_age: POOL_MAX_AGE,
            ..PoolConfig::default()
        });
        if let Some(source_ip) = source_ip {
            pool = pool.with_source(source_ip);
        }
        let router = RouterConfig::new(settings.vm, &settings.domain, rand::random());
        let config = DataPlaneConfig {
            source_ip,
            max_response: settings.callers.as_ref().map_or(0, |c| c.answer_size),
        };
        let data_plane = DataPlane::new(
            config,
            clock,
            Router::new(router),
            Arc::new(pool),
            Arc::clone(&peers),
            node.clone(),
            Arc::clone(&metrics),
        );

        let control = match settings.roles.control {
            true => Some(start_control(
                &settings, clock, &peers, &node, &metrics, log,
            )?),
            false => None,
        };
        let control_handle = control.as_ref().map(|(handle, _)| handle.clone());
        let handler = Arc::new(PeerHandler {
            node: node.clone(),
            control: control_handle.clone(),
            data_plane: Arc::clone(&data_plane),
        });
        let listen = settings.peers.listen;
        let datagrams = Arc::new(DatagramSocket::start(
            listen,
            settings.vm,
            incarnation,
            keyring.clone(),
            handler.clone(),
        )?);
        let config = PeerServerConfig {
            bind: listen,
            vm: settings.vm,
            keyring,
            limits: ServerLimits::default(),
        };
        let server = Arc::new(PeerServer::start(config, handler)?);

        let bundle_file = settings.data.as_deref().map(open_bundle_file).transpose()?;
        let bundle = bundle_file
            .as_ref()
            .map(BundleFile::load)
            .transpose()?
            .flatten();
        let entry = EntryLoop {
            vm: settings.vm,
            clock,
            node: EntryNode::new(entry_config(&settings, incarnation, bundle)),
            handle: node.clone(),
            data_plane: Arc::clone(&data_plane),
            peers: Arc::clone(&peers),
            datagrams: Arc::clone(&datagrams),
            call_pool: CallPool::start(&peers)?,
            control: control_handle,
            bundle_file,
            metrics: Arc::clone(&metrics),
            log: log.clone(),
            pending_calls: HashMap::new(),
            next_call: 1,
        };
        let entry = entry.start(input)?;

        let draining = Arc::new(AtomicBool::new(false));
        let operator_server = start_operator_listener(OperatorListener {
            settings: Arc::clone(&settings),
            live_settings: Arc::clone(&live_settings),
            clock,
            node: node.clone(),
            data_plane: Arc::clone(&data_plane),
            metrics: Arc::clone(&metrics),
            draining: Arc::clone(&draining),
        })?;
        let app = App {
            caller_server: start_caller_listener(&settings, &data_plane)?,
            target_server: start_target_listener(&settings, &live_settings, &node, &data_plane)?,
            settings,
            live_settings,
            log: log.clone(),
            node,
            data_plane,
            draining,
            peer_server: server,
            datagrams,
            operator_server,
            control,
            entry,
        };
        let collector = MetricsCollector {
            data_plane: Arc::downgrade(&app.data_plane),
            peers,
            peer_server: Arc::clone(&app.peer_server),
            datagrams: Arc::clone(&app.datagrams),
            metrics,
            node: app.node.clone(),
        };
        collector.start()?;
        info!(log, "started"; "vm" => app.settings.vm, "incarnation" => incarnation,
              "domain" => &*app.settings.domain);
        Ok(app)
    }

    /// Applies those changes that can be reloaded, and logs which changes need a restart.
    pub fn reload(&mut self, new: Settings) {
        let changes = changed_sections(&self.settings, &new);
        self.live_settings.replace(&new);
        info!(self.log, "settings reloaded"; "sections" => changes.reload.join(","));
        if !changes.restart.is_empty() {
            warn!(self.log, "changed settings need a restart";
                  "sections" => changes.restart.join(","));
        }
    }

    /// Shuts down gracefully: reports not ready, so that load balancers stop sending requests;
    /// then drains the callers' listener, releases the rights to send, and stops all threads.
    pub fn shutdown(self) {
        let drain = self.live_settings.drain();
        let drain_timeout = drain.limit;
        info!(self.log, "shutting down");
        self.draining.store(true, Ordering::Relaxed);
        thread::sleep(drain.notice);
        self.data_plane.handle_router_event(RouteEvent::Drain);
        let deadline = Instant::now() + drain_timeout;
        if let Some(callers) = &self.caller_server
            && !callers.drain(drain_timeout)
        {
            warn!(
                self.log,
                "callers still had requests in flight at drain.limit"
            );
        }
        // Requests that other VMs forward are served until another VM has the rights to send.
        self.node.send_event(EntryEvent::Leave { busy: true });
        while self.data_plane.in_flight_at_targets() > 0 && Instant::now() < deadline {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        if self.data_plane.in_flight_at_targets() == 0 {
            self.node.send_event(EntryEvent::Leave { busy: false });
        } else {
            warn!(
                self.log,
                "targets still had requests in flight at drain.limit; the lease has to expire"
            );
        }
        let leave_deadline = Instant::now() + LEAVE_TIMEOUT;
        while self.data_plane.in_flight() > 0 && Instant::now() < deadline.max(leave_deadline) {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        thread::sleep(leave_deadline.saturating_duration_since(Instant::now()));
        if let Some(targets) = &self.target_server {
            targets.drain(LEAVE_TIMEOUT);
        }
        self.peer_server.shutdown();
        self.datagrams.shutdown();
        self.node.send(NodeInput::Stop);
        if let Some((control, thread)) = self.control {
            control.stop();
            let _ = thread.join();
        }
        let _ = self.entry.join();
        let (thread, stop) = self.operator_server;
        let _ = stop.send(());
        let _ = thread.join();
        info!(self.log, "ended");
    }
}

fn open_bundle_file(data: &Path) -> Result<BundleFile, AppError> {
    std::fs::create_dir_all(data)?;
    Ok(BundleFile::new(data))
}

/// Number of random low bits of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// Returns the incarnation of this process. It must be greater than those of earlier starts,
/// because peers refuse datagrams of an incarnation that is older than one they have seen. It is
/// based on microseconds: with whole seconds, a VM restarted within a second got no lease in half
/// of all cases. The random bits make incarnations distinct if the clock was set back.
fn incarnation() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = time.map_or(0, |time| time.as_micros() as u64);
    let random = rand::random::<u64>() & ((1 << INCARNATION_RANDOM_BITS) - 1);
    micros << INCARNATION_RANDOM_BITS | random
}

fn keyring(settings: &Settings) -> Result<Keyring, KeyError> {
    let keys = settings
        .peers
        .keys
        .iter()
        .map(|key| ClusterKey {
            id: key.id as u8,
            secret: key.secret.0,
        })
        .collect();
    Keyring::new(keys, settings.peers.send as u8)
}

fn entry_config(
    settings: &Settings,
    incarnation: u64,
    bundle: Option<camphordale_bundle::SignedBundle>,
) -> EntryConfig {
    let group = &settings.group;
    EntryConfig {
        info: VmInfo {
            vm: settings.vm,
            incarnation,
            domain: settings.domain.clone(),
            inner: settings.peers.inner,
            outer: settings.peers.outer,
            entry: settings.roles.entry,
        },
        control_voters: voters(settings),
        lease_config: LeaseConfig {
            vm_lease: group.vm_lease,
            target_lease: group.target_lease,
            stall: group.stall,
        },
        renew_interval: group.vm_renew,
        heartbeat_interval: group.heartbeat,
        election_timeout: group.election,
        max_voters: group.size,
        seed: rand::random(),
        bundle,
    }
}

fn voters(settings: &Settings) -> Vec<(u32, SocketAddr)> {
    let voters = settings.control.voters.iter();
    voters.map(|voter| (voter.vm, voter.address)).collect()
}

fn start_control(
    settings: &Settings,
    clock: Clock,
    peers: &Arc<PeerClient>,
    node: &NodeHandle,
    metrics: &Arc<Metrics>,
    log: &Logger,
) -> Result<(ControlHandle, JoinHandle<()>), AppError> {
    let Some(data) = &settings.data else {
        return Err(AppError::Settings("a control voter needs a data folder"));
    };
    std::fs::create_dir_all(data)?;
    let identity = Identity::open(data, new_member(settings))?;
    let (mut store, mut recovered) = Store::open(data)?;
    let empty = recovered.snapshot.is_none() && recovered.entries.is_empty();
    if identity.member == founding_member(settings) && empty {
        let snapshot = Some(founding_snapshot(settings));
        store.persist(&DurableWrite {
            snapshot: snapshot.clone(),
            ..DurableWrite::default()
        })?;
        recovered.snapshot = snapshot;
    }
    let operators = settings.operators.first.clone().unwrap_or(Operators {
        needed: 1,
        keys: Vec::new(),
    });
    let config = ControlConfig {
        vm: settings.vm,
        raft: RaftConfig {
            id: identity.member,
            election_timeout: settings.control.election,
            lease: settings.control.election,
            heartbeat_interval: settings.control.heartbeat,
            max_batch: 256,
            max_batch_bytes: 1 << 20,
            seed: rand::random(),
        },
        planner: PlannerConfig {
            group_size: settings.group.size,
            form_wait: settings.group.form_wait,
            vm_lease: settings.group.vm_lease,
            ..PlannerConfig::default()
        },
    };
    let control_loop = ControlLoop {
        member: identity.member,
        clock,
        node: ControlNode::new(config, recovered, ControlState::new(operators))?,
        store,
        peers: Arc::clone(peers),
        entry_node: node.clone(),
        voters: voters(settings),
        metrics: Arc::clone(metrics),
        log: log.clone(),
    };
    Ok(control_loop.start()?)
}

/// Returns the initial snapshot of a new control group, with the voters listed in the settings.
fn founding_snapshot(settings: &Settings) -> Snapshot {
    let voters = settings.control.voters.iter();
    Snapshot {
        members: Members {
            voters: voters.map(|voter| member_id(voter.vm, 0)).collect(),
            ..Members::default()
        },
        ..Snapshot::default()
    }
}

fn http_limits(settings: &settings::Limits) -> Limits {
    Limits {
        max_connections: settings.connections,
        ip_fraction: settings.per_source as f64 / settings.connections.max(1) as f64,
        header_timeout: settings.header_time,
        max_head: settings.header_size,
        body_timeout: settings.body_time,
        max_body: settings.body_size,
        idle_timeout: settings.idle_time,
        stack_size: STACK_SIZE,
        ..Limits::default()
    }
}

fn start_caller_listener(
    settings: &Settings,
    data_plane: &Arc<DataPlane>,
) -> Result<Option<Server>, AppError> {
    let Some(callers) = &settings.callers else {
        return Ok(None);
    };
    let data_plane = Arc::clone(data_plane);
    let handler = move |request: Request| -> Response { data_plane.serve(request) };
    let server = Server::start(
        callers.listen,
        http_limits(&callers.limits),
        Arc::new(handler),
    )?;
    Ok(Some(server))
}

fn start_target_listener(
    settings: &Settings,
    live_settings: &Arc<LiveSettings>,
    node: &NodeHandle,
    data_plane: &Arc<DataPlane>,
) -> Result<Option<Server>, AppError> {
    let Some(targets) = &settings.targets else {
        return Ok(None);
    };
    let handler = TargetListener {
        settings: Arc::clone(live_settings),
        node: node.clone(),
        data_plane: Arc::clone(data_plane),
        renew_interval: settings.group.target_renew,
    };
    let server = Server::start(
        targets.listen,
        http_limits(&targets.limits),
        Arc::new(handler),
    )?;
    Ok(Some(server))
}

fn start_operator_listener(
    listener: OperatorListener,
) -> Result<(JoinHandle<()>, std::sync::mpsc::Sender<()>), AppError> {
    let address = listener.settings.operators.listen;
    let server = rouille::Server::new(address, move |request| listener.serve(request));
    match server {
        Ok(server) => Ok(server.stoppable()),
        Err(err) => Err(AppError::Operators {
            address,
            reason: err.to_string().into(),
        }),
    }
}
