//! The state compared with a reference model that evaluates the whole log for every query.

mod common;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use camphordale_bundle::{
    SignedBundle,
    decode, //
};
use camphordale_control::{
    AuditEntry,
    Command,
    EvacuationOrder,
    Home,
    HomeChange,
    Outcome,
    Rejection,
    State,
    Versions,
    verify_audit, //
};
use camphordale_types::{
    Bundle,
    Digest,
    Incarnation,
    Operators,
    VmId,
    VmInfo, //
};
use common::{
    first_bundle,
    operators,
    run_histories,
    seeds,
    signed,
    successor_of,
    vm, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};

const DOMAINS: [&str; 3] = ["east", "north", "west"];

/// Reference model: the log indexes and commands that were accepted.
struct ReferenceModel {
    initial_operators: Operators,
    log: Vec<(u64, Command)>,
}

fn precondition(holds: bool) -> Result<Outcome, Outcome> {
    let failed = Outcome::Rejected(Rejection::PreconditionFailed("".into()));
    if holds {
        Ok(Outcome::Done)
    } else {
        Err(failed)
    }
}

impl ReferenceModel {
    fn find<Found>(&self, pick: impl Fn(u64, &Command) -> Option<Found>) -> Option<Found> {
        let mut backwards = self.log.iter().rev();
        backwards.find_map(|(index, command)| pick(*index, command))
    }

    fn bundles(&self) -> Vec<(Digest, Bundle)> {
        let submitted = self.log.iter().filter_map(|(_, command)| match command {
            Command::SubmitBundle { signed, .. } => Some(signed),
            _ => None,
        });
        let read = |s: &SignedBundle| (s.digest(), decode(&s.bytes).expect("accepted"));
        submitted.map(read).collect()
    }

    fn submit(&self, signed: &SignedBundle) -> Result<Outcome, Outcome> {
        let digest = signed.digest();
        let bundles = self.bundles();
        if let Some((_, bundle)) = bundles.iter().find(|(known, _)| *known == digest) {
            let version = bundle.version;
            return Err(Outcome::Accepted { version, digest });
        }
        let bad = Outcome::Rejected(Rejection::Bundle("".into()));
        let Ok(bundle) = decode(&signed.bytes) else {
            return Err(bad);
        };
        let version = bundle.version;
        let latest_version = bundles.len() as u64;
        let latest_digest = bundles.last().map(|(digest, _)| *digest);
        if (version, bundle.previous) != (latest_version + 1, latest_digest) {
            return Err(Outcome::Rejected(Rejection::Conflict {
                version,
                latest_version,
                latest_digest,
            }));
        }
        let operators = bundles
            .last()
            .map_or(&self.initial_operators, |(_, last)| &last.operators);
        // Each operator's signature is checked alone.
        let valid = operators.keys.iter().filter(|operator| {
            let keys = vec![(*operator).clone()];
            signed.verify(&Operators { needed: 1, keys }).is_ok()
        });
        let enough = valid.count() >= operators.needed as usize;
        let mut earlier = bundles.iter().flat_map(|(_, bundle)| &bundle.services);
        let remaps = earlier.any(|old| {
            let new = bundle.service(&old.name);
            new.is_some_and(|new| (old.shards, &old.key) != (new.shards, &new.key))
        });
        let accepted = Outcome::Accepted { version, digest };
        if enough && !remaps {
            Ok(accepted)
        } else {
            Err(bad)
        }
    }

    /// All registrations and removals of a VM in order; `None` is a removal.
    fn registrations(&self, vm: VmId) -> Vec<Option<&VmInfo>> {
        let registrations = self.log.iter().filter_map(|(_, command)| match command {
            Command::RegisterVm(info) if info.vm == vm => Some(Some(info)),
            Command::RemoveVm { vm: removed, .. } if *removed == vm => Some(None),
            _ => None,
        });
        registrations.collect()
    }

    fn current(&self, vm: VmId) -> Option<&VmInfo> {
        self.registrations(vm).last().copied().flatten()
    }

