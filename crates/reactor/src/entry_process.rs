//! An entry VM: callers on one side, targets on the other.

use std::{
    collections::HashMap,
    time::Duration, //
};

use camphordale_entry::{
    Answer,
    Arrival,
    AttemptId,
    Config,
    Decision,
    Effect,
    Entry,
    Event,
    FlowId,
    LinkEffect,
    Note,
    Verdict, //
};
use camphordale_http::{
    OutRequest,
    Request,
    Response,
    codec::write_request, //
};
use slog::{
    Logger,
    info,
    warn, //
};

use crate::{
    adapter::{
        CallerFields,
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
        EntrySettings,
        Settings,
        SettingsError, //
    },
};

/// Time between two ticks of the reducer while no request has a timer.
const TICK: Duration = Duration::from_millis(100);
/// After the request to stop, how long new connections are taken, until nobody sends them here.
const LAST_CALLERS: Duration = Duration::from_millis(2600);
/// Time kept free before the process would be killed.
const GRACE_SLACK: Duration = Duration::from_millis(300);
/// An answer that comes this long after its deadline is given up by the socket too.
const LATE_SLACK: Duration = Duration::from_millis(200);

/// A request under way.
struct Live {
    conn: ConnId,
    request: Request,
    fields: CallerFields,
    arrived: Duration,
}

/// An entry VM.
pub struct EntryProcess<Adapter> {
    entry: Entry,
    adapter: Adapter,
    live: HashMap<FlowId, Live>,
    flows: HashMap<ConnId, FlowId>,
    answers: HashMap<AttemptId, Response>,
    link: Option<ConnId>,
    next_flow: FlowId,
    next_tick: Duration,
    stopping: Option<Duration>,
    grace: Duration,
    version: u64,
}

