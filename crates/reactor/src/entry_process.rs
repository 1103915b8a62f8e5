//! The process of an entry VM, which forwards requests of callers to targets.

mod log;

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use camphordale_entry::{
    AdmissionCounts,
    AttemptId,
    AttemptResult,
    Config,
    ControlStreamEffect,
    Effect,
    Entry,
    Event,
    IncomingRequest,
    RequestHandle,
    Shutdown,
    TargetStatement, //
};
use camphordale_fleet::Fingerprint;
use camphordale_http::{
    OutgoingRequest,
    Request,
    Response,
    codec::begin_request, //
};
use rustix::process::{
    Resource,
    getrlimit, //
};
use slog::{
    info,
    warn, //
};

use crate::{
    adapter::{
        CallerFields,
        ExecutionClaim,
        ProtocolAdapter,
        StatedField,
        TargetFields, //
    },
    client_connection::ExpectedResponse,
    event_loop::{
        ConnId,
        ConnectionUse,
        Exchange,
        ExchangeError,
        FailureCause,
        IdleRetention,
        IoEvent,
        ListenerKind, //
    },
    fingerprint::fingerprint,
    held_body::HeldBody,
    process::{
        ProcessContext,
        ProcessError,
        system_error, //
    },
    settings::{
        EntrySettings,
        Settings,
        SettingsError, //
    },
    target_answer::{
        RelayableResponse,
        TargetAnswer, //
    },
    turn::{
        TurnTimes,
        Work, //
    },
};

/// Interval between ticks of the reducer while no request has an earlier deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the evacuation time in which no request is sent any more to the holder of its key: the
/// update may take as long to reach this VM as a request to reach the target.
const EVACUATION_MARGIN: Duration = Duration::from_secs(1);
/// Time before the end of the process from which responses are written out without pacing.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Time after the deadline of an attempt at which its exchange fails too.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);

/// File descriptors that the process is assumed to have if they are not limited.
const UNLIMITED_DESCRIPTORS: usize = 4096;

/// File descriptors that the process may have open.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.and_then(|limit| usize::try_from(limit).ok());
    limit.map_or(UNLIMITED_DESCRIPTORS, |limit| {
        limit.min(UNLIMITED_DESCRIPTORS)
    })
}

/// A request of a caller that has no response yet.
struct ActiveRequest {
    conn: ConnId,
    /// The request without its body.
    request: Request,
    body: Arc<HeldBody>,
    fields: CallerFields,
    fingerprint: Fingerprint,
    arrived_at: Duration,
}

/// The process of an entry VM.
pub struct EntryProcess<Adapter> {
    entry: Entry,
    adapter: Adapter,
    requests: HashMap<RequestHandle, ActiveRequest>,
    by_conn: HashMap<ConnId, RequestHandle>,
    responses: HashMap<AttemptId, RelayableResponse>,
    control_stream: Option<ConnId>,
    next_handle: RequestHandle,
    next_tick: Duration,
    shutdown: Option<Shutdown>,
    grace_period: Duration,
    routing_version: u64,
    turn: TurnTimes,
    /// File descriptors that the process may have open.
    descriptors: usize,
}