    fn may_register(&self, info: &VmInfo) -> bool {
        let mut used = self.registrations(info.vm).into_iter().flatten();
        match self.current(info.vm) {
            Some(vm) if vm.incarnation == info.incarnation => {
                (&vm.domain, vm.entry) == (&info.domain, info.entry)
            }
            _ => used.all(|vm| vm.incarnation != info.incarnation),
        }
    }

    fn lost(&self, domain: &str) -> bool {
        let last = self.find(|_, command| match command {
            Command::DeclareLost { domain: name, .. } if **name == *domain => Some(true),
            Command::ReturnDomain { domain: name, .. } if **name == *domain => Some(false),
            _ => None,
        });
        last.unwrap_or(false)
    }

    /// The last order about the evacuation of a domain that took effect.
    fn evacuation(&self, domain: &str) -> Option<EvacuationOrder> {
        self.find(|_, command| match command {
            Command::Evacuate {
                domain: name,
                order,
                ..
            } if **name == *domain => Some(*order),
            _ => None,
        })
    }

    fn term(&self, domain: &str) -> u64 {
        let formed = self.find(|index, command| match command {
            Command::FormGroup { domain: name, .. } if **name == *domain => Some(index),
            _ => None,
        });
        formed.unwrap_or(0)
    }

    fn may_form(&self, domain: &str, members: &[(VmId, Incarnation)]) -> bool {
        let ids: BTreeSet<VmId> = members.iter().map(|member| member.0).collect();
        let fits = |(vm, incarnation): &(VmId, Incarnation)| {
            let vm = self.current(*vm).filter(|vm| vm.entry);
            vm.is_some_and(|vm| (vm.incarnation, &*vm.domain) == (*incarnation, domain))
        };
        let count = ids.len() == members.len() && (1..=5).contains(&ids.len());
        count && !self.lost(domain) && members.iter().all(fits)
    }

    fn knows(&self, domain: &str) -> bool {
        let mut vms = (0..8).filter_map(|vm| self.current(vm));
        let homes = self.homes();
        vms.any(|vm| *vm.domain == *domain)
            || self.term(domain) > 0
            || homes.values().any(|home| *home.domain == *domain)
    }

    /// The homes of all shards, computed by applying one change after the other.
    fn homes(&self) -> BTreeMap<(Box<str>, u32), Home> {
        let mut homes: BTreeMap<(Box<str>, u32), Home> = BTreeMap::new();
        let mut latest: Option<Bundle> = None;
        for (index, command) in &self.log {
            let (service, changes) = match command {
                Command::SetHomes {
                    service, changes, ..
                } => (service, changes),
                Command::SubmitBundle { signed, .. } => {
                    latest = decode(&signed.bytes).ok();
                    continue;
                }
                _ => continue,
            };
            let known = latest.as_ref().and_then(|b| b.service(service));
            let count = known.map_or(0, |service| service.shard_count());
            for change in changes.iter().filter(|change| change.index < count) {
                let key = (service.clone(), change.index);
                let old = homes.get(&key).cloned();
                if old.as_ref().map_or(0, |home| home.since) != change.expected_since {
                    continue;
                }
                let back = old.as_ref().is_some_and(|home| home.domain == change.to);
                let idle = old.as_ref().is_some_and(|home| home.next.is_none());
                let to = change.to.clone();
                let home = match old {
                    Some(_) if back && idle => continue,
                    Some(old) if !back && !change.immediate => Home {
                        next: Some(to),
                        ..old
                    },
                    old => Home {
                        domain: to,
                        since: *index,
                        moved: old.is_some_and(|old| old.moved || !back),
                        next: None,
                    },
                };
                homes.insert(key, home);
            }
        }
        homes
    }

    /// Longest domain lease of `berths` under any bundle that the domain may have in force.
    fn lease(&self, domain: &str) -> Option<Duration> {
        let mut accepted = 0;
        let mut known = 0;
        for (_, command) in &self.log {
            match command {
                Command::SubmitBundle { .. } => accepted += 1,
                Command::FormGroup { domain: name, .. } if **name == *domain => known = accepted,
                Command::InForce {
                    domain: name,
                    version,
                    ..
                } if **name == *domain => {
                    known = known.max(*version);
                }
                _ => {}
            }
        }
        let bundles = self.bundles();
        let possible = bundles.iter().filter(|(_, bundle)| bundle.version >= known);
        let leases: Option<Vec<Duration>> = possible
            .map(|(_, bundle)| bundle.services[0].domain_lease)
            .collect();
        leases?.into_iter().max()
    }

    fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        let result = match command {
            Command::SubmitBundle { signed, .. } => self.submit(signed),
            Command::RegisterVm(info) => precondition(self.may_register(info)),
            Command::FormGroup {
                domain,
                replaces,
                members,
            } => precondition(*replaces == self.term(domain) && self.may_form(domain, members)),
            Command::SetHomes {
                service, bundle, ..
            } => {
                let bundles = self.bundles();
                let known = bundles.last().filter(|(_, b)| b.service(service).is_some());
                precondition(known.is_some_and(|(_, latest)| latest.version == *bundle))
            }
            Command::InForce {
                domain,
                term,
                version,
            } => {
                let accepted = *version <= self.bundles().len() as u64;
                precondition(accepted && self.term(domain) == *term && *term > 0)
            }
            Command::DeclareLost { domain, .. } if !self.knows(domain) => precondition(false),
            Command::RemoveVm { vm, .. } if self.current(*vm).is_none() => Err(Outcome::Done),
            Command::DeclareLost { domain, .. } if self.lost(domain) => Err(Outcome::Done),
            Command::ReturnDomain { domain, .. } if !self.lost(domain) => Err(Outcome::Done),
            Command::Evacuate { domain, order, .. } => match self.evacuation(domain) {
                Some(last) if last == *order => Err(Outcome::Done),
                Some(_) => Ok(Outcome::Done),
                None => precondition(*order == EvacuationOrder::Start && self.knows(domain)),
            },
            _ => Ok(Outcome::Done),
        };
        if result.is_ok() {
            self.log.push((index, command.clone()));
        }
        result.unwrap_or_else(|outcome| outcome)
    }
}

/// Generates commands of concurrent operators and of VMs that register and are removed.
struct CommandGenerator {
    rng: StdRng,
    /// Bundles submitted so far, for resubmissions.
    submitted: Vec<SignedBundle>,
    /// The latest bundle as known to each operator.
    known_latest: [Option<(Digest, Bundle)>; 3],
}

impl CommandGenerator {
    fn bundle(&mut self, model: &ReferenceModel) -> SignedBundle {
        let rng = &mut self.rng;
        if !self.submitted.is_empty() && rng.random_bool(0.25) {
            return self.submitted.choose(rng).expect("not empty").clone();
        }
        let accepted = model.bundles();
        let known_latest = &mut self.known_latest[rng.random_range(0..3)];
        if rng.random_bool(0.7) {
            *known_latest = accepted.last().cloned();
        }
        let mut bundle = match &known_latest {
            None => first_bundle(operators(1, &[1, 2, 3])),
            Some((digest, bundle)) => {
                // Sometimes an operator rolls back to older content.
                let old = accepted.choose(rng).filter(|_| rng.random_bool(0.2));
                let content = old.map_or(bundle, |(_, old)| old);
                successor_of(content, bundle.version, Some(*digest))
            }
        };
        edit(&mut bundle, rng);
        let all = rng.random_bool(0.5);
        let signers: Vec<u8> = (1..=5).filter(|_| all || rng.random_bool(0.6)).collect();
        let mut signed = signed(&bundle, &signers);
        let corruption = rng.random_range(0..12);
        let at = rng.random_range(0..signed.bytes.len());
        match corruption {
            0 => signed.bytes.push(0),
            1 => signed.bytes[at] ^= 1 << rng.random_range(0..8u8),
            _ => {}
        }
        for signature in &mut signed.signatures {
            match corruption {
                2 => signature.bytes[at % 64] ^= 1,
                // All signatures name the same operator.
                3 => signature.operator = "op-1".into(),
                _ => {}
            }
        }
        self.submitted.push(signed.clone());
        signed
    }

