//! The process of a control VM, which serves operators, targets, entry VMs and other control VMs.

mod log;

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_fleet::{
    Answer,
    Call,
    CallToken,
    Config,
    Control,
    Dispatch,
    Effect,
    Event,
    LeaseTimes,
    Member,
    MemberList,
    OrderConnection,
    OrderId,
    PeerMessage,
    Reply, //
};
use camphordale_http::{
    OutgoingRequest,
    Request,
    Response,
    codec::write_request, //
};
use camphordale_raft::{
    DurableWrite,
    RecoveredState, //
};
use camphordale_store::{
    AtomicFile,
    Identity,
    RetriedFile,
    Store,
    StoreError, //
};
use slog::{
    info,
    warn, //
};

use self::log::{
    log_event,
    log_order, //
};
use crate::{
    adapter::{
        CallKind,
        ProtocolAdapter, //
    },
    client_connection::ExpectedResponse,
    event_loop::{
        ConnId,
        ConnectionUse,
        Exchange,
        ExchangeError,
        IoEvent,
        ListenerKind, //
    },
    process::{
        ProcessContext,
        ProcessError,
        system_error, //
    },
    settings::{
        ControlSettings,
        Settings,
        SettingsError, //
    },
    turn::{
        TurnTimes,
        Work, //
    },
};

/// Path of the audit trail at the metrics address.
const AUDIT_PATH: &str = "/changes";
/// Interval between ticks of the reducer; elections and renewals need no finer one.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before the storage is opened again after a failure.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of log entries that are kept at most if the memory is not limited.
const DEFAULT_LOG_LIMIT: usize = 16 << 20;
/// Part of the memory for log entries. The disk holds them up to twice, while the log is compacted.
const LOG_DIVISOR: usize = 16;
/// Bytes of views under way to entry VMs if the memory is not limited.
const DEFAULT_VIEW_LIMIT: usize = 64 << 20;
/// Part of the memory for views under way to entry VMs.
const VIEW_DIVISOR: usize = 4;
/// File that stores the control VMs that this one knows.
const MEMBERS_FILE: &str = "members";

/// A call of an operator or a target that awaits its reply.
struct PendingCall {
    conn: ConnId,
    kind: CallKind,
    path: Box<str>,
}

/// The process of a control VM.
pub struct ControlProcess<Adapter> {
    settings: Settings,
    role_settings: ControlSettings,
    adapter: Adapter,
    control: Control,
    store: Option<Store>,
    storage_failure: Option<Duration>,
    /// The control VMs that this one knows.
    members_file: RetriedFile<MemberList>,
    /// Effects that are not carried out yet.
    effects: Vec<Effect>,
    calls: HashMap<CallToken, PendingCall>,
    orders: HashMap<OrderId, Dispatch>,
    next_token: CallToken,
    next_tick: Duration,
    turn: TurnTimes,
}

/// Id of a member that bootstraps the group. It follows from the address, so that all bootstrapping
/// members agree on it without communication.
fn bootstrap_member_id(address: std::net::SocketAddr) -> u64 {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u128::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip),
    };
    // Random ids have the highest bit set, so the two kinds never collide.
    ((ip << 16 | u128::from(address.port())) as u64) & (u64::MAX >> 1)
}

fn seed_member(settings: &Settings, control: std::net::SocketAddr) -> Member {
    Member {
        id: bootstrap_member_id(control),
        peer: settings.peer_address(control),
        control,
        domain: "".into(),
    }
}

fn members_file(role_settings: &ControlSettings) -> AtomicFile<MemberList> {
    AtomicFile::new(role_settings.data_dir.join(MEMBERS_FILE))
}

struct OpenedState {
    control: Control,
    store: Store,
    bootstrapped: bool,
}

