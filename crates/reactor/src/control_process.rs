//! A control VM: operators, targets, other control VMs and entry VMs.

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_fleet::{
    Answer,
    Call,
    CallId,
    Config,
    Control,
    Effect,
    Event,
    Member,
    Note,
    Order,
    PeerMessage,
    Reply,
    Token, //
};
use camphordale_http::{
    OutRequest,
    Request,
    Response,
    codec::write_request, //
};
use camphordale_raft::{
    Persist,
    Recovered, //
};
use camphordale_store::{
    AtomicFile,
    Identity,
    Store, //
};
use slog::{
    info,
    warn, //
};

use crate::{
    adapter::{
        CallKind,
        ProtocolAdapter, //
    },
    client_connection::ExpectedResponse,
    event_loop::{
        ConnId,
        Exchange,
        ExchangeError,
        IoEvent,
        ListenerKind, //
    },
    process::{
        ProcessError,
        Shared,
        system, //
    },
    settings::{
        ControlSettings,
        Settings,
        SettingsError, //
    },
};

/// Path of the audit trail on the metrics address.
const AUDIT_PATH: &str = "/changes";
/// Time between two ticks of the reducer; elections and renewals need no finer one.
const TICK: Duration = Duration::from_millis(20);
/// Pause before the storage is opened again after a failure.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// Connections to one target for orders: one for grants, one for a release that waits.
const ORDER_CONNECTIONS: usize = 3;
/// File with the control VMs that this one knows.
const BOOK_FILE: &str = "members";

/// A call that awaits its reply.
struct Waiting {
    conn: ConnId,
    kind: CallKind,
    path: Box<str>,
}

/// A control VM.
pub struct ControlProcess<Adapter> {
    settings: Settings,
    own: ControlSettings,
    adapter: Adapter,
    control: Control,
    store: Option<Store>,
    failed: Option<Duration>,
    calls: HashMap<Token, Waiting>,
    orders: HashMap<CallId, Order>,
    next_token: Token,
    next_tick: Duration,
}

/// Id of a founding member: all that found the group must agree on it without talking.
fn founding_id(address: std::net::SocketAddr) -> u64 {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u128::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip),
    };
    // Random ids have the highest bit, so the two kinds never meet.
    ((ip << 16 | u128::from(address.port())) as u64) & (u64::MAX >> 1)
}

fn member_at(settings: &Settings, control: std::net::SocketAddr) -> Member {
    Member {
        id: founding_id(control),
        peer: settings.peer_address(control),
        control,
        domain: "".into(),
    }
}

struct Opened {
    control: Control,
    store: Store,
    founded: bool,
}

/// Opens the durable state and starts the reducer from it.
fn open(settings: &Settings, own: &ControlSettings) -> Result<Opened, ProcessError> {
    std::fs::create_dir_all(&own.data_dir).map_err(system("create the data directory"))?;
    let seeds = settings.seeds.iter().map(|seed| member_at(settings, *seed));
    let seeds: Vec<Member> = seeds.collect();
    let founder = own.bootstrap && settings.seeds.contains(&own.control_address);
    let (mut store, mut recovered) = Store::open(&own.data_dir)?;
    let is_blank = recovered == Recovered::default();
    let fresh = if founder && is_blank {
        founding_id(own.control_address)
    } else {
        rand::random::<u64>() | (1 << 63)
    };
    let id = Identity::open(&own.data_dir, fresh)?.member;
    let founded = founder && is_blank && id == founding_id(own.control_address);
    if founded {
        let state = |error: postcard::Error| ProcessError::State(error.to_string().into());
        recovered = Control::found(seeds.clone()).map_err(state)?;
        store.persist(&Persist {
            snapshot: recovered.snapshot.clone(),
            ..Persist::default()
        })?;
    }
    let book = AtomicFile::<Vec<Member>>::new(own.data_dir.join(BOOK_FILE));
    let mut known = seeds;
    known.extend(book.read()?.unwrap_or_default());
    let tuning = &settings.tuning;
    let config = Config {
        me: Member {
            id,
            peer: settings.peer_address(own.control_address),
            control: own.control_address,
            domain: settings.domain.clone(),
        },
        voters: 2 * own.tolerated_failures + 1,
        hold: tuning.key_lease.min(own.max_lease),
        election: tuning.election,
        lease: tuning.leader_lease,
        heartbeat: tuning.heartbeat,
        target_silence: tuning.target_silence,
        member_silence: tuning.member_silence,
        apply_wait: tuning.apply_wait,
        seed: rand::random(),
    };
    let control = Control::new(config, recovered, known)
        .map_err(|error| ProcessError::State(error.to_string().into()))?;
    Ok(Opened {
        control,
        store,
        founded,
    })
}

