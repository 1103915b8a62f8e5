//! The data plane: serves callers' and forwarded requests by carrying out the router's effects
//! on the thread that received the request.

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
        Flight,
        Flights, //
    },
    metrics::{
        Ending,
        Metrics,
        ServiceMetrics, //
    },
    node_handle::NodeHandle,
    probe::Prober,
    sync::lock, //
};

/// Time after a request's deadline at which its thread stops waiting for the router.
const GRACE: Duration = Duration::from_millis(500);

/// Longest time a request without a known deadline may wait for the router.
const WAIT_LIMIT: Duration = Duration::from_secs(610);

/// Largest body that is kept in an idempotency record, in bytes.
const STORED_BODY: usize = 64 * 1024;

/// Settings of the data plane.
#[derive(Clone, Debug)]
pub(crate) struct PlaneConfig {
    /// Source address of connections to targets.
    pub(crate) source: Option<IpAddr>,
    /// Largest answer of a target, in bytes.
    pub(crate) answer_size: usize,
}

/// The data plane of one VM.
pub(crate) struct Plane {
    config: PlaneConfig,
    clock: Clock,
    router: Mutex<Router>,
    flights: Flights,
    pool: Arc<Pool>,
    peers: Arc<PeerClient>,
    node: NodeHandle,
    prober: Prober,
    services: RwLock<Services>,
    metrics: Arc<Metrics>,
}

/// The bundle in force and the metrics of its services.
struct Services {
    bundle: Option<Bundle>,
    metrics: HashMap<ServiceName, ServiceMetrics>,
    /// For requests that match no service.
    none: ServiceMetrics,
}

impl Services {
    fn new(metrics: &Metrics, bundle: &Bundle) -> Self {
        let names = bundle.services.iter().map(|service| &service.name);
        Services {
            metrics: names
                .map(|name| (name.clone(), metrics.service(name)))
                .collect(),
            bundle: Some(bundle.clone()),
            none: metrics.service("none"),
        }
    }

    fn of(&self, job: &Job) -> &ServiceMetrics {
        let host = http_messages::host(&job.headers);
        self.bundle
            .as_ref()
            .and_then(|bundle| bundle.route(host.as_deref(), &job.path))
            .and_then(|service| self.metrics.get(&service.name))
            .unwrap_or(&self.none)
    }
}

/// A request with its body, as the thread that serves it holds it.
struct Job {
    id: RequestId,
    method: Box<str>,
    path: Box<str>,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Vec<u8>,
}

/// What follows an attempt.
enum Next {
    /// The request ends with this answer.
    Answer(StoredResponse),
    /// The router's next effect for the request; none if the request has to wait for it.
    Effect(Option<Effect>),
}

/// What a request ends with.
enum End {
    Answer(StoredResponse),
    Refuse(Refusal),
    Redirect(Option<VmId>),
}