/// Opens the durable state and creates the reducer from it.
fn open_state(
    settings: &Settings,
    role_settings: &ControlSettings,
) -> Result<OpenedState, ProcessError> {
    std::fs::create_dir_all(&role_settings.data_dir)
        .map_err(system_error("create the data directory"))?;
    let seeds = settings
        .seeds
        .iter()
        .map(|seed| seed_member(settings, *seed));
    let seeds: Vec<Member> = seeds.collect();
    let may_bootstrap =
        role_settings.bootstrap && settings.seeds.contains(&role_settings.control_address);
    let (mut store, mut recovered) = Store::open(&role_settings.data_dir)?;
    let is_empty = recovered == RecoveredState::default();
    let new_id = if may_bootstrap && is_empty {
        bootstrap_member_id(role_settings.control_address)
    } else {
        rand::random::<u64>() | (1 << 63)
    };
    let id = Identity::open(&role_settings.data_dir, new_id)?.member;
    let bootstrapped =
        may_bootstrap && is_empty && id == bootstrap_member_id(role_settings.control_address);
    if bootstrapped {
        let state_error = |error: postcard::Error| ProcessError::State(error.to_string().into());
        recovered = Control::bootstrap_state(seeds.clone()).map_err(state_error)?;
        store.persist(&DurableWrite {
            snapshot: recovered.snapshot.clone(),
            ..DurableWrite::default()
        })?;
    }
    let stored = members_file(role_settings).read()?.unwrap_or_default();
    let tuning = &settings.tuning;
    let config = Config {
        member: Member {
            id,
            peer: settings.peer_address(role_settings.control_address),
            control: role_settings.control_address,
            domain: settings.domain.clone(),
        },
        voters: 2 * role_settings.tolerated_failures + 1,
        lease_times: LeaseTimes {
            call: tuning.key_lease.min(role_settings.max_lease),
            heartbeat: role_settings.announced_lease(),
            interval: role_settings.announcement_interval,
        },
        election_timeout: tuning.election_timeout,
        leader_lease: tuning.leader_lease,
        heartbeat_interval: tuning.heartbeat_interval,
        target_timeout: tuning.target_timeout,
        warm_up: settings.warm_up,
        member_timeout: tuning.member_timeout,
        catch_up: role_settings.catch_up,
        apply_timeout: tuning.apply_timeout,
        domains: role_settings.domains.clone(),
        log_limit: settings
            .memory
            .map_or(DEFAULT_LOG_LIMIT, |memory| memory / LOG_DIVISOR),
        view_limit: settings
            .memory
            .map_or(DEFAULT_VIEW_LIMIT, |memory| memory / VIEW_DIVISOR),
        seed: rand::random(),
    };
    let control = Control::new(config, recovered, seeds, stored)
        .map_err(|error| ProcessError::State(error.to_string().into()))?;
    Ok(OpenedState {
        control,
        store,
        bootstrapped,
    })
}

