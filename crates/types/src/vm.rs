//! VMs of the system.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, Incarnation, VmId};

/// What a VM tells the others about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// The VM.
    pub vm: VmId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address for VMs of the same domain, TCP and UDP.
    pub inner: SocketAddr,
    /// Address for VMs of other domains, TCP.
    pub outer: SocketAddr,
    /// Whether the VM serves callers and may vote in the domain group.
    pub entry: bool,
}