    fn command(&mut self, model: &ReferenceModel) -> Command {
        let rng = &mut self.rng;
        let (at, kind, number) = (
            rng.random_range(0..1000),
            rng.random_range(0..22),
            rng.random_range(0..8),
        );
        let domain: Box<str> = (*DOMAINS.choose(rng).expect("not empty")).into();
        let by: Box<str> = "op-1".into();
        let term = model.term(&domain);
        match kind {
            0..=6 => {
                let signed = self.bundle(model);
                Command::SubmitBundle { signed, at }
            }
            7..=9 => {
                let mut info = vm(number, rng.random_range(0..5), &domain);
                info.entry = rng.random_bool(0.9);
                Command::RegisterVm(info)
            }
            10..=11 => {
                let vms = (0..8).filter_map(|vm| model.current(vm));
                let vms = vms.filter(|vm| vm.domain == domain || rng.random_bool(0.02));
                let members = vms.map(|vm| (vm.vm, vm.incarnation)).collect();
                let replaces = if rng.random_bool(0.9) { term } else { 0 };
                Command::FormGroup {
                    domain,
                    replaces,
                    members,
                }
            }
            12..=14 => self.homes(model),
            15 => Command::DeclareLost { domain, by, at },
            16 => Command::ReturnDomain { domain, by, at },
            17 => Command::RemoveVm { vm: number, by, at },
            18 => {
                let version = rng.random_range(0..4);
                Command::InForce {
                    domain,
                    term,
                    version,
                }
            }
            19..=20 => {
                let order = match rng.random() {
                    true => EvacuationOrder::Start,
                    false => EvacuationOrder::End,
                };
                Command::Evacuate {
                    domain,
                    order,
                    by,
                    at,
                }
            }
            _ => Command::RecordAction {
                action: "checked the backups".into(),
                by,
                at,
            },
        }
    }

    fn homes(&mut self, model: &ReferenceModel) -> Command {
        let rng = &mut self.rng;
        let homes = model.homes();
        let latest = model.bundles().len() as u64;
        let bundle = latest.saturating_sub(u64::from(rng.random_bool(0.1)));
        let service: Box<str> = if rng.random() { "berths" } else { "extra" }.into();
        let mut changes = Vec::new();
        for index in 0..11 {
            let home = homes.get(&(service.clone(), index));
            let since = home.map_or(0, |home| home.since);
            let change = HomeChange {
                index,
                expected_since: since.saturating_sub(u64::from(rng.random_bool(0.2))),
                to: (*DOMAINS.choose(rng).expect("not empty")).into(),
                immediate: rng.random_bool(0.6),
            };
            if rng.random_bool(0.4) {
                changes.push(change);
            }
        }
        Command::SetHomes {
            service,
            bundle,
            changes,
        }
    }
}

/// Changes a bundle at random: the percentage of the new system, hot keys, domain lease, operators,
/// an additional service, and sometimes the number of shards, which must be refused.
fn edit(bundle: &mut Bundle, rng: &mut StdRng) {
    if rng.random_bool(0.3) {
        let mut seeds: Vec<u8> = (1..=5).filter(|_| rng.random_bool(0.7)).collect();
        seeds.push(6);
        bundle.operators = operators(rng.random_range(1..=seeds.len().min(3) as u32), &seeds);
    }
    let extra = bundle
        .services
        .iter()
        .position(|service| &*service.name == "extra");
    match extra {
        _ if rng.random_bool(0.7) => {}
        Some(at) => drop(bundle.services.remove(at)),
        None => {
            let mut extra = bundle.services[0].clone();
            extra.name = "extra".into();
            extra.route.prefix = "/extra".into();
            extra.shards = if rng.random_bool(0.9) { 8 } else { 9 };
            bundle.services.insert(1, extra);
        }
    }
    let berths = &mut bundle.services[0];
    berths.new_percent = rng.random_range(0..=100);
    let hot = 0..rng.random_range(0..3);
    berths.hot_keys = hot.map(|i| format!("k{i}").into()).collect();
    let lease = rng.random_range(0..8);
    berths.domain_lease = (lease > 0).then(|| Duration::from_secs(lease));
    berths.shards += u32::from(rng.random_bool(0.05));
}

