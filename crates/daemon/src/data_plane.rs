//! The data plane: serves requests of callers and requests forwarded by other VMs.
//!
//! The thread that received a request executes the router's effects for it.

use std::{
    collections::HashMap,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError,
        RwLock, //
    },
    time::Duration,
};

use camphordale_domain::{
    Command,
    Outcome,
    StoredResponse, //
};
use camphordale_http::{
    ClientError,
    ClientErrorKind,
    Conn,
    OutgoingRequest,
    Pool,
    Request as HttpRequest,
    Response, //
};
use camphordale_net::PeerClient;
use camphordale_node::{
    Call,
    DomainCall,
    DomainReply,
    ForwardedRequest,
    ForwardedResponse,
    Reply,
    SenderReport, //
};
use camphordale_route::{
    AttemptResult,
    Effect,
    Event,
    Origin,
    RecordResult,
    Request,
    Router,
    SendRequest, //
};
use camphordale_types::{
    Bundle,
    NotRun,
    Refusal,
    RequestId,
    ServiceName,
    Unknown,
    VmId, //
};

use crate::{
    Clock,
    http_messages,
    in_flight::{
        InFlightRequest,
        InFlightRequests, //
    },
    metrics::{
        Metrics,
        RequestOutcome,
        ServiceMetrics, //
    },
    node_handle::NodeHandle,
    probe::Prober,
    sync::lock, //
};

/// How long a thread waits for the router after the deadline of its request.
const ROUTER_GRACE: Duration = Duration::from_millis(500);

/// Maximum wait for the router while the deadline of a request is not known.
const MAX_ROUTER_WAIT: Duration = Duration::from_secs(610);

/// Maximum size of a response body that is stored in an idempotency record, in bytes.
const MAX_STORED_BODY: usize = 64 * 1024;

/// Configuration of the data plane.
#[derive(Clone, Debug)]
pub(crate) struct DataPlaneConfig {
    /// Source address of connections to targets; chosen by the system if absent.
    pub(crate) source_ip: Option<IpAddr>,
    /// Maximum size of a target's response, in bytes.
    pub(crate) max_response: usize,
}

/// The data plane of one VM.
pub(crate) struct DataPlane {
    config: DataPlaneConfig,
    clock: Clock,
    router: Mutex<Router>,
    in_flight: InFlightRequests,
    pool: Arc<Pool>,
    peers: Arc<PeerClient>,
    node: NodeHandle,
    prober: Prober,
    services: RwLock<ServiceTable>,
    metrics: Arc<Metrics>,
}

/// The bundle in force and the metrics of its services.
struct ServiceTable {
    bundle: Option<Bundle>,
    metrics: HashMap<ServiceName, ServiceMetrics>,
    /// Metrics of requests that match no service.
    unmatched: ServiceMetrics,
}

impl ServiceTable {
    fn new(metrics: &Metrics, bundle: &Bundle) -> Self {
        let names = bundle.services.iter().map(|service| &service.name);
        ServiceTable {
            metrics: names
                .map(|name| (name.clone(), metrics.service(name)))
                .collect(),
            bundle: Some(bundle.clone()),
            unmatched: metrics.service("none"),
        }
    }

    fn metrics_for(&self, request: &InboundRequest) -> &ServiceMetrics {
        let host = http_messages::host(&request.headers);
        self.bundle
            .as_ref()
            .and_then(|bundle| bundle.route(host.as_deref(), &request.path))
            .and_then(|service| self.metrics.get(&service.name))
            .unwrap_or(&self.unmatched)
    }
}

/// A request with its body, kept by the thread that serves it.
struct InboundRequest {
    id: RequestId,
    method: Box<str>,
    path: Box<str>,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Vec<u8>,
}

/// What follows an attempt.
enum NextStep {
    /// The request ends with this response.
    Respond(StoredResponse),
    /// The router's next effect for the request; none if the request has to wait for it.
    Effect(Option<Effect>),
}

