//! The thread of the control role: feeds its reducer, keeps its storage and sends its messages.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        mpsc::{
            self,
            Receiver,
            RecvTimeoutError,
            Sender, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::Duration,
};

use camphordale_net::PeerClient;
use camphordale_node::{
    Call,
    CallId,
    Cast,
    ControlCall,
    ControlEffect,
    ControlEvent,
    ControlNode,
    ControlReply,
    Reply,
    member_vm, //
};
use camphordale_raft::Role;
use camphordale_store::Store;
use camphordale_types::{
    MemberId,
    VmId, //
};
use slog::{
    Logger,
    error,
    info, //
};

use crate::{
    Clock,
    metrics::{
        GroupKind,
        Metrics, //
    }, //
    node_handle::{
        NodeHandle,
        NodeInput, //
    },
};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(20);

/// Time between requests of a voter with a new identity to join.
const JOIN_EVERY: Duration = Duration::from_secs(1);

/// Takes the answer to a call.
type Answer = Box<dyn FnOnce(Result<Reply, bool>) + Send>;

enum Input {
    Event(ControlEvent),
    Call { call: ControlCall, answer: Answer },
    Stop,
}

/// Handle on the control role's thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    input: Sender<Input>,
}

impl ControlHandle {
    pub(crate) fn event(&self, event: ControlEvent) {
        let _ = self.input.send(Input::Event(event));
    }

    /// Makes a call; `done` runs on the control role's thread.
    pub(crate) fn call_then<F>(&self, call: ControlCall, done: F)
    where
        F: FnOnce(Result<Reply, bool>) + Send + 'static,
    {
        let answer = Box::new(done);
        let _ = self.input.send(Input::Call { call, answer });
    }

    /// Makes a call and waits for the answer, at most `limit`.
    pub(crate) fn call(&self, call: ControlCall, limit: Duration) -> Option<Reply> {
        let (answer, output) = mpsc::channel();
        self.call_then(call, move |result| {
            let _ = answer.send(result);
        });
        output.recv_timeout(limit).ok()?.ok()
    }

    pub(crate) fn stop(&self) {
        let _ = self.input.send(Input::Stop);
    }
}

/// What the thread works with.
pub(crate) struct ControlLoop {
    pub(crate) member: MemberId,
    pub(crate) clock: Clock,
    pub(crate) node: ControlNode,
    pub(crate) store: Store,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) entry: NodeHandle,
    /// Addresses of the voters that the settings name.
    pub(crate) voters: Vec<(VmId, SocketAddr)>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

impl ControlLoop {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The system may refuse the thread.
    pub(crate) fn start(self) -> std::io::Result<(ControlHandle, JoinHandle<()>)> {
        let (input, output) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || Runner::new(self).run(&output))?;
        Ok((ControlHandle { input }, thread))
    }
}

struct Runner {
    role: ControlLoop,
    waiting: HashMap<CallId, Answer>,
    next: CallId,
    failed: bool,
    joined: Duration,
}

impl Runner {
    fn new(role: ControlLoop) -> Self {
        Runner {
            role,
            waiting: HashMap::new(),
            next: 1,
            failed: false,
            joined: Duration::ZERO,
        }
    }

    fn run(&mut self, input: &Receiver<Input>) {
        let mut ticked = self.role.clock.now();
        loop {
            let wait = (ticked + TICK).saturating_sub(self.role.clock.now());
            match input.recv_timeout(wait) {
                Ok(Input::Event(event)) => self.event(event),
                Ok(Input::Call { call, answer }) => {
                    let id = self.next;
                    self.next += 1;
                    self.waiting.insert(id, answer);
                    self.event(ControlEvent::Call { id, call });
                }
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.role.clock.now() >= ticked + TICK {
                ticked = self.role.clock.now();
                self.event(ControlEvent::Tick);
                self.join(ticked);
            }
        }
    }

    /// Asks to join the group while this identity has never voted in it.
    fn join(&mut self, now: Duration) {
        if !self.role.node.needs_join() || now < self.joined + JOIN_EVERY {
            return;
        }
        self.joined = now;
        self.role.entry.send(NodeInput::Call {
            from: None,
            call: Call::Control(ControlCall::Join(self.role.member)),
            answer: None,
        });
    }

    fn event(&mut self, event: ControlEvent) {
        let now = self.role.clock.now();
        for effect in self.role.node.step(event, now) {
            // Effects after a failed write may depend on it, so none of them is carried out.
            if self.failed {
                return;
            }
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Persist(persist) => {
                if let Err(err) = self.role.store.persist(&persist) {
                    error!(self.role.log, "control storage failed; this voter stops";
                           "error" => %err);
                    self.failed = true;
                    self.waiting.clear();
                    let now = self.role.clock.now();
                    self.role.node.step(ControlEvent::StorageFailed, now);
                }
            }
            ControlEffect::Send { to, message } => {
                let Some(address) = self.address(member_vm(to)) else {
                    return;
                };
                let cast = Cast::ControlRaft {
                    from: self.role.member,
                    to,
                    message,
                };
                if let Ok(bytes) = postcard::to_stdvec(&cast) {
                    self.role.peers.cast(address, bytes);
                }
            }
            ControlEffect::Reply { id, reply } => {
                if let Some(answer) = self.waiting.remove(&id) {
                    answer(Ok(Reply::Control(reply)));
                }
            }
            ControlEffect::Role { role, term, leader } => {
                if role == Role::Leader {
                    self.role.metrics.election(GroupKind::Control);
                }
                info!(self.role.log, "control group role changed"; "role" => ?role,
                      "term" => term, "leader" => ?leader);
            }
        }
    }

    fn address(&self, vm: VmId) -> Option<SocketAddr> {
        let known = self.role.voters.iter().find(|(voter, _)| *voter == vm);
        known
            .map(|&(_, address)| address)
            .or_else(|| self.role.entry.address(vm))
    }
}

/// Returns the reply of a VM without the control role.
pub(crate) fn no_control() -> Reply {
    Reply::Control(ControlReply::NotLeader(None))
}