/// Returns the outcome without the text of a refusal.
fn without_text(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Rejected(Rejection::Bundle(_)) => Outcome::Rejected(Rejection::Bundle("".into())),
        Outcome::Rejected(Rejection::PreconditionFailed(_)) => {
            Outcome::Rejected(Rejection::PreconditionFailed("".into()))
        }
        other => other.clone(),
    }
}

fn assert_equal(state: &State, model: &ReferenceModel) {
    let bundles = model.bundles();
    let latest = bundles
        .last()
        .map(|(digest, bundle)| (bundle.version, *digest));
    assert_eq!(state.latest_bundle_id(), latest);
    assert_eq!(state.bundle(), bundles.last().map(|(_, bundle)| bundle));
    for number in 0..8 {
        assert_eq!(state.vm(number), model.current(number));
    }
    for domain in DOMAINS {
        let term = state.group(domain).map_or(0, |group| group.term);
        assert_eq!(term, model.term(domain));
        assert_eq!(state.is_lost(domain), model.lost(domain));
        let evacuated = model.evacuation(domain) == Some(EvacuationOrder::Start);
        assert_eq!(state.is_evacuated(domain), evacuated);
        let lease = state
            .serving_bound(domain, "berths")
            .and_then(|bound| bound.lease);
        assert_eq!(lease, model.lease(domain));
    }
    let mut homes = BTreeMap::new();
    for service in ["berths", "extra"] {
        let shards = state
            .homes(service)
            .into_iter()
            .flat_map(|ranges| ranges.iter());
        homes.extend(shards.map(|(index, home)| ((service.into(), index), home.clone())));
    }
    assert_eq!(homes, model.homes());
    let audited = model.log.iter().filter_map(|(_, command)| match command {
        Command::SubmitBundle { at, .. }
        | Command::RemoveVm { at, .. }
        | Command::DeclareLost { at, .. }
        | Command::ReturnDomain { at, .. }
        | Command::Evacuate { at, .. }
        | Command::RecordAction { at, .. } => Some(*at),
        _ => None,
    });
    let entries = state.audit().to_vec();
    assert_eq!(verify_audit(&entries), Ok(()));
    assert!(entries.iter().map(|entry| entry.at).eq(audited));
    let accepted = entries.iter().filter(|entry| entry.before != entry.after);
    let digests = bundles.iter().map(|(digest, _)| Some(*digest));
    assert!(accepted.map(|entry| entry.after).eq(digests));
}

fn history(seed: u64) {
    let initial_operators = operators(2, &[1, 2, 3]);
    let mut state = State::new(initial_operators.clone());
    let mut model = ReferenceModel {
        initial_operators,
        log: Vec::new(),
    };
    let mut generator = CommandGenerator {
        rng: StdRng::seed_from_u64(seed),
        submitted: Vec::new(),
        known_latest: [None, None, None],
    };
    for step in 0..40u64 {
        let index = 2 * step + 1;
        let command = generator.command(&model);
        let before = state.directory(&Versions::default());
        let version = state.latest_bundle_id().map(|latest| latest.0);
        let outcome = state.apply(index, &command);
        let expected = model.apply(index, &command);
        assert_eq!(without_text(&outcome), expected, "step {step}: {command:?}");
        assert!(state.latest_bundle_id().map(|latest| latest.0) >= version);
        if matches!(outcome, Outcome::Rejected(_)) {
            let after = state.directory(&Versions::default());
            assert_eq!(
                after, before,
                "a refused command must not change the directory"
            );
        }
        if step % 13 == 7 {
            assert_equal(&state, &model);
            state = State::decode(&state.encode()).expect("a snapshot can be decoded");
        }
    }
    assert_equal(&state, &model);
    // Applying the log again after a snapshot has no effect.
    let end = state.clone();
    for (index, command) in &model.log {
        let outcome = state.apply(*index, command);
        assert!(matches!(
            outcome,
            Outcome::Rejected(Rejection::PreconditionFailed(_))
        ));
    }
    assert_eq!(state, end);
}

#[test]
fn random_histories_agree_with_the_reference_model() {
    run_histories(seeds(500), history);
}

