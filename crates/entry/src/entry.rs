//! Events and effects of an entry VM, and the lifecycle of a request.

mod crashes;
mod evacuation;
mod loads;
mod request;
mod retry;
mod shutdown;
mod statements;
mod view;
mod waiting;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration,
};

use camphordale_fleet::{
    Address,
    Domain,
    EvacuationOrder,
    Fingerprint,
    Key,
    PeerMessage,
    RequestRate,
    ServiceName,
    TargetId,
    View,
    WarmUpBounds,
    crash_trials::TrialNumber, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use self::{
    crashes::CrashReports,
    evacuation::EvacuationDeadlines,
    loads::{
        DomainLoads,
        LoadReports, //
    },
    request::ActiveRequest,
    statements::StatementReports,
    view::KeySample,
    waiting::{
        ParkKey,
        UnroutedRequest, //
    },
};
pub use self::{
    loads::DepartureCounts,
    shutdown::Shutdown, //
};
use crate::{
    admission::{
        AdmissionCounts,
        AdmissionRule,
        AdmissionShares,
        UsualTimeouts, //
    },
    certainty::RoutingCertainty,
    control_stream::{
        ControlStream,
        ControlStreamEffect, //
    },
    domain_overflow::Departure,
    evidence::{
        Evidence,
        NotRun, //
    },
    handovers::Handovers,
    link::LinkShare,
    retry_budget::RetryBudget,
    routes::RouteTable,
    targets::{
        LoadReport,
        TargetStats,
        TargetTracker, //
    },
    transfer::{
        TransferStats,
        Transfers, //
    },
};

/// Age after which an unconfirmed view may name previous holders of keys. A change of the control
/// leader takes less.
const KEYED_VIEW_TIMEOUT: Duration = Duration::from_millis(1300);
/// The same limit without keyed services: targets and routes change seldom, and this VM may be the
/// only one near its callers.
const UNKEYED_VIEW_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the load balancer in front of the entry VMs detects that a VM is not ready: two
/// probes, one per second.
pub(crate) const READINESS_DETECTION_TIME: Duration = Duration::from_millis(2000);

/// Number of a request of a caller, unique in this process.
pub type RequestHandle = u64;
/// Number of an attempt: one sending of a request to a target.
pub type AttemptId = u64;

/// Settings of an entry VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// Random id of this process.
    pub entry_id: u64,
    /// Failure domain.
    pub domain: Domain,
    /// Peer addresses of control VMs, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Retries allowed per request, over all VMs.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio, over all VMs.
    pub retry_extra: f64,
    /// How long keyed requests may still be sent to a draining target.
    pub drain_grace: Duration,
    /// How long keyed requests may still be sent to the targets of a domain after this VM learnt of
    /// its evacuation.
    pub evacuation_grace: Duration,
    /// What decides on requests to a loaded target if the routing is contended.
    pub admission: AdmissionRule,
    /// Bounds on the requests to a cold target.
    pub warm_up: WarmUpBounds,
    /// Rate of the VM's link in bytes per second, if it is known.
    pub link_rate: Option<f64>,
    /// Seed for random choices.
    pub seed: u64,
}

/// A completely received request.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Number of the request.
    pub handle: RequestHandle,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// Path with query.
    pub path: Box<str>,
    /// How long the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// The key, if the request has one.
    pub key: Option<Key>,
    /// Equal for requests that targets execute in the same way.
    pub fingerprint: Fingerprint,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target sent a complete response that may be passed on: its status promises nothing.
    Complete {
        /// Status.
        status: u16,
        /// Load reported by the target.
        load: Option<LoadReport>,
        /// Whether the response shows that the target executed the request.
        executed: bool,
    },
    /// The target sent a complete response whose status would tell the caller that the request was not
    /// executed, but which does not state this, or contradicts itself.
    Unproved {
        /// Load reported by the target.
        load: Option<LoadReport>,
    },
    /// The target reported that it did not execute the request.
    NotExecuted {
        /// Status.
        status: u16,
        /// Load reported by the target.
        load: Option<LoadReport>,
    },
    /// No usable response was received.
    Failed {
        /// Whether any byte of the request may have arrived.
        sent: bool,
        /// Whether any byte of a response was received, which shows that the target is alive.
        received: bool,
        /// Whether the target closed or reset the connection while it had the request. This alone
        /// does not show that the target ended: it may also reject a connection in this way, or
        /// close an idle one at the moment at which the request is sent.
        closed: bool,
    },
}

