//! What a control VM retains after many changes of a large routing, in memory and on disk.

use std::time::Duration;

use camphordale_fleet::{
    Call,
    Change,
    Config,
    ConfigResource,
    Control,
    Effect,
    Event,
    KeyDelivery,
    MemberList,
    PeerMessage,
    Reply,
    RetryPolicy,
    Route,
    Service,
    View,
    WeightedService, //
};
use camphordale_raft::{
    DurableWrite,
    RecoveredState, //
};

use crate::{
    allocations::{
        live_bytes,
        take_peak_bytes, //
    },
    fleet::{
        self,
        member,
        ms, //
    },
};

/// Routes of a configuration that has grown twice.
const ROUTES: usize = 744;
/// A quarter of the memory, and of the disk, of a control VM with 256 MB of each.
const QUARTER: usize = 64 << 20;
/// Changes after which the code before the bounds filled the memory.
const CHANGES: u64 = 340;

/// A control VM that is the only voter, with its disk.
struct ControlVm {
    control: Control,
    disk: RecoveredState,
    now: Duration,
    version: u64,
}

/// Bytes of views that may be under way.
const VIEW_LIMIT: usize = 8 << 20;

fn config() -> Config {
    Config {
        domains: Vec::new(),
        view_limit: VIEW_LIMIT,
        ..fleet::config()
    }
}

/// A complete routing in which each route has the given timeout.
fn complete_routing(version: u64, timeout: Duration) -> Change {
    let service = |name: &str| {
        let spec = Service {
            health_path: "/health".into(),
            max_connections: 110,
            keys: KeyDelivery::Unkeyed,
            warm_up: ms(0),
            cold: None,
        };
        let document = r#"{"health_path":"/health","max_connections":110}"#.into();
        (name.into(), ConfigResource { spec, document })
    };
    let route = |number: usize| {
        let part = |service: &str, weight| WeightedService {
            service: service.into(),
            weight,
        };
        let spec = Route {
            host: "jepu9.example".into(),
            path_prefix: format!("/lepu{number:03}/").into(),
            retry_policy: RetryPolicy::Idempotent,
            large_bodies: false,
            timeout,
            latency_objective: ms(400),
            priority: 2,
            max_attempts: 2,
            split: vec![part("huvo11a", 90.0), part("kafi81c", 10.0)],
        };
        let document = format!(
            r#"{{"resource_type":"routes","metadata":{{"name":"r-{number:06}x"}},"spec":{{"host":"jepu9.example","path_prefix":"/lepu{number:03}/","kind":"safe","timeout_ms":{},"target_latency_ms":400,"priority":2,"traffic_split":[{{"service":"huvo11a","weight":90}},{{"service":"kafi81c","weight":10}}],"max_attempts":2}}}}"#,
            timeout.as_millis()
        );
        let document = document.into();
        (
            format!("r-{number:06}x").into(),
            ConfigResource { spec, document },
        )
    };
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&version.to_be_bytes());
    Change {
        base_version: version - 1,
        version,
        replace_all: true,
        routes: (0..ROUTES).map(route).collect(),
        services: vec![service("huvo11a"), service("kafi81c")],
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest,
        received_ms: 0,
    }
}

/// A timeout that differs from one version to the next.
fn timeout_of(version: u64) -> Duration {
    ms(800 + version % 100)
}

impl ControlVm {
    fn new() -> ControlVm {
        let disk = Control::bootstrap_state(vec![member()]).unwrap();
        ControlVm::start(disk, ms(0), 0)
    }