impl<Adapter> EntryProcess<Adapter>
where
    Adapter: ProtocolAdapter,
{
    pub(crate) fn start(
        settings: &Settings,
        own: &EntrySettings,
        adapter: Adapter,
        shared: &mut Shared,
    ) -> Result<Self, ProcessError> {
        let event_loop = &mut shared.event_loop;
        let metrics = (settings.ip, settings.metrics_port).into();
        for (address, listener_kind) in [
            (own.caller_address, ListenerKind::Callers),
            (own.readiness_address, ListenerKind::Readiness),
            (metrics, ListenerKind::Metrics),
        ] {
            event_loop
                .listen(address, listener_kind)
                .map_err(system(format!("listen on {address}")))?;
        }
        let config = Config {
            entry: rand::random(),
            domain: settings.domain.clone(),
            seeds: settings.seed_peers(),
            retry_ratio: own.retry_ratio,
            retry_extra: own.retry_extra,
            drain: own.drain_timeout / 2,
            seed: rand::random(),
        };
        Ok(EntryProcess {
            entry: Entry::new(config),
            adapter,
            live: HashMap::new(),
            flows: HashMap::new(),
            answers: HashMap::new(),
            link: None,
            next_flow: 0,
            next_tick: Duration::ZERO,
            stopping: None,
            grace: own.grace_period,
            version: 0,
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
        loop {
            let until = self.next_tick.min(self.entry.next_due());
            let incoming = shared.event_loop.wait(until).map_err(system("wait"))?;
            let now = shared.clock.now();
            for event in incoming {
                self.incoming(event, now, shared);
            }
            if now >= self.next_tick || now >= self.entry.next_due() {
                if now >= self.next_tick {
                    self.next_tick = now + TICK;
                }
                self.step(Event::Tick, now, shared);
                let ends = self.stopping.is_some() || self.entry.sends_away(now);
                shared.event_loop.end_connections(ends);
                shared.tend_logs(now);
            }
            self.reload(now, shared, &reload);
            if self.has_ended(now, shared) {
                return Ok(());
            }
        }
    }

    fn reload<Reload>(&mut self, now: Duration, shared: &mut Shared, reload: &Reload)
    where
        Reload: Fn() -> Result<Settings, SettingsError>,
    {
        if let Some(settings) = shared.reload(now, reload) {
            self.entry.set_seeds(settings.seed_peers());
        }
    }

    /// After the request to stop, the VM first says that it is not ready and goes on serving, then
    /// ends when nothing is under way.
    fn has_ended(&mut self, now: Duration, shared: &mut Shared) -> bool {
        if !shared.signals.stop() {
            return false;
        }
        let since = *self.stopping.get_or_insert_with(|| {
            info!(shared.logger, "stopping"; "requests" => self.live.len());
            shared.event_loop.end_connections(true);
            self.entry.stop();
            now
        });
        if now < since + LAST_CALLERS {
            return false;
        }
        shared.event_loop.close_idle_callers();
        let over = now + GRACE_SLACK >= since + self.grace;
        over || (self.live.is_empty() && shared.event_loop.callers() == 0)
    }

    fn incoming(&mut self, event: IoEvent, now: Duration, shared: &mut Shared) {
        match event {
            IoEvent::Request {
                conn,
                listener_kind: ListenerKind::Callers,
                request,
            } => self.request(conn, request, now, shared),
            IoEvent::Request {
                conn,
                listener_kind,
                request,
            } => {
                let response = match listener_kind {
                    ListenerKind::Metrics => shared.scrape(&request),
                    _ if !self.adapter.is_readiness_probe(&request) => {
                        Response::text(404, "not found")
                    }
                    _ if self.entry.is_ready(now) && self.stopping.is_none() => {
                        Response::text(200, "ready")
                    }
                    _ => Response::text(503, "not ready"),
                };
                shared.event_loop.respond(conn, &response);
            }
            IoEvent::CallerDisconnected(conn) => {
                if let Some(flow) = self.flows.remove(&conn) {
                    self.step(Event::CallerGone(flow), now, shared);
                }
            }
            IoEvent::ExchangeEnded { id, result } => self.exchanged(id, result, now, shared),
            IoEvent::PeerMessage { conn, message } if self.link == Some(conn) => {
                self.step(Event::Stream(message), now, shared);
            }
            IoEvent::PeerClosed(conn) if self.link == Some(conn) => {
                self.link = None;
                self.step(Event::StreamEnded, now, shared);
            }
            IoEvent::PeerMessage { .. } | IoEvent::PeerClosed(_) => {}
        }
    }

    fn request(&mut self, conn: ConnId, request: Request, now: Duration, shared: &mut Shared) {
        let Some(fields) = self.adapter.caller_fields(&request) else {
            shared.metrics.refused("malformed");
            let response = Response::text(400, "a header field cannot be read");
            shared.event_loop.respond(conn, &response);
            return;
        };
        self.next_flow += 1;
        let flow = self.next_flow;
        let arrival = Arrival {
            flow,
            host: request.header("host").unwrap_or_default().into(),
            path: request.path.clone(),
            patience: fields.caller_timeout,
            key: fields.key,
        };
        self.flows.insert(conn, flow);
        self.live.insert(
            flow,
            Live {
                conn,
                request,
                fields,
                arrived: now,
            },
        );
        self.step(Event::Request(arrival), now, shared);
    }

    fn exchanged(
        &mut self,
        id: AttemptId,
        result: Result<Response, ExchangeError>,
        now: Duration,
        shared: &mut Shared,
    ) {
        let answer = match result {
            Ok(response) => {
                let reply = self.adapter.target_fields(&response);
                let (status, load) = (response.status, reply.load);
                if reply.not_executed {
                    Answer::NotExecuted { status, load }
                } else {
                    self.answers.insert(id, response);
                    Answer::Complete { status, load }
                }
            }
            Err(failure) => {
                if shared.may_log("attempt") {
                    info!(shared.logger, "attempt failed"; "attempt" => id,
                        "reason" => &*failure.reason, "sent" => failure.sent);
                }
                Answer::Failed {
                    sent: failure.sent,
                    spoke: failure.received,
                }
            }
        };
        let attempt = id;
        self.step(Event::Answered { attempt, answer }, now, shared);
    }

    fn step(&mut self, event: Event, now: Duration, shared: &mut Shared) {
        let mut unsent = Vec::new();
        for effect in self.entry.step(event, now) {
            match effect {
                Effect::Send {
                    attempt,
                    flow,
                    target,
                    address,
                    deadline,
                    connections,
                } => {
                    let Some(live) = self.live.get(&flow) else {
                        continue;
                    };
                    let left = deadline.saturating_sub(shared.clock.now());
                    let headers = self.adapter.forward_headers(&live.request, &target, left);
                    let request = OutRequest {
                        method: &live.request.method,
                        path: &live.request.path,
                        headers: &headers,
                        body: &live.request.body,
                    };
                    let mut bytes = Vec::new();
                    if let Err(part) = write_request(&mut bytes, &request, address) {
                        warn!(shared.logger, "request has no encoding"; "part" => part);
                        unsent.push((attempt, part));
                        continue;
                    }
                    let request_id = live.fields.id.clone();
                    let request_id_header = self.adapter.request_id_header();
                    shared.event_loop.exchange(Exchange {
                        id: attempt,
                        address,
                        bytes,
                        expected: ExpectedResponse {
                            request_id: request_id.map(|id| (request_id_header.into(), id)),
                            is_head: &*live.request.method == "HEAD",
                        },
                        connections,
                        deadline: deadline + LATE_SLACK,
                    });
                }
                Effect::Cancel(attempt) => shared.event_loop.abort(attempt),
                Effect::Discard(attempt) => {
                    self.answers.remove(&attempt);
                }
                Effect::Pass {
                    flow,
                    attempt,
                    decision,
                    late,
                } => {
                    self.log_answer(&decision, late, shared);
                    let response = self.answers.remove(&attempt);
                    let (Some(live), Some(response)) = (self.live.remove(&flow), response) else {
                        continue;
                    };
                    self.flows.remove(&live.conn);
                    let took = now.saturating_sub(live.arrived);
                    let service = decision.service.as_deref().unwrap_or("-");
                    let queued = decision.queued;
                    shared
                        .metrics
                        .answered(service, response.status, queued, took);
                    shared.event_loop.respond(live.conn, &response);
                }
                Effect::Refuse { flow, refusal } => {
                    if let Some(live) = self.live.remove(&flow) {
                        self.flows.remove(&live.conn);
                        let response = self.adapter.refusal_response(refusal, &live.fields);
                        shared.event_loop.respond(live.conn, &response);
                    }
                }
                Effect::Link(effect) => self.link(effect, shared),
                Effect::Note(note) => self.note(note, shared),
            }
        }
        for (attempt, part) in unsent {
            let failure = ExchangeError {
                sent: false,
                received: false,
                reason: part.into(),
            };
            self.exchanged(attempt, Err(failure), now, shared);
        }
        self.sweep();
    }

    /// Forgets requests that the reducer has ended without an answer, because their caller left.
    fn sweep(&mut self) {
        if self.live.len() > self.entry.flows() {
            let entry = &self.entry;
            self.live.retain(|flow, _| entry.has_flow(*flow));
        }
    }

    fn link(&mut self, effect: LinkEffect, shared: &mut Shared) {
        match effect {
            LinkEffect::Connect(to) => {
                self.close_link(shared);
                self.link = shared.event_loop.dial(to);
            }
            LinkEffect::Send(message) => {
                if let Some(link) = self.link {
                    shared.event_loop.send(link, &message);
                }
            }
            LinkEffect::Close => self.close_link(shared),
        }
    }

    fn close_link(&mut self, shared: &mut Shared) {
        if let Some(link) = self.link.take() {
            shared.event_loop.close(link);
        }
    }

    fn note(&mut self, note: Note, shared: &mut Shared) {
        match note {
            Note::Refused(decision) => {
                shared.metrics.refused(decision.verdict.name());
                if shared.may_log("refused") {
                    self.log_decision(&shared.logger, "refused", &decision);
                }
            }
            Note::Repeated(decision) => {
                shared.metrics.repeated(decision.verdict.name());
                if shared.may_log("repeated") {
                    self.log_decision(&shared.logger, "repeated", &decision);
                }
            }
            Note::Control { live, view } => {
                shared.metrics.event("control");
                info!(shared.logger, "stream from control"; "live" => live, "view" => view);
            }
            Note::Ready { ready, silence } => {
                shared.metrics.event("ready");
                info!(shared.logger, "readiness"; "ready" => ready,
                    "silence_ms" => silence.as_millis() as u64);
            }
            Note::Routing { version, view } => {
                shared.metrics.event("routing");
                self.version = version;
                if let Some(routing) = &self.entry.view().routing {
                    shared.event_loop.set_limits(routing.limits());
                }
                info!(shared.logger, "routing in force"; "version" => version, "view" => view);
            }
        }
    }

    /// Answers in time are counted only; a target's failure and a late answer have a line.
    fn log_answer(&self, decision: &Decision, late: bool, shared: &mut Shared) {
        let what = match decision.verdict {
            Verdict::Failure => "target failed",
            _ if late => "late",
            _ => return,
        };
        if shared.may_log(what) {
            self.log_decision(&shared.logger, what, decision);
        }
    }

    fn log_decision(&self, logger: &Logger, what: &'static str, decision: &Decision) {
        let live = self.live.get(&decision.flow);
        let id = live
            .and_then(|live| live.fields.id.as_deref())
            .unwrap_or("-");
        let seen = decision.evidence.as_ref();
        info!(logger, "{}", what;
            "report_age_ms" => seen.and_then(|seen| seen.age).map(|age| age.as_millis() as u64),
            "silent" => seen.map(|seen| seen.silent),
            "failing" => seen.map(|seen| seen.failing as f32),
            "expected_ms" => seen.map(|seen| seen.expected.as_millis() as u64),
            "load" => seen.map(|seen| seen.load as f32),
            "open" => seen.map(|seen| seen.open),
            "request" => id,
            "reason" => decision.verdict.name(),
            "service" => decision.service.as_deref().unwrap_or("-"),
            "target" => decision.target.as_deref().unwrap_or("-"),
            "attempts" => decision.attempts,
            "queued_ms" => decision.queued.as_millis() as u64,
            "age_ms" => decision.age.as_millis() as u64,
            "left_ms" => decision.left.as_millis() as u64,
            "key" => decision.key,
            "view" => decision.view,
            "version" => self.version);
    }
}
