//! Events and effects of an entry VM, and the life of a request.

mod request;
mod retry;
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
    Key,
    PeerMessage,
    ServiceName,
    TargetId,
    View, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use self::{
    request::Flow,
    view::KeySample,
    waiting::Unrouted, //
};
use crate::{
    control_stream::{
        ControlStream,
        ControlStreamEffect, //
    },
    handovers::Handovers,
    retry_budget::Budget,
    routes::RouteTable,
    targets::{
        LoadReport,
        Peers, //
        TargetStats,
    },
};

/// A view that was not confirmed for this long may name former holders of keys: a change of the
/// control leader takes less.
const STALE: Duration = Duration::from_millis(1300);
/// The same without services that are divided by key: targets and routes change seldom, and this
/// VM may be the only one near its callers.
const STALE_UNKEYED: Duration = Duration::from_secs(10);
/// Time in which whoever spreads the callers notices that a VM is not ready: two questions, one a
/// second.
const NOTICED: Duration = Duration::from_millis(2000);

/// Names a request of a caller.
pub type RequestHandle = u64;
/// Names one sending of a request to a target.
pub type AttemptId = u64;

/// Settings of an entry VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// Random id of this process.
    pub entry_id: u64,
    /// Failure domain.
    pub domain: Domain,
    /// Peer addresses of control VMs from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Repeats allowed for each request, over all VMs.
    pub retry_ratio: f64,
    /// Repeats allowed in a window beside the ratio, over all VMs.
    pub retry_extra: f64,
    /// How long requests may still go to a target that is draining.
    pub drain_grace: Duration,
    /// Seed of random choices.
    pub seed: u64,
}

/// A request that was received completely.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Names the request.
    pub handle: RequestHandle,
    /// Host that the caller named.
    pub host: Box<str>,
    /// Path with the query.
    pub path: Box<str>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The key, if the caller named one.
    pub key: Option<Key>,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target's complete answer.
    Complete {
        /// Status.
        status: u16,
        /// What the target says of its load.
        load: Option<LoadReport>,
    },
    /// The target says that it did not run the request.
    NotExecuted {
        /// Status.
        status: u16,
        /// What the target says of its load.
        load: Option<LoadReport>,
    },
    /// There is no usable answer.
    Failed {
        /// Whether a byte of the request may have arrived.
        sent: bool,
        /// Whether the target sent something, which shows that it is alive.
        received: bool,
    },
}

/// Input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request arrived.
    Request(IncomingRequest),
    /// The caller has closed its connection.
    CallerDisconnected(RequestHandle),
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        result: AttemptResult,
    },
    /// A message on the stream from control.
    Stream(PeerMessage),
    /// The stream from control ended.
    StreamClosed,
}

/// Why a caller gets an answer of this VM, or why a request was sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// This VM has no routing yet.
    NoRouting,
    /// No route matches.
    NoRoute,
    /// The service divides its requests by key and there is none.
    NoKey,
    /// No target of the service takes work.
    NoTarget,
    /// No target could answer within the objective.
    Full,
    /// The key has no holder now.
    NoHolder,
    /// The key is between two holders.
    Moving,
    /// The holder of the key could not answer within the objective.
    HolderFull,
    /// The holder of the key cannot be reached.
    HolderLost,
    /// The target did not run the request and no other could be tried.
    Shed,
    /// The connection failed after the request was sent.
    Lost,
    /// The connection to the target could not be opened.
    Unreached,
    /// The deadline passed before the target answered.
    TimedOut,
    /// The deadline passed before the request was sent.
    Expired,
    /// The target answered with a failure.
    Failure,
    /// The target was slow; another one got the request too.
    Slow,
    /// The target answered with success.
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
            Reason::NoRoute => "no-route",
            Reason::NoKey => "no-key",
            Reason::NoTarget => "no-target",
            Reason::Full => "full",
            Reason::NoHolder => "no-holder",
            Reason::Moving => "moving",
            Reason::HolderFull => "holder-full",
            Reason::HolderLost => "holder-lost",
            Reason::Shed => "shed",
            Reason::Lost => "lost",
            Reason::Unreached => "unreached",
            Reason::TimedOut => "timed-out",
            Reason::Expired => "expired",
            Reason::Failure => "failure",
            Reason::Slow => "slow",
            Reason::Success => "success",
        }
    }
}

/// An answer of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request cannot be routed.
    NotFound,
    /// The request lacks something.
    Malformed,
    /// The request has not run and will not; come back after the time.
    NotRun(Duration),
    /// The request may have run.
    Unknown,
    /// The request may have run, and the time is over.
    TimedOut,
}

/// A decision about a request, for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: RequestHandle,
    /// Why.
    pub reason: Reason,
    /// The service, if one was found.
    pub service: Option<ServiceName>,
    /// The target of the last attempt.
    pub target: Option<TargetId>,
    /// Attempts so far.
    pub attempts: usize,
    /// Time until the request was first sent, or until now.
    pub queued: Duration,
    /// Time since the request arrived.
    pub age: Duration,
    /// Time that was left.
    pub remaining: Duration,
    /// The key.
    pub key: Option<Key>,
    /// Index of the view that the decision rests on.
    pub view_index: u64,
    /// What was known of the target.
    pub target_stats: Option<TargetStats>,
}

/// Something that changed what the process believes; the edge logs and counts it.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The request was refused or failed.
    Refused(Decision),
    /// The request is sent again.
    Retried(Decision),
    /// The stream from control came or went.
    Control {
        /// Whether the view comes from a leader now.
        live: bool,
        /// Index of the view.
        view: u64,
    },
    /// The VM should get new callers, or no longer.
    Ready {
        /// Whether it should.
        ready: bool,
        /// Time since the leader was last heard.
        silence: Duration,
    },
    /// A routing is in force.
    Routing {
        /// Its version.
        version: u64,
        /// Index of the view.
        view: u64,
    },
}