impl<Adapter> EntryProcess<Adapter>
where
    Adapter: ProtocolAdapter,
{
    pub(crate) fn start(
        settings: &Settings,
        role_settings: &EntrySettings,
        adapter: Adapter,
        context: &mut ProcessContext,
    ) -> Result<Self, ProcessError> {
        let event_loop = &mut context.event_loop;
        let metrics = (settings.ip, settings.metrics_port).into();
        for (address, listener_kind) in [
            (role_settings.caller_address, ListenerKind::Callers),
            (role_settings.readiness_address, ListenerKind::Readiness),
            (metrics, ListenerKind::Metrics),
        ] {
            event_loop
                .listen(address, listener_kind)
                .map_err(system_error(format!("listen on {address}")))?;
        }
        let config = Config {
            entry_id: rand::random(),
            domain: settings.domain.clone(),
            seeds: settings.seed_peers(),
            retry_ratio: role_settings.retry_ratio,
            retry_extra: role_settings.retry_extra,
            drain_grace: role_settings.drain_timeout / 2,
            admission: settings.tuning.admission,
            evacuation_grace: role_settings
                .evacuation_timeout
                .saturating_sub(EVACUATION_MARGIN),
            warm_up: settings.warm_up,
            link_rate: settings.link_rate,
            seed: rand::random(),
        };
        Ok(EntryProcess {
            entry: Entry::new(config),
            adapter,
            requests: HashMap::new(),
            by_conn: HashMap::new(),
            responses: HashMap::new(),
            control_stream: None,
            next_handle: 0,
            next_tick: Duration::ZERO,
            shutdown: None,
            grace_period: role_settings.grace_period,
            routing_version: 0,
            turn: TurnTimes::default(),
            descriptors: descriptor_limit(),
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
        loop {
            let until = self.next_tick.min(self.entry.next_deadline());
            let events = context
                .event_loop
                .wait(until)
                .map_err(system_error("wait"))?;
            let now = context.clock.now();
            for event in events {
                self.on_io_event(event, now, context);
            }
            if now >= self.next_tick || now >= self.entry.next_deadline() {
                if now >= self.next_tick {
                    self.next_tick = now + TICK_INTERVAL;
                }
                self.step(Event::Tick, now, context);
                let closing = self.shutdown.is_some() || self.entry.should_close_connections(now);
                context.event_loop.set_close_after_response(closing);
                let retention = match self.entry.is_contended() {
                    true => IdleRetention::Stated {
                        descriptors: self.descriptors,
                    },
                    false => IdleRetention::Short,
                };
                context.event_loop.set_idle_retention(retention);
                context.flush_logs(now);
            }
            self.turn.end(context);
            self.reload(now, context, &reload);
            if self.is_shut_down(now, context) {
                return Ok(());
            }
        }
    }

    fn reload<Reload>(&mut self, now: Duration, context: &mut ProcessContext, reload: &Reload)
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        if let Some(settings) = context.reload(now, reload) {
            self.entry.set_seeds(settings.seed_peers());
        }
    }

    /// Whether the process can end. After a termination signal the VM first reports that it is not
    /// ready and continues to serve, then ends when no request is in progress or the grace period
    /// is nearly over.
    fn is_shut_down(&mut self, now: Duration, context: &mut ProcessContext) -> bool {
        if !context.signals.stop_requested() {
            return false;
        }
        let shutdown = *self.shutdown.get_or_insert_with(|| {
            info!(context.logger, "stopping"; "requests" => self.requests.len());
            context.event_loop.set_close_after_response(true);
            let shutdown = Shutdown::new(now, self.grace_period);
            self.entry.begin_shutdown(shutdown);
            shutdown
        });
        if now < shutdown.notice_ends {
            return false;
        }
        context.event_loop.close_idle_callers();
        if now + FLUSH_TIME >= shutdown.ends_at {
            context.event_loop.write_out_responses();
        }
        let is_idle = self.requests.is_empty() && context.event_loop.caller_connections() == 0;
        is_idle || now >= shutdown.ends_at
    }

    /// Publishes the admissions by class, where admission control decides.
    fn measure_admissions(&self, context: &ProcessContext) {
        let counts = self.entry.admission_counts();
        if counts == AdmissionCounts::default() {
            return;
        }
        for (kind, count) in [
            ("admitted-in-time", counts.in_time),
            ("admitted-late", counts.late),
            ("admitted-guaranteed", counts.guaranteed),
        ] {
            context.metrics.set_gauge(kind, count);
        }
    }

    fn on_io_event(&mut self, event: IoEvent, now: Duration, context: &mut ProcessContext) {
        match event {
            IoEvent::Request {
                conn,
                listener_kind: ListenerKind::Callers,
                request,
            } => self.on_request(conn, request, now, context),
            IoEvent::Request {
                conn,
                listener_kind,
                request,
            } => {
                let response = match listener_kind {
                    ListenerKind::Metrics => {
                        let evacuated = self.entry.view().evacuations.evacuated().count();
                        let metrics = &context.metrics;
                        metrics.set_gauge("evacuated-domains", evacuated as u64);
                        let (received, length) = self.entry.transfer_progress();
                        metrics.set_gauge("transfer-received-bytes", received as u64);
                        metrics.set_gauge(
                            "transfer-missing-bytes",
                            length.saturating_sub(received) as u64,
                        );
                        metrics.set_gauge("routing-version", self.routing_version);
                        self.measure_admissions(context);
                        context.metrics_response(&request)
                    }
                    _ if !self.adapter.is_readiness_probe(&request) => {
                        Response::text(404, "not found")
                    }
                    _ if self.entry.is_ready(now) && self.shutdown.is_none() => {
                        Response::text(200, "ready")
                    }
                    _ => Response::text(503, "not ready"),
                };
                context.event_loop.respond(conn, &response);
            }
            IoEvent::ClientDisconnected(conn) => {
                if let Some(handle) = self.by_conn.remove(&conn) {
                    self.step(Event::CallerDisconnected(handle), now, context);
                }
            }
            IoEvent::ExchangeEnded { id, result, reused } => {
                if let Ok(response) = &result {
                    self.log_refusal(id, response, reused, context);
                }
                self.on_exchange_ended(id, result, now, context)
            }
            IoEvent::PeerMessage { conn, message } if self.control_stream == Some(conn) => {
                self.step(Event::Stream(message), now, context);
            }
            IoEvent::PeerProgress(conn) if self.control_stream == Some(conn) => {
                self.step(Event::StreamProgress, now, context);
            }
            IoEvent::PeerClosed { conn, rejected } if self.control_stream == Some(conn) => {
                self.control_stream = None;
                let event = match rejected {
                    true => Event::StreamRejected,
                    false => Event::StreamClosed,
                };
                self.step(event, now, context);
            }
            IoEvent::PeerMessage { .. } | IoEvent::PeerProgress(_) | IoEvent::PeerClosed { .. } => {
            }
        }
    }

    fn on_request(
        &mut self,
        conn: ConnId,
        mut request: Request,
        now: Duration,
        context: &mut ProcessContext,
    ) {
        let Some(fields) = self.adapter.caller_fields(&request) else {
            context.metrics.count_refusal("malformed");
            let response = Response::text(400, "a header field cannot be read");
            context.event_loop.respond(conn, &response);
            return;
        };
        let fingerprint = fingerprint(&request, fields.key);
        let body = std::mem::take(&mut request.body);
        let body = context.event_loop.hold_body(conn, body);
        self.next_handle += 1;
        let handle = self.next_handle;
        let incoming = IncomingRequest {
            handle,
            host: request.header("host").unwrap_or_default().into(),
            path: request.path.clone(),
            caller_timeout: fields.caller_timeout,
            key: fields.key,
            fingerprint,
        };
        self.by_conn.insert(conn, handle);
        self.requests.insert(
            handle,
            ActiveRequest {
                conn,
                request,
                body,
                fields,
                fingerprint,
                arrived_at: now,
            },
        );
        self.step(Event::Request(incoming), now, context);
    }

    fn on_exchange_ended(
        &mut self,
        id: AttemptId,
        result: Result<Response, ExchangeError>,
        now: Duration,
        context: &mut ProcessContext,
    ) {
        let length = result.as_ref().map_or(0, |response| response.body.len());
        let result = match result {
            Ok(response) => {
                let fields = self.adapter.target_fields(&response);
                let (status, load) = (response.status, fields.load);
                self.on_target_fields(id, fields, now, context);
                match TargetAnswer::new(response, fields.execution, &self.adapter) {
                    TargetAnswer::NotExecuted => AttemptResult::NotExecuted { status, load },
                    TargetAnswer::Unproved => AttemptResult::Unproved { load },
                    TargetAnswer::Relayable(response) => {
                        self.responses.insert(id, response);
                        AttemptResult::Complete {
                            status,
                            load,
                            executed: fields.execution == ExecutionClaim::Executed,
                        }
                    }
                }
            }
            Err(error) => {
                context.metrics.count_failure(error.cause.name());
                if context.may_log("attempt") {
                    info!(context.logger, "attempt failed"; "attempt" => id,
                        "reason" => &*error.reason, "sent" => error.sent,
                        "cause" => error.cause.name());
                }
                AttemptResult::Failed {
                    sent: error.sent,
                    received: error.received,
                    closed: error.closed_by_target(),
                }
            }
        };
        let attempt = id;
        let event = Event::AttemptEnded {
            attempt,
            result,
            length,
        };
        self.step(event, now, context);
    }

    /// Passes on what a target states about itself.
    fn on_target_fields(
        &mut self,
        attempt: AttemptId,
        fields: TargetFields,
        now: Duration,
        context: &mut ProcessContext,
    ) {
        let malformed = [
            fields.limit == StatedField::Malformed,
            fields.leaving == StatedField::Malformed,
            fields.pause == StatedField::Malformed,
        ];
        if malformed.contains(&true) {
            context.metrics.count_event("malformed-statement");
            if context.may_log("malformed statement") {
                info!(context.logger, "statement of a target ignored as malformed";
                    "attempt" => attempt, "fields" => format!("{fields:?}"));
            }
        }
        let statement = TargetStatement {
            limit: fields.limit.valid(),
            limit_known: fields.limit != StatedField::Malformed,
            leaving: fields.leaving.valid().is_some(),
            pause: fields.pause.valid(),
        };
        self.step(Event::TargetStated { attempt, statement }, now, context);
    }

    fn step(&mut self, event: Event, now: Duration, context: &mut ProcessContext) {
        let work = match &event {
            Event::Tick => Work::Timer,
            Event::Request(_) | Event::CallerDisconnected(_) => Work::Request,
            Event::AttemptEnded { .. } | Event::TargetStated { .. } => Work::Answer,
            Event::Stream(_)
            | Event::StreamProgress
            | Event::StreamClosed
            | Event::StreamRejected => Work::Stream,
        };
        let started = context.clock.now();
        self.carry_out(event, now, context);
        self.turn.record(work, context.clock.now() - started);
    }

    /// Passes an event to the reducer and carries out its effects.
    fn carry_out(&mut self, event: Event, now: Duration, context: &mut ProcessContext) {
        let mut encode_failures = Vec::new();
        for effect in self.entry.step(event, now) {
            match effect {
                Effect::Send {
                    attempt,
                    request,
                    target,
                    address,
                    deadline,
                    connections,
                    repeated,
                } => {
                    let Some(active) = self.requests.get(&request) else {
                        continue;
                    };
                    let remaining = deadline.saturating_sub(context.clock.now());
                    let headers = self
                        .adapter
                        .forward_headers(&active.request, &target, remaining);
                    let request = OutgoingRequest {
                        method: &active.request.method,
                        path: &active.request.path,
                        headers: &headers,
                        body: &active.body,
                    };
                    let mut bytes = Vec::new();
                    let body = match begin_request(&mut bytes, &request, address) {
                        Ok(rest) => (!rest.is_empty()).then(|| active.body.clone()),
                        Err(part) => {
                            warn!(context.logger, "cannot encode the request to a target";
                                "part" => part);
                            encode_failures.push((attempt, part));
                            continue;
                        }
                    };
                    let request_id = active.fields.id.clone();
                    let has_id = request_id.is_some();
                    let request_id_header = self.adapter.request_id_header();
                    context.event_loop.start_exchange(Exchange {
                        id: attempt,
                        address,
                        bytes,
                        body,
                        expected: ExpectedResponse {
                            request_id: request_id.map(|id| (request_id_header.into(), id)),
                            success_header: Some(self.adapter.success_header()),
                            is_head: &*active.request.method == "HEAD",
                        },
                        // A request without an id needs a connection of its own too: nothing else
                        // tells the response to it from others.
                        connection: match repeated || !has_id {
                            true => ConnectionUse::Single,
                            false => ConnectionUse::Pooled { limit: connections },
                        },
                        deadline: deadline + DEADLINE_SLACK,
                    });
                }
                Effect::Cancel(attempt) => context.event_loop.abort_exchange(attempt),
                Effect::Withdraw(attempt) => context.event_loop.withdraw_exchange(attempt),
                Effect::Discard(attempt) => {
                    self.responses.remove(&attempt);
                }
                Effect::ForwardResponse {
                    request,
                    attempt,
                    decision,
                    late,
                } => {
                    self.log_outcome(&decision, late, context);
                    let response = self.responses.remove(&attempt);
                    let (Some(active), Some(response)) = (self.requests.remove(&request), response)
                    else {
                        continue;
                    };
                    let response = response.response();
                    self.by_conn.remove(&active.conn);
                    let elapsed = now.saturating_sub(active.arrived_at);
                    let service = decision.service.as_deref().unwrap_or("-");
                    let queued = decision.queued;
                    context
                        .metrics
                        .record_response(service, response.status, queued, elapsed);
                    context.event_loop.respond(active.conn, response);
                }
                Effect::Refuse { request, refusal } => {
                    if let Some(active) = self.requests.remove(&request) {
                        self.by_conn.remove(&active.conn);
                        let response = self.adapter.refusal_response(refusal, &active.fields);
                        context.event_loop.respond(active.conn, &response);
                    }
                }
                Effect::ControlStream(effect) => self.on_control_stream(effect, context),
                Effect::Log(event) => self.log_event(event, context),
            }
        }
        for (attempt, part) in encode_failures {
            let error = ExchangeError {
                sent: false,
                received: false,
                cause: FailureCause::Local,
                reason: part.into(),
            };
            self.on_exchange_ended(attempt, Err(error), now, context);
        }
        self.drop_abandoned();
    }

    /// Drops requests that the reducer ended without a response because their caller disconnected.
    fn drop_abandoned(&mut self) {
        if self.requests.len() > self.entry.active_requests() {
            let entry = &self.entry;
            self.requests.retain(|handle, _| entry.has_request(*handle));
        }
    }

    fn on_control_stream(&mut self, effect: ControlStreamEffect, context: &mut ProcessContext) {
        match effect {
            ControlStreamEffect::Connect { to, timeout } => {
                self.close_control_stream(context);
                self.control_stream = context.event_loop.connect_peer(to, timeout);
            }
            ControlStreamEffect::Send(message) => {
                if let Some(stream) = self.control_stream {
                    context.event_loop.send(stream, &message);
                }
            }
            ControlStreamEffect::Close => self.close_control_stream(context),
        }
    }

    fn close_control_stream(&mut self, context: &mut ProcessContext) {
        if let Some(stream) = self.control_stream.take() {
            context.event_loop.close_peer(stream);
        }
    }
}
