//! Effects of the nodes, and the network between them.

use std::time::Duration;

use camphordale_node::{
    Call,
    CallId,
    Cast,
    ControlCall,
    ControlEffect,
    ControlEvent,
    ControlReply,
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
    Caller,
    CutKind,
    Packet,
    Payload,
    Sim, //
};

impl Sim {
    pub(super) fn entry_effect(&mut self, vm: VmId, effect: EntryEffect) {
        match effect {
            EntryEffect::Cast { to, cast, .. } => {
                if let Cast::DomainRaft { term, from, .. } = &cast {
                    let sealed = self.process(vm).sealed_terms.get(from).copied();
                    assert!(
                        sealed.is_none_or(|sealed| *term > sealed),
                        "VM {vm} takes part in sealed term {term}"
                    );
                }
                self.send(vm, to, Payload::Cast(cast));
            }
            EntryEffect::Datagram { address, datagram } => {
                let to = VmId::from(address.port());
                if let Datagram::Renewed { lease, .. } = &datagram
                    && !lease.is_zero()
                {
                    self.grants.push((self.now, vm, to));
                }
                self.send(vm, to, Payload::Datagram(datagram));
            }
            EntryEffect::Call {
                id,
                to,
                call,
                timeout,
                ..
            } => self.start_call(vm, id, to, call, timeout),
            EntryEffect::Reply { id, reply } => self.reply(vm, id, reply),
            EntryEffect::Route(event) => {
                let machine = self.vms.get_mut(&vm).unwrap();
                machine.process.as_mut().unwrap().lease_state.apply(event);
            }
            EntryEffect::BundleInForce { signed, bundle } => {
                let machine = self.vms.get_mut(&vm).unwrap();
                let (version, max_in_force) = (bundle.version, machine.max_in_force);
                assert!(
                    version >= max_in_force,
                    "VM {vm} goes back from bundle {max_in_force} to {version}"
                );
                machine.max_in_force = version;
                machine.saved_bundle = Some(signed);
                self.in_force.push((vm, version));
            }
            EntryEffect::Role { .. }
            | EntryEffect::BundleRejected { .. }
            | EntryEffect::Lease { .. } => {}
        }
    }

    fn start_call(&mut self, vm: VmId, id: CallId, to: VmId, call: Call, timeout: Duration) {
        let process = self
            .vms
            .get_mut(&vm)
            .and_then(|machine| machine.process.as_mut());
        let process = process.unwrap();
        let incarnation = process.incarnation;
        if let Call::Control(ControlCall::Leaderless {
            info, term, sealed, ..
        }) = &call
            && *sealed
        {
            // A call that is repeated may be of an earlier incarnation.
            let member = domain_member_id(vm, info.incarnation);
            process.sealed_terms.insert(member, *term);
        }
        if let (true, Call::Control(call)) = (to == vm, &call) {
            let call = call.clone();
            let id = self.register_call(vm, Caller::Local(id));
            self.step_control(vm, ControlEvent::Call { id, call });
            return;
        }
        let down = self
            .vms
            .get(&to)
            .is_none_or(|machine| machine.process.is_none());
        // A call to a stopped VM fails at once: the connection is refused. A lost call fails at its
        // timeout and may have been delivered. The caller uses whichever arrives first, the reply
        // or the timeout.
        let (after, lost) = match down {
            true => (self.max_delay.max(1), Err(false)),
            false => (timeout.as_millis() as u64 + self.transfer_time, Err(true)),
        };
        let at = self.now + after;
        let back = Payload::Return(incarnation, id, lost);
        self.enqueue(
            at,
            Packet {
                from: to,
                to: vm,
                payload: back,
            },
        );
        if !down {
            self.send(vm, to, Payload::Call(incarnation, id, call));
        }
    }