/// Output of the reducer, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a target.
    Send {
        /// Names the attempt.
        attempt: AttemptId,
        /// The request.
        request: RequestHandle,
        /// The target.
        target: TargetId,
        /// Its address.
        address: Address,
        /// When the answer must be there.
        deadline: Duration,
        /// Most connections to the target.
        connections: usize,
    },
    /// Give an attempt up: close its connection.
    Cancel(AttemptId),
    /// Pass the answer of an attempt on to the caller.
    ForwardResponse {
        /// The request.
        request: RequestHandle,
        /// The attempt.
        attempt: AttemptId,
        /// What it took to get the answer.
        decision: Decision,
        /// Whether the answer comes after the route's objective.
        late: bool,
    },
    /// Drop the answer of an attempt.
    Discard(AttemptId),
    /// Answer the caller.
    Refuse {
        /// The request.
        request: RequestHandle,
        /// The answer.
        refusal: Refusal,
    },
    /// Connect to, send to or leave a control VM.
    ControlStream(ControlStreamEffect),
    /// Log and count.
    Log(LogEvent),
}

/// One entry VM.
pub struct Entry {
    config: Config,
    view: View,
    routes: RouteTable,
    peers: Peers,
    draining: BTreeMap<TargetId, Duration>,
    handovers: Handovers,
    budgets: HashMap<ServiceName, Budget>,
    flows: HashMap<RequestHandle, Flow>,
    unrouted: Vec<Unrouted>,
    attempts: HashMap<AttemptId, RequestHandle>,
    timers: BTreeSet<(Duration, RequestHandle)>,
    parked: BTreeSet<RequestHandle>,
    next_attempt: AttemptId,
    link: ControlStream,
    was_live: bool,
    was_ready: bool,
    stopping: bool,
    samples: BTreeMap<ServiceName, KeySample>,
    next_times: Duration,
    random: StdRng,
}

impl Entry {
    /// Starts without a view.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::{Config, Entry};
    ///
    /// let entry = Entry::new(Config {
    ///     entry_id: 1,
    ///     domain: "a".into(),
    ///     seeds: Vec::new(),
    ///     retry_ratio: 0.1,
    ///     retry_extra: 10.0,
    ///     drain_grace: Duration::from_secs(1),
    ///     seed: 7,
    /// });
    /// assert!(!entry.is_ready(Duration::ZERO));
    /// ```
    pub fn new(config: Config) -> Entry {
        Entry {
            view: View::default(),
            routes: RouteTable::default(),
            peers: Peers::default(),
            draining: BTreeMap::new(),
            handovers: Handovers::default(),
            budgets: HashMap::new(),
            flows: HashMap::new(),
            unrouted: Vec::new(),
            attempts: HashMap::new(),
            timers: BTreeSet::new(),
            parked: BTreeSet::new(),
            next_attempt: 0,
            link: ControlStream::new(config.entry_id, config.domain.clone(), config.seeds.clone()),
            was_live: false,
            was_ready: false,
            stopping: false,
            samples: BTreeMap::new(),
            next_times: Duration::ZERO,
            random: StdRng::seed_from_u64(config.seed),
            config,
        }
    }

    /// Takes one event and returns the effects to carry out in order. `now` comes from a clock
    /// that counts suspension.
    pub fn step(&mut self, event: Event, now: Duration) -> Vec<Effect> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Request(arrival) => self.arrived(arrival, now, &mut out),
            Event::CallerDisconnected(flow) => self.caller_gone(flow, &mut out),
            Event::AttemptEnded { attempt, result } => {
                self.answered(attempt, result, now, &mut out)
            }
            Event::Stream(message) => self.stream(message, now, &mut out),
            Event::StreamClosed => {
                self.link.ended(now);
                self.note_link(&mut out);
            }
        }
        out
    }

    /// Whether the VM should get new callers: it can route requests and its view is not stale. One
    /// that is not ready goes on serving those that it has.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.view.routing.is_some() && self.link.silence(now) < self.view_timeout()
    }

    /// For how long the view serves without word from the control leader.
    fn view_timeout(&self) -> Duration {
        let routing = self.view.routing.iter();
        let mut services = routing.flat_map(|routing| routing.services.values());
        match services.any(|item| item.spec.keyed) {
            true => STALE,
            false => STALE_UNKEYED,
        }
    }

    /// Whether callers should go elsewhere: the view is stale, and others have had time to notice
    /// that this VM is not ready.
    pub fn should_close_connections(&self, now: Duration) -> bool {
        self.view.routing.is_some() && self.link.silence(now) >= self.view_timeout() + NOTICED
    }

    /// The view that decisions rest on.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Requests under way.
    pub fn active_requests(&self) -> usize {
        self.flows.len() + self.unrouted.len()
    }

    /// Whether a request is under way.
    pub fn has_request(&self, flow: RequestHandle) -> bool {
        self.flows.contains_key(&flow) || self.unrouted.iter().any(|u| u.arrival.handle == flow)
    }

    /// When the next tick is needed.
    pub fn next_deadline(&self) -> Duration {
        let link = self.link.next_deadline();
        self.timers.first().map_or(link, |(at, _)| link.min(*at))
    }

    /// The process ends soon: what is under way is finished and no work is cancelled.
    pub fn begin_shutdown(&mut self) {
        self.stopping = true;
    }

    /// Replaces the addresses of control VMs from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.set_seeds(seeds);
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<Effect>) {
        self.tend_link(now, out);
        while let Some((at, flow)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.remove(&(at, flow));
            self.flow_due(flow, now, out);
        }
    }
}
