//! The thread that runs the control node: passes it events, writes its storage and sends its
//! messages.

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
    },
    node_handle::{
        NodeHandle,
        NodeInput, //
    },
};

const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between requests to join the group, while the identity of this voter is new.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Callback that gets the reply to a call, or whether a failed call may have been delivered.
type ReplyCallback = Box<dyn FnOnce(Result<Reply, bool>) + Send>;

enum Input {
    Event(ControlEvent),
    Call {
        call: ControlCall,
        on_reply: ReplyCallback,
    },
    Stop,
}

/// Handle on the control node's thread.
#[derive(Clone)]
pub(crate) struct ControlHandle {
    input: Sender<Input>,
}

impl ControlHandle {
    pub(crate) fn send_event(&self, event: ControlEvent) {
        let _ = self.input.send(Input::Event(event));
    }

    /// Makes a call without waiting; `callback` runs on the control node's thread.
    pub(crate) fn call_with<F>(&self, call: ControlCall, callback: F)
    where
        F: FnOnce(Result<Reply, bool>) + Send + 'static,
    {
        let on_reply = Box::new(callback);
        let _ = self.input.send(Input::Call { call, on_reply });
    }

    /// Makes a call and waits for the reply for at most `timeout`.
    pub(crate) fn call(&self, call: ControlCall, timeout: Duration) -> Option<Reply> {
        let (sender, replies) = mpsc::channel();
        self.call_with(call, move |result| {
            let _ = sender.send(result);
        });
        replies.recv_timeout(timeout).ok()?.ok()
    }

    pub(crate) fn stop(&self) {
        let _ = self.input.send(Input::Stop);
    }
}

/// The control node and what its thread needs to run it.
pub(crate) struct ControlLoop {
    pub(crate) member: MemberId,
    pub(crate) clock: Clock,
    pub(crate) node: ControlNode,
    pub(crate) store: Store,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) entry_node: NodeHandle,
    /// Addresses of the voters listed in the settings.
    pub(crate) voters: Vec<(VmId, SocketAddr)>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

impl ControlLoop {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub(crate) fn start(self) -> std::io::Result<(ControlHandle, JoinHandle<()>)> {
        let (input, receiver) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("control".into())
            .spawn(move || Runner::new(self).run(&receiver))?;
        Ok((ControlHandle { input }, thread))
    }
}

struct Runner {
    context: ControlLoop,
    pending_calls: HashMap<CallId, ReplyCallback>,
    next_call: CallId,
    storage_failed: bool,
    /// Time of the last request to join the group.
    last_join: Duration,
}

impl Runner {
    fn new(context: ControlLoop) -> Self {
        Runner {
            context,
            pending_calls: HashMap::new(),
            next_call: 1,
            storage_failed: false,
            last_join: Duration::ZERO,
        }
    }

    fn run(&mut self, input: &Receiver<Input>) {
        let mut last_tick = self.context.clock.now();
        loop {
            let wait = (last_tick + TICK_INTERVAL).saturating_sub(self.context.clock.now());
            match input.recv_timeout(wait) {
                Ok(Input::Event(event)) => self.handle_event(event),
                Ok(Input::Call { call, on_reply }) => {
                    let id = self.next_call;
                    self.next_call += 1;
                    self.pending_calls.insert(id, on_reply);
                    self.handle_event(ControlEvent::Call { id, call });
                }
                Ok(Input::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.context.clock.now() >= last_tick + TICK_INTERVAL {
                last_tick = self.context.clock.now();
                self.handle_event(ControlEvent::Tick);
                self.request_join(last_tick);
            }
        }
    }

    /// Asks the leader to add this voter to the group, as long as its identity has never voted.
    fn request_join(&mut self, now: Duration) {
        if !self.context.node.needs_join() || now < self.last_join + JOIN_INTERVAL {
            return;
        }
        self.last_join = now;
        self.context.entry_node.send(NodeInput::Call {
            from: None,
            call: Call::Control(ControlCall::Join(self.context.member)),
            reply_to: None,
        });
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = self.context.clock.now();
        for effect in self.context.node.step(event, now) {
            // Effects after a failed write may depend on it, so none of them is executed.
            if self.storage_failed {
                return;
            }
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Persist(persist) => {
                if let Err(err) = self.context.store.persist(&persist) {
                    error!(self.context.log, "control storage failed; this VM stops voting";
                           "error" => %err);
                    self.storage_failed = true;
                    self.pending_calls.clear();
                    let now = self.context.clock.now();
                    self.context.node.step(ControlEvent::StorageFailed, now);
                }
            }
            ControlEffect::Send { to, message } => {
                let Some(address) = self.address(member_vm(to)) else {
                    return;
                };
                let cast = Cast::ControlRaft {
                    from: self.context.member,
                    to,
                    message,
                };
                if let Ok(bytes) = postcard::to_stdvec(&cast) {
                    self.context.peers.cast(address, bytes);
                }
            }
            ControlEffect::Reply { id, reply } => {
                if let Some(on_reply) = self.pending_calls.remove(&id) {
                    on_reply(Ok(Reply::Control(reply)));
                }
            }
            ControlEffect::Role { role, term, leader } => {
                if role == Role::Leader {
                    self.context.metrics.count_election(GroupKind::Control);
                }
                info!(self.context.log, "control group role changed"; "role" => ?role,
                      "term" => term, "leader" => ?leader);
            }
        }
    }

    fn address(&self, vm: VmId) -> Option<SocketAddr> {
        let known = self.context.voters.iter().find(|(voter, _)| *voter == vm);
        known
            .map(|&(_, address)| address)
            .or_else(|| self.context.entry_node.address(vm))
    }
}

/// Returns the reply of a VM without the control role.
pub(crate) fn not_control_reply() -> Reply {
    Reply::Control(ControlReply::NotLeader(None))
}
