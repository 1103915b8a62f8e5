//! The way from other threads to the entry node's thread.

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

/// Reads something off the node.
pub(crate) type Inspect = Box<dyn FnOnce(&EntryNode, Duration) + Send>;

/// Input of the entry node's thread.
pub(crate) enum NodeInput {
    /// An event of the reducer.
    Event(EntryEvent),
    /// A call, with the channel for its answer; none if nobody waits for it.
    Call {
        /// The VM that makes it, or none for this one.
        from: Option<VmId>,
        /// The call.
        call: Call,
        /// Where the answer goes.
        answer: Option<Sender<Reply>>,
    },
    /// Reads something off the node between two events.
    Inspect(Inspect),
    /// Ends the thread.
    Stop,
}

/// Addresses of the VMs, kept up to date by the node's thread.
pub(crate) type Addresses = Arc<Mutex<BTreeMap<VmId, SocketAddr>>>;

/// Handle on the entry node's thread.
#[derive(Clone)]
pub(crate) struct NodeHandle {
    input: Sender<NodeInput>,
    addresses: Addresses,
}

impl NodeHandle {
    pub(crate) fn new() -> (Self, Receiver<NodeInput>) {
        let (input, output) = mpsc::channel();
        let addresses = Addresses::default();
        (NodeHandle { input, addresses }, output)
    }

    pub(crate) fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the address of a VM.
    pub(crate) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        lock(&self.addresses).get(&vm).copied()
    }

    /// Sends an input; after the thread has ended it goes nowhere.
    pub(crate) fn send(&self, input: NodeInput) {
        let _ = self.input.send(input);
    }

    pub(crate) fn event(&self, event: EntryEvent) {
        self.send(NodeInput::Event(event));
    }

    pub(crate) fn report(&self, report: SenderReport) {
        self.event(EntryEvent::SenderReport(report));
    }

    /// Proposes a command to the domain group without waiting.
    pub(crate) fn propose(&self, command: Command) {
        self.send(NodeInput::Call {
            from: None,
            call: Call::Domain(DomainCall::Propose(command)),
            answer: None,
        });
    }

    /// Makes a call and waits for the answer, at most `limit`.
    pub(crate) fn call(&self, from: Option<VmId>, call: Call, limit: Duration) -> Option<Reply> {
        let (answer, output) = mpsc::channel();
        let answer = Some(answer);
        self.send(NodeInput::Call { from, call, answer });
        output.recv_timeout(limit).ok()
    }

    pub(crate) fn domain(&self, call: DomainCall, limit: Duration) -> Option<DomainReply> {
        match self.call(None, Call::Domain(call), limit) {
            Some(Reply::Domain(reply)) => Some(reply),
            _ => None,
        }
    }

    pub(crate) fn control(&self, call: ControlCall, limit: Duration) -> Option<ControlReply> {
        match self.call(None, Call::Control(call), limit) {
            Some(Reply::Control(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Runs `read` on the node's thread and returns its result.
    pub(crate) fn inspect<T, F>(&self, read: F) -> Option<T>
    where
        T: Send + 'static,
        F: FnOnce(&EntryNode, Duration) -> T + Send + 'static,
    {
        let (answer, output) = mpsc::channel();
        self.send(NodeInput::Inspect(Box::new(move |node, now| {
            let _ = answer.send(read(node, now));
        })));
        output.recv_timeout(INSPECT_LIMIT).ok()
    }
}

/// Longest wait for the node's thread.
const INSPECT_LIMIT: Duration = Duration::from_secs(2);
