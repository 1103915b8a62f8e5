//! What is legal, recomputed naively from the last view, lease and bundle.

use camphordale_route::*;
use camphordale_types::*;

use crate::{
    At, Open, World,
    common::{VM, ms},
};

pub(crate) type Verdict = Result<(), &'static str>;

fn ensure(holds: bool, fault: &'static str) -> Verdict {
    if holds { Ok(()) } else { Err(fault) }
}

pub(crate) fn millis(time: std::time::Duration) -> u64 {
    time.as_millis() as u64
}

impl World {
    /// Naive limit of requests in flight at a target.
    fn limit(&self, id: TargetId, service: &str) -> Option<usize> {
        let rules = self.bundle.service(service)?;
        let spec = &self.seen.targets.get(&id)?.info.spec;
        let slots = rules.slots.min(spec.slots) as usize;
        if rules.is_keyed() {
            return Some(slots);
        }
        // Deals the slots out one by one, beginning with the VM that the target's id names.
        let vms = &self.seen.vms;
        let mut dealt = vec![0; vms.len()];
        (0..slots).for_each(|i| dealt[(id as usize + i) % vms.len()] += 1);
        Some(dealt[vms.iter().position(|vm| *vm == VM)?])
    }

    /// Checks the number of requests in flight at a target, or only of those written.
    fn check_slots(&self, send: &SendRequest, service: &str, opening: bool) -> Verdict {
        let term = self.seen.term;
        let counts = |o: &&Open| match &o.at {
            At::Written(s, _) => s.target == send.target && of_term(s, term),
            At::Opening(s, _) => opening && s.target == send.target && of_term(s, term),
            _ => false,
        };
        // Requests without a key do not tell for which group's target they were.
        let first = self.old.iter().all(|v| v.term == term);
        let exact = send.grant.is_some() || (first && !opening);
        let count = self.open.values().filter(counts).count();
        let limit = self.limit(send.target, service).unwrap_or(0);
        ensure(!exact || count <= limit, "slots")
    }

    /// Everything that must hold when a request is written.
    fn legal(&self, open: &Open, send: &SendRequest) -> Verdict {
        let (until, fence, control) = self.lease;
        let target = self.seen.targets.get(&send.target).ok_or("no target")?;
        let rules = self.bundle.service(open.service).ok_or("no service")?;
        ensure(self.void.is_none(), "view of another term")?;
        ensure(self.now < until, "lease over")?;
        ensure(self.seen.index >= fence, "fence")?;
        ensure(ms(self.now) < send.deadline, "deadline")?;
        ensure(!open.idempotent || open.recorded, "no record")?;
        ensure(open.repeatable || open.proceeds == 0, "second write")?;
        let Some((shard, token)) = &send.grant else {
            ensure(target.info.state == TargetState::Serving, "not serving")?;
            return ensure(Some(target.info.spec.side) == open.side, "side");
        };
        ensure(self.seen.bundle == self.bundle.version, "other mapping")?;
        ensure(shard.index == rules.shard_of(&open.key), "shard")?;
        ensure(!open.idempotent || open.asked == token.term, "old record")?;
        let held = self.seen.shards.get(&shard.index).ok_or("no shard")?;
        ensure(held.owner == Some(send.target), "owner")?;
        ensure(!held.releasing, "releasing")?;
        ensure(target.info.state != TargetState::Lost, "lost")?;
        ensure(target.sender == Some(VM), "sender")?;
        ensure(*token == held.token.max(target.token), "token")?;
        let lease = rules.domain_lease.unwrap_or(ms(u64::MAX / 2));
        ensure(ms(self.now) < ms(control) + lease, "domain lease")
    }

    fn check_release(&self, effect: &Effect) -> Verdict {
        let Effect::ReportRelease {
            shard,
            drain_time,
            token,
        } = effect
        else {
            return Ok(());
        };
        let mut latest = self.risk.get(&shard.index).copied().unwrap_or(0);
        for open in self.open.values() {
            if let At::Written(send, aborted) = &open.at
                && let Some(grant) = send.grant.as_ref().filter(|g| g.0 == *shard)
            {
                // Those of an earlier group may end by themselves, but `clear` counts them.
                let earlier = grant.1.term < token.term;
                ensure(*aborted || earlier, "released while in flight")?;
                latest = latest.max(millis(send.deadline));
            }
        }
        ensure(ms(self.now) + *drain_time >= ms(latest), "clear too short")
    }