/// How a request ended.
enum Completion {
    Response(StoredResponse),
    Refusal(Refusal),
    /// The VM to which the forwarding VM should send the request, if known.
    Redirect(Option<VmId>),
}

impl DataPlane {
    pub(crate) fn new(
        config: DataPlaneConfig,
        clock: Clock,
        router: Router,
        pool: Arc<Pool>,
        peers: Arc<PeerClient>,
        node: NodeHandle,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|data_plane| DataPlane {
            prober: Prober::new(data_plane.clone(), Arc::clone(&pool), config.source_ip),
            services: RwLock::new(ServiceTable {
                bundle: None,
                metrics: HashMap::new(),
                unmatched: metrics.service("none"),
            }),
            config,
            clock,
            router: Mutex::new(router),
            in_flight: InFlightRequests::new(),
            pool,
            peers,
            node,
            metrics,
        })
    }

    /// Serves a request of a caller.
    pub(crate) fn serve(&self, request: HttpRequest) -> Response {
        let started = self.clock.now();
        let timeout = match http_messages::caller_timeout(&request) {
            Ok(timeout) => timeout,
            Err(message) => return http_messages::bad_request(message),
        };
        let inbound = InboundRequest {
            id: rand::random(),
            method: request.method,
            path: request.path,
            headers: http_messages::request_headers(request.headers),
            body: request.body,
        };
        let completion = self.run(&inbound, Origin::Caller, timeout);
        let elapsed = self.clock.now().saturating_sub(started);
        let (outcome, response) = match completion {
            Completion::Response(response) => (
                RequestOutcome::Responded,
                http_messages::caller_response(response),
            ),
            Completion::Refusal(refusal) => (
                RequestOutcome::Refused(refusal),
                http_messages::refusal(refusal),
            ),
            // Only forwarded requests are redirected.
            Completion::Redirect(_) => {
                let refusal = Refusal::NotRun(NotRun::TooManyHops);
                (
                    RequestOutcome::Refused(refusal),
                    http_messages::refusal(refusal),
                )
            }
        };
        self.services
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .metrics_for(&inbound)
            .record(outcome, elapsed);
        response
    }

    /// Serves a request that another VM forwarded.
    pub(crate) fn serve_forwarded(
        &self,
        from: VmId,
        request: ForwardedRequest,
    ) -> ForwardedResponse {
        let inbound = InboundRequest {
            id: request.id,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
        };
        let origin = Origin::Vm {
            vm: from,
            hops: request.hops,
        };
        match self.run(&inbound, origin, Some(request.timeout)) {
            Completion::Response(response) => ForwardedResponse::Response {
                status: response.status,
                headers: response.headers,
                body: response.body,
            },
            Completion::Refusal(Refusal::NotRun(reason)) => ForwardedResponse::NotRun(reason),
            Completion::Refusal(Refusal::Unknown(reason)) => ForwardedResponse::Unknown(reason),
            Completion::Redirect(vm) => ForwardedResponse::Redirect(vm),
        }
    }

    /// Passes an event to the router and executes the effects that belong to no waiting request;
    /// the others are delivered to the threads of their requests.
    pub(crate) fn handle_router_event(&self, event: Event) {
        if let Event::Bundle(bundle) = &event {
            *self
                .services
                .write()
                .unwrap_or_else(PoisonError::into_inner) = ServiceTable::new(&self.metrics, bundle);
        }
        let effects = self.step(event);
        self.dispatch(effects, None);
    }

    /// Runs `read` on the router.
    pub(crate) fn with_router<T, F>(&self, read: F) -> T
    where
        F: FnOnce(&Router) -> T,
    {
        read(&lock(&self.router))
    }

    /// Closes pooled connections that exceed their maximum age or idle time.
    pub(crate) fn close_expired_connections(&self) {
        self.pool.close_expired();
    }

    /// Returns the number of requests that this VM has sent to targets and that have not ended.
    pub(crate) fn in_flight_at_targets(&self) -> u32 {
        let status = self.with_router(|router| router.status());
        status.targets.iter().map(|target| target.in_flight).sum()
    }

    /// Returns the number of requests that have not ended.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    fn step(&self, event: Event) -> Vec<Effect> {
        let now = self.clock.now();
        lock(&self.router).step(event, now)
    }

    fn run(
        &self,
        inbound: &InboundRequest,
        origin: Origin,
        timeout: Option<Duration>,
    ) -> Completion {
        let entry = self.in_flight.register(inbound.id);
        let request = Request {
            id: inbound.id,
            origin,
            method: inbound.method.clone(),
            host: http_messages::host(&inbound.headers),
            path: inbound.path.clone(),
            headers: inbound.headers.clone(),
            timeout,
        };
        let mut next = self.step_request(Event::Request(request), inbound.id);
        let mut deadline = self.clock.now() + timeout.unwrap_or(MAX_ROUTER_WAIT);
        let completion = loop {
            let effect = match next.take() {
                Some(effect) => effect,
                None => match entry.next_effect(self.clock.instant(deadline + ROUTER_GRACE)) {
                    Some(effect) => effect,
                    // The router refuses each waiting request at its deadline; this is the
                    // fallback if it did not.
                    None => break self.cancel(inbound.id),
                },
            };
            next = match effect {
                Effect::Send(send) => {
                    deadline = deadline.min(send.deadline);
                    match self.send_to_target(inbound, &entry, send) {
                        NextStep::Respond(response) => break Completion::Response(response),
                        NextStep::Effect(effect) => effect,
                    }
                }
                Effect::Forward {
                    vm,
                    hops,
                    deadline: attempt_deadline,
                    ..
                } => {
                    self.metrics.count_forward();
                    deadline = deadline.min(attempt_deadline);
                    match self.forward_to_vm(inbound, vm, hops, attempt_deadline) {
                        NextStep::Respond(response) => break Completion::Response(response),
                        NextStep::Effect(effect) => effect,
                    }
                }
                Effect::CreateRecord {
                    shard,
                    token,
                    key,
                    deadline: record_deadline,
                    ..
                } => {
                    let command = Command::CreateRecord {
                        shard,
                        token,
                        key,
                        request: inbound.id,
                    };
                    let result = self.create_record(command, record_deadline);
                    self.step_request(
                        Event::Recorded {
                            id: inbound.id,
                            result,
                        },
                        inbound.id,
                    )
                }
                Effect::Refuse { refusal, .. } => break Completion::Refusal(refusal),
                Effect::Replay { response, .. } => break Completion::Response(response),
                Effect::Redirect { vm, .. } => break Completion::Redirect(vm),
                _ => None,
            };
        };
        self.in_flight.remove(inbound.id);
        completion
    }

    /// Steps the router with an event of the request `id`. Returns the first effect for this
    /// request; the others are dispatched.
    fn step_request(&self, event: Event, id: RequestId) -> Option<Effect> {
        let effects = self.step(event);
        self.dispatch(effects, Some(id))
    }

    fn cancel(&self, id: RequestId) -> Completion {
        self.handle_router_event(Event::Cancel { id });
        Completion::Refusal(Refusal::Unknown(Unknown::Timeout))
    }

    /// Sends the request to a target. Returns the response, or the router's next effect.
    fn send_to_target(
        &self,
        inbound: &InboundRequest,
        entry: &InFlightRequest,
        send: SendRequest,
    ) -> NextStep {
        let deadline = self.clock.instant(send.deadline);
        let max_connections = send.connections as usize;
        let conn = match self.pool.acquire(send.address, max_connections, deadline) {
            Ok(conn) => conn,
            Err(_) => {
                return NextStep::Effect(
                    self.end_attempt(inbound.id, AttemptResult::NotRun(NotRun::Connect)),
                );
            }
        };
        // Nothing is written before `Proceed`, so an abort before it means that the request did
        // not run.
        if !entry.set_abort_handle(conn.abort_handle()) {
            entry.clear_abort_handle();
            self.pool.release(conn);
            return NextStep::Effect(
                self.end_attempt(inbound.id, AttemptResult::NotRun(NotRun::NoOwner)),
            );
        }
        match self.step_request(Event::Ready { id: inbound.id }, inbound.id) {
            Some(Effect::Proceed { .. }) => {}
            Some(Effect::Requeue { .. }) => {
                entry.clear_abort_handle();
                self.pool.release(conn);
                return NextStep::Effect(None);
            }
            None => {
                entry.clear_abort_handle();
                return NextStep::Effect(
                    self.end_attempt(inbound.id, AttemptResult::NotRun(NotRun::NoOwner)),
                );
            }
            other => {
                entry.clear_abort_handle();
                self.pool.release(conn);
                return NextStep::Effect(other);
            }
        }
        let result = self.exchange(inbound, &send, conn);
        entry.clear_abort_handle();
        match result {
            Ok(response) => {
                let stored =
                    http_messages::is_storable(&inbound.headers, &response, MAX_STORED_BODY);
                let result = AttemptResult::Responded {
                    status: response.status,
                    stored: stored.then(|| response.clone()),
                };
                self.end_attempt(inbound.id, result);
                NextStep::Respond(response)
            }
            Err(result) => NextStep::Effect(self.end_attempt(inbound.id, result)),
        }
    }

    /// Writes the request and reads the whole response.
    fn exchange(
        &self,
        inbound: &InboundRequest,
        send: &SendRequest,
        mut conn: Conn,
    ) -> Result<StoredResponse, AttemptResult> {
        let remaining = send.deadline.saturating_sub(self.clock.now());
        let headers = http_messages::target_headers(&inbound.headers, inbound.id, send, remaining);
        let request = OutgoingRequest {
            method: &inbound.method,
            path: &inbound.path,
            headers: &headers,
            body: &inbound.body,
        };
        let deadline = self.clock.instant(send.deadline);
        let response = match conn.exchange(&request, deadline, self.config.max_response) {
            Ok(response) => response,
            Err(err) => return Err(attempt_result(&err)),
        };
        // A response with another request's id means that responses on this connection no longer
        // match its requests, so the connection is closed.
        if !http_messages::has_request_id(&response, inbound.id) {
            return Err(AttemptResult::Unknown(Unknown::BadAnswer));
        }
        // The next attempt of the request has the same id, so a second copy of this refusal must not
        // meet it: the connection is closed.
        if http_messages::is_not_run(&response) {
            return Err(AttemptResult::NotRun(NotRun::Shed));
        }
        self.pool.release(conn);
        Ok(StoredResponse {
            status: response.status,
            headers: http_messages::response_headers(response.headers),
            body: response.body,
        })
    }

    /// Forwards the request to another VM. Returns the response, or the router's next effect.
    fn forward_to_vm(
        &self,
        inbound: &InboundRequest,
        vm: VmId,
        hops: u8,
        deadline: Duration,
    ) -> NextStep {
        let remaining = deadline.saturating_sub(self.clock.now());
        let call = Call::Forward(ForwardedRequest {
            id: inbound.id,
            hops,
            timeout: remaining,
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: inbound.headers.clone(),
            body: inbound.body.clone(),
        });
        let result = match self.call_vm(vm, &call, remaining) {
            Ok(Reply::Forwarded(ForwardedResponse::Response {
                status,
                headers,
                body,
            })) => {
                let response = StoredResponse {
                    status,
                    headers,
                    body,
                };
                let stored = None;
                self.end_attempt(inbound.id, AttemptResult::Responded { status, stored });
                return NextStep::Respond(response);
            }
            Ok(Reply::Forwarded(ForwardedResponse::NotRun(reason))) => {
                AttemptResult::NotRun(reason)
            }
            Ok(Reply::Forwarded(ForwardedResponse::Unknown(reason))) => {
                AttemptResult::Unknown(reason)
            }
            Ok(Reply::Forwarded(ForwardedResponse::Redirect(vm))) => AttemptResult::Redirect { vm },
            Ok(_) => AttemptResult::Unknown(Unknown::BadAnswer),
            Err(false) => AttemptResult::NotRun(NotRun::DomainUnreachable),
            Err(true) => AttemptResult::Unknown(Unknown::VmLost),
        };
        NextStep::Effect(self.end_attempt(inbound.id, result))
    }

    /// Calls another VM; the error tells whether the call may have been delivered.
    fn call_vm(&self, vm: VmId, call: &Call, timeout: Duration) -> Result<Reply, bool> {
        let address: SocketAddr = self.node.address(vm).ok_or(false)?;
        let bytes = postcard::to_stdvec(call).map_err(|_| false)?;
        let reply = self
            .peers
            .call(address, Some(vm), &bytes, timeout)
            .map_err(|err| err.maybe_delivered)?;
        postcard::from_bytes(&reply).map_err(|_| true)
    }

    /// Creates an idempotency record in the domain group.
    fn create_record(&self, command: Command, deadline: Duration) -> RecordResult {
        let remaining = deadline.saturating_sub(self.clock.now());
        match self
            .node
            .call_domain(DomainCall::Propose(command), remaining)
        {
            Some(DomainReply::Applied(Outcome::Recorded)) => RecordResult::Recorded,
            Some(DomainReply::Applied(Outcome::Replay(response))) => RecordResult::Replay(response),
            Some(DomainReply::Applied(Outcome::InProgress)) => RecordResult::InProgress,
            Some(DomainReply::Applied(Outcome::RecordsIncomplete)) => {
                RecordResult::RecordsIncomplete
            }
            Some(DomainReply::Failed {
                may_commit: true, ..
            })
            | None => RecordResult::Uncertain,
            Some(_) => RecordResult::Failed,
        }
    }

    /// Reports the end of an attempt to the router; returns its next effect for the request.
    fn end_attempt(&self, id: RequestId, result: AttemptResult) -> Option<Effect> {
        self.step_request(Event::Done { id, result }, id)
    }

    /// Executes effects. Those for requests are delivered to the threads that serve them, except
    /// that the first one for `current` is returned.
    fn dispatch(&self, effects: Vec<Effect>, current: Option<RequestId>) -> Option<Effect> {
        let mut first = None;
        for effect in effects {
            match effect {
                Effect::Send(SendRequest { id, .. })
                | Effect::Proceed { id }
                | Effect::Requeue { id }
                | Effect::Forward { id, .. }
                | Effect::Redirect { id, .. }
                | Effect::CreateRecord { id, .. }
                | Effect::Refuse { id, .. }
                | Effect::Replay { id, .. } => {
                    if current == Some(id) && first.is_none() {
                        first = Some(effect);
                    } else {
                        self.in_flight.deliver(id, effect);
                    }
                }
                Effect::Abort { id } => self.in_flight.abort(id),
                Effect::FinishRecord { key, id, response } => {
                    let request = id;
                    self.node.propose(Command::FinishRecord {
                        key,
                        request,
                        response,
                    });
                }
                Effect::EraseRecord { key, id } => {
                    self.node.propose(Command::EraseRecord { key, request: id });
                }
                Effect::Probe { target, address } => self.prober.probe(target, address),
                Effect::ReportSuspect { target } => {
                    self.node.send_report(SenderReport::Suspect(target))
                }
                Effect::ReportRelease {
                    shard,
                    token,
                    drain_time,
                } => self.node.send_report(SenderReport::Released {
                    shard,
                    token,
                    drain_time,
                }),
                Effect::ReportLoad { shards } => self.node.send_report(SenderReport::Load(shards)),
            }
        }
        first
    }
}

/// Returns the result of an attempt whose HTTP exchange failed. Only a request of which no byte
/// was written certainly did not run.
fn attempt_result(err: &ClientError) -> AttemptResult {
    if !err.maybe_written {
        return AttemptResult::NotRun(NotRun::Connect);
    }
    AttemptResult::Unknown(match err.kind {
        ClientErrorKind::Timeout => Unknown::Timeout,
        ClientErrorKind::Closed | ClientErrorKind::Io(_) | ClientErrorKind::Aborted => {
            Unknown::Broken
        }
        _ => Unknown::BadAnswer,
    })
}