impl<Adapter> ControlProcess<Adapter>
where
    Adapter: ProtocolAdapter,
{
    pub(crate) fn start(
        settings: &Settings,
        own: ControlSettings,
        adapter: Adapter,
        shared: &mut Shared,
    ) -> Result<Self, ProcessError> {
        let peers = settings.peer_address(own.control_address);
        let metrics = (settings.ip, settings.metrics_port).into();
        for (address, listener_kind) in [
            (own.control_address, ListenerKind::Control),
            (peers, ListenerKind::Peers),
            (metrics, ListenerKind::Metrics),
        ] {
            shared
                .event_loop
                .listen(address, listener_kind)
                .map_err(system(format!("listen on {address}")))?;
        }
        let opened = open(settings, &own)?;
        info!(shared.logger, "state opened"; "founded" => opened.founded,
            "bytes" => opened.store.size());
        Ok(ControlProcess {
            settings: settings.clone(),
            own,
            adapter,
            control: opened.control,
            store: Some(opened.store),
            failed: None,
            calls: HashMap::new(),
            orders: HashMap::new(),
            next_token: 0,
            next_tick: Duration::ZERO,
        })
    }

    pub(crate) fn run<Reload>(
        &mut self,
        shared: &mut Shared,
        reload: Reload,
    ) -> Result<(), ProcessError>
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        while !shared.signals.stop() {
            let incoming = shared
                .event_loop
                .wait(self.next_tick)
                .map_err(system("wait"))?;
            for event in incoming {
                self.incoming(event, shared);
            }
            let now = shared.clock.now();
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                self.reopen(now, shared);
                self.step(Event::Tick, shared);
                shared.tend_logs(now);
            }
            self.reload(now, shared, &reload);
        }
        Ok(())
    }

    fn reload<Reload>(&mut self, now: Duration, shared: &mut Shared, reload: &Reload)
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        let Some(settings) = shared.reload(now, reload) else {
            return;
        };
        if settings.seeds == self.settings.seeds {
            return;
        }
        self.settings.seeds.clone_from(&settings.seeds);
        let seeds = settings.seeds.iter();
        let book = seeds.map(|seed| member_at(&settings, *seed)).collect();
        self.step(Event::Peer(PeerMessage::Book(book)), shared);
        info!(shared.logger, "seeds changed"; "seeds" => settings.seeds.len());
    }

    fn incoming(&mut self, event: IoEvent, shared: &mut Shared) {
        match event {
            IoEvent::Request {
                conn,
                listener_kind: ListenerKind::Control,
                request,
            } => self.call(conn, &request, shared),
            IoEvent::Request { conn, request, .. } => {
                let response = match &*request.path {
                    AUDIT_PATH => self.audit_trail(shared),
                    _ => shared.scrape(&request),
                };
                shared.event_loop.respond(conn, &response);
            }
            IoEvent::PeerMessage { conn, message } => match message {
                PeerMessage::Raft { .. } | PeerMessage::Book(_) | PeerMessage::Join(_) => {
                    self.step(Event::Peer(message), shared);
                }
                message => self.step(Event::Stream { conn, message }, shared),
            },
            IoEvent::PeerClosed(conn) => self.step(Event::StreamEnded(conn), shared),
            IoEvent::ExchangeEnded { id, result } => self.ordered(id, result, shared),
            IoEvent::CallerDisconnected(_) => {}
        }
    }

    /// The accepted changes as far as this member knows them, as JSON, oldest first.
    fn audit_trail(&self, shared: &Shared) -> Response {
        match serde_json::to_vec(&self.control.state().history) {
            Ok(body) => Response::new(200, body).with("Content-Type", "application/json"),
            Err(error) => {
                warn!(shared.logger, "audit trail has no encoding"; "error" => error.to_string());
                Response::text(500, "audit trail has no encoding")
            }
        }
    }

    fn call(&mut self, conn: ConnId, request: &Request, shared: &mut Shared) {
        let mut call = match self.adapter.parse_call(request) {
            Ok(call) => call,
            Err(response) => {
                shared.metrics.event("unreadable-call");
                if shared.may_log("unreadable call") {
                    info!(shared.logger, "call cannot be read"; "path" => &*request.path,
                        "status" => response.status);
                }
                return shared.event_loop.respond(conn, &response);
            }
        };
        if let Call::Change(change) = &mut call {
            change.received = camphordale_clock::unix_ms();
        }
        let kind = match &call {
            Call::Change(_) | Call::Read => CallKind::Routing,
            Call::Announce(_) | Call::Leave { .. } => CallKind::Target,
        };
        self.next_token += 1;
        let token = self.next_token;
        let path = request.path.clone();
        self.calls.insert(token, Waiting { conn, kind, path });
        self.step(Event::Call { token, call }, shared);
    }

    fn reply(&self, waiting: &Waiting, reply: &Reply, shared: &mut Shared) {
        let Waiting { conn, kind, path } = waiting;
        let response = self
            .adapter
            .call_response(*kind, path, reply, self.own.control_address);
        shared.event_loop.respond(*conn, &response);
    }

    fn ordered(
        &mut self,
        call: CallId,
        result: Result<Response, ExchangeError>,
        shared: &mut Shared,
    ) {
        let Some(order) = self.orders.remove(&call) else {
            return;
        };
        let answer = match result {
            Ok(response) => self.adapter.parse_answer(&order, &response),
            Err(failure) => Answer::Lost { sent: failure.sent },
        };
        self.step(Event::Answered { call, answer }, shared);
    }

    fn step(&mut self, event: Event, shared: &mut Shared) {
        let effects = self.control.step(event, shared.clock.now());
        self.carry_out(effects, shared);
    }

    fn carry_out(&mut self, effects: Vec<Effect>, shared: &mut Shared) {
        let mut unsent = Vec::new();
        for effect in effects {
            match effect {
                Effect::Persist(persist) => {
                    if !self.persist(&persist, shared) {
                        // What follows relies on what could not be made durable.
                        return;
                    }
                }
                Effect::Send { to, message } => shared.event_loop.send_to(to, &message),
                Effect::Stream { conn, message } => shared.event_loop.send(conn, &message),
                Effect::CloseStream(conn) => shared.event_loop.close(conn),
                Effect::Reply { token, reply } => {
                    if let Some(waiting) = self.calls.remove(&token) {
                        self.reply(&waiting, &reply, shared);
                    }
                }
                Effect::Order { dispatch, before } => {
                    let now = shared.clock.now();
                    if now >= before {
                        // Another leader may exist by now; the order must not leave.
                        let answer = Answer::Lost { sent: false };
                        let call = dispatch.call;
                        self.step(Event::Answered { call, answer }, shared);
                        continue;
                    }
                    let request = self.adapter.order_request(&dispatch.order);
                    let out = OutRequest {
                        method: request.method,
                        path: &request.path,
                        headers: &request.headers,
                        body: &request.body,
                    };
                    let mut bytes = Vec::new();
                    if let Err(part) = write_request(&mut bytes, &out, dispatch.address) {
                        warn!(shared.logger, "order has no encoding"; "part" => part);
                        unsent.push(dispatch.call);
                        continue;
                    }
                    self.orders.insert(dispatch.call, dispatch.order);
                    shared.event_loop.exchange(Exchange {
                        id: dispatch.call,
                        address: dispatch.address,
                        bytes,
                        expected: ExpectedResponse::default(),
                        connections: ORDER_CONNECTIONS,
                        deadline: dispatch.limit,
                    });
                }
                Effect::KeepBook(members) => {
                    let file = AtomicFile::new(self.own.data_dir.join(BOOK_FILE));
                    if let Err(error) = file.write(&members)
                        && shared.may_log("book")
                    {
                        warn!(shared.logger, "members not kept"; "error" => error.to_string());
                    }
                }
                Effect::Note(note) => note_change(&note, shared),
            }
        }
        for call in unsent {
            let answer = Answer::Lost { sent: false };
            self.step(Event::Answered { call, answer }, shared);
        }
    }

    fn persist(&mut self, persist: &Persist, shared: &mut Shared) -> bool {
        let result = match &mut self.store {
            Some(store) => store.persist(persist),
            None => return false,
        };
        let Err(error) = result else {
            return true;
        };
        warn!(shared.logger, "storage failed"; "error" => error.to_string());
        shared.metrics.event("storage-failed");
        let now = shared.clock.now();
        self.store = None;
        self.failed = Some(now);
        let effects = self.control.storage_failed(now);
        self.carry_out(effects, shared);
        false
    }

    /// After a failure of the storage, starts again from what is durable.
    fn reopen(&mut self, now: Duration, shared: &mut Shared) {
        let Some(since) = self.failed else { return };
        if now < since + REOPEN_PAUSE {
            return;
        }
        self.failed = Some(now);
        match open(&self.settings, &self.own) {
            Ok(opened) => {
                self.control = opened.control;
                self.store = Some(opened.store);
                self.failed = None;
                for waiting in std::mem::take(&mut self.calls).into_values() {
                    self.reply(&waiting, &Reply::Unavailable("storage failed"), shared);
                }
                info!(shared.logger, "storage opened again");
            }
            Err(error) => {
                if shared.may_log("reopen") {
                    warn!(shared.logger, "storage not opened"; "error" => error.to_string());
                }
            }
        }
    }
}

