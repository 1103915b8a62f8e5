//! The thread that runs the entry node: passes it events and executes its effects.

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
    data_plane::DataPlane,
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

const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The entry node and what its thread needs to run it.
pub(crate) struct EntryLoop {
    pub(crate) vm: VmId,
    pub(crate) clock: Clock,
    pub(crate) node: EntryNode,
    pub(crate) handle: NodeHandle,
    pub(crate) data_plane: Arc<DataPlane>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) datagrams: Arc<DatagramSocket>,
    pub(crate) call_pool: CallPool,
    /// Handle on the control node, if this VM runs one.
    pub(crate) control: Option<ControlHandle>,
    pub(crate) bundle_file: Option<BundleFile>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
    /// Channels for the replies to calls whose senders wait.
    pub(crate) pending_calls: HashMap<CallId, Sender<Reply>>,
    pub(crate) next_call: CallId,
}

impl EntryLoop {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub(crate) fn start(mut self, input: Receiver<NodeInput>) -> std::io::Result<JoinHandle<()>> {
        thread::Builder::new()
            .name("entry".into())
            .spawn(move || self.run(&input))
    }

    fn run(&mut self, input: &Receiver<NodeInput>) {
        let mut last_tick = self.clock.now();
        self.handle_event(EntryEvent::Tick);
        loop {
            let wait = (last_tick + TICK_INTERVAL).saturating_sub(self.clock.now());
            match input.recv_timeout(wait) {
                Ok(NodeInput::Event(event)) => self.handle_event(event),
                Ok(NodeInput::Call {
                    from,
                    call,
                    reply_to,
                }) => self.handle_call(from, call, reply_to),
                Ok(NodeInput::Inspect(read)) => read(&self.node, self.clock.now()),
                Ok(NodeInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Checked after each input, so that a steady stream of input does not suppress ticks.
            if self.clock.now() >= last_tick + TICK_INTERVAL {
                last_tick = self.clock.now();
                self.handle_event(EntryEvent::Tick);
                self.data_plane.handle_router_event(RouteEvent::Tick);
            }
        }
    }

    fn handle_call(&mut self, from: Option<VmId>, call: Call, reply_to: Option<Sender<Reply>>) {
        let id = self.next_call;
        self.next_call += 1;
        if let Some(reply_to) = reply_to {
            self.pending_calls.insert(id, reply_to);
        }
        self.handle_event(EntryEvent::Call { id, from, call });
    }

    fn handle_event(&mut self, event: EntryEvent) {
        let now = self.clock.now();
        for effect in self.node.step(event, now) {
            self.execute(effect);
        }
    }

    fn execute(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Cast { address, cast, .. } => {
                if let Ok(bytes) = postcard::to_stdvec(&cast) {
                    self.peers.cast(address, bytes);
                }
            }
            EntryEffect::Datagram { address, datagram } => {
                if let Ok(bytes) = postcard::to_stdvec(&datagram) {
                    // Datagrams may be lost, so a failure to send one is ignored.
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
                if let Some(reply_to) = self.pending_calls.remove(&id) {
                    // The caller may have timed out.
                    let _ = reply_to.send(reply);
                }
            }
            EntryEffect::Route(event) => self.handle_router_event(event),
            EntryEffect::BundleInForce { signed, bundle } => {
                let digest = signed.digest();
                info!(self.log, "bundle in force"; "version" => bundle.version,
                      "digest" => %digest.short());
                self.metrics.set_bundle(bundle.version);
                if let Some(file) = &self.bundle_file
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
                    self.metrics.count_election(GroupKind::Domain);
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
        let on_reply = move |result| handle.send_event(EntryEvent::Returned { id, result });
        match (&self.control, call) {
            (Some(control), Call::Control(call)) if to == self.vm => {
                control.call_with(call, on_reply)
            }
            (None, Call::Control(_)) if to == self.vm => on_reply(Err(false)),
            (_, call) => self.call_pool.run(CallJob {
                to,
                address,
                call,
                timeout,
                on_reply: Box::new(on_reply),
            }),
        }
    }

    fn handle_router_event(&mut self, event: RouteEvent) {
        if let RouteEvent::Directory { .. } = &event {
            publish_addresses(self.handle.addresses(), &self.node);
        }
        if let RouteEvent::Evacuated { domains } = &event {
            info!(self.log, "evacuated domains changed"; "domains" => domains.join(","));
        }
        self.data_plane.handle_router_event(event);
    }
}

/// Publishes the VMs' addresses to the threads that forward requests.
fn publish_addresses(addresses: &Addresses, node: &EntryNode) {
    *lock(addresses) = node.directory().addresses();
}
