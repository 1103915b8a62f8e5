//! Effects of the nodes, and the messages between them.

use std::time::Duration;

use camphordale_node::{
    Call,
    CallId,
    Cast,
    ControlCall,
    ControlEffect,
    ControlEvent,
    Datagram,
    EntryEffect,
    EntryEvent,
    Reply,
    domain_member_id,
    member_vm, //
};
use camphordale_raft::{
    DurableWrite,
    RecoveredState, //
};
use camphordale_types::VmId;
use rand::Rng;

use super::{
    Asker,
    Content,
    Kind,
    Packet,
    Sim, //
};

impl Sim {
    pub(super) fn entry_effect(&mut self, vm: VmId, effect: EntryEffect) {
        match effect {
            EntryEffect::Cast { to, cast, .. } => {
                if let Cast::DomainRaft { term, from, .. } = &cast {
                    let sealed = self.run(vm).sealed.get(from).copied();
                    assert!(
                        sealed.is_none_or(|sealed| *term > sealed),
                        "VM {vm} takes part in sealed term {term}"
                    );
                }
                self.send(vm, to, Content::Cast(cast));
            }
            EntryEffect::Datagram { address, datagram } => {
                let to = VmId::from(address.port());
                if let Datagram::Renewed { lease, .. } = &datagram
                    && !lease.is_zero()
                {
                    self.grants.push((self.now, vm, to));
                }
                self.send(vm, to, Content::Datagram(datagram));
            }
            EntryEffect::Call {
                id,
                to,
                call,
                timeout,
                ..
            } => self.start_call(vm, id, to, call, timeout),
            EntryEffect::Reply { id, reply } => self.answer(vm, id, reply),
            EntryEffect::Route(event) => {
                let one = self.vms.get_mut(&vm).unwrap();
                one.run.as_mut().unwrap().holder.take(event);
            }
            EntryEffect::BundleInForce { signed, bundle } => {
                let one = self.vms.get_mut(&vm).unwrap();
                let (version, acted) = (bundle.version, one.acted);
                assert!(
                    version >= acted,
                    "VM {vm} goes back from {acted} to {version}"
                );
                one.acted = version;
                one.saved = Some(signed);
                self.in_force.push((vm, version));
            }
            EntryEffect::Role { .. }
            | EntryEffect::BundleRejected { .. }
            | EntryEffect::Lease { .. } => {}
        }
    }

    fn start_call(&mut self, vm: VmId, id: CallId, to: VmId, call: Call, timeout: Duration) {
        let run = self.vms.get_mut(&vm).and_then(|one| one.run.as_mut());
        let run = run.unwrap();
        let incarnation = run.incarnation;
        if let Call::Control(ControlCall::Leaderless { term, sealed, .. }) = &call
            && *sealed
        {
            let member = domain_member_id(vm, run.entry.incarnation());
            run.sealed.insert(member, *term);
        }
        if let (true, Call::Control(call)) = (to == vm, &call) {
            let call = call.clone();
            let id = self.admit(vm, Asker::Own(id));
            self.control(vm, ControlEvent::Call { id, call });
            return;
        }
        let down = self.vms.get(&to).is_none_or(|one| one.run.is_none());
        // A refused connection shows at once; a lost call shows at its time limit, and nobody
        // knows whether it arrived. The earlier of answer and time limit counts.
        let (after, lost) = match down {
            true => (self.delay.max(1), Err(false)),
            false => (timeout.as_millis() as u64, Err(true)),
        };
        let at = self.now + after;
        let back = Content::Return(incarnation, id, lost);
        self.put(
            at,
            Packet {
                from: to,
                to: vm,
                content: back,
            },
        );
        if !down {
            self.send(vm, to, Content::Call(incarnation, id, call));
        }
    }