/// What a target states about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetStatement {
    /// Limit on the requests of all entry VMs together.
    pub limit: Option<RequestRate>,
    /// Whether the response tells if there is a limit; a malformed one says nothing about it.
    pub limit_known: bool,
    /// Whether the target leaves.
    pub leaving: bool,
    /// Time for which the target wants no requests from this VM.
    pub pause: Option<Duration>,
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The timer fired.
    Tick,
    /// A request was received.
    Request(IncomingRequest),
    /// The caller closed its connection.
    CallerDisconnected(RequestHandle),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: AttemptResult,
        /// Length of the response body in bytes.
        length: usize,
    },
    /// The response that ends an attempt states this about its target. It comes just before
    /// [`Event::AttemptEnded`].
    TargetStated {
        /// The attempt.
        attempt: AttemptId,
        /// The statement.
        statement: TargetStatement,
    },
    /// A message on the control stream.
    Stream(PeerMessage),
    /// Bytes of a message on the control stream were received that is not complete yet.
    StreamProgress,
    /// The control stream was closed.
    StreamClosed,
    /// The control VM closed the connection of the stream after its handshake.
    StreamRejected,
}

/// Why this VM responded itself, retried a request, or forwarded a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// This VM has no routing yet.
    NoRouting,
    /// This VM is not sure that its routing is the newest one, so it cannot tell that no route matches.
    UnsureRouting,
    /// No route matches.
    NoRoute,
    /// The service is keyed and the request has no key.
    NoKey,
    /// No target of the service accepts requests.
    NoTarget,
    /// The VM's link has no room for a long response.
    LinkFull,
    /// No target is expected to respond within the latency objective.
    Full,
    /// The key has no holder.
    NoHolder,
    /// The key is moving between two holders.
    Moving,
    /// The holder of the key is not expected to respond within the latency objective.
    HolderFull,
    /// The holder of the key is unreachable.
    HolderLost,
    /// The target did not execute the request, and no other could be tried.
    Shed,
    /// The target responded with a status that promises more than the response states.
    Unproved,
    /// The connection failed after the request had been sent.
    Lost,
    /// The connection to the target could not be opened.
    Unreached,
    /// The target limits the requests of all VMs, and this one has no right to send another.
    Limited,
    /// The target wants no requests from this VM for a time.
    Paused,
    /// The holder of the key states that it leaves, and the time in which it still serves is over.
    Leaving,
    /// The failure domain of the target is evacuated, and the time in which holders of keys there
    /// still serve is over.
    Evacuated,
    /// The deadline passed before the target responded.
    TimedOut,
    /// The deadline passed before the request was sent.
    Expired,
    /// The target responded with an error.
    Failure,
    /// The target was slow, so the request was also sent to another one.
    Slow,
    /// Several targets closed the connection while they had requests with this fingerprint. It is
    /// not certain yet that they ended.
    Suspected,
    /// Several targets ended while they executed requests with this fingerprint.
    Quarantined,
    /// This VM may end before the request's deadline.
    Stopping,
    /// The target responded successfully.
    Success,
}

impl Reason {
    /// Name in logs and metrics.
    ///
    /// ```
    /// assert_eq!(camphordale_entry::Reason::NoRoute.name(), "no-route");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoRouting => "no-routing",
            Reason::UnsureRouting => "routing-unsure",
            Reason::NoRoute => "no-route",
            Reason::NoKey => "no-key",
            Reason::NoTarget => "no-target",
            Reason::LinkFull => "link-full",
            Reason::Full => "full",
            Reason::NoHolder => "no-holder",
            Reason::Moving => "moving",
            Reason::HolderFull => "holder-full",
            Reason::HolderLost => "holder-lost",
            Reason::Shed => "shed",
            Reason::Unproved => "unproved",
            Reason::Lost => "lost",
            Reason::Unreached => "unreached",
            Reason::Limited => "limited",
            Reason::Paused => "paused",
            Reason::Leaving => "leaving",
            Reason::Evacuated => "evacuated",
            Reason::TimedOut => "timed-out",
            Reason::Expired => "expired",
            Reason::Failure => "failure",
            Reason::Slow => "slow",
            Reason::Suspected => "suspected",
            Reason::Quarantined => "quarantined",
            Reason::Stopping => "stopping",
            Reason::Success => "success",
        }
    }
}

