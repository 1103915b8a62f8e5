//! Work of an entry VM when the registry of targets changes.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
    sync::Arc,
    time::Duration,
};

use camphordale_entry::{
    Config,
    Entry,
    Event,
    TargetTracker, //
};
use camphordale_fleet::{
    Command,
    ConfigResource,
    KeyDelivery,
    Outcome,
    PeerMessage,
    Routing,
    Service,
    Target,
    TargetState,
    View, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// Counts the allocations of each thread.
struct CountingAllocator;

// SAFETY: Every call is forwarded to `System` unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.set(ALLOCATIONS.get() + 1);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SERVICES: [&str; 3] = ["reads", "orders", "keyed"];
/// Updates in one run.
const UPDATES: usize = 100;

fn target(number: usize, state: TargetState) -> Target {
    Target {
        incarnation: 1,
        service: SERVICES[number % SERVICES.len()].into(),
        address: format!("10.1.{}.{}:80", number / 250, number % 250 + 1)
            .parse()
            .unwrap(),
        domain: "a".into(),
        slots: 4,
        state,
    }
}

fn view(targets: usize) -> View {
    let mut routing = Routing {
        version: 1,
        ..Routing::default()
    };
    for (service, keys) in SERVICES.into_iter().zip([
        KeyDelivery::Unkeyed,
        KeyDelivery::Unkeyed,
        KeyDelivery::Call,
    ]) {
        let spec = Service {
            health_path: "/health".into(),
            max_connections: 100,
            keys,
            warm_up: Duration::ZERO,
            cold: None,
        };
        let document = "{}".into();
        routing
            .services
            .insert(service.into(), ConfigResource { spec, document });
    }
    View {
        index: 1,
        routing: Some(Arc::new(routing)),
        targets: (0..targets)
            .map(|number| {
                (
                    format!("t{number:05}").into(),
                    target(number, TargetState::Ready),
                )
            })
            .collect(),
        ..View::default()
    }
}

/// Allocations for one update, in the mean over a series of targets that start, drain and leave.
fn allocations_per_update(targets: usize) -> u64 {
    let mut entry = Entry::new(Config {
        entry_id: 1,
        domain: "a".into(),
        seeds: Vec::new(),
        retry_ratio: 0.2,
        retry_extra: 60.0,
        drain_grace: Duration::from_millis(1000),
        evacuation_grace: Duration::from_secs(4),
        admission: camphordale_entry::AdmissionRule::Capacity,
        warm_up: camphordale_fleet::WarmUpBounds::default(),
        link_rate: None,
        seed: 1,
    });
    let mut now = Duration::from_millis(1);
    entry.step(Event::Tick, now);
    entry.step(
        Event::Stream(PeerMessage::Snapshot(Box::new(view(targets)))),
        now,
    );
    let before = ALLOCATIONS.get();
    for update in 0..UPDATES {
        now += Duration::from_millis(1);
        let command = match update % 3 {
            0 => {
                let number = targets + update;
                Command::Announce {
                    id: format!("t{number:05}").into(),
                    target: target(number, TargetState::Ready),
                }
            }
            1 => Command::Announce {
                id: format!("t{update:05}").into(),
                target: target(update, TargetState::Draining),
            },
            _ => Command::Remove {
                id: format!("t{update:05}").into(),
                incarnation: 1,
            },
        };
        let command = Box::new(command);
        let index = 2 + update as u64;
        entry.step(Event::Stream(PeerMessage::Update { index, command }), now);
    }
    (ALLOCATIONS.get() - before) / UPDATES as u64
}

/// Guards against drains and routings that reach entry VMs seconds late while many targets come and
/// go: each change of one target was work for all targets.
#[test]
fn a_change_of_one_target_is_no_work_for_all_others() {
    let (small, large) = (allocations_per_update(100), allocations_per_update(900));
    assert!(
        large <= 2 * small,
        "{small} allocations at 100 targets, {large} at 900"
    );
}

/// What the tracker knows of the targets of each service.
fn tracked(targets: &TargetTracker) -> Vec<(Box<str>, Target)> {
    let mut out = Vec::new();
    for service in SERVICES {
        for (id, tracked) in targets.of_service(service) {
            let target = Target {
                incarnation: tracked.incarnation,
                service: tracked.service.clone(),
                address: tracked.address,
                domain: tracked.domain.clone(),
                slots: tracked.slots,
                state: match tracked.accepts_requests {
                    true => TargetState::Ready,
                    false => TargetState::Draining,
                },
            };
            assert_eq!(
                targets.get(id).map(|found| found.address),
                Some(tracked.address)
            );
            out.push((id.clone(), target));
        }
    }
    out
}

/// Targets come, drain, restart, change their service or address, and take over addresses of
/// others. After each change, the tracker equals one that starts from the whole registry.
#[test]
fn single_updates_lead_to_the_same_targets_as_the_whole_registry() {
    for seed in 0..50 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut view = view(12);
        let mut incremental = TargetTracker::default();
        incremental.sync(&view);
        for index in 2..200 {
            let id: Box<str> = format!("t{:05}", random.random_range(0..16)).into();
            let known = view.targets.get(&id).map_or(1, |t| t.incarnation);
            let incarnation = known + u64::from(random.random_bool(0.3));
            let command = match random.random_range(0..4) {
                0 => Command::Remove { id, incarnation },
                state => {
                    let state = match state {
                        1 => TargetState::Draining,
                        _ => TargetState::Ready,
                    };
                    let target = Target {
                        incarnation,
                        ..target(random.random_range(0..20), state)
                    };
                    Command::Announce { id, target }
                }
            };
            if view.apply(index, &command) != Outcome::Outdated {
                match &command {
                    Command::Announce { id, target } => incremental.update(id, target),
                    Command::Remove { id, .. } => incremental.remove(id),
                    _ => {}
                }
            }
            let mut whole = TargetTracker::default();
            whole.sync(&view);
            assert_eq!(tracked(&incremental), tracked(&whole), "seed {seed}");
        }
    }
}
