//! The leader's part in the exchange of the load of targets.

use std::time::Duration;

use camphordale_fleet::{
    Call,
    Change,
    ConfigResource,
    Control,
    Effect,
    Event,
    KeyDelivery,
    MemberList,
    PeerMessage,
    RequestRate,
    Service,
    WarmUp,
    load_summary::{
        LoadAge,
        TargetLoad,
        target_tag, //
    },
    service_demand::{
        Bodies,
        ServiceDemand,
        ServiceLoad,
        TargetWork, //
    }, //
};

use crate::cluster::{
    announce,
    config,
    member,
    ms, //
};

/// A group of one, with the streams 1 to 3, of which the last is of an older version.
struct Leader {
    control: Control,
    now: Duration,
    sent: Vec<(Box<[u64]>, Vec<TargetLoad>)>,
    /// The demand in the last summary.
    demand: Vec<ServiceLoad>,
}

fn change(cold: Option<WarmUp>) -> Change {
    let spec = Service {
        health_path: "/health".into(),
        max_connections: 100,
        keys: KeyDelivery::Unkeyed,
        warm_up: ms(3000),
        cold,
    };
    let document = "{}".into();
    Change {
        base_version: 0,
        version: 1,
        replace_all: true,
        routes: Vec::new(),
        services: vec![("s".into(), ConfigResource { spec, document })],
        limits: None,
        removed_routes: Vec::new(),
        removed_services: Vec::new(),
        digest: [1; 16],
        received_ms: 0,
    }
}

impl Leader {
    fn new(change: Change) -> Leader {
        let only = member(1, 1);
        let recovered = Control::bootstrap_state(vec![only.clone()]).unwrap();
        let control = Control::new(
            config(only.clone(), 1),
            recovered,
            vec![only],
            MemberList::default(),
        );
        let mut leader = Leader {
            control: control.unwrap(),
            now: ms(0),
            sent: Vec::new(),
            demand: Vec::new(),
        };
        leader.wait(ms(2000));
        let call = Call::Change(Box::new(change));
        leader.step(Event::Call { token: 1, call });
        leader.wait(ms(100));
        assert!(leader.control.state().view.routing.is_some());
        for conn in 1..=3 {
            let message = PeerMessage::Subscribe {
                entry_id: conn,
                domain: "a".into(),
                index: 0,
            };
            leader.step(Event::Stream { conn, message });
        }
        leader
    }

    fn step(&mut self, event: Event) {
        for effect in self.control.step(event, self.now) {
            match effect {
                Effect::Broadcast {
                    conns,
                    message: PeerMessage::LoadSummary { loads, demand },
                } => {
                    self.sent.push((conns, loads));
                    self.demand = demand;
                }
                Effect::Stream {
                    message: PeerMessage::LoadSummary { .. },
                    ..
                } => panic!("a summary for one VM"),
                _ => {}
            }
        }
    }

    /// An entry VM reports this load of the target `t1`, and that its callers sent 30 requests, which
    /// took 200 ms each.
    fn report(&mut self, conn: u64, requests: u16) {
        let tag = target_tag("t1", 1);
        let message = PeerMessage::TargetLoads {
            loads: vec![TargetLoad {
                tag,
                requests,
                age: LoadAge::new(ms(0)).unwrap(),
            }],
            covered_ms: 300,
            demand: vec![ServiceDemand {
                service: "s".into(),
                short: 30,
                large: 0,
            }],
            work: vec![TargetWork {
                tag,
                bodies: Bodies::Short,
                answered: 30,
                took_ms: 6000,
            }],
            unreachable: Vec::new(),
        };
        self.step(Event::Stream { conn, message });
        let message = PeerMessage::Ping {
            sent: self.now,
            index: 0,
            load: Vec::new(),
            latencies: Vec::new(),
        };
        self.step(Event::Stream { conn, message });
    }

    /// Lets time pass. Returns the summaries sent since the last time.
    fn wait(&mut self, time: Duration) -> Vec<(Box<[u64]>, Vec<TargetLoad>)> {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(10);
            self.step(Event::Tick);
        }
        std::mem::take(&mut self.sent)
    }
}

/// Guards against an upgrade during which VMs of the earlier version lose their streams, because they
/// close them on a message that they do not know.
#[test]
fn only_vms_that_report_loads_get_summaries() {
    let warm_up = WarmUp {
        time: ms(3000),
        rate: RequestRate::try_from(5.7).unwrap(),
    };
    let mut leader = Leader::new(change(Some(warm_up)));
    assert!(leader.wait(ms(500)).is_empty());
    leader.report(1, 3);
    leader.report(2, 4);
    let sent = leader.wait(ms(1000));
    // Encoded once, every 400 ms.
    assert!((2..=3).contains(&sent.len()), "{}", sent.len());
    assert!(sent.iter().all(|(conns, _)| **conns == [1, 2]));
    assert_eq!(sent[0].1.len(), 1);
    assert!(sent[1..].iter().all(|(_, loads)| loads.is_empty()));
}

/// Guards against demand that counts in another domain than that of the stream it came on.
#[test]
fn the_demand_of_a_domain_is_that_of_its_streams() {
    let warm_up = WarmUp {
        time: ms(3000),
        rate: RequestRate::try_from(5.7).unwrap(),
    };
    let mut leader = Leader::new(change(Some(warm_up)));
    let call = announce(1, 1, false);
    leader.step(Event::Call { token: 2, call });
    for _ in 0..10 {
        leader.report(1, 3);
        leader.wait(ms(300));
    }
    let [service] = &leader.demand[..] else {
        panic!("{:?}", leader.demand);
    };
    let [domain] = &service.domains[..] else {
        panic!("{service:?}");
    };
    assert_eq!((&*service.service, &*domain.domain), ("s", "a"));
    // 100 requests per second, corrected by the slots in use.
    let slots = f64::from(domain.short);
    assert!((5.0..=24.0).contains(&slots), "{slots}");
    // Without reports the demand counts no more.
    leader.wait(ms(1500));
    assert!(
        leader
            .demand
            .iter()
            .all(|service| { service.domains.iter().all(|d| f64::from(d.short) == 0.0) })
    );
}

/// Guards against new messages in a deployment that does not call for them.
#[test]
fn there_are_no_summaries_for_an_uncontended_routing() {
    let mut leader = Leader::new(change(None));
    leader.report(1, 3);
    assert!(leader.wait(ms(2000)).is_empty());
}