/// A response generated by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No route matches.
    NotFound,
    /// The request lacks a key.
    Malformed,
    /// The request was not executed and will not be.
    NotRun(NotRun),
    /// The request may have been executed.
    Unknown,
    /// The request may have been executed, and its deadline has passed.
    TimedOut,
    /// Several targets ended while they executed requests with this fingerprint. A repetition is
    /// refused as well.
    Quarantined,
}

/// A decision about a request with its inputs, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: RequestHandle,
    /// Reason for the decision.
    pub reason: Reason,
    /// The service, if one was found.
    pub service: Option<ServiceName>,
    /// The target of the last attempt.
    pub target: Option<TargetId>,
    /// Attempts so far.
    pub attempts: usize,
    /// Time until the first attempt, or until now.
    pub queued: Duration,
    /// Time since the request was received.
    pub age: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// The key.
    pub key: Option<Key>,
    /// Index of the view at the time of the decision.
    pub view_index: u64,
    /// Statistics of the target at the time of the decision.
    pub target_stats: Option<TargetStats>,
    /// Targets that ended while they executed requests with this fingerprint.
    pub crashed: Vec<TargetId>,
    /// What shows that the request was not executed. None if it may have been.
    pub evidence: Option<Evidence>,
}

/// What shows that a target is cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// Its record in the registry.
    Registry,
    /// A connection from this VM that could not be opened.
    Connection,
    /// The leader, about connections of other VMs that could not be opened.
    Leader,
}

impl ColdSource {
    /// Name in logs.
    ///
    /// ```
    /// assert_eq!(camphordale_entry::ColdSource::Leader.name(), "leader");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            ColdSource::Registry => "registry",
            ColdSource::Connection => "connection",
            ColdSource::Leader => "leader",
        }
    }
}

/// A change of state or a decision for the process to log and count.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A request was refused or failed.
    Refused(Decision),
    /// A request is retried.
    Retried(Decision),
    /// The leader gave this VM a trial of a quarantined request.
    Trial {
        /// The request that is sent; `None` if none waits any more.
        request: Option<RequestHandle>,
        /// Its fingerprint.
        fingerprint: Fingerprint,
        /// Number of the trial.
        number: TrialNumber,
    },
    /// A target completed a quarantined request, which is no longer refused.
    Cleared {
        /// The request.
        request: RequestHandle,
        /// Its fingerprint.
        fingerprint: Fingerprint,
    },
    /// The control stream was established or lost.
    Control {
        /// Whether the stream is established.
        live: bool,
        /// Index of the view.
        view: u64,
    },
    /// A content has arrived.
    Transferred(TransferStats),
    /// A content cannot be decoded, or does not fit to the view, so the whole view is asked for.
    Unusable(Box<str>),
    /// The readiness of this VM for new callers changed.
    Ready {
        /// Whether it is ready.
        ready: bool,
        /// Time since the last message from the leader.
        silence: Duration,
        /// Whether a newer routing has been missing for too long.
        overdue: bool,
    },
    /// The limit of a target is another one than before.
    Limit {
        /// The target.
        target: TargetId,
        /// Requests per second from all VMs, if it has a limit.
        limit: Option<RequestRate>,
        /// Whether the leader told it, not an answer to this VM.
        told: bool,
    },
    /// A target turned cold or warm, to the knowledge of this VM.
    Cold {
        /// The target.
        target: TargetId,
        /// Requests per second from all VMs, if it is cold.
        limit: Option<RequestRate>,
        /// What shows it.
        source: ColdSource,
    },
    /// A target states that it leaves.
    Leaving {
        /// The target.
        target: TargetId,
    },
    /// A target states that it wants no requests from this VM for a time.
    Paused {
        /// The target.
        target: TargetId,
        /// The time.
        pause: Duration,
    },
    /// An order about the evacuation of a failure domain is in force.
    Evacuation {
        /// The domain.
        domain: Domain,
        /// The order.
        order: EvacuationOrder,
        /// Time for which keyed requests may still be sent to its targets.
        keyed_for: Duration,
    },
    /// Other fractions of the requests for a service than before leave this VM's failure domain.
    Departure {
        /// The service.
        service: ServiceName,
        /// The fractions.
        departure: Departure,
        /// Domains that receive them, with their shares.
        receivers: Vec<(Domain, f64)>,
    },
    /// Requests that this VM sent to another failure domain since the last such event.
    Departed(DepartureCounts),
    /// A new routing is in force.
    Routing {
        /// Its version.
        version: u64,
        /// Index of the view.
        view: u64,
        /// Whether a badly chosen target costs much, so that entry VMs share what they know.
        contended: bool,
    },
}