    fn start(disk: RecoveredState, now: Duration, version: u64) -> ControlVm {
        let control = Control::new(
            config(),
            disk.clone(),
            vec![member()],
            MemberList::default(),
        )
        .unwrap();
        let mut vm = ControlVm {
            control,
            disk,
            now,
            version,
        };
        // A new leader waits for entry VMs before it acknowledges anything.
        vm.run(ms(2000));
        vm
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let effects = self.control.step(event, self.now);
        for effect in &effects {
            if let Effect::Persist(write) = effect {
                store(&mut self.disk, write);
            }
        }
        effects
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(20);
            self.step(Event::Tick);
        }
    }

    /// Submits a change to the next version, which must be accepted.
    fn submit(&mut self, change: Change) {
        self.version += 1;
        let token = self.version;
        let call = Call::Change(Box::new(change));
        let effects = self.step(Event::Call { token, call });
        let reply = Reply::Done { is_leader: true };
        assert!(effects.contains(&Effect::Reply { token, reply }));
        self.run(ms(20));
    }

    /// Replaces the whole routing by one in which every route differs, `count` times.
    fn replace_all_routes(&mut self, count: u64) {
        for _ in 0..count {
            let next = self.version + 1;
            self.submit(complete_routing(next, timeout_of(next)));
        }
    }

    fn disk_bytes(&self) -> usize {
        postcard::to_stdvec(&DurableWrite {
            snapshot: self.disk.snapshot.clone(),
            entries: self.disk.entries.clone(),
            ..DurableWrite::default()
        })
        .unwrap()
        .len()
    }

    /// The messages to an entry VM that subscribes again with a view at `index`, one after the
    /// other, and their encoded bytes.
    fn subscribe_again(&mut self, index: u64) -> (Vec<PeerMessage>, usize) {
        let message = PeerMessage::Resubscribe {
            entry_id: 1,
            domain: "a".into(),
            index,
        };
        let effects = self.step(Event::Stream { conn: 1, message });
        let messages = effects.into_iter().filter_map(|effect| match effect {
            Effect::Stream { message, .. } | Effect::Broadcast { message, .. } => Some(message),
            _ => None,
        });
        let messages: Vec<PeerMessage> = messages.collect();
        let lengths = messages
            .iter()
            .map(|message| message.encode().unwrap().len());
        let bytes = lengths.sum();
        (messages, bytes)
    }
}

/// Applies a durable write to a disk.
fn store(disk: &mut RecoveredState, write: &DurableWrite) {
    if let Some(hard_state) = write.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(snapshot) = &write.snapshot {
        disk.entries
            .retain(|entry| entry.index > snapshot.index && !write.discard_log);
        disk.snapshot = Some(snapshot.clone());
    }
    disk.entries.extend(write.entries.iter().cloned());
}

/// Guards against control VMs that run out of memory, and again after each restart, because every
/// change of a large routing stays in the log and among the recent updates.
#[test]
fn changes_of_a_large_routing_do_not_fill_the_memory_of_a_control_vm() {
    let mut vm = ControlVm::new();
    vm.replace_all_routes(10);
    take_peak_bytes();
    vm.replace_all_routes(CHANGES);
    let peak = take_peak_bytes();
    assert!(peak < QUARTER, "{peak} bytes after {CHANGES} changes");

    let ControlVm {
        control,
        disk,
        now,
        version,
    } = vm;
    drop(control);
    take_peak_bytes();
    let vm = ControlVm::start(disk, now, version);
    let peak = take_peak_bytes();
    assert!(peak < QUARTER, "{peak} bytes at a start");
    assert!(vm.control.is_leader());
    assert!(live_bytes() < QUARTER);
}

/// Guards against a disk that is filled by the log, which is written anew beside itself whenever it
/// is compacted.
#[test]
fn changes_of_a_large_routing_do_not_fill_the_disk_of_a_control_vm() {
    let mut vm = ControlVm::new();
    for _ in 0..CHANGES / 10 {
        vm.replace_all_routes(10);
        let bytes = vm.disk_bytes();
        assert!(
            bytes < QUARTER,
            "{bytes} bytes after {} changes",
            vm.version
        );
    }
}

/// Guards against an entry VM that is sent many whole routings, one for each change that it missed,
/// where a view with the last of them would do.
#[test]
fn an_entry_vm_that_comes_back_is_sent_no_more_than_a_view_takes() {
    let mut vm = ControlVm::new();
    vm.replace_all_routes(2);
    let index = vm.control.state().view.index;
    vm.replace_all_routes(CHANGES);
    let view = vm.control.state().view.clone();
    let whole = PeerMessage::Snapshot(Box::new(view.clone())).encode();
    let (messages, bytes) = vm.subscribe_again(index);
    assert!(bytes <= whole.unwrap().len(), "{bytes} bytes");
    assert!(
        messages
            .iter()
            .any(|message| *message == PeerMessage::Snapshot(Box::new(view.clone())))
    );
}

/// Guards against whole views on narrow links after small changes: these are sent one by one.
#[test]
fn an_entry_vm_that_missed_small_changes_is_sent_just_these() {
    let mut vm = ControlVm::new();
    vm.replace_all_routes(1);
    let mut view: View = vm.control.state().view.clone();
    let index = view.index;
    for number in 0..40 {
        let next = vm.version + 1;
        let mut change = complete_routing(next, timeout_of(next));
        change.replace_all = false;
        change.services.clear();
        change.routes = vec![change.routes.swap_remove(number)];
        vm.submit(change);
    }
    vm.run(ms(40));
    let (messages, bytes) = vm.subscribe_again(index);
    assert!(bytes < 40 * 1024, "{bytes} bytes");
    for message in messages {
        if let PeerMessage::Update { index, command } = message {
            view.apply(index, &command);
        }
    }
    assert_eq!(view, vm.control.state().view);
}

