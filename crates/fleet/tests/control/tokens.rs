//! Fencing tokens of a leader that leads for long.

use std::time::Duration;

use camphordale_fleet::{
    Answer,
    Call,
    Control,
    Effect,
    Event,
    FencingToken,
    MemberList,
    Order, //
};

use crate::{
    cluster::{
        announce,
        config,
        member,
        ms, //
    },
    scenarios::keyed_change, //
};

/// Number of fencing tokens in a term.
const TOKENS_PER_TERM: u64 = 1 << 20;

/// A control VM without others, with targets that carry out every order.
struct SoleVm {
    control: Control,
    now: Duration,
    /// Highest token sent.
    highest: FencingToken,
}

impl SoleVm {
    fn new() -> SoleVm {
        let own = member(1, 1);
        let disk = Control::bootstrap_state(vec![own.clone()]).unwrap();
        let control = Control::new(
            config(own.clone(), 1),
            disk,
            vec![own],
            MemberList::default(),
        )
        .unwrap();
        SoleVm {
            control,
            now: ms(0),
            highest: 0,
        }
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.control.step(event, self.now) {
                let Effect::Order { dispatch, .. } = effect else {
                    continue;
                };
                let answer = match dispatch.order {
                    Order::Grant { fence, .. } => {
                        self.highest = self.highest.max(fence);
                        Answer::Granted
                    }
                    Order::Release { .. } => Answer::Released(None),
                };
                let id = dispatch.id;
                events.push(Event::OrderAnswered { id, answer });
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(20);
            self.step(Event::Tick);
        }
    }

    /// Lets the target start again, so that its keys are assigned under a new token.
    fn restart_target(&mut self, incarnation: u64) {
        let call = announce(1, incarnation, false);
        self.step(Event::Call { token: 1, call });
        self.now += ms(1);
        self.step(Event::Tick);
    }
}

/// Guards against a leader that leads so long that its fencing tokens are those of the next term.
/// The next leader's holders would count as fenced, or hold a key under a token that another target
/// has had (OWNER).
#[test]
fn a_leader_resigns_before_its_tokens_are_those_of_the_next_term() {
    let mut vm = SoleVm::new();
    vm.run(ms(100));
    let call = Call::Change(Box::new(keyed_change()));
    vm.step(Event::Call { token: 1, call });
    let call = announce(1, 1, false);
    vm.step(Event::Call { token: 1, call });
    vm.run(ms(3000));
    let term = vm.highest / TOKENS_PER_TERM;
    assert!(term > 0, "keys are granted");

    let mut incarnation = 1;
    while vm.control.is_leader() {
        incarnation += 1;
        vm.restart_target(incarnation);
        let token = vm.highest;
        assert_eq!(token / TOKENS_PER_TERM, term, "token {token}");
    }
    let used = vm.highest % TOKENS_PER_TERM;
    assert!(used > TOKENS_PER_TERM / 2, "resigned after {used} tokens");

    let former = vm.highest;
    vm.run(ms(1500));
    assert!(vm.control.is_leader());
    vm.restart_target(incarnation + 1);
    vm.run(ms(4000));
    assert!(vm.highest > former);
    assert!(vm.highest / TOKENS_PER_TERM > term);
}
