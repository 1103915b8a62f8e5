//! Puts the parts of the daemon together, runs them and shuts them down.

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
    Server, //
    ServerError,
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
        Plane,
        PlaneConfig, //
    },
    entry_loop::EntryLoop,
    live_settings::Live,
    metrics::{
        Metrics,
        MetricsError, //
    },
    metrics_collector::Pump,
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
        reloadable_changes, //
    },
    target_listener::TargetListener,
};

/// Longest idle time of a connection to a target.
const POOL_IDLE: Duration = Duration::from_secs(5);

/// Age at which a connection to a target is replaced.
const POOL_AGE: Duration = Duration::from_secs(60);

/// Time between looks at requests in flight while the VM shuts down.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time for the domain leader to take over the rights of a VM that leaves.
const LEAVE_TIME: Duration = Duration::from_millis(300);

/// Stack of a listener's threads, in bytes. The router runs on them.
const STACK: usize = 512 * 1024;

/// The daemon could not be started.
#[derive(Debug, thiserror::Error)]
pub enum AppError {
    /// The storage failed.
    #[error("cannot open the data folder: {0}")]
    Store(#[from] StoreError),
    /// The snapshot of the control state cannot be read.
    #[error("cannot read the control state: {0}")]
    Snapshot(#[from] SnapshotError),
    /// The keys between VMs are not usable.
    #[error("cannot use the keys between VMs: {0}")]
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
        /// The address.
        address: SocketAddr,
        /// Why.
        reason: Box<str>,
    },
    /// The metrics could not be set up.
    #[error("cannot set up the metrics: {0}")]
    Metrics(#[from] MetricsError),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The settings do not fit what was asked.
    #[error("{0}")]
    Settings(&'static str),
}

/// A running daemon.
pub struct App {
    settings: Arc<Settings>,
    live: Arc<Live>,
    log: Logger,
    node: NodeHandle,
    plane: Arc<Plane>,
    draining: Arc<AtomicBool>,
    callers: Option<Server>,
    targets: Option<Server>,
    peers: Arc<PeerServer>,
    datagrams: Arc<DatagramSocket>,
    operators: (JoinHandle<()>, std::sync::mpsc::Sender<()>),
    control: Option<(ControlHandle, JoinHandle<()>)>,
    entry: JoinHandle<()>,
}

/// Makes the data folder of a founding voter of the control group. It is done once, when a
/// deployment is new; a voter that lost its disk must not be made a founder again.
///
/// # Errors
///
/// Settings without the control role are refused, and so is a data folder that has an identity.
pub fn init(settings: &Settings) -> Result<(), AppError> {
    let (true, Some(data)) = (settings.roles.control, &settings.data) else {
        return Err(AppError::Settings(
            "only a VM with the control role has a data folder to make",
        ));
    };
    std::fs::create_dir_all(data)?;
    if std::fs::read_dir(data)?.next().is_some() {
        return Err(AppError::Settings("the data folder is not empty"));
    }
    Identity::open(data, founder(settings))?;
    Ok(())
}

fn founder(settings: &Settings) -> MemberId {
    member_id(settings.vm, 0)
}

fn fresh_member(settings: &Settings) -> MemberId {
    member_id(settings.vm, rand::random::<u32>().max(1))
}

impl App {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// [`AppError`] says which part could not be started.
    pub fn start(settings: Settings, log: &Logger) -> Result<App, AppError> {
        let live = Arc::new(Live::new(&settings));
        let settings = Arc::new(settings);
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::new()?);
        let incarnation = incarnation();
        let keyring = keyring(&settings)?;
        let source = settings.peers.source_ip;

        let mut client = PeerClientConfig::new(settings.vm, keyring.clone());
        client.bind_ip = source;
        let peers = Arc::new(PeerClient::new(client));
        let (node, input) = NodeHandle::new();

        let mut pool = Pool::new(PoolConfig {
            idle_timeout: POOL_IDLE,
            max_age: POOL_AGE,
            ..PoolConfig::default()
        });
        if let Some(source) = source {
            pool = pool.with_source(source);
        }
        let router = RouterConfig::new(settings.vm, &settings.domain, rand::random());
        let config = PlaneConfig {
            source,
            answer_size: settings.callers.as_ref().map_or(0, |c| c.answer_size),
        };
        let plane = Plane::new(
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
        let handle = control.as_ref().map(|(handle, _)| handle.clone());
        let handler = Arc::new(PeerHandler {
            node: node.clone(),
            control: handle.clone(),
            plane: Arc::clone(&plane),
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

        let file = settings.data.as_deref().map(open_folder).transpose()?;
        let bundle = file.as_ref().map(BundleFile::load).transpose()?.flatten();
        let entry = EntryLoop {
            vm: settings.vm,
            clock,
            node: EntryNode::new(entry_config(&settings, incarnation, bundle)),
            handle: node.clone(),
            plane: Arc::clone(&plane),
            peers: Arc::clone(&peers),
            datagrams: Arc::clone(&datagrams),
            calls: CallPool::start(&peers)?,
            control: handle,
            file,
            metrics: Arc::clone(&metrics),
            log: log.clone(),
            waiting: HashMap::new(),
            next: 1,
        };
        let entry = entry.start(input)?;

        let draining = Arc::new(AtomicBool::new(false));
        let operators = start_operators(OperatorListener {
            settings: Arc::clone(&settings),
            live: Arc::clone(&live),
            clock,
            node: node.clone(),
            plane: Arc::clone(&plane),
            metrics: Arc::clone(&metrics),
            draining: Arc::clone(&draining),
        })?;
        let app = App {
            callers: start_callers(&settings, &plane)?,
            targets: start_targets(&settings, &live, &node, &plane)?,
            settings,
            live,
            log: log.clone(),
            node,
            plane,
            draining,
            peers: server,
            datagrams,
            operators,
            control,
            entry,
        };
        let pump = Pump {
            plane: Arc::downgrade(&app.plane),
            peers,
            server: Arc::clone(&app.peers),
            datagrams: Arc::clone(&app.datagrams),
            metrics,
            node: app.node.clone(),
        };
        pump.start()?;
        info!(log, "started"; "vm" => app.settings.vm, "incarnation" => incarnation,
              "domain" => &*app.settings.domain);
        Ok(app)
    }

    /// Takes over what can be reloaded of new settings, and logs which changes need a restart.
    pub fn reload(&mut self, new: Settings) {
        let changes = reloadable_changes(&self.settings, &new);
        self.live.replace(&new);
        info!(self.log, "settings reloaded"; "sections" => changes.reload.join(","));
        if !changes.restart.is_empty() {
            warn!(self.log, "changed settings need a restart";
                  "sections" => changes.restart.join(","));
        }
    }

    /// Shuts down: first tells the platform, then stops taking callers' requests and finishes
    /// those in flight, then hands over the rights to send, then ends.
    pub fn shutdown(self) {
        let drain = self.live.drain();
        let limit = drain.limit;
        info!(self.log, "shutting down");
        self.draining.store(true, Ordering::Relaxed);
        thread::sleep(drain.notice);
        self.plane.route(RouteEvent::Drain);
        let until = Instant::now() + limit;
        if let Some(callers) = &self.callers
            && !callers.drain(limit)
        {
            warn!(
                self.log,
                "requests of callers were still running at the limit"
            );
        }
        // Forwarded requests go on until another VM has the rights to send.
        self.node.event(EntryEvent::Leave { busy: true });
        while self.plane.at_targets() > 0 && Instant::now() < until {
            thread::sleep(DRAIN_POLL);
        }
        if self.plane.at_targets() == 0 {
            self.node.event(EntryEvent::Leave { busy: false });
        } else {
            warn!(
                self.log,
                "requests were still at targets at the limit; the lease runs out by itself"
            );
        }
        let left = Instant::now() + LEAVE_TIME;
        while self.plane.in_flight() > 0 && Instant::now() < until.max(left) {
            thread::sleep(DRAIN_POLL);
        }
        thread::sleep(left.saturating_duration_since(Instant::now()));
        if let Some(targets) = &self.targets {
            targets.drain(LEAVE_TIME);
        }
        self.peers.shutdown();
        self.datagrams.shutdown();
        self.node.send(NodeInput::Stop);
        if let Some((control, thread)) = self.control {
            control.stop();
            let _ = thread.join();
        }
        let _ = self.entry.join();
        let (operators, stop) = self.operators;
        let _ = stop.send(());
        let _ = operators.join();
        info!(self.log, "ended");
    }
}

fn open_folder(data: &Path) -> Result<BundleFile, AppError> {
    std::fs::create_dir_all(data)?;
    Ok(BundleFile::new(data))
}

/// Bits of an incarnation that are random.
const RANDOM_BITS: u32 = 12;

/// Returns an id for this run of the process. Peers refuse datagrams of a run that is older than
/// one they know, so it has to rise with each start: in whole seconds, a VM that was restarted
/// within a second stayed without a lease in half of all cases. The random part keeps runs apart
/// when the clock was set back.
fn incarnation() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let micros = time.map_or(0, |time| time.as_micros() as u64);
    let random = rand::random::<u64>() & ((1 << RANDOM_BITS) - 1);
    micros << RANDOM_BITS | random
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
    let identity = Identity::open(data, fresh_member(settings))?;
    let (mut store, mut recovered) = Store::open(data)?;
    let empty = recovered.snapshot.is_none() && recovered.entries.is_empty();
    if identity.member == founder(settings) && empty {
        let snapshot = Some(founding(settings));
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
            seed: rand::random(),
        },
        planner: PlannerConfig {
            group_size: settings.group.size,
            form_wait: settings.group.form_wait,
            vm_lease: settings.group.vm_lease,
            ..PlannerConfig::default()
        },
    };
    let role = ControlLoop {
        member: identity.member,
        clock,
        node: ControlNode::new(config, recovered, ControlState::new(operators))?,
        store,
        peers: Arc::clone(peers),
        entry: node.clone(),
        voters: voters(settings),
        metrics: Arc::clone(metrics),
        log: log.clone(),
    };
    Ok(role.start()?)
}

/// Returns the start of a new control group, whose first voters the settings name.
fn founding(settings: &Settings) -> Snapshot {
    let voters = settings.control.voters.iter();
    Snapshot {
        members: Members {
            voters: voters.map(|voter| member_id(voter.vm, 0)).collect(),
            ..Members::default()
        },
        ..Snapshot::default()
    }
}

fn limits(settings: &settings::Limits) -> Limits {
    Limits {
        max_connections: settings.connections,
        ip_fraction: settings.per_source as f64 / settings.connections.max(1) as f64,
        header_timeout: settings.header_time,
        max_head: settings.header_size,
        body_timeout: settings.body_time,
        max_body: settings.body_size,
        idle_timeout: settings.idle_time,
        stack_size: STACK,
        ..Limits::default()
    }
}

fn start_callers(settings: &Settings, plane: &Arc<Plane>) -> Result<Option<Server>, AppError> {
    let Some(callers) = &settings.callers else {
        return Ok(None);
    };
    let plane = Arc::clone(plane);
    let handler = move |request: Request| -> Response { plane.serve(request) };
    let server = Server::start(callers.listen, limits(&callers.limits), Arc::new(handler))?;
    Ok(Some(server))
}

fn start_targets(
    settings: &Settings,
    live: &Arc<Live>,
    node: &NodeHandle,
    plane: &Arc<Plane>,
) -> Result<Option<Server>, AppError> {
    let Some(targets) = &settings.targets else {
        return Ok(None);
    };
    let handler = TargetListener {
        live: Arc::clone(live),
        node: node.clone(),
        plane: Arc::clone(plane),
        renew: settings.group.target_renew,
    };
    let server = Server::start(targets.listen, limits(&targets.limits), Arc::new(handler))?;
    Ok(Some(server))
}

fn start_operators(
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
