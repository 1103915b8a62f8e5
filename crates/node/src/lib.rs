//! The roles of one VM as reducers without I/O.
//!
//! [`ControlNode`] is the control role, which waits for its disk; [`EntryNode`] is everything
//! else: the session with the domain leader, the domain group member, the directory. They run
//! apart, so that a slow disk never delays a lease. Messages between VMs are in [`Cast`],
//! [`Datagram`] and [`Call`].

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

/// Id of a call, chosen by whoever makes it.
pub type CallId = u64;