/// Guards against a log that grows by the complete routing when an operator changes one route of it
/// and submits all: it grows by what the same change takes by name.
#[test]
fn a_complete_routing_costs_what_it_changes() {
    let mut vm = ControlVm::new();
    vm.replace_all_routes(1);
    let base = vm.version;
    let one_route = |version: u64| {
        let mut change = complete_routing(version, timeout_of(base));
        change.routes[7] = complete_routing(version, timeout_of(version))
            .routes
            .swap_remove(7);
        change
    };
    let before = vm.control.retained_bytes().log;
    vm.submit(one_route(base + 1));
    let complete = vm.control.retained_bytes().log - before;

    let mut by_name = one_route(base + 2);
    by_name.replace_all = false;
    by_name.services.clear();
    by_name.routes = vec![by_name.routes.swap_remove(7)];
    let before = vm.control.retained_bytes().log;
    vm.submit(by_name);
    let by_name = vm.control.retained_bytes().log - before;
    assert_eq!(complete, by_name);
}

/// Guards against a log that grows by changes that have no effect: those that are submitted again,
/// based on an older version, or invalid.
#[test]
fn a_change_without_effect_is_not_kept() {
    let mut vm = ControlVm::new();
    vm.replace_all_routes(2);
    let version = vm.version;
    let mut invalid = complete_routing(version + 1, timeout_of(version + 1));
    invalid.services.clear();
    let mut stale = complete_routing(version + 1, timeout_of(version + 1));
    stale.base_version = version - 1;
    let repeated = complete_routing(version, timeout_of(version));
    let before = vm.control.retained_bytes().log;
    let replies = [invalid, stale, repeated].map(|change| {
        vm.step(Event::Call {
            token: 1000,
            call: Call::Change(Box::new(change)),
        })
    });
    let reply_of = |effects: &Vec<Effect>| {
        let reply = effects.iter().find_map(|effect| match effect {
            Effect::Reply { token: 1000, reply } => Some(reply.clone()),
            _ => None,
        });
        reply.unwrap()
    };
    let [invalid, stale, repeated] = replies.each_ref().map(reply_of);
    assert!(matches!(invalid, Reply::Invalid(_)), "{invalid:?}");
    assert_eq!(stale, Reply::Stale(version));
    assert_eq!(repeated, Reply::Done { is_leader: true });
    let kept = vm.control.retained_bytes().log - before;
    assert!(kept < 512, "{kept} bytes");
}

/// Guards against a leader that runs out of memory after a restart of the fleet, because it queues a
/// long view for each entry VM at once.
#[test]
fn views_under_way_are_limited_in_bytes() {
    let mut vm = ControlVm::new();
    vm.replace_all_routes(1);
    let view = PeerMessage::Snapshot(Box::new(vm.control.state().view.clone()));
    let (limit, length) = (VIEW_LIMIT, view.encode().unwrap().len());
    let expected = limit / length;
    let entries = 2 * expected as u64;
    let mut sent = Vec::new();
    for conn in 1..=entries {
        let message = PeerMessage::Subscribe {
            entry_id: conn,
            domain: "a".into(),
            index: 0,
        };
        sent.extend(views_in(vm.step(Event::Stream { conn, message })));
    }
    for _ in 0..40 {
        vm.now += ms(20);
        sent.extend(views_in(vm.step(Event::Tick)));
    }
    assert!(sent.len() * length <= limit, "{} views", sent.len());
    assert!(sent.len() + 1 >= expected, "{} views", sent.len());

    // Each view that is confirmed makes room for another one, and so does a stream that is silent.
    let index = vm.control.state().view.index;
    let confirmed: Vec<u64> = sent.drain(..expected / 2).collect();
    for conn in confirmed {
        let message = PeerMessage::Ping {
            sent: vm.now,
            index,
            load: Vec::new(),
            latencies: Vec::new(),
        };
        vm.step(Event::Stream { conn, message });
    }
    vm.now += ms(20);
    let next = views_in(vm.step(Event::Tick));
    assert!(!next.is_empty());
    let mut all = next.len() + expected / 2 + sent.len();
    for _ in 0..200 {
        vm.now += ms(20);
        all += views_in(vm.step(Event::Tick)).len();
    }
    assert_eq!(all as u64, entries);
}

/// The connections to which effects send the whole view.
fn views_in(effects: Vec<Effect>) -> Vec<u64> {
    let conns = effects.into_iter().flat_map(|effect| match effect {
        Effect::Broadcast {
            conns,
            message: PeerMessage::Snapshot(_),
        } => conns.into_vec(),
        _ => Vec::new(),
    });
    conns.collect()
}
