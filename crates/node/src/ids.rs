//! Raft member ids that contain the id of the VM, so that the address of a member can be looked up
//! by its id.

use camphordale_types::{
    Incarnation,
    MemberId,
    VmId, //
};

/// Returns the member id of `vm` with `nonce`, which distinguishes successive members on one VM.
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

/// Returns the domain group member id of one incarnation of a VM.
pub fn domain_member_id(vm: VmId, incarnation: Incarnation) -> MemberId {
    member_id(vm, incarnation as u32)
}
