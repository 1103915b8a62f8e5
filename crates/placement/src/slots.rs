//! Division of a target's slots over VMs.

use camphordale_types::{
    TargetId,
    VmId, //
};

/// Divides the `slots` of a target over `vms`, in their order.
///
/// The shares add up to `slots` and differ by at most one. Every VM computes the same division
/// from the same list. The remainder starts at a VM that depends on the target, so that one VM
/// does not get the larger share of every target.
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
    let each = (u64::from(slots) / count) as u32;
    let rest = u64::from(slots) % count;
    let first = target % count;
    (0..count)
        .map(|i| each + u32::from((i + count - first) % count < rest))
        .collect()
}