    fn answer(&mut self, vm: VmId, id: CallId, reply: Reply) {
        let run = self.vms.get_mut(&vm).and_then(|one| one.run.as_mut());
        match run.unwrap().asked.remove(&id) {
            Some(Asker::Vm(to, incarnation, id)) => {
                let back = Content::Return(incarnation, id, Ok(reply));
                self.send(vm, to, back);
            }
            Some(Asker::Own(id)) => {
                self.entry(
                    vm,
                    EntryEvent::Returned {
                        id,
                        result: Ok(reply),
                    },
                );
            }
            Some(Asker::Test(number)) => {
                let before = self.answers.insert(number, reply);
                assert_eq!(before, None, "call {number} was answered twice");
            }
            Some(Asker::Nobody) | None => {}
        }
    }

    pub fn control(&mut self, vm: VmId, event: ControlEvent) {
        let now = self.local(vm);
        let one = self.vms.get_mut(&vm).unwrap();
        let Some(node) = one.run.as_mut().and_then(|run| run.control.as_mut()) else {
            return;
        };
        for effect in node.step(event, now) {
            match effect {
                ControlEffect::Persist(persist) => {
                    keep(&mut self.vms.get_mut(&vm).unwrap().disk, persist);
                }
                ControlEffect::Send { to, message } => {
                    let from = self.vms[&vm].member;
                    let cast = Cast::ControlRaft { from, to, message };
                    self.send(vm, member_vm(to), Content::Cast(cast));
                }
                ControlEffect::Reply { id, reply } => self.answer(vm, id, Reply::Control(reply)),
                ControlEffect::Role { .. } => {}
            }
        }
    }

    fn send(&mut self, from: VmId, to: VmId, content: Content) {
        let kind = match &content {
            Content::Call(..) => Kind::Calls,
            Content::Return(..) => Kind::Replies,
            Content::Cast(_) | Content::Datagram(_) => Kind::All,
        };
        let cut = |kind| self.cuts.contains(&(from, to, kind));
        if cut(Kind::All) || cut(kind) || self.rng.random_range(0..100) < self.loss {
            return;
        }
        let at = self.now + 1 + self.rng.random_range(0..=self.delay);
        self.put(at, Packet { from, to, content });
    }

    fn put(&mut self, at: u64, packet: Packet) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), packet);
    }

    pub(super) fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, content } = packet.clone();
        let Some(one) = self.vms.get_mut(&to) else {
            return;
        };
        let Some(run) = &one.run else {
            return;
        };
        if one.paused {
            one.inbox.push(packet);
            return;
        }
        match content {
            Content::Cast(Cast::ControlRaft {
                from,
                to: id,
                message,
            }) => {
                let event = ControlEvent::Raft {
                    from,
                    to: id,
                    message,
                };
                self.control(to, event);
            }
            Content::Cast(cast) => self.entry(to, EntryEvent::Cast { from, cast }),
            Content::Datagram(datagram) => {
                self.entry(to, EntryEvent::Datagram { from, datagram });
            }
            Content::Call(incarnation, id, call) => {
                let id = self.admit(to, Asker::Vm(from, incarnation, id));
                match call {
                    Call::Control(call) if self.vms[&to].setup.control => {
                        self.control(to, ControlEvent::Call { id, call });
                    }
                    call => {
                        let from = Some(from);
                        self.entry(to, EntryEvent::Call { id, from, call });
                    }
                }
            }
            Content::Return(incarnation, id, result) if run.incarnation == incarnation => {
                self.entry(to, EntryEvent::Returned { id, result });
            }
            Content::Return(..) => {}
        }
    }
}

/// Applies a write to a disk.
fn keep(disk: &mut RecoveredState, persist: DurableWrite) {
    if let Some(hard) = persist.hard_state {
        disk.hard_state = hard;
    }
    if let Some(snapshot) = persist.snapshot {
        disk.entries
            .retain(|entry| entry.index > snapshot.index && !persist.discard_log);
        disk.snapshot = Some(snapshot);
    }
    if let Some(first) = persist.entries.first().map(|entry| entry.index) {
        disk.entries.retain(|entry| entry.index < first);
        disk.entries.extend(persist.entries);
    }
}
