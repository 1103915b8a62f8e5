//! Takes messages of other VMs to the role they are for.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use camphordale_net::Handler;
use camphordale_node::{
    Call,
    Cast,
    ControlEvent,
    EntryEvent,
    Reply, //
};
use camphordale_types::VmId;

use crate::{
    control_loop::{
        ControlHandle,
        no_control, //
    },
    data_plane::Plane, //
    node_handle::NodeHandle,
};

/// Longest time a call of another VM may take here.
const LIMIT: Duration = Duration::from_secs(3);

/// The handler.
pub(crate) struct PeerHandler {
    pub(crate) node: NodeHandle,
    pub(crate) control: Option<ControlHandle>,
    pub(crate) plane: Arc<Plane>,
}

impl PeerHandler {
    fn answer(&self, from: VmId, call: Call) -> Reply {
        match call {
            Call::Forward(request) => Reply::Forwarded(self.plane.forwarded(from, request)),
            Call::Control(call) => match &self.control {
                Some(control) => control.call(call, LIMIT).unwrap_or_else(no_control),
                None => no_control(),
            },
            call => self
                .node
                .call(Some(from), call, LIMIT)
                .unwrap_or(Reply::Malformed),
        }
    }
}

impl Handler for PeerHandler {
    fn call(&self, from: u32, request: Vec<u8>) -> Vec<u8> {
        let reply = match postcard::from_bytes(&request) {
            Ok(call) => self.answer(from, call),
            Err(_) => Reply::Malformed,
        };
        postcard::to_stdvec(&reply).unwrap_or_default()
    }

    fn cast(&self, from: u32, message: Vec<u8>) {
        match postcard::from_bytes(&message) {
            Ok(Cast::ControlRaft {
                from: member,
                to,
                message,
            }) => {
                if let Some(control) = &self.control {
                    let from = member;
                    control.event(ControlEvent::Raft { from, to, message });
                }
            }
            Ok(cast) => self.node.event(EntryEvent::Cast { from, cast }),
            Err(_) => {}
        }
    }

    fn datagram(&self, from: u32, message: Vec<u8>, _source: SocketAddr) {
        if let Ok(datagram) = postcard::from_bytes(&message) {
            self.node.event(EntryEvent::Datagram { from, datagram });
        }
    }
}
