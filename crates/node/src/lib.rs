//! The roles of one VM as sans-I/O state machines.
//!
//! [`ControlNode`] is the control role, which waits for disk writes. [`EntryNode`] is everything
//! else: the session with the domain leader, the domain group member and the directory. They run
//! on separate threads, so that a slow disk does not delay lease renewals. Messages between VMs
//! are defined by [`Cast`], [`Datagram`] and [`Call`].

mod calls;
mod control;
mod directory;
mod domain;
mod entry;
mod ids;
mod message;

pub use control::{
    ControlConfig,
    ControlEffect,
    ControlEvent,
    ControlNode, //
};
pub use entry::{
    EntryConfig,
    EntryEffect,
    EntryEvent,
    EntryNode,
    EntryStatus, //
};
pub use ids::{
    domain_member_id,
    member_id,
    member_vm, //
};
pub use message::{
    Call,
    Cast,
    ControlCall,
    ControlReply,
    Datagram,
    DomainCall,
    DomainReply,
    ForwardedRequest,
    ForwardedResponse,
    MemberList,
    Reply,
    SenderReport,
    VmVersion, //
};

/// Id of a call, chosen by the caller.
pub type CallId = u64;