impl<Adapter> ControlProcess<Adapter>
where
    Adapter: ProtocolAdapter,
{
    pub(crate) fn start(
        settings: &Settings,
        role_settings: ControlSettings,
        adapter: Adapter,
        context: &mut ProcessContext,
    ) -> Result<Self, ProcessError> {
        let peers = settings.peer_address(role_settings.control_address);
        let metrics = (settings.ip, settings.metrics_port).into();
        for (address, listener_kind) in [
            (role_settings.control_address, ListenerKind::Control),
            (peers, ListenerKind::Peers),
            (metrics, ListenerKind::Metrics),
        ] {
            context
                .event_loop
                .listen(address, listener_kind)
                .map_err(system_error(format!("listen on {address}")))?;
        }
        let opened = open_state(settings, &role_settings)?;
        info!(context.logger, "state opened"; "founded" => opened.bootstrapped,
            "bytes" => opened.store.size());
        Ok(ControlProcess {
            settings: settings.clone(),
            members_file: RetriedFile::new(members_file(&role_settings)),
            role_settings,
            adapter,
            control: opened.control,
            store: Some(opened.store),
            storage_failure: None,
            effects: Vec::new(),
            calls: HashMap::new(),
            orders: HashMap::new(),
            next_token: 0,
            next_tick: Duration::ZERO,
            turn: TurnTimes::default(),
        })
    }

    pub(crate) fn run<Reload>(
        &mut self,
        context: &mut ProcessContext,
        reload: Reload,
    ) -> Result<(), ProcessError>
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        while !context.signals.stop_requested() {
            let events = context
                .event_loop
                .wait(self.next_tick)
                .map_err(system_error("wait"))?;
            // Work on behalf of targets and entry VMs must not delay the heartbeats of the group.
            let (consensus, other): (Vec<IoEvent>, Vec<IoEvent>) =
                events.into_iter().partition(is_consensus);
            for event in consensus.into_iter().chain(other) {
                self.on_io_event(event, context);
            }
            let now = context.clock.now();
            if now >= self.next_tick {
                self.next_tick = now + TICK_INTERVAL;
                self.reopen(now, context);
                report_members_file(self.members_file.retry(now), context);
                self.step(Event::Tick, context);
                context.flush_logs(now);
            }
            let decided = context.clock.now();
            self.carry_out(context);
            let took = context.clock.now() - decided;
            self.turn.record(Work::Effects, took);
            self.turn.end(context);
            self.reload(now, context, &reload);
        }
        Ok(())
    }

    fn reload<Reload>(&mut self, now: Duration, context: &mut ProcessContext, reload: &Reload)
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        let Some(settings) = context.reload(now, reload) else {
            return;
        };
        if settings.seeds == self.settings.seeds {
            return;
        }
        self.settings.seeds.clone_from(&settings.seeds);
        let seeds = settings.seeds.iter();
        let seeds = seeds.map(|seed| seed_member(&settings, *seed)).collect();
        self.step(Event::Seeds(seeds), context);
        info!(context.logger, "seeds changed"; "seeds" => settings.seeds.len());
    }

    fn on_io_event(&mut self, event: IoEvent, context: &mut ProcessContext) {
        match event {
            IoEvent::Request {
                conn,
                listener_kind: ListenerKind::Control,
                request,
            } => self.on_call(conn, &request, context),
            IoEvent::Request { conn, request, .. } => {
                let response = match &*request.path {
                    AUDIT_PATH => self.audit_trail(context),
                    _ => {
                        self.measure_retained(context);
                        context.metrics_response(&request)
                    }
                };
                context.event_loop.respond(conn, &response);
            }
            IoEvent::PeerMessage { conn, message } => match message {
                PeerMessage::Raft { .. } | PeerMessage::MemberList(_) | PeerMessage::Join(_) => {
                    self.step(Event::Peer(message), context);
                }
                message => self.step(Event::Stream { conn, message }, context),
            },
            IoEvent::PeerProgress(conn) => self.step(Event::StreamProgress(conn), context),
            IoEvent::PeerClosed { conn, .. } => self.step(Event::StreamClosed(conn), context),
            IoEvent::ExchangeEnded { id, result, reused } => {
                self.on_order_response(id, result, reused, context)
            }
            IoEvent::ClientDisconnected(_) => {}
        }
    }

    fn measure_retained(&self, context: &ProcessContext) {
        let retained = self.control.retained_bytes();
        let fleet = self.control.fleet_versions();
        let file = self.store.as_ref().map_or(0, Store::size);
        let evacuations = &self.control.state().view.evacuations;
        for (kind, bytes) in [
            ("log-bytes", retained.log as u64),
            ("snapshot-bytes", retained.snapshot as u64),
            ("recent-update-bytes", retained.updates as u64),
            ("content-bytes", retained.contents as u64),
            ("log-file-bytes", file),
            ("peer-output-bytes", context.event_loop.peer_output() as u64),
            (
                "longest-peer-output-bytes",
                context.event_loop.longest_peer_output() as u64,
            ),
            ("newest-version", fleet.newest),
            ("oldest-entry-version", fleet.oldest),
            ("entries-behind", fleet.behind as u64),
            ("entries-lost", fleet.lost as u64),
        ] {
            context.metrics.set_gauge(kind, bytes);
        }
        let evacuated = evacuations.evacuated().count() as u64;
        context.metrics.set_gauge("evacuated-domains", evacuated);
        let lagging = self.control.lagging_members() as u64;
        context.metrics.set_gauge("lagging-members", lagging);
    }

    /// The accepted changes that this member knows, as JSON, oldest first.
    fn audit_trail(&self, context: &ProcessContext) -> Response {
        match serde_json::to_vec(&self.control.state().history) {
            Ok(body) => Response::new(200, body).with_header("Content-Type", "application/json"),
            Err(error) => {
                warn!(context.logger, "cannot encode the audit trail";
                    "error" => error.to_string());
                Response::text(500, "audit trail has no encoding")
            }
        }
    }

    fn on_call(&mut self, conn: ConnId, request: &Request, context: &mut ProcessContext) {
        let mut call = match self.adapter.parse_call(request) {
            Ok(call) => call,
            Err(response) => {
                context.metrics.count_event("unreadable-call");
                if context.may_log("unreadable call") {
                    info!(context.logger, "call rejected as malformed"; "path" => &*request.path,
                        "status" => response.status);
                }
                return context.event_loop.respond(conn, &response);
            }
        };
        if let Call::Change(change) = &mut call {
            change.received_ms = camphordale_clock::unix_ms();
        }
        let kind = match &call {
            Call::Change(_) | Call::Read | Call::Evacuate { .. } => CallKind::Routing,
            Call::Announce(_) | Call::Leave { .. } => CallKind::Target,
        };
        self.next_token += 1;
        let token = self.next_token;
        let path = request.path.clone();
        self.calls.insert(token, PendingCall { conn, kind, path });
        self.step(Event::Call { token, call }, context);
    }

    fn reply(&self, pending: &PendingCall, reply: &Reply, context: &mut ProcessContext) {
        let PendingCall { conn, kind, path } = pending;
        let response =
            self.adapter
                .call_response(*kind, path, reply, self.role_settings.control_address);
        context.event_loop.respond(*conn, &response);
    }

    fn on_order_response(
        &mut self,
        id: OrderId,
        result: Result<Response, ExchangeError>,
        reused: bool,
        context: &mut ProcessContext,
    ) {
        let Some(dispatch) = self.orders.remove(&id) else {
            return;
        };
        let answer = match result {
            Ok(response) => self.adapter.parse_answer(&dispatch.order, &response),
            Err(error) => Answer::Lost { sent: error.sent },
        };
        // Another process may listen at the address since the last connection was opened.
        if !reused {
            context.metrics.count_event("order-connection");
            if context.may_log("order over a new connection") {
                log_order(&dispatch, &answer, &context.logger);
            }
        }
        self.step(Event::OrderAnswered { id, answer }, context);
    }

    /// Passes an event to the reducer. Its effects are carried out by [`Self::carry_out`].
    fn step(&mut self, event: Event, context: &ProcessContext) {
        let work = match &event {
            Event::Tick => Work::Timer,
            Event::Peer(_) | Event::Seeds(_) => Work::Consensus,
            Event::Stream { .. } | Event::StreamProgress(_) | Event::StreamClosed(_) => {
                Work::Stream
            }
            Event::Call { .. } => Work::Call,
            Event::OrderAnswered { .. } => Work::Answer,
        };
        let now = context.clock.now();
        let effects = self.control.step(event, now);
        self.effects.extend(effects);
        self.turn.record(work, context.clock.now() - now);
    }

    /// Carries out the effects of all steps since the last call. What must be durable is written
    /// first, in as few writes as possible, so that many changes cost one sync.
    fn carry_out(&mut self, context: &mut ProcessContext) {
        while !self.effects.is_empty() {
            let effects = std::mem::take(&mut self.effects);
            let (writes, effects): (Vec<Effect>, Vec<Effect>) = effects
                .into_iter()
                .partition(|effect| matches!(effect, Effect::Persist(_)));
            let writes = writes.into_iter().filter_map(|effect| match effect {
                Effect::Persist(write) => Some(write),
                _ => None,
            });
            for write in DurableWrite::combine(writes.collect()) {
                if !self.persist(&write, context) {
                    // The effects rely on state that could not be made durable.
                    return;
                }
            }
            for effect in effects {
                self.apply_effect(effect, context);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect, context: &mut ProcessContext) {
        match effect {
            Effect::Persist(_) => {}
            Effect::Send { to, message } => context.event_loop.send_to(to, &message),
            Effect::Stream { conn, message } => context.event_loop.send(conn, &message),
            Effect::Broadcast { conns, message } => context.event_loop.send_all(&conns, &message),
            Effect::CloseStream(conn) => context.event_loop.close_peer(conn),
            Effect::Reply { token, reply } => self.reply_to(token, &reply, context),
            Effect::LeaseReply {
                token,
                granted,
                lease,
                send_before,
            } => {
                let reply = if context.clock.now() < send_before {
                    Reply::Leases { granted, lease }
                } else {
                    // Another leader may exist by now.
                    Reply::Unavailable("leadership is not confirmed")
                };
                self.reply_to(token, &reply, context);
            }
            Effect::Order {
                dispatch,
                send_before,
            } => self.send_order(dispatch, send_before, context),
            Effect::StoreMembers(members) => {
                let now = context.clock.now();
                let written = self.members_file.write(members, now);
                report_members_file(written, context);
            }
            Effect::Log(event) => log_event(&event, context),
        }
    }

    fn reply_to(&mut self, token: CallToken, reply: &Reply, context: &mut ProcessContext) {
        if let Some(pending) = self.calls.remove(&token) {
            self.reply(&pending, reply, context);
        }
    }

    fn send_order(
        &mut self,
        dispatch: Dispatch,
        send_before: Duration,
        context: &mut ProcessContext,
    ) {
        let id = dispatch.id;
        let answer = Answer::Lost { sent: false };
        if context.clock.now() >= send_before {
            // Another leader may exist by now, so the order must not be sent.
            context.metrics.count_event("order-unconfirmed");
            let answer = Answer::NotSent;
            return self.step(Event::OrderAnswered { id, answer }, context);
        }
        let request = self
            .adapter
            .order_request(&dispatch.order, &dispatch.holder.id);
        let out_request = OutgoingRequest {
            method: request.method,
            path: &request.path,
            headers: &request.headers,
            body: &request.body,
        };
        let mut bytes = Vec::new();
        if let Err(part) = write_request(&mut bytes, &out_request, dispatch.address) {
            warn!(context.logger, "cannot encode the order to a target"; "part" => part);
            return self.step(Event::OrderAnswered { id, answer }, context);
        }
        let connection = match dispatch.connection {
            OrderConnection::Open(session) => ConnectionUse::Open(session),
            OrderConnection::Kept(session) => ConnectionUse::Kept(session),
            OrderConnection::Single => ConnectionUse::Single,
        };
        context.event_loop.start_exchange(Exchange {
            id,
            address: dispatch.address,
            bytes,
            body: None,
            expected: ExpectedResponse::default(),
            connection,
            deadline: dispatch.deadline,
        });
        self.orders.insert(id, dispatch);
    }

    fn persist(&mut self, write: &DurableWrite, context: &mut ProcessContext) -> bool {
        let result = match &mut self.store {
            Some(store) => store.persist(write),
            None => return false,
        };
        let Err(error) = result else {
            return true;
        };
        warn!(context.logger, "storage failed"; "error" => error.to_string());
        context.metrics.count_event("storage-failed");
        let now = context.clock.now();
        self.store = None;
        self.storage_failure = Some(now);
        self.effects = self.control.storage_failed(now);
        false
    }

    /// After a storage failure, restarts the reducer from the durable state.
    fn reopen(&mut self, now: Duration, context: &mut ProcessContext) {
        let Some(failed_at) = self.storage_failure else {
            return;
        };
        if now < failed_at + REOPEN_INTERVAL {
            return;
        }
        self.storage_failure = Some(now);
        match open_state(&self.settings, &self.role_settings) {
            Ok(opened) => {
                self.control = opened.control;
                self.store = Some(opened.store);
                self.storage_failure = None;
                for pending in std::mem::take(&mut self.calls).into_values() {
                    self.reply(&pending, &Reply::Unavailable("storage failed"), context);
                }
                info!(context.logger, "storage opened again");
            }
            Err(error) => {
                if context.may_log("reopen") {
                    warn!(context.logger, "cannot open the storage again";
                        "error" => error.to_string());
                }
            }
        }
    }
}

fn report_members_file(written: Result<(), StoreError>, context: &mut ProcessContext) {
    if let Err(error) = written
        && context.may_log("book")
    {
        warn!(context.logger, "cannot store the known control VMs";
            "error" => error.to_string());
    }
}

fn is_consensus(event: &IoEvent) -> bool {
    matches!(
        event,
        IoEvent::PeerMessage {
            // A list may say where to reply to the message after it.
            message: PeerMessage::Raft { .. } | PeerMessage::MemberList(_),
            ..
        }
    )
}