    fn check_refusal(&self, open: &Open, refusal: Refusal, ready: bool) -> Verdict {
        // A refusal instead of the write answers `Ready`, and a record may come too late.
        let unsent = (ready && matches!(open.at, At::Opening(..))) || open.at == At::Record;
        ensure(open.at == At::Router || unsent, "refused while in flight")?;
        let not_run = matches!(refusal, Refusal::NotRun(_));
        ensure(!not_run || !open.uncertain, "untrue refusal")?;
        let leased =
            self.void.is_none() && self.now < self.lease.0 && self.seen.index >= self.lease.1;
        let service = self.bundle.service(open.service);
        let plain = service.is_some_and(|s| s.domain_lease.is_none()) && !open.forwarded;
        let no_lease = refusal == Refusal::NotRun(NotRun::NoLease);
        let aligned = self.seen.bundle == self.bundle.version;
        ensure(!(plain && no_lease && leased && aligned), "lease is valid")
    }

    /// Applies an effect to the model, and returns what is wrong with it.
    pub(crate) fn check(&mut self, effect: &Effect, ready: Option<RequestId>) -> Verdict {
        match effect {
            Effect::Abort { .. } => self.rare[0] += 1,
            Effect::Requeue { .. } => self.rare[1] += 1,
            Effect::ReportRelease { .. } => {
                self.rare[2] += 1;
                return self.check_release(effect);
            }
            Effect::EraseRecord { id, .. } => {
                let open = self.open.get(id);
                return ensure(open.is_none_or(|o| !o.uncertain), "erased");
            }
            _ => {}
        }
        let Some(id) = effect.request() else {
            return Ok(());
        };
        let entry = self.open.get_mut(&id);
        let open = entry.ok_or("effect after the end")?;
        let before = open.clone();
        let (idle, service) = (open.at == At::Router, open.service);
        match effect {
            Effect::Send(send) => {
                ensure(idle, "sent twice")?;
                open.at = At::Opening(send.clone(), false);
                self.check_slots(send, service, true)?;
            }
            Effect::Proceed { .. } => {
                let At::Opening(send, false) = before.at.clone() else {
                    return Err("proceed without send");
                };
                ensure(ready == Some(id), "proceed without ready")?;
                open.proceeds += 1;
                open.at = At::Written(send.clone(), false);
                self.legal(&before, &send)?;
                self.check_slots(&send, service, false)?;
            }
            Effect::Requeue { .. } => {
                let opening = matches!(open.at, At::Opening(..));
                ensure(opening && ready == Some(id), "hold")?;
                open.at = At::Router;
            }
            Effect::Abort { .. } => match &mut open.at {
                At::Opening(_, aborted) | At::Written(_, aborted) => *aborted = true,
                _ => return Err("abort of nothing"),
            },
            Effect::Forward { hops, .. } => {
                ensure(idle && open.caller && *hops <= 3, "forward")?;
                ensure(!open.recorded, "forward of a recorded request")?;
                ensure(open.repeatable || open.proceeds == 0, "forward after write")?;
                (open.at, open.forwarded) = (At::Forward, true);
            }
            Effect::CreateRecord { token, .. } => {
                ensure(idle && open.idempotent && !open.recorded, "record")?;
                (open.at, open.asked) = (At::Record, token.term);
            }
            Effect::Redirect { .. } | Effect::Refuse { .. } => {
                self.open.remove(&id);
                self.ended = id;
                if let Effect::Refuse { refusal, .. } = effect {
                    return self.check_refusal(&before, *refusal, ready == Some(id));
                }
                ensure(idle && !before.caller && !before.uncertain, "redirect")?;
            }
            _ => return Err("replay of nothing"),
        }
        Ok(())
    }
}

fn of_term(send: &SendRequest, term: u64) -> bool {
    (send.grant.as_ref()).is_none_or(|(_, token)| token.term == term)
}
