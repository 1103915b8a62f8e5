//! The thread of the entry node: feeds its reducer and carries out the effects.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        mpsc::{
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

use camphordale_net::{
    DatagramSocket,
    PeerClient, //
};
use camphordale_node::{
    Call,
    CallId,
    EntryEffect,
    EntryEvent,
    EntryNode,
    Reply, //
};
use camphordale_raft::Role;
use camphordale_route::Event as RouteEvent;
use camphordale_types::VmId;
use slog::{
    Logger,
    info,
    warn, //
};

use crate::{
    Clock,
    bundle_file::BundleFile,
    control_loop::ControlHandle,
    data_plane::Plane,
    metrics::{
        GroupKind,
        Metrics, //
    },
    node_handle::{
        Addresses,
        NodeHandle,
        NodeInput, //
    },
    peer_calls::{
        CallJob,
        CallPool, //
    },
    sync::lock, //
};

/// Time between ticks.
const TICK: Duration = Duration::from_millis(10);

/// What the thread works with.
pub(crate) struct EntryLoop {
    pub(crate) vm: VmId,
    pub(crate) clock: Clock,
    pub(crate) node: EntryNode,
    pub(crate) handle: NodeHandle,
    pub(crate) plane: Arc<Plane>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) calls: CallPool,
    pub(crate) control: Option<ControlHandle>,
    pub(crate) file: Option<BundleFile>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
    pub(crate) waiting: HashMap<CallId, Sender<Reply>>,
    pub(crate) next: CallId,
}

impl EntryLoop {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The system may refuse the thread.
    pub(crate) fn start(mut self, input: Receiver<NodeInput>) -> std::io::Result<JoinHandle<()>> {
        thread::Builder::new()
            .name("entry".into())
            .spawn(move || self.run(&input))
    }

    fn run(&mut self, input: &Receiver<NodeInput>) {
        let mut ticked = self.clock.now();
        self.event(EntryEvent::Tick);
        loop {
            let wait = (ticked + TICK).saturating_sub(self.clock.now());
            match input.recv_timeout(wait) {
                Ok(NodeInput::Event(event)) => self.event(event),
                Ok(NodeInput::Call { from, call, answer }) => self.call(from, call, answer),
                Ok(NodeInput::Inspect(read)) => read(&self.node, self.clock.now()),
                Ok(NodeInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            // A steady stream of input must not keep the ticks from running.
            if self.clock.now() >= ticked + TICK {
                ticked = self.clock.now();
                self.event(EntryEvent::Tick);
                self.plane.route(RouteEvent::Tick);
            }
        }
    }

    fn call(&mut self, from: Option<VmId>, call: Call, answer: Option<Sender<Reply>>) {
        let id = self.next;
        self.next += 1;
        if let Some(answer) = answer {
            self.waiting.insert(id, answer);
        }
        self.event(EntryEvent::Call { id, from, call });
    }

    fn event(&mut self, event: EntryEvent) {
        let now = self.clock.now();
        for effect in self.node.step(event, now) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Cast { address, cast, .. } => {
                if let Ok(bytes) = postcard::to_stdvec(&cast) {
                    self.peers.cast(address, bytes);
                }
            }
            EntryEffect::Datagram { address, datagram } => {
                if let Ok(bytes) = postcard::to_stdvec(&datagram) {
                    // A datagram may be lost, so one that cannot be sent counts as lost.
                    let _ = self.datagrams.send(address, &bytes);
                }
            }
            EntryEffect::Call {
                id,
                to,
                address,
                call,
                timeout,
            } => self.make_call(id, to, address, call, timeout),
            EntryEffect::Reply { id, reply } => {
                if let Some(answer) = self.waiting.remove(&id) {
                    // The caller may have stopped waiting.
                    let _ = answer.send(reply);
                }
            }
            EntryEffect::Route(event) => self.route(event),
            EntryEffect::BundleInForce { signed, bundle } => {
                let digest = signed.digest();
                info!(self.log, "bundle in force"; "version" => bundle.version,
                      "digest" => %digest.short());
                self.metrics.set_bundle(bundle.version);
                if let Some(file) = &self.file
                    && let Err(err) = file.save(&signed)
                {
                    warn!(self.log, "cannot save the bundle in force"; "error" => %err);
                }
            }
            EntryEffect::Role {
                group_term,
                role,
                epoch,
                leader,
            } => {
                if role == Role::Leader {
                    self.metrics.election(GroupKind::Domain);
                }
                info!(self.log, "domain group role changed"; "group" => group_term,
                      "role" => ?role, "epoch" => epoch, "leader" => ?leader);
            }
            EntryEffect::BundleRejected { reason } => {
                warn!(self.log, "newer bundle refused"; "reason" => &*reason);
            }
            EntryEffect::Lease { valid } => {
                self.metrics.set_lease(valid);
                info!(self.log, "lease changed"; "valid" => valid);
            }
        }
    }

    fn make_call(
        &mut self,
        id: CallId,
        to: VmId,
        address: std::net::SocketAddr,
        call: Call,
        timeout: Duration,
    ) {
        let handle = self.handle.clone();
        let done = move |result| handle.event(EntryEvent::Returned { id, result });
        match (&self.control, call) {
            (Some(control), Call::Control(call)) if to == self.vm => control.call_then(call, done),
            (None, Call::Control(_)) if to == self.vm => done(Err(false)),
            (_, call) => self.calls.run(CallJob {
                to,
                address,
                call,
                timeout,
                done: Box::new(done),
            }),
        }
    }

    fn route(&mut self, event: RouteEvent) {
        if let RouteEvent::Directory { .. } = &event {
            publish(self.handle.addresses(), &self.node);
        }
        self.plane.route(event);
    }
}

/// Publishes the VMs' addresses to the threads that forward requests.
fn publish(addresses: &Addresses, node: &EntryNode) {
    *lock(addresses) = node.directory().addresses();
}