impl Plane {
    pub(crate) fn new(
        config: PlaneConfig,
        clock: Clock,
        router: Router,
        pool: Arc<Pool>,
        peers: Arc<PeerClient>,
        node: NodeHandle,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|plane| Plane {
            prober: Prober::new(plane.clone(), Arc::clone(&pool), config.source),
            services: RwLock::new(Services {
                bundle: None,
                metrics: HashMap::new(),
                none: metrics.service("none"),
            }),
            config,
            clock,
            router: Mutex::new(router),
            flights: Flights::new(),
            pool,
            peers,
            node,
            metrics,
        })
    }

    /// Serves a caller's request.
    pub(crate) fn serve(&self, request: HttpRequest) -> Response {
        let started = self.clock.now();
        let allowed = match http_messages::allowed_time(&request) {
            Ok(allowed) => allowed,
            Err(message) => return http_messages::bad_request(message),
        };
        let job = Job {
            id: rand::random(),
            method: request.method,
            path: request.path,
            headers: http_messages::from_caller(request.headers),
            body: request.body,
        };
        let end = self.run(&job, Origin::Caller, allowed);
        let elapsed = self.clock.now().saturating_sub(started);
        let (ending, response) = match end {
            End::Answer(answer) => (Ending::Answered, http_messages::pass_on(answer)),
            End::Refuse(refusal) => (Ending::Refused(refusal), http_messages::refusal(refusal)),
            // Only forwarded requests are redirected.
            End::Redirect(_) => {
                let refusal = Refusal::NotRun(NotRun::TooManyHops);
                (Ending::Refused(refusal), http_messages::refusal(refusal))
            }
        };
        self.services
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .of(&job)
            .ended(ending, elapsed);
        response
    }

    /// Serves a request that another VM forwarded.
    pub(crate) fn forwarded(&self, from: VmId, request: ForwardedRequest) -> ForwardedResponse {
        let job = Job {
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
        match self.run(&job, origin, Some(request.timeout)) {
            End::Answer(answer) => ForwardedResponse::Response {
                status: answer.status,
                headers: answer.headers,
                body: answer.body,
            },
            End::Refuse(Refusal::NotRun(reason)) => ForwardedResponse::NotRun(reason),
            End::Refuse(Refusal::Unknown(reason)) => ForwardedResponse::Unknown(reason),
            End::Redirect(vm) => ForwardedResponse::Redirect(vm),
        }
    }

    /// Takes an event to the router and carries out the effects that belong to no waiting
    /// request.
    pub(crate) fn route(&self, event: Event) {
        if let Event::Bundle(bundle) = &event {
            *self
                .services
                .write()
                .unwrap_or_else(PoisonError::into_inner) = Services::new(&self.metrics, bundle);
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

    /// Closes pooled connections that are too old or idle for too long.
    pub(crate) fn reap(&self) {
        self.pool.close_expired();
    }

    /// Returns the number of requests that this VM has at targets.
    pub(crate) fn at_targets(&self) -> u32 {
        let status = self.with_router(|router| router.status());
        status.targets.iter().map(|target| target.in_flight).sum()
    }

    /// Returns the number of requests under way.
    pub(crate) fn in_flight(&self) -> usize {
        self.flights.len()
    }

    fn step(&self, event: Event) -> Vec<Effect> {
        let now = self.clock.now();
        lock(&self.router).step(event, now)
    }

    fn run(&self, job: &Job, origin: Origin, timeout: Option<Duration>) -> End {
        let flight = self.flights.start(job.id);
        let request = Request {
            id: job.id,
            origin,
            method: job.method.clone(),
            host: http_messages::host(&job.headers),
            path: job.path.clone(),
            headers: job.headers.clone(),
            timeout,
        };
        let mut next = self.own(Event::Request(request), job.id);
        let mut deadline = self.clock.now() + timeout.unwrap_or(WAIT_LIMIT);
        let end = loop {
            let effect = match next.take() {
                Some(effect) => effect,
                None => match flight.next(self.clock.instant(deadline + GRACE)) {
                    Some(effect) => effect,
                    // The router refuses each waiting request at its deadline, so this is the
                    // answer only if it failed to.
                    None => break self.abandon(job.id),
                },
            };
            next = match effect {
                Effect::Send(send) => {
                    deadline = deadline.min(send.deadline);
                    match self.send(job, &flight, send) {
                        Next::Answer(answer) => break End::Answer(answer),
                        Next::Effect(effect) => effect,
                    }
                }
                Effect::Forward {
                    vm,
                    hops,
                    deadline: until,
                    ..
                } => {
                    self.metrics.forward();
                    deadline = deadline.min(until);
                    match self.forward(job, vm, hops, until) {
                        Next::Answer(answer) => break End::Answer(answer),
                        Next::Effect(effect) => effect,
                    }
                }
                Effect::CreateRecord {
                    shard,
                    token,
                    key,
                    deadline: until,
                    ..
                } => {
                    let command = Command::CreateRecord {
                        shard,
                        token,
                        key,
                        request: job.id,
                    };
                    let result = self.record(command, until);
                    self.own(Event::Recorded { id: job.id, result }, job.id)
                }
                Effect::Refuse { refusal, .. } => break End::Refuse(refusal),
                Effect::Replay { response, .. } => break End::Answer(response),
                Effect::Redirect { vm, .. } => break End::Redirect(vm),
                _ => None,
            };
        };
        self.flights.end(job.id);
        end
    }

    /// Steps the router, carries out the effects for others and returns the one for `id`.
    fn own(&self, event: Event, id: RequestId) -> Option<Effect> {
        let effects = self.step(event);
        self.dispatch(effects, Some(id))
    }

    fn abandon(&self, id: RequestId) -> End {
        self.route(Event::Cancel { id });
        End::Refuse(Refusal::Unknown(Unknown::Timeout))
    }

    /// Sends the request to a target. Returns the answer, or the router's next effect for it.
    fn send(&self, job: &Job, flight: &Flight, send: SendRequest) -> Next {
        let until = self.clock.instant(send.deadline);
        let limit = send.connections as usize;
        let conn = match self.pool.acquire(send.address, limit, until) {
            Ok(conn) => conn,
            Err(_) => {
                return Next::Effect(self.done(job.id, AttemptResult::NotRun(NotRun::Connect)));
            }
        };
        // Nothing is written before `Proceed`, so until then an abort means that the request did
        // not run.
        if !flight.arm(conn.abort_handle()) {
            flight.disarm();
            self.pool.release(conn);
            return Next::Effect(self.done(job.id, AttemptResult::NotRun(NotRun::NoOwner)));
        }
        match self.own(Event::Ready { id: job.id }, job.id) {
            Some(Effect::Proceed { .. }) => {}
            Some(Effect::Requeue { .. }) => {
                flight.disarm();
                self.pool.release(conn);
                return Next::Effect(None);
            }
            None => {
                flight.disarm();
                return Next::Effect(self.done(job.id, AttemptResult::NotRun(NotRun::NoOwner)));
            }
            other => {
                flight.disarm();
                self.pool.release(conn);
                return Next::Effect(other);
            }
        }
        let result = self.exchange(job, &send, conn);
        flight.disarm();
        match result {
            Ok(answer) => {
                let stored = http_messages::is_storable(&job.headers, &answer, STORED_BODY);
                let attempt = AttemptResult::Responded {
                    status: answer.status,
                    stored: stored.then(|| answer.clone()),
                };
                self.done(job.id, attempt);
                Next::Answer(answer)
            }
            Err(attempt) => Next::Effect(self.done(job.id, attempt)),
        }
    }

    /// Writes the request and reads the whole answer.
    fn exchange(
        &self,
        job: &Job,
        send: &SendRequest,
        mut conn: Conn,
    ) -> Result<StoredResponse, AttemptResult> {
        let left = send.deadline.saturating_sub(self.clock.now());
        let headers = http_messages::to_target(&job.headers, job.id, send, left);
        let request = OutgoingRequest {
            method: &job.method,
            path: &job.path,
            headers: &headers,
            body: &job.body,
        };
        let until = self.clock.instant(send.deadline);
        let response = match conn.exchange(&request, until, self.config.answer_size) {
            Ok(response) => response,
            Err(err) => return Err(attempt_of(&err)),
        };
        // A wrong id shows that the connection is out of step, so it is dropped.
        if !http_messages::echoes(&response, job.id) {
            return Err(AttemptResult::Unknown(Unknown::BadAnswer));
        }
        self.pool.release(conn);
        if http_messages::says_not_run(&response) {
            return Err(AttemptResult::NotRun(NotRun::Shed));
        }
        Ok(StoredResponse {
            status: response.status,
            headers: http_messages::from_target(response.headers),
            body: response.body,
        })
    }

    fn forward(&self, job: &Job, vm: VmId, hops: u8, deadline: Duration) -> Next {
        let left = deadline.saturating_sub(self.clock.now());
        let call = Call::Forward(ForwardedRequest {
            id: job.id,
            hops,
            timeout: left,
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        });
        let attempt = match self.ask(vm, &call, left) {
            Ok(Reply::Forwarded(ForwardedResponse::Response {
                status,
                headers,
                body,
            })) => {
                let answer = StoredResponse {
                    status,
                    headers,
                    body,
                };
                let stored = None;
                self.done(job.id, AttemptResult::Responded { status, stored });
                return Next::Answer(answer);
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
        Next::Effect(self.done(job.id, attempt))
    }

    /// Calls another VM; the error tells whether the call may have been delivered.
    fn ask(&self, vm: VmId, call: &Call, timeout: Duration) -> Result<Reply, bool> {
        let address: SocketAddr = self.node.address(vm).ok_or(false)?;
        let bytes = postcard::to_stdvec(call).map_err(|_| false)?;
        let answer = self
            .peers
            .call(address, Some(vm), &bytes, timeout)
            .map_err(|err| err.maybe_delivered)?;
        postcard::from_bytes(&answer).map_err(|_| true)
    }

    fn record(&self, command: Command, deadline: Duration) -> RecordResult {
        let left = deadline.saturating_sub(self.clock.now());
        match self.node.domain(DomainCall::Propose(command), left) {
            Some(DomainReply::Applied(Outcome::Recorded)) => RecordResult::Recorded,
            Some(DomainReply::Applied(Outcome::Replay(answer))) => RecordResult::Replay(answer),
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

    fn done(&self, id: RequestId, result: AttemptResult) -> Option<Effect> {
        self.own(Event::Done { id, result }, id)
    }

    /// Carries out effects. Those for waiting requests are delivered to their threads; the first
    /// one for `own` is returned instead.
    fn dispatch(&self, effects: Vec<Effect>, own: Option<RequestId>) -> Option<Effect> {
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
                    if own == Some(id) && first.is_none() {
                        first = Some(effect);
                    } else {
                        self.flights.deliver(id, effect);
                    }
                }
                Effect::Abort { id } => self.flights.abort(id),
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
                Effect::ReportSuspect { target } => self.node.report(SenderReport::Suspect(target)),
                Effect::ReportRelease {
                    shard,
                    token,
                    drain_time,
                } => self.node.report(SenderReport::Released {
                    shard,
                    token,
                    drain_time,
                }),
                Effect::ReportLoad { shards } => self.node.report(SenderReport::Load(shards)),
            }
        }
        first
    }
}

/// Returns how an exchange that failed ended for the request.
fn attempt_of(err: &ClientError) -> AttemptResult {
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
