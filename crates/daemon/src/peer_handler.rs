//! Dispatches messages of other VMs to the control node, the entry node or the data plane.

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
        not_control_reply, //
    },
    data_plane::DataPlane,
    node_handle::NodeHandle, //
};

/// Timeout of a call from another VM.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Handler of messages between VMs.
pub(crate) struct PeerHandler {
    pub(crate) node: NodeHandle,
    pub(crate) control: Option<ControlHandle>,
    pub(crate) data_plane: Arc<DataPlane>,
}

impl PeerHandler {
    fn handle_call(&self, from: VmId, call: Call) -> Reply {
        match call {
            Call::Forward(request) => {
                Reply::Forwarded(self.data_plane.serve_forwarded(from, request))
            }
            Call::Control(call) => match &self.control {
                Some(control) => control
                    .call(call, CALL_TIMEOUT)
                    .unwrap_or_else(not_control_reply),
                None => not_control_reply(),
            },
            call => self
                .node
                .call(Some(from), call, CALL_TIMEOUT)
                .unwrap_or(Reply::Malformed),
        }
    }
}

impl Handler for PeerHandler {
    fn call(&self, from: u32, request: Vec<u8>) -> Vec<u8> {
        let reply = match postcard::from_bytes(&request) {
            Ok(call) => self.handle_call(from, call),
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
                    control.send_event(ControlEvent::Raft { from, to, message });
                }
            }
            Ok(cast) => self.node.send_event(EntryEvent::Cast { from, cast }),
            Err(_) => {}
        }
    }

    fn datagram(&self, from: u32, message: Vec<u8>, _source: SocketAddr) {
        if let Ok(datagram) = postcard::from_bytes(&message) {
            self.node
                .send_event(EntryEvent::Datagram { from, datagram });
        }
    }
}
