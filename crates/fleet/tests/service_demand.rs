//! The leader's knowledge of demand and capacity by failure domain.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use camphordale_fleet::{
    Target,
    TargetState,
    View,
    load_summary::{
        LoadAge,
        LoadMerger,
        TargetLoad,
        target_tag, //
    },
    service_demand::{
        Bodies,
        DemandMerger,
        DomainLoad,
        ServiceDemand,
        TargetWork, //
    }, //
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The only entry VM.
const VM: u64 = 1;
/// Interval of the reports of a domain's entry VMs together.
const STEP: Duration = Duration::from_millis(100);

/// Domains `a` and `b` with two targets of four slots each.
struct Fleet {
    view: View,
    demand: DemandMerger,
    loads: LoadMerger,
    now: Duration,
}

impl Fleet {
    fn new() -> Fleet {
        let mut view = View::default();
        for number in 0..4u8 {
            let target = Target {
                incarnation: 1,
                service: "s".into(),
                address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
                domain: if number < 2 { "a" } else { "b" }.into(),
                slots: 4,
                state: TargetState::Ready,
            };
            view.targets.insert(format!("t{number}").into(), target);
        }
        let mut demand = DemandMerger::default();
        let (loads, now) = (LoadMerger::default(), ms(1000));
        assert!(demand.summarize(&view, &loads, now).is_empty());
        Fleet {
            view,
            demand,
            loads,
            now,
        }
    }

    /// Lets time pass in which the callers of `a` send `rate` requests per second, each of which
    /// keeps a slot for 100 ms at a target of usual speed. The targets of `b` take `slowness` times
    /// as long. Slots in use follow from that.
    fn run(&mut self, time: Duration, rate: u16, slowness: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let count = rate / 10;
            let demand = ServiceDemand {
                service: "s".into(),
                short: count,
                large: 0,
            };
            let per_target = f64::from(count) / 4.0;
            for number in 0..4 {
                let tag = target_tag(&format!("t{number}"), 1);
                let took = if number < 2 { 0.1 } else { 0.1 * slowness };
                let work = TargetWork {
                    tag,
                    bodies: Bodies::Short,
                    answered: (count / 4).max(1),
                    took_ms: (took * 1000.0 * f64::from((count / 4).max(1))) as u32,
                };
                // Stated when a request has just ended.
                let requests = (per_target * 10.0 * took).round() as u16;
                let requests = requests.saturating_sub(1);
                let age = LoadAge::new(ms(0)).unwrap();
                self.loads
                    .record(&[TargetLoad { tag, requests, age }], self.now);
                self.demand
                    .record((VM + 1, &"a".into()), (&[], STEP), &[work], self.now);
            }
            self.demand
                .record((VM, &"a".into()), (&[demand], STEP), &[], self.now);
            self.demand.summarize(&self.view, &self.loads, self.now);
        }
    }

    fn summary(&mut self, domain: &str) -> DomainLoad {
        let summary = self.demand.summarize(&self.view, &self.loads, self.now);
        let [service] = &summary[..] else {
            panic!("{summary:?}");
        };
        let mut domains = service.domains.iter();
        domains
            .find(|load| &*load.domain == domain)
            .unwrap()
            .clone()
    }

    fn slots(&mut self) -> f64 {
        self.summary("a").short.into()
    }
}

/// Guards against demand that counts where requests are served: then the requests that leave a domain
/// would bring others back.
#[test]
fn demand_counts_at_the_domain_of_the_callers() {
    let mut fleet = Fleet::new();
    fleet.run(ms(5000), 40, 1.0);
    let slots = fleet.slots();
    assert!((3.2..=4.8).contains(&slots), "{slots}");
    assert_eq!(f64::from(fleet.summary("b").short), 0.0);
}

/// Guards against a demand that is several times too high after a change of leader, because the first
/// report covers the time without a leader.
#[test]
fn a_report_after_a_gap_covers_the_gap() {
    let mut fleet = Fleet::new();
    fleet.run(ms(5000), 40, 1.0);
    let before = fleet.slots();
    fleet.now += ms(1500);
    let demand = ServiceDemand {
        service: "s".into(),
        short: 60,
        large: 0,
    };
    fleet
        .demand
        .record((VM, &"a".into()), (&[demand], ms(1500)), &[], fleet.now);
    let ratio = fleet.slots() / before;
    assert!((0.8..=1.3).contains(&ratio), "{ratio}");
}

/// A threefold burst is known after about a second, and its end too.
#[test]
fn a_burst_is_known_within_a_second() {
    let mut fleet = Fleet::new();
    fleet.run(ms(10_000), 40, 1.0);
    let usual = fleet.slots();
    fleet.run(ms(1000), 120, 1.0);
    let burst = fleet.slots() / usual;
    assert!((2.4..=3.2).contains(&burst), "{burst}");
    fleet.run(ms(1000), 40, 1.0);
    let after = fleet.slots() / usual;
    assert!(after <= 1.6, "{after}");
}

/// Guards against a capacity that counts slow targets like fast ones.
#[test]
fn the_speed_of_a_domain_is_known() {
    let mut fleet = Fleet::new();
    fleet.run(ms(10_000), 40, 2.0);
    let (fast, slow) = (fleet.summary("a").speed, fleet.summary("b").speed);
    let ratio = f64::from(fast) / f64::from(slow);
    assert!((1.6..=2.2).contains(&ratio), "{fast} and {slow}");
}

/// Guards against a domain that is cut off from the others and still counts as having room, and
/// against one VM with a broken link that makes all targets count as lost.
#[test]
fn targets_that_no_vm_reaches_are_lost() {
    let mut fleet = Fleet::new();
    let tag = target_tag("t2", 1);
    fleet.run(ms(1000), 40, 1.0);
    fleet.loads.record_unreachable(&[tag], fleet.now);
    assert_eq!(fleet.summary("b").lost_slots, 0);
    fleet.now += ms(500);
    fleet.loads.record_unreachable(&[tag], fleet.now);
    assert_eq!(fleet.summary("b").lost_slots, 4);
    fleet.now += ms(1000);
    assert_eq!(fleet.summary("b").lost_slots, 0);
}

/// Guards against room at targets that drain.
#[test]
fn the_speed_of_draining_targets_does_not_count() {
    let mut fleet = Fleet::new();
    fleet.run(ms(5000), 40, 2.0);
    for target in fleet.view.targets.values_mut() {
        target.state = TargetState::Draining;
    }
    assert_eq!(fleet.summary("b").speed, 100);
}
