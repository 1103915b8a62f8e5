//! Handle through which other threads send input to the entry node's thread and call it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        mpsc::{
            self,
            Receiver,
            Sender, //
        },
    },
    time::Duration,
};

use camphordale_domain::Command;
use camphordale_node::{
    Call,
    ControlCall,
    ControlReply,
    DomainCall,
    DomainReply,
    EntryEvent,
    EntryNode,
    Reply,
    SenderReport, //
};
use camphordale_types::VmId;

use crate::sync::lock;

/// A function that reads the node's state; it gets the node and the present time.
pub(crate) type Inspect = Box<dyn FnOnce(&EntryNode, Duration) + Send>;

/// Input of the entry node's thread.
pub(crate) enum NodeInput {
    /// An event of the state machine.
    Event(EntryEvent),
    /// A call from this VM or another one.
    Call {
        /// The VM that makes the call; none for this one.
        from: Option<VmId>,
        call: Call,
        /// Channel for the reply; none if the sender does not wait for it.
        reply_to: Option<Sender<Reply>>,
    },
    /// Runs a function on the node between two events.
    Inspect(Inspect),
    /// Stops the thread.
    Stop,
}

/// Addresses of the VMs, updated by the node's thread.
pub(crate) type Addresses = Arc<Mutex<BTreeMap<VmId, SocketAddr>>>;

/// Handle on the entry node's thread.
#[derive(Clone)]
pub(crate) struct NodeHandle {
    input: Sender<NodeInput>,
    addresses: Addresses,
}

impl NodeHandle {
    pub(crate) fn new() -> (Self, Receiver<NodeInput>) {
        let (input, receiver) = mpsc::channel();
        let addresses = Addresses::default();
        (NodeHandle { input, addresses }, receiver)
    }

    pub(crate) fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the address of a VM.
    pub(crate) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).get(&vm).copied()
    }

    /// Sends an input; it is dropped if the thread has stopped.
    pub(crate) fn send(&self, input: NodeInput) {
        let _ = self.input.send(input);
    }

    pub(crate) fn send_event(&self, event: EntryEvent) {
        self.send(NodeInput::Event(event));
    }

    pub(crate) fn send_report(&self, report: SenderReport) {
        self.send_event(EntryEvent::SenderReport(report));
    }

    /// Proposes a command to the domain group without waiting for its result.
    pub(crate) fn propose(&self, command: Command) {
        self.send(NodeInput::Call {
            from: None,
            call: Call::Domain(DomainCall::Propose(command)),
            reply_to: None,
        });
    }

    /// Makes a call and waits for the reply for at most `timeout`.
    pub(crate) fn call(&self, from: Option<VmId>, call: Call, timeout: Duration) -> Option<Reply> {
        let (reply_to, replies) = mpsc::channel();
        let reply_to = Some(reply_to);
        self.send(NodeInput::Call {
            from,
            call,
            reply_to,
        });
        replies.recv_timeout(timeout).ok()
    }

    pub(crate) fn call_domain(&self, call: DomainCall, timeout: Duration) -> Option<DomainReply> {
        match self.call(None, Call::Domain(call), timeout) {
            Some(Reply::Domain(reply)) => Some(reply),
            _ => None,
        }
    }

    pub(crate) fn call_control(
        &self,
        call: ControlCall,
        timeout: Duration,
    ) -> Option<ControlReply> {
        match self.call(None, Call::Control(call), timeout) {
            Some(Reply::Control(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Runs `read` on the node's thread and returns its result; none if the thread does not get to
    /// it within [`INSPECT_TIMEOUT`].
    pub(crate) fn inspect<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&EntryNode, Duration) -> T + Send + 'static,
    {
        let (sender, results) = mpsc::channel();
        self.send(NodeInput::Inspect(Box::new(move |node, now| {
            let _ = sender.send(read(node, now));
        })));
        results.recv_timeout(INSPECT_TIMEOUT).ok()
    }
}

/// Maximum wait for the node's thread.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(2);
