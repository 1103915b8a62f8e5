//! The registered VMs.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use camphordale_types::{
    Incarnation,
    VmId,
    VmInfo, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of retired incarnations that are remembered per VM.
const MAX_RETIRED_INCARNATIONS: usize = 64;

/// The current incarnation of each VM, and its retired incarnations, which must not register again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Registry(BTreeMap<VmId, VmEntry>);

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VmEntry {
    info: Option<VmInfo>,
    retired: VecDeque<Incarnation>,
}

impl Registry {
    pub(crate) fn get(&self, vm: VmId) -> Option<&VmInfo> {
        self.0.get(&vm)?.info.as_ref()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &VmInfo> {
        self.0.values().filter_map(|entry| entry.info.as_ref())
    }

    /// Registers an incarnation of a VM; returns whether the registry changed.
    pub(crate) fn register(&mut self, info: &VmInfo) -> Result<bool, Box<str>> {
        let entry = self.0.entry(info.vm).or_default();
        if entry.retired.contains(&info.incarnation) {
            return Err(format!(
                "incarnation {} of VM {} was replaced",
                info.incarnation, info.vm
            )
            .into());
        }
        match &entry.info {
            Some(known) if known == info => return Ok(false),
            // Seals and votes are bound to an incarnation, so its domain and role cannot change.
            Some(known)
                if known.incarnation == info.incarnation
                    && (&known.domain, known.entry) != (&info.domain, info.entry) =>
            {
                return Err(format!(
                    "VM {} changed its domain or role without a restart",
                    info.vm
                )
                .into());
            }
            Some(known) if known.incarnation == info.incarnation => {}
            Some(_) => entry.retire(),
            None => {}
        }
        entry.info = Some(info.clone());
        Ok(true)
    }

    /// Removes a VM; returns whether it was registered.
    pub(crate) fn remove(&mut self, vm: VmId) -> bool {
        match self.0.get_mut(&vm) {
            Some(entry) if entry.info.is_some() => {
                entry.retire();
                true
            }
            _ => false,
        }
    }
}

impl VmEntry {
    fn retire(&mut self) {
        if let Some(info) = self.info.take() {
            self.retired.push_back(info.incarnation);
            if self.retired.len() > MAX_RETIRED_INCARNATIONS {
                self.retired.pop_front();
            }
        }
    }
}
