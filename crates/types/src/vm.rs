//! Registration of VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, Incarnation, VmId};

/// Information that a VM registers about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// The VM.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address for VMs of the same domain (TCP and UDP).
    pub inner: SocketAddr,
    /// Address for VMs of other domains (TCP).
    pub outer: SocketAddr,
    /// Whether the VM serves callers and may vote in the domain group.
    pub entry: bool,
}