/// Output of the reducer, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a target.
    Send {
        /// Number of the attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestHandle,
        /// The target.
        target: TargetId,
        /// Its address.
        address: Address,
        /// Deadline for the response.
        deadline: Duration,
        /// Maximum number of connections to the target.
        connections: usize,
        /// Whether the request was sent to this address before. A second copy of the earlier response
        /// carries the same request id, so this attempt needs a connection of its own.
        repeated: bool,
    },
    /// Abort an attempt and close its connection.
    Cancel(AttemptId),
    /// Forward the response of an attempt to the caller.
    ForwardResponse {
        /// The request.
        request: RequestHandle,
        /// The attempt.
        attempt: AttemptId,
        /// Statistics of the request.
        decision: Decision,
        /// Whether the response exceeds the route's latency objective.
        late: bool,
    },
    /// End an attempt that waits for a connection as failed, with nothing sent. One that has a
    /// connection goes on.
    Withdraw(AttemptId),
    /// Drop the response of an attempt.
    Discard(AttemptId),
    /// Respond to the caller without a target's response.
    Refuse {
        /// The request.
        request: RequestHandle,
        /// The response.
        refusal: Refusal,
    },
    /// Connect to a control VM, send to it or disconnect from it.
    ControlStream(ControlStreamEffect),
    /// Log and count a change of state or a decision.
    Log(LogEvent),
}

/// One entry VM.
pub struct Entry {
    config: Config,
    view: View,
    routes: RouteTable,
    targets: TargetTracker,
    draining_since: BTreeMap<TargetId, Duration>,
    evacuations: EvacuationDeadlines,
    link: LinkShare,
    handovers: Handovers,
    budgets: HashMap<ServiceName, RetryBudget>,
    requests: HashMap<RequestHandle, ActiveRequest>,
    unrouted: Vec<UnroutedRequest>,
    attempts: HashMap<AttemptId, RequestHandle>,
    timers: BTreeSet<(Duration, RequestHandle)>,
    parked: BTreeSet<ParkKey>,
    admissions: HashMap<ServiceName, AdmissionShares>,
    usual_timeouts: UsualTimeouts,
    next_attempt: AttemptId,
    control_stream: ControlStream,
    transfers: Transfers,
    /// A whole view that was received, until it is up to date.
    received_view: Option<Box<View>>,
    /// Whether a change did not fit to the view, so that only a whole one helps.
    needs_view: bool,
    certainty: RoutingCertainty,
    was_established: bool,
    was_ready: bool,
    shutdown: Option<Shutdown>,
    /// When requests that are not sent yet are refused, if this VM is stopped and has not done so.
    refuse_unsent_at: Option<Duration>,
    key_samples: BTreeMap<ServiceName, KeySample>,
    next_latency: Duration,
    crashes: CrashReports,
    statement_reports: StatementReports,
    load_reports: LoadReports,
    domain_loads: DomainLoads,
    random: StdRng,
}

impl Entry {
    /// Starts without a view.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::{Config, Entry};
    /// use camphordale_fleet::WarmUpBounds;
    ///
    /// let entry = Entry::new(Config {
    ///     entry_id: 1,
    ///     domain: "a".into(),
    ///     seeds: Vec::new(),
    ///     retry_ratio: 0.1,
    ///     retry_extra: 10.0,
    ///     drain_grace: Duration::from_secs(1),
    ///     evacuation_grace: Duration::from_secs(4),
    ///     admission: camphordale_entry::AdmissionRule::default(),
    ///     warm_up: WarmUpBounds::default(),
    ///     link_rate: None,
    ///     seed: 7,
    /// });
    /// assert!(!entry.is_ready(Duration::ZERO));
    /// ```
    pub fn new(config: Config) -> Entry {
        Entry {
            view: View::default(),
            routes: RouteTable::default(),
            targets: TargetTracker::default(),
            draining_since: BTreeMap::new(),
            evacuations: EvacuationDeadlines::default(),
            link: LinkShare::new(config.link_rate),
            handovers: Handovers::default(),
            budgets: HashMap::new(),
            requests: HashMap::new(),
            unrouted: Vec::new(),
            attempts: HashMap::new(),
            timers: BTreeSet::new(),
            parked: BTreeSet::new(),
            admissions: HashMap::new(),
            usual_timeouts: UsualTimeouts::default(),
            next_attempt: 0,
            control_stream: ControlStream::new(
                config.entry_id,
                config.domain.clone(),
                config.seeds.clone(),
            ),
            transfers: Transfers::new(config.link_rate),
            received_view: None,
            needs_view: false,
            certainty: RoutingCertainty::default(),
            was_established: false,
            was_ready: false,
            shutdown: None,
            refuse_unsent_at: None,
            key_samples: BTreeMap::new(),
            next_latency: Duration::ZERO,
            crashes: CrashReports::default(),
            statement_reports: StatementReports::default(),
            load_reports: LoadReports::default(),
            domain_loads: DomainLoads::default(),
            random: StdRng::seed_from_u64(config.seed),
            config,
        }
    }

