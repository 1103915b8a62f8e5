//! The state against a naive version that replays the whole history for every answer.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use camphordale_bundle::{SignedBundle, decode};
use camphordale_control::{
    Command, Home, HomeChange, Outcome, Rejection, State, Versions, verify_audit,
};
use camphordale_types::{Bundle, Digest, Incarnation, Operators, VmId, VmInfo};
use common::{first_bundle, following, operators, run_histories, seeds, signed, vm};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

const DOMAINS: [&str; 3] = ["east", "north", "west"];

/// The naive version: the commands that took effect, with their log index.
struct Naive {
    first: Operators,
    log: Vec<(u64, Command)>,
}

impl Naive {
    fn bundles(&self) -> Vec<(Digest, Bundle)> {
        let submitted = self.log.iter().filter_map(|(_, command)| match command {
            Command::SubmitBundle { signed, .. } => Some(signed),
            _ => None,
        });
        submitted
            .map(|s| (s.digest(), decode(&s.bytes).expect("accepted")))
            .collect()
    }

    fn submit(&self, signed: &SignedBundle) -> Result<Outcome, Outcome> {
        let digest = signed.digest();
        let bundles = self.bundles();
        if let Some((_, bundle)) = bundles.iter().find(|(known, _)| *known == digest) {
            return Err(Outcome::Accepted {
                version: bundle.version,
                digest,
            });
        }
        let bad = || Outcome::Rejected(Rejection::Bundle("".into()));
        let bundle = decode(&signed.bytes).map_err(|_| bad())?;
        let last = bundles.last();
        let standing_version = last.map_or(0, |(_, bundle)| bundle.version);
        let standing = last.map(|(digest, _)| *digest);
        let version = bundle.version;
        if (version, bundle.previous) != (standing_version + 1, standing) {
            return Err(Outcome::Rejected(Rejection::Conflict {
                version,
                standing_version,
                standing,
            }));
        }
        let operators = last.map_or(&self.first, |(_, bundle)| &bundle.operators);
        // Each operator's signature is checked alone.
        let valid = operators.keys.iter().filter(|operator| {
            let alone = Operators {
                needed: 1,
                keys: vec![(*operator).clone()],
            };
            signed.verify(&alone).is_ok()
        });
        if valid.count() < operators.needed as usize {
            return Err(bad());
        }
        let earlier = bundles.iter().flat_map(|(_, bundle)| &bundle.services);
        for old in earlier {
            if let Some(new) = bundle.service(&old.name)
                && (old.shards, &old.key) != (new.shards, &new.key)
            {
                return Err(bad());
            }
        }
        Ok(Outcome::Accepted { version, digest })
    }

    /// All registrations and removals of a VM in order; none is a removal.
    fn runs(&self, vm: VmId) -> Vec<Option<&VmInfo>> {
        let runs = self.log.iter().filter_map(|(_, command)| match command {
            Command::RegisterVm(info) if info.vm == vm => Some(Some(info)),
            Command::RemoveVm { vm: removed, .. } if *removed == vm => Some(None),
            _ => None,
        });
        runs.collect()
    }

    fn current(&self, vm: VmId) -> Option<&VmInfo> {
        self.runs(vm).last().copied().flatten()
    }

    fn register(&self, info: &VmInfo) -> bool {
        let runs = self.runs(info.vm);
        let current = self.current(info.vm);
        let used = runs
            .iter()
            .flatten()
            .any(|run| run.incarnation == info.incarnation);
        match current {
            Some(run) if run.incarnation == info.incarnation => {
                (&run.domain, run.entry) == (&info.domain, info.entry)
            }
            _ => !used,
        }
    }

    fn lost(&self, domain: &str) -> bool {
        let last = self
            .log
            .iter()
            .rev()
            .find_map(|(_, command)| match command {
                Command::DeclareLost { domain: name, .. } if &**name == domain => Some(true),
                Command::ReturnDomain { domain: name, .. } if &**name == domain => Some(false),
                _ => None,
            });
        last.unwrap_or(false)
    }