    fn reply(&mut self, vm: VmId, id: CallId, reply: Reply) {
        let process = self
            .vms
            .get_mut(&vm)
            .and_then(|machine| machine.process.as_mut());
        match process.unwrap().pending_calls.remove(&id) {
            Some(Caller::Vm(to, incarnation, id)) => {
                let has_bundle = match &reply {
                    Reply::Directory(directory)
                    | Reply::Control(ControlReply::DirectoryUpdate { directory, .. }) => {
                        directory.bundle.is_some()
                    }
                    _ => false,
                };
                let back = Payload::Return(incarnation, id, Ok(reply));
                if has_bundle && self.transfer_time > 0 {
                    self.transfers.push((vm, to));
                    let at = self.now + self.transfer_time;
                    let (from, payload) = (vm, back);
                    self.enqueue(at, Packet { from, to, payload });
                } else {
                    self.send(vm, to, back);
                }
            }
            Some(Caller::Local(id)) => {
                self.step_entry(
                    vm,
                    EntryEvent::Returned {
                        id,
                        result: Ok(reply),
                    },
                );
            }
            Some(Caller::Test(number)) => {
                let before = self.replies.insert(number, reply);
                assert_eq!(before, None, "call {number} was answered twice");
            }
            Some(Caller::Nobody) | None => {}
        }
    }

    pub fn step_control(&mut self, vm: VmId, event: ControlEvent) {
        let now = self.local_time(vm);
        let machine = self.vms.get_mut(&vm).unwrap();
        let Some(node) = machine
            .process
            .as_mut()
            .and_then(|process| process.control.as_mut())
        else {
            return;
        };
        for effect in node.step(event, now) {
            match effect {
                ControlEffect::Persist(persist) => {
                    apply_write(&mut self.vms.get_mut(&vm).unwrap().disk, persist);
                }
                ControlEffect::Send { to, message } => {
                    let from = self.vms[&vm].member;
                    let cast = Cast::ControlRaft { from, to, message };
                    self.send(vm, member_vm(to), Payload::Cast(cast));
                }
                ControlEffect::Reply { id, reply } => self.reply(vm, id, Reply::Control(reply)),
                ControlEffect::Role { .. } => {}
            }
        }
    }

    fn send(&mut self, from: VmId, to: VmId, payload: Payload) {
        let kind = match &payload {
            Payload::Call(..) => CutKind::Calls,
            Payload::Return(..) => CutKind::Replies,
            Payload::Cast(_) | Payload::Datagram(_) => CutKind::All,
        };
        let cut = |kind| self.link_cuts.contains(&(from, to, kind));
        if cut(CutKind::All) || cut(kind) || self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let delay = 1 + self.rng.random_range(0..=self.max_delay);
        let mut at = self.now + delay;
        if let Payload::Cast(cast) = &payload
            && (self.max_cast > 0 || self.link_rate > 0)
        {
            let length = postcard::to_stdvec(cast).unwrap().len();
            if self.max_cast > 0 && length > self.max_cast {
                return;
            }
            if let Some(time) = (length as u64).checked_div(self.link_rate) {
                // Casts to a VM share a connection, so each waits for those before it.
                let free_at = self.link_free_at.entry((from, to)).or_default();
                *free_at = self.now.max(*free_at) + time;
                at = *free_at + delay;
            }
        }
        self.enqueue(at, Packet { from, to, payload });
    }

    fn enqueue(&mut self, at: u64, packet: Packet) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), packet);
    }

    pub(super) fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, payload } = packet.clone();
        let Some(machine) = self.vms.get_mut(&to) else {
            return;
        };
        let Some(process) = &machine.process else {
            return;
        };
        if machine.paused {
            machine.inbox.push(packet);
            return;
        }
        match payload {
            Payload::Cast(Cast::ControlRaft {
                from,
                to: id,
                message,
            }) => {
                let event = ControlEvent::Raft {
                    from,
                    to: id,
                    message,
                };
                self.step_control(to, event);
            }
            Payload::Cast(cast) => self.step_entry(to, EntryEvent::Cast { from, cast }),
            Payload::Datagram(datagram) => {
                self.step_entry(to, EntryEvent::Datagram { from, datagram });
            }
            Payload::Call(incarnation, id, call) => {
                let id = self.register_call(to, Caller::Vm(from, incarnation, id));
                match call {
                    Call::Control(call) if self.vms[&to].setup.control => {
                        self.step_control(to, ControlEvent::Call { id, call });
                    }
                    call => {
                        let from = Some(from);
                        self.step_entry(to, EntryEvent::Call { id, from, call });
                    }
                }
            }
            Payload::Return(incarnation, id, result) if process.incarnation == incarnation => {
                self.step_entry(to, EntryEvent::Returned { id, result });
            }
            Payload::Return(..) => {}
        }
    }
}

/// Applies a write to a simulated disk.
fn apply_write(disk: &mut RecoveredState, persist: DurableWrite) {
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