    /// Handles one event and returns the effects to carry out in order. `now` must come from a
    /// clock that continues while the VM is suspended.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Request(incoming) => self.on_request(incoming, now, &mut out),
            Event::CallerDisconnected(request) => self.on_caller_disconnected(request, &mut out),
            Event::AttemptEnded {
                attempt,
                result,
                length,
            } => self.on_attempt_ended(attempt, (result, length), now, &mut out),
            Event::TargetStated { attempt, statement } => {
                self.on_target_stated(attempt, statement, now, &mut out);
            }
            Event::Stream(message) => self.on_stream_message(message, now, &mut out),
            Event::StreamProgress => self.control_stream.on_progress(now),
            Event::StreamClosed => {
                self.control_stream.on_closed(now);
                self.on_stream_closed(now, &mut out);
            }
            Event::StreamRejected => {
                self.control_stream.on_rejected(now);
                self.on_stream_closed(now, &mut out);
            }
        }
        self.report_crashes(now, &mut out);
        self.report_statements(now, &mut out);
        out
    }

    /// Whether the VM is ready for new callers: it can route requests, its view is not stale, and its
    /// routing is not behind that of the other VMs. A VM that is not ready continues to serve its
    /// existing callers.
    pub fn is_ready(&self, now: Duration) -> bool {
        let is_fresh = self.control_stream.silence(now) < self.view_timeout();
        self.view.routing.is_some() && is_fresh && !self.certainty.is_overdue(now)
    }

    /// How long the view may be used without confirmation from the control leader.
    fn view_timeout(&self) -> Duration {
        let routing = self.view.routing.iter();
        let mut services = routing.flat_map(|routing| routing.services.values());
        match services.any(|item| item.spec.keys.is_keyed()) {
            true => KEYED_VIEW_TIMEOUT,
            false => UNKEYED_VIEW_TIMEOUT,
        }
    }

    /// Whether connections of callers should be closed so that they reconnect elsewhere: the view
    /// is stale, and the load balancer has had time to detect that this VM is not ready.
    pub fn should_close_connections(&self, now: Duration) -> bool {
        self.view.routing.is_some()
            && self.control_stream.silence(now) >= self.view_timeout() + READINESS_DETECTION_TIME
    }

    /// The view on which decisions are based.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Admissions of admission control so far, of all services.
    pub fn admission_counts(&self) -> AdmissionCounts {
        let counts = self.admissions.values().map(AdmissionShares::counts);
        counts.fold(AdmissionCounts::default(), AdmissionCounts::sum)
    }

    /// Number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.requests.len() + self.unrouted.len()
    }

    /// Whether a request is in progress.
    pub fn has_request(&self, request: RequestHandle) -> bool {
        self.requests.contains_key(&request)
            || self.unrouted.iter().any(|u| u.incoming.handle == request)
    }

    /// Bytes received of contents that are not in use yet, and bytes of these contents.
    pub fn transfer_progress(&self) -> (usize, usize) {
        self.transfers.progress()
    }

    /// Whether the routing is contended ([`RouteTable::is_contended`]).
    pub fn is_contended(&self) -> bool {
        self.routes.is_contended()
    }

    /// Time at which the next tick is due.
    pub fn next_deadline(&self) -> Duration {
        let request_timer = self.timers.first().map(|(at, _)| *at);
        let is_open = self.control_stream.is_open();
        let next_pull = self.transfers.next_pull().filter(|_| is_open);
        [request_timer, self.refuse_unsent_at, next_pull]
            .into_iter()
            .flatten()
            .fold(self.control_stream.next_deadline(), Duration::min)
    }

    /// Replaces the addresses of control VMs from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.control_stream.set_seeds(seeds);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.maintain_control_stream(now, out);
        self.plan_departures(now, out);
        self.crashes.expire(now);
        self.withdraw_keyed_attempts(now, out);
        self.refuse_unsent(now, out);
        while let Some((at, request)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, request));
            self.on_request_timer(request, now, out);
        }
    }
}