    fn term(&self, domain: &str) -> u64 {
        let formed = self.log.iter().rev().find(|(_, command)| {
            matches!(command, Command::FormGroup { domain: name, .. } if &**name == domain)
        });
        formed.map_or(0, |(index, _)| *index)
    }

    fn form(&self, domain: &str, replaces: u64, members: &[(VmId, Incarnation)]) -> bool {
        let ids: BTreeSet<VmId> = members.iter().map(|member| member.0).collect();
        let fits = |(vm, incarnation): &(VmId, Incarnation)| {
            let run = self.current(*vm);
            run.is_some_and(|run| {
                run.incarnation == *incarnation && &*run.domain == domain && run.entry
            })
        };
        replaces == self.term(domain)
            && !self.lost(domain)
            && ids.len() == members.len()
            && (1..=5).contains(&members.len())
            && members.iter().all(fits)
    }

    fn knows(&self, domain: &str) -> bool {
        let vms = (0..8).filter_map(|vm| self.current(vm));
        let homes = self.homes();
        vms.into_iter().any(|run| &*run.domain == domain)
            || self.term(domain) > 0
            || homes.values().any(|home| &*home.domain == domain)
    }

    /// The homes of all shards, one change after the other.
    fn homes(&self) -> BTreeMap<(Box<str>, u32), Home> {
        let mut homes: BTreeMap<(Box<str>, u32), Home> = BTreeMap::new();
        let mut standing: Option<Bundle> = None;
        for (index, command) in &self.log {
            if let Command::SubmitBundle { signed, .. } = command {
                standing = decode(&signed.bytes).ok();
            }
            let Command::SetHomes {
                service, changes, ..
            } = command
            else {
                continue;
            };
            let Some(known) = standing.as_ref().and_then(|b| b.service(service)) else {
                continue;
            };
            for change in changes
                .iter()
                .filter(|change| change.index < known.shard_count())
            {
                let key = (service.clone(), change.index);
                let old = homes.get(&key).cloned();
                if old.as_ref().map_or(0, |home| home.since) != change.expect {
                    continue;
                }
                let back = old.as_ref().is_some_and(|home| home.domain == change.to);
                let idle = old.as_ref().is_some_and(|home| home.next.is_none());
                let home = match old {
                    Some(_) if back && idle => continue,
                    Some(old) if !back && !change.now => Home {
                        next: Some(change.to.clone()),
                        ..old
                    },
                    old => Home {
                        domain: change.to.clone(),
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

    fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        let stale = || Outcome::Rejected(Rejection::Stale("".into()));
        let result = match command {
            Command::SubmitBundle { signed, .. } => self.submit(signed),
            Command::RegisterVm(info) => self
                .register(info)
                .then_some(Outcome::Done)
                .ok_or_else(stale),
            Command::FormGroup {
                domain,
                replaces,
                members,
            } => {
                let fits = self.form(domain, *replaces, members);
                fits.then_some(Outcome::Done).ok_or_else(stale)
            }
            Command::SetHomes {
                service, bundle, ..
            } => {
                let bundles = self.bundles();
                let known = bundles
                    .last()
                    .is_some_and(|(_, b)| b.version == *bundle && b.service(service).is_some());
                known.then_some(Outcome::Done).ok_or_else(stale)
            }
            Command::RemoveVm { vm, .. } if self.current(*vm).is_none() => Err(Outcome::Done),
            Command::DeclareLost { domain, .. } if !self.knows(domain) => Err(stale()),
            Command::DeclareLost { domain, .. } if self.lost(domain) => Err(Outcome::Done),
            Command::ReturnDomain { domain, .. } if !self.lost(domain) => Err(Outcome::Done),
            Command::InForce {
                domain,
                term,
                version,
            } => {
                let fits = self.term(domain) == *term && *term > 0;
                let accepted = *version <= self.bundles().len() as u64;
                (fits && accepted)
                    .then_some(Outcome::Done)
                    .ok_or_else(stale)
            }
            _ => Ok(Outcome::Done),
        };
        if result.is_ok() {
            self.log.push((index, command.clone()));
        }
        result.unwrap_or_else(|outcome| outcome)
    }
}

/// Makes the commands of operators who race and of VMs that come and go.
struct Actors {
    rng: StdRng,
    /// What was submitted so far, for resends and replays.
    submitted: Vec<SignedBundle>,
    /// What each operator believes to stand.
    believed: [Option<(Digest, Bundle)>; 3],
    form: Vec<Command>,
}

impl Actors {
    fn bundle(&mut self, naive: &Naive) -> SignedBundle {
        let rng = &mut self.rng;
        if !self.submitted.is_empty() && rng.random_bool(0.25) {
            return self.submitted.choose(rng).expect("not empty").clone();
        }
        let operator = rng.random_range(0..3);
        if rng.random_bool(0.7) {
            self.believed[operator] = naive.bundles().pop();
        }
        let accepted = naive.bundles();
        let (content, standing) = match &self.believed[operator] {
            None => (first_bundle(operators(1, &[1, 2, 3])), None),
            Some((digest, bundle)) => {
                // Now and then a rollback to older content.
                let old = accepted.choose(rng).filter(|_| rng.random_bool(0.2));
                let content = old.map_or(bundle, |(_, old)| old).clone();
                (content, Some((bundle.version, *digest)))
            }
        };
        let (version, digest) = standing.map_or((0, None), |(v, digest)| (v, Some(digest)));
        let mut bundle = following(&content, version, digest);
        edit(&mut bundle, rng);
        let mut signers: Vec<u8> = (1..=5).filter(|_| rng.random_bool(0.6)).collect();
        if rng.random_bool(0.5) {
            signers = vec![1, 2, 3, 4, 5];
        }
        let mut signed = signed(&bundle, &signers);
        match rng.random_range(0..12) {
            0 => signed.bytes.push(0),
            1 => {
                let at = rng.random_range(0..signed.bytes.len());
                signed.bytes[at] ^= 1 << rng.random_range(0..8u8);
            }
            2 => {
                for signature in &mut signed.signatures {
                    signature.bytes[rng.random_range(0..64)] ^= 1;
                }
            }
            3 => {
                // One operator signs in the names of all.
                for signature in &mut signed.signatures {
                    signature.operator = "op-1".into();
                }
            }
            _ => {}
        }
        self.submitted.push(signed.clone());
        signed
    }

    fn command(&mut self, naive: &Naive) -> Command {
        let at = self.rng.random_range(0..1000);
        let domain: Box<str> = (*DOMAINS.choose(&mut self.rng).expect("not empty")).into();
        match self.rng.random_range(0..20) {
            0..=6 => Command::SubmitBundle {
                signed: self.bundle(naive),
                at,
            },
            7..=9 => {
                let mut info = vm(
                    self.rng.random_range(0..8),
                    self.rng.random_range(0..5),
                    &domain,
                );
                info.entry = self.rng.random_bool(0.9);
                Command::RegisterVm(info)
            }
            10..=11 => self.form(naive, domain),
            12..=14 => self.homes(naive),
            15 => Command::DeclareLost {
                domain,
                by: "op-1".into(),
                at,
            },
            16 => Command::ReturnDomain {
                domain,
                by: "op-2".into(),
                at,
            },
            17 => Command::RemoveVm {
                vm: self.rng.random_range(0..8),
                by: "op-3".into(),
                at,
            },
            18 => Command::InForce {
                term: naive.term(&domain),
                domain,
                version: self.rng.random_range(0..4),
            },
            _ => Command::Note {
                action: "checked the backups".into(),
                by: "op-1".into(),
                at,
            },
        }
    }

    fn form(&mut self, naive: &Naive, domain: Box<str>) -> Command {
        if !self.form.is_empty() && self.rng.random_bool(0.2) {
            return self.form.choose(&mut self.rng).expect("not empty").clone();
        }
        let members = (0..8)
            .filter_map(|vm| naive.current(vm))
            .filter(|run| run.domain == domain || self.rng.random_bool(0.02))
            .map(|run| (run.vm, run.incarnation));
        let command = Command::FormGroup {
            members: members.collect(),
            replaces: naive.term(&domain),
            domain,
        };
        self.form.push(command.clone());
        command
    }

    fn homes(&mut self, naive: &Naive) -> Command {
        let homes = naive.homes();
        let standing = naive.bundles().len() as u64;
        let bundle = standing.saturating_sub(u64::from(self.rng.random_bool(0.1)));
        let service: Box<str> = (*["berths", "extra"]
            .choose(&mut self.rng)
            .expect("not empty"))
        .into();
        let change = |index| {
            let since = homes
                .get(&(service.clone(), index))
                .map_or(0, |home| home.since);
            let right = self.rng.random_bool(0.8);
            HomeChange {
                index,
                expect: if right {
                    since
                } else {
                    since.saturating_sub(1)
                },
                to: (*DOMAINS.choose(&mut self.rng).expect("not empty")).into(),
                now: self.rng.random_bool(0.6),
            }
        };
        let mut changes: Vec<HomeChange> = (0..11).map(change).collect();
        changes.retain(|_| self.rng.random_bool(0.4));
        Command::SetHomes {
            service,
            bundle,
            changes,
        }
    }
}

/// Changes a bundle: the split, hot keys, the operators, a service that comes and goes, and a
/// change of shards, which has to be refused.
fn edit(bundle: &mut Bundle, rng: &mut StdRng) {
    if rng.random_bool(0.3) {
        let seeds: Vec<u8> = (1..=5)
            .filter(|_| rng.random_bool(0.7))
            .chain([6])
            .collect();
        bundle.operators = operators(rng.random_range(1..=seeds.len().min(3) as u32), &seeds);
    }
    if rng.random_bool(0.3) {
        match bundle
            .services
            .iter()
            .position(|service| &*service.name == "extra")
        {
            Some(at) => drop(bundle.services.remove(at)),
            None => {
                let mut extra = bundle.services[0].clone();
                extra.name = "extra".into();
                extra.route.prefix = "/extra".into();
                extra.shards = if rng.random_bool(0.9) { 8 } else { 9 };
                bundle.services.insert(1, extra);
            }
        }
    }
    let berths = &mut bundle.services[0];
    berths.new_percent = rng.random_range(0..=100);
    berths.hot_keys = (0..rng.random_range(0..3))
        .map(|i| format!("k{i}").into())
        .collect();
    if rng.random_bool(0.05) {
        berths.shards += 1;
    }
}

/// Compares outcomes without the wording of refusals.
fn plain(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Rejected(Rejection::Bundle(_)) => Outcome::Rejected(Rejection::Bundle("".into())),
        Outcome::Rejected(Rejection::Stale(_)) => Outcome::Rejected(Rejection::Stale("".into())),
        other => other,
    }
}

fn compare(state: &State, naive: &Naive) {
    let bundles = naive.bundles();
    let standing = bundles
        .last()
        .map(|(digest, bundle)| (bundle.version, *digest));
    assert_eq!(state.standing(), standing);
    assert_eq!(state.bundle(), bundles.last().map(|(_, bundle)| bundle));
    for number in 0..8 {
        assert_eq!(state.vm(number), naive.current(number));
    }
    for domain in DOMAINS {
        assert_eq!(
            state.group(domain).map_or(0, |group| group.term),
            naive.term(domain)
        );
        assert_eq!(state.is_lost(domain), naive.lost(domain));
    }
    let mut homes = BTreeMap::new();
    for service in ["berths", "extra"] {
        if let Some(runs) = state.homes(service) {
            homes.extend(
                runs.iter()
                    .map(|(i, home)| ((service.into(), i), home.clone())),
            );
        }
    }
    assert_eq!(homes, naive.homes());
    let audited = naive.log.iter().filter_map(|(_, command)| match command {
        Command::SubmitBundle { at, .. }
        | Command::RemoveVm { at, .. }
        | Command::DeclareLost { at, .. }
        | Command::ReturnDomain { at, .. }
        | Command::Note { at, .. } => Some(*at),
        _ => None,
    });
    let entries = state.audit().to_vec();
    assert_eq!(verify_audit(&entries), Ok(()));
    assert_eq!(
        entries.iter().map(|e| e.at).collect::<Vec<_>>(),
        audited.collect::<Vec<_>>()
    );
    let accepted: Vec<_> = entries
        .iter()
        .filter(|e| e.before != e.after)
        .map(|e| e.after)
        .collect();
    assert_eq!(
        accepted,
        bundles
            .iter()
            .map(|(digest, _)| Some(*digest))
            .collect::<Vec<_>>()
    );
}

fn history(seed: u64) {
    let first = operators(2, &[1, 2, 3]);
    let mut state = State::new(first.clone());
    let mut naive = Naive {
        first,
        log: Vec::new(),
    };
    let mut actors = Actors {
        rng: StdRng::seed_from_u64(seed),
        submitted: Vec::new(),
        believed: [None, None, None],
        form: Vec::new(),
    };
    for step in 0..40u64 {
        let index = 2 * step + 1;
        let command = actors.command(&naive);
        let before = state.directory(&Versions::default());
        let version = state.standing();
        let outcome = state.apply(index, &command);
        let expected = naive.apply(index, &command);
        assert_eq!(plain(outcome.clone()), expected, "step {step}: {command:?}");
        assert!(state.standing().map(|s| s.0) >= version.map(|s| s.0));
        if matches!(outcome, Outcome::Rejected(_)) {
            assert_eq!(
                state.directory(&Versions::default()),
                before,
                "a refusal changes nothing"
            );
        }
        if step % 13 == 7 {
            compare(&state, &naive);
            state = State::decode(&state.encode()).expect("a snapshot can be read");
        }
    }
    compare(&state, &naive);
    // A log that is delivered again, after a snapshot, has no effect.
    let end = state.clone();
    for (index, command) in &naive.log {
        assert!(matches!(
            state.apply(*index, command),
            Outcome::Rejected(Rejection::Stale(_))
        ));
    }
    assert_eq!(state, end);
}

#[test]
fn random_histories_agree_with_the_naive_version() {
    run_histories(seeds(400), history);
}

/// The audit trail stays verifiable after old entries were dropped.
#[test]
fn the_audit_trail_is_bounded() {
    let mut state = State::new(operators(1, &[1]));
    let note = Command::Note {
        action: "x".into(),
        by: "op-1".into(),
        at: 1,
    };
    for index in 1..=10_020 {
        state.apply(index, &note);
    }
    let entries = state.audit().to_vec();
    assert_eq!((entries.len(), entries[0].number), (10_000, 21));
    assert_eq!(state.audit().base(), (20, entries[0].previous));
    assert_eq!(verify_audit(&entries), Ok(()));
    assert_eq!(State::decode(&state.encode()).unwrap(), state);
    // Every kind of alteration shows.
    let altered = |alter: fn(&mut Vec<camphordale_control::AuditEntry>)| {
        let mut entries = entries.clone();
        alter(&mut entries);
        verify_audit(&entries).is_err()
    };
    assert!(altered(|entries| entries[5].at = 2));
    assert!(altered(|entries| drop(entries.remove(5))));
    assert!(altered(|entries| entries.swap(5, 6)));
    assert!(altered(|entries| entries[5].hash = entries[6].hash));
}
