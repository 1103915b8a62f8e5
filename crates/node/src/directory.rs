//! The local copy of the directory, and the parts of it for the router and the domain group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use camphordale_bundle::{
    SignedBundle,
    decode, //
};
use camphordale_control::{
    Directory,
    DirectoryCache,
    Group,
    Versions, //
};
use camphordale_domain::HomedShard;
use camphordale_route::{
    Event as RouteEvent,
    ShardHomes,
    VmLocation, //
};
use camphordale_types::{
    Bundle,
    DomainName,
    VmId,
    VmInfo, //
};

use crate::{
    EntryConfig,
    domain::DomainAssignment, //
};

/// The local copy of the directory on one VM.
pub struct DirectoryView {
    cache: DirectoryCache,
    /// Failure domain of this VM: VMs in it are reached at their inner addresses, others at their
    /// outer ones.
    domain: DomainName,
    /// Addresses of the control voters from the settings, used until the voters are registered.
    voter_addresses: BTreeMap<VmId, SocketAddr>,
}

/// The parts that a merge has changed.
#[derive(Default)]
pub(crate) struct DirectoryChanges {
    pub(crate) bundle: Option<(SignedBundle, Bundle)>,
    pub(crate) homes: bool,
    /// The domains under evacuation.
    pub(crate) evacuated: bool,
    pub(crate) rejected: Option<Box<str>>,
}

impl DirectoryView {
    pub(crate) fn new(config: &EntryConfig) -> Self {
        // Bundles older than the one on the disk are not accepted; an unreadable one sets no bound.
        let saved = config.bundle.as_ref().map(|signed| decode(&signed.bytes));
        let floor = match saved {
            Some(Ok(bundle)) => bundle.version,
            _ => 0,
        };
        DirectoryView {
            cache: DirectoryCache::new(floor),
            domain: config.info.domain.clone(),
            voter_addresses: config.control_voters.iter().copied().collect(),
        }
    }

    /// Returns the cached directory.
    pub fn cache(&self) -> &DirectoryCache {
        &self.cache
    }

    /// Returns the addresses of all known VMs, as seen from this VM.
    pub fn addresses(&self) -> BTreeMap<VmId, SocketAddr> {
        let mut addresses = self.voter_addresses.clone();
        for info in self.cache.vms() {
            addresses.insert(info.vm, self.address_of(info));
        }
        addresses
    }

    pub(crate) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        match self.cache.vm(vm) {
            Some(info) => Some(self.address_of(info)),
            None => self.voter_addresses.get(&vm).copied(),
        }
    }

    fn address_of(&self, info: &VmInfo) -> SocketAddr {
        if info.domain == self.domain {
            info.inner
        } else {
            info.outer
        }
    }

    /// Returns whether the directory lists this incarnation of the VM.
    pub(crate) fn is_registered(&self, own: &VmInfo) -> bool {
        self.cache.vm(own.vm) == Some(own)
    }

    pub(crate) fn entry_vms<'a>(&'a self, domain: &'a str) -> impl Iterator<Item = VmId> + 'a {
        self.cache
            .vms()
            .iter()
            .filter(move |info| info.entry && &*info.domain == domain)
            .map(|info| info.vm)
    }

    pub(crate) fn versions(&self) -> Versions {
        self.cache.versions()
    }

    /// Returns whether a part of `other` is newer than the local copy.
    pub(crate) fn is_behind(&self, other: &Versions) -> bool {
        let own = self.cache.versions();
        own.bundle < other.bundle
            || own.vms < other.vms
            || own.groups < other.groups
            || own.homes < other.homes
            || own.lost < other.lost
    }

    pub(crate) fn newer_than(&self, versions: &Versions) -> Directory {
        self.cache.directory(versions)
    }

    pub(crate) fn group(&self, domain: &str) -> Option<&Group> {
        self.cache.group(domain)
    }

    /// Returns the version of the newest bundle in the local copy, 0 if there is none.
    pub(crate) fn bundle_version(&self) -> u64 {
        self.cache.bundle().map_or(0, |bundle| bundle.version)
    }

    pub(crate) fn merge(&mut self, directory: Directory) -> DirectoryChanges {
        let evacuated = self.cache.evacuated().to_vec();
        let merged = self.cache.merge(directory);
        let mut changes = DirectoryChanges {
            homes: merged.homes || merged.vms || merged.bundle,
            evacuated: evacuated != self.cache.evacuated(),
            rejected: merged.rejected,
            ..DirectoryChanges::default()
        };
        if merged.bundle
            && let (Some(signed), Some(bundle)) = (self.cache.signed_bundle(), self.cache.bundle())
        {
            changes.bundle = Some((signed.clone(), bundle.clone()));
        }
        changes
    }

    /// Returns the router event with the shard homes and the VMs.
    pub(crate) fn route_event(&self) -> RouteEvent {
        let homes = self
            .cache
            .all_homes()
            .iter()
            .map(|(service, runs)| ShardHomes {
                service: service.clone(),
                domains: self.shard_homes(service, runs),
            })
            .collect();
        let vms = self
            .cache
            .vms()
            .iter()
            .map(|info| VmLocation {
                vm: info.vm,
                domain: info.domain.clone(),
                entry: info.entry,
            })
            .collect();
        RouteEvent::Directory { homes, vms }
    }

    fn shard_homes(
        &self,
        service: &str,
        runs: &camphordale_control::HomeRanges,
    ) -> Vec<Option<DomainName>> {
        let count = self
            .cache
            .bundle()
            .and_then(|bundle| bundle.service(service))
            .map_or(0, camphordale_types::Service::shard_count);
        (0..count)
            .map(|index| runs.get(index).map(|home| home.domain.clone()))
            .collect()
    }

    /// Returns the services and the shards homed in `domain`.
    pub(crate) fn assignment(&self, domain: &str) -> DomainAssignment {
        let Some(bundle) = self.cache.bundle() else {
            return DomainAssignment::default();
        };
        let homes = self
            .cache
            .all_homes()
            .iter()
            .map(|(service, runs)| {
                let shards = runs
                    .iter()
                    .filter(|(_, home)| &*home.domain == domain)
                    .map(|(index, home)| HomedShard {
                        index,
                        since: home.since,
                        moved: home.moved,
                        leaving: home.next.as_deref().is_some_and(|next| next != domain),
                    })
                    .collect();
                (service.clone(), shards)
            })
            .collect();
        DomainAssignment {
            bundle_version: bundle.version,
            services: bundle.services.clone(),
            homes_version: self.cache.versions().homes,
            homes,
            confirmed: false,
            assigned_at: Duration::ZERO,
        }
    }
}
