//! Raft member ids that name their VM, so that a member's address follows from its id.

use camphordale_types::{
    Incarnation,
    MemberId,
    VmId, //
};

/// Returns the member id of `vm` with `nonce`, which tells apart the successive identities of
/// one VM.
///
/// # Examples
///
/// ```
/// use camphordale_node::{member_id, member_vm};
///
/// let member = member_id(7, 42);
/// assert_eq!(member_vm(member), 7);
/// assert_ne!(member, member_id(7, 43));
/// ```
pub fn member_id(vm: VmId, nonce: u32) -> MemberId {
    u64::from(vm) << 32 | u64::from(nonce)
}

/// Returns the VM of a member.
pub fn member_vm(member: MemberId) -> VmId {
    (member >> 32) as VmId
}

/// Returns the domain group member of one run of a VM's process.
pub fn domain_member_id(vm: VmId, incarnation: Incarnation) -> MemberId {
    member_id(vm, incarnation as u32)
}