fn note_change(note: &Note, shared: &mut Shared) {
    let kind = match note {
        Note::Role { .. } => "role",
        Note::Change { .. } => "change",
        Note::Target { .. } => "target",
        Note::Assigned { .. } => "assigned",
        Note::Moving { .. } => "moving",
        Note::Order { .. } => "order",
        Note::Members { .. } => "members",
        Note::Entries(_) => "entries",
        Note::Codec(_) => "codec",
    };
    shared.metrics.event(kind);
    if !shared.may_log(kind) {
        return;
    }
    let logger = &shared.logger;
    match note {
        Note::Role {
            leads,
            term,
            leader,
        } => info!(logger, "role"; "leads" => leads, "term" => term, "leader" => leader),
        Note::Change {
            base,
            version,
            outcome,
        } => info!(logger, "change decided"; "base" => base, "version" => version,
            "outcome" => format!("{outcome:?}")),
        Note::Target { id, born, change } => {
            info!(logger, "target"; "target" => &**id, "born" => born, "state" => change);
        }
        Note::Assigned { service, span } => info!(logger, "keys assigned";
            "service" => &**service, "from" => span.from, "to" => span.to,
            "target" => span.holder.as_ref().map_or("-", |holder| &*holder.id),
            "handover" => span.handover.is_some()),
        Note::Moving {
            service,
            range,
            next,
        } => info!(logger, "keys begin to move"; "service" => &**service,
            "from" => range.0, "to" => range.1, "target" => &*next.id),
        Note::Order { holder, answer } => info!(logger, "order not carried out";
            "target" => &*holder.id, "answer" => format!("{answer:?}")),
        Note::Members { voters, learners } => info!(logger, "members";
            "voters" => format!("{voters:?}"), "learners" => format!("{learners:?}")),
        Note::Entries(count) => info!(logger, "entry VMs"; "count" => count),
        Note::Codec(what) => warn!(logger, "codec"; "what" => what),
    }
}