/// The audit trail must stay verifiable after old entries were dropped.
#[test]
fn the_audit_trail_is_bounded() {
    let mut state = State::new(operators(1, &[1]));
    let (action, by): (Box<str>, Box<str>) = ("x".into(), "op-1".into());
    let note = Command::RecordAction { action, by, at: 1 };
    for index in 1..=10_020 {
        state.apply(index, &note);
    }
    let entries = state.audit().to_vec();
    assert_eq!((entries.len(), entries[0].number), (10_000, 21));
    assert_eq!(state.audit().base(), (20, entries[0].previous));
    assert_eq!(verify_audit(&entries), Ok(()));
    assert_eq!(State::decode(&state.encode()).unwrap(), state);
    // Every kind of alteration is detected.
    let altered = |alter: fn(&mut Vec<AuditEntry>)| {
        let mut entries = entries.clone();
        alter(&mut entries);
        verify_audit(&entries).is_err()
    };
    assert!(altered(|entries| entries[5].at = 2));
    assert!(altered(|entries| drop(entries.remove(5))));
    assert!(altered(|entries| entries.swap(5, 6)));
    assert!(altered(|entries| entries[5].hash = entries[6].hash));
}

/// Guards against rollbacks that fail because the earlier bundle was dropped, and against keeping
/// all bundles.
#[test]
fn the_most_recent_bundles_are_kept() {
    let mut state = State::new(operators(1, &[1]));
    let first = first_bundle(operators(1, &[1]));
    state.apply(1, &common::submission(&first, 1));
    for index in 2..=40 {
        let next = common::next_bundle(&state);
        state.apply(index, &common::submission(&next, 1));
    }
    let state = State::decode(&state.encode()).unwrap();
    let version = |version| {
        let signed = state.signed_bundle_at(version)?;
        camphordale_bundle::decode(&signed.bytes)
            .ok()
            .map(|bundle| bundle.version)
    };
    assert_eq!(version(40), Some(40));
    assert_eq!(version(39), Some(39));
    assert_eq!(version(8), Some(8));
    assert_eq!(version(7), None);
    assert_eq!(version(41), None);
}

/// Guards against an evacuation of a mistyped domain that is acknowledged, a repeated order with
/// another answer or a second record, and refused orders that change anything.
#[test]
fn evacuation_orders_are_idempotent_and_refused_without_effect() {
    let mut state = State::new(operators(1, &[1]));
    state.apply(1, &Command::RegisterVm(vm(1, 1, "east")));
    state.apply(2, &Command::RegisterVm(vm(2, 1, "west")));
    let (start, end) = (EvacuationOrder::Start, EvacuationOrder::End);
    let untouched = (state.versions(), state.encode()[2..].to_vec());
    for (index, (domain, order, text)) in [
        ("nrth", start, "domain nrth is not known"),
        ("nrth", end, "domain nrth is not known"),
        ("", start, "domain  is not known"),
        ("east", end, "domain east was never evacuated"),
    ]
    .into_iter()
    .enumerate()
    {
        let outcome = state.apply(3 + index as u64, &common::evacuate(domain, order));
        let refused = Rejection::PreconditionFailed(text.into());
        assert_eq!(outcome, Outcome::Rejected(refused));
        assert_eq!((state.versions(), state.encode()[2..].to_vec()), untouched);
    }
    for (index, order) in (10..).zip([start, start, end, end, start]) {
        let outcome = state.apply(index, &common::evacuate("east", order));
        assert_eq!(outcome, Outcome::Done);
        assert_eq!(state.is_evacuated("east"), order == start);
    }
    // The order is acknowledged again after the last VM of the domain was removed.
    let remove = Command::RemoveVm {
        vm: 1,
        by: "op-1".into(),
        at: 0,
    };
    state.apply(20, &remove);
    assert_eq!(
        state.apply(21, &common::evacuate("east", start)),
        Outcome::Done
    );
    let actions: Vec<&str> = state.audit().iter().map(|entry| &*entry.action).collect();
    let (evacuated, readmitted) = ("domain east evacuated", "domain east readmitted");
    assert_eq!(actions, [evacuated, readmitted, evacuated, "VM 1 removed"]);
}
