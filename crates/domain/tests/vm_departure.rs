//! VMs that end their session.

#![allow(clippy::unwrap_used)]

mod fixture;

use std::time::Duration;

use camphordale_domain::{
    Command,
    Effect,
    Event,
    Leader,
    LeaseConfig,
    State, //
};
use camphordale_types::{
    Side,
    TargetSpec,
    VmId, //
};

use fixture::SERVICE;

const LEASE: Duration = Duration::from_millis(500);
const STALL: Duration = Duration::from_millis(50);

/// A group whose proposals are applied immediately.
struct Group {
    state: State,
    leader: Leader,
    index: u64,
    now: Duration,
}

impl Group {
    fn start() -> Group {
        let config = LeaseConfig {
            vm_lease: LEASE,
            target_lease: Duration::from_secs(60),
            stall: STALL,
        };
        let mut group = Group {
            state: State::new(1, false),
            leader: Leader::new(config, 1),
            index: 0,
            now: Duration::from_millis(1000),
        };
        group.step(Event::Elected {
            epoch: 1,
            recreated: false,
        });
        group.step(Event::LeadershipConfirmed {
            until: Duration::from_secs(60),
        });
        group
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        self.state.apply(self.index, 1, command);
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.leader.step(&self.state, event, self.now) {
                if let Effect::Propose(command) = effect {
                    self.apply(&command);
                    events.push(Event::StateChanged);
                }
            }
        }
    }

    fn renew(&mut self, vm: VmId) {
        let incarnation = u64::from(vm);
        self.step(Event::RenewVm {
            vm,
            incarnation,
            nonce: 1,
        });
    }

    fn sender(&self) -> Option<VmId> {
        self.state.targets().next().and_then(|target| target.sender)
    }
}

/// Guards against requests that fail for 1.2 s after the VM that leads its domain shuts down:
/// targets that do not check tokens got a new sender only after the lease of the departed one,
/// which the next leader counted from its election.
#[test]
fn targets_of_a_departed_vm_get_a_new_sender_before_its_lease_expires() {
    let mut group = Group::start();
    group.apply(&Command::SetServices {
        version: 1,
        services: vec![fixture::service(1000)],
    });
    group.renew(1);
    group.renew(2);
    group.apply(&Command::OpenTargetSession(TargetSpec {
        name: "t1".into(),
        service: SERVICE.into(),
        side: Side::Old,
        address: "127.0.0.1:9".parse().unwrap(),
        checks_tokens: false,
        slots: 4,
    }));
    group.now += Duration::from_millis(10);
    group.step(Event::Tick);
    let departed = group.sender().unwrap();
    let other = 3 - departed;

    group.renew(departed);
    group.renew(other);
    group.step(Event::VmLeft {
        vm: departed,
        incarnation: u64::from(departed),
    });
    // A delayed renewal does not restore the lease.
    group.renew(departed);
    group.apply(&Command::EndVmSession {
        vm: departed,
        incarnation: u64::from(departed),
    });
    group.now += STALL / 2;
    group.step(Event::Tick);
    assert_eq!(group.sender(), None, "within the stall margin");
    group.now += STALL;
    group.step(Event::Tick);
    assert_eq!(group.sender(), Some(other));
}
