//! The VM's copy of the directory, and what the router and the domain group need of it.

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
    domain::Assigned, //
};

/// The directory as one VM knows it.
pub struct DirectoryView {
    cache: DirectoryCache,
    /// The VM's own domain, which decides which address of another VM it uses.
    domain: DomainName,
    /// Addresses of the control voters from the settings, for VMs that are not registered yet.
    seeds: BTreeMap<VmId, SocketAddr>,
}

/// What was new in a directory.
#[derive(Default)]
pub(crate) struct Changes {
    pub(crate) bundle: Option<(SignedBundle, Bundle)>,
    pub(crate) homes: bool,
    pub(crate) refused: Option<Box<str>>,
}

impl DirectoryView {
    pub(crate) fn new(config: &EntryConfig) -> Self {
        // A bundle on the disk that cannot be read any more still counts as acted on.
        let saved = config.bundle.as_ref().map(|signed| decode(&signed.bytes));
        let floor = match saved {
            Some(Ok(bundle)) => bundle.version,
            _ => 0,
        };
        DirectoryView {
            cache: DirectoryCache::new(floor),
            domain: config.info.domain.clone(),
            seeds: config.control_voters.iter().copied().collect(),
        }
    }

    /// Returns the copy itself.
    pub fn cache(&self) -> &DirectoryCache {
        &self.cache
    }

    /// Returns the addresses of all known VMs, as this VM reaches them.
    pub fn addresses(&self) -> BTreeMap<VmId, SocketAddr> {
        let mut addresses = self.seeds.clone();
        for info in self.cache.vms() {
            addresses.insert(info.vm, self.address_of(info));
        }
        addresses
    }

    pub(crate) fn address(&self, vm: VmId) -> Option<SocketAddr> {
        match self.cache.vm(vm) {
            Some(info) => Some(self.address_of(info)),
            None => self.seeds.get(&vm).copied(),
        }
    }

    fn address_of(&self, info: &VmInfo) -> SocketAddr {
        if info.domain == self.domain {
            info.inner
        } else {
            info.outer
        }
    }

    /// Tells whether the directory shows this run of the VM.
    pub(crate) fn shows(&self, own: &VmInfo) -> bool {
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

    /// Tells whether `other` has a part that is newer.
    pub(crate) fn lags(&self, other: &Versions) -> bool {
        let own = self.cache.versions();
        own.bundle < other.bundle
            || own.vms < other.vms
            || own.groups < other.groups
            || own.homes < other.homes
            || own.lost < other.lost
    }

    pub(crate) fn newer(&self, have: &Versions) -> Directory {
        self.cache.directory(have)
    }

    pub(crate) fn group(&self, domain: &str) -> Option<&Group> {
        self.cache.group(domain)
    }

    /// Returns the version of the bundle in force here, 0 for none.
    pub(crate) fn bundle_version(&self) -> u64 {
        self.cache.bundle().map_or(0, |bundle| bundle.version)
    }

    pub(crate) fn take(&mut self, directory: Directory) -> Changes {
        let taken = self.cache.merge(directory);
        let mut changes = Changes {
            homes: taken.homes || taken.vms || taken.bundle,
            refused: taken.rejected,
            ..Changes::default()
        };
        if taken.bundle
            && let (Some(signed), Some(bundle)) = (self.cache.signed_bundle(), self.cache.bundle())
        {
            changes.bundle = Some((signed.clone(), bundle.clone()));
        }
        changes
    }

    /// Returns the homes and VMs for the router.
    pub(crate) fn route_event(&self) -> RouteEvent {
        let homes = self
            .cache
            .all_homes()
            .iter()
            .map(|(service, runs)| ShardHomes {
                service: service.clone(),
                domains: self.homes_of(service, runs),
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

    fn homes_of(
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

    /// Returns the services and the shards homed in `domain`, for its group.
    pub(crate) fn assigned(&self, domain: &str) -> Assigned {
        let Some(bundle) = self.cache.bundle() else {
            return Assigned::default();
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
        Assigned {
            version: bundle.version,
            services: bundle.services.clone(),
            homes_version: self.cache.versions().homes,
            homes,
            confirmed: false,
            since: Duration::ZERO,
        }
    }
}
