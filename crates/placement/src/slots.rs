//! Division of a target's slots between VMs.

use camphordale_types::{
    TargetId,
    VmId, //
};

/// Divides the `slots` of a target between `vms` and returns the shares in the order of `vms`.
///
/// The shares add up to `slots` and differ by at most one. Every VM computes the same division
/// from the same list. The position of the larger shares depends on the target, so that no VM
/// gets the larger share of every target.
///
/// # Examples
///
/// ```
/// use camphordale_placement::divide_slots;
///
/// assert_eq!(divide_slots(4, &[10, 11, 12], 0), [2, 1, 1]);
/// assert_eq!(divide_slots(4, &[10, 11, 12], 1), [1, 2, 1]);
/// assert!(divide_slots(4, &[], 1).is_empty());
/// ```
pub fn divide_slots(slots: u32, vms: &[VmId], target: TargetId) -> Vec<u32> {
    let count = vms.len() as u64;
    if count == 0 {
        return Vec::new();
    }
    let quotient = (u64::from(slots) / count) as u32;
    let remainder = u64::from(slots) % count;
    let first = target % count;
    (0..count)
        .map(|i| quotient + u32::from((i + count - first) % count < remainder))
        .collect()
}
