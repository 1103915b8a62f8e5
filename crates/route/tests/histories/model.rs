//! The model: what is allowed, computed from the last view, lease and bundle.

use camphordale_route::*;
use camphordale_types::*;

use crate::{
    ActiveRequest, Simulation, Stage,
    common::{VM, ms},
};

pub(crate) type CheckResult = Result<(), &'static str>;

fn ensure(allowed: bool, violation: &'static str) -> CheckResult {
    if allowed { Ok(()) } else { Err(violation) }
}

pub(crate) fn millis(time: std::time::Duration) -> u64 {
    time.as_millis() as u64
}

impl Simulation {
    /// Returns the limit of requests in flight at a target.
    fn limit(&self, id: TargetId, service: &str) -> Option<usize> {
        let rules = self.bundle.service(service)?;
        let spec = &self.viewed.targets.get(&id)?.info.spec;
        let slots = rules.slots.min(spec.slots) as usize;
        if rules.is_keyed() {
            return Some(slots);
        }
        // Assigns the slots one by one, starting with the VM at the index that the target id gives.
        let vms = &self.viewed.vms;
        let mut dealt = vec![0; vms.len()];
        (0..slots).for_each(|i| dealt[(id as usize + i) % vms.len()] += 1);
        Some(dealt[vms.iter().position(|vm| *vm == VM)?])
    }

    /// Checks the number of requests in flight at a target, or only of those written.
    fn check_slots(&self, send: &SendRequest, service: &str, opening: bool) -> CheckResult {
        let term = self.viewed.term;
        let counts = |o: &&ActiveRequest| match &o.stage {
            Stage::Written(s, _) => s.target == send.target && of_term(s, term),
            Stage::Opening(s, _) => opening && s.target == send.target && of_term(s, term),
            _ => false,
        };
        // For unkeyed requests, the group of the target is not known.
        let first = self.past_views.iter().all(|v| v.term == term);
        let exact = send.grant.is_some() || (first && !opening);
        let count = self.requests.values().filter(counts).count();
        let limit = self.limit(send.target, service).unwrap_or(0);
        ensure(!exact || count <= limit, "slots")
    }

    /// Checks the conditions for the write of a request.
    fn check_write(&self, request: &ActiveRequest, send: &SendRequest) -> CheckResult {
        let (until, min_view, control) = self.lease;
        let target = self.viewed.targets.get(&send.target).ok_or("no target")?;
        let rules = self.bundle.service(request.service).ok_or("no service")?;
        ensure(self.announced_term.is_none(), "view of another term")?;
        ensure(self.now < until, "lease over")?;
        ensure(self.viewed.index >= min_view, "min_view")?;
        ensure(ms(self.now) < send.deadline, "deadline")?;
        ensure(!request.idempotent || request.recorded, "no record")?;
        ensure(request.retryable || request.writes == 0, "second write")?;
        let Some((shard, token)) = &send.grant else {
            ensure(target.info.state == TargetState::Serving, "not serving")?;
            return ensure(Some(target.info.spec.side) == request.side, "side");
        };
        ensure(self.viewed.bundle == self.bundle.version, "other mapping")?;
        ensure(shard.index == rules.shard_of(&request.key), "shard")?;
        ensure(
            !request.idempotent || request.record_term == token.term,
            "old record",
        )?;
        let held = self.viewed.shards.get(&shard.index).ok_or("no shard")?;
        ensure(held.owner == Some(send.target), "owner")?;
        ensure(!held.releasing, "releasing")?;
        ensure(target.info.state != TargetState::Lost, "lost")?;
        ensure(target.sender == Some(VM), "sender")?;
        ensure(*token == held.token.max(target.token), "token")?;
        let lease = rules.domain_lease.unwrap_or(ms(u64::MAX / 2));
        ensure(ms(self.now) < ms(control) + lease, "domain lease")
    }

    fn check_release(&self, effect: &Effect) -> CheckResult {
        let Effect::ReportRelease {
            shard,
            drain_time,
            token,
        } = effect
        else {
            return Ok(());
        };
        let mut latest = self
            .unknown_deadlines
            .get(&shard.index)
            .copied()
            .unwrap_or(0);
        for request in self.requests.values() {
            if let Stage::Written(send, aborted) = &request.stage
                && let Some(grant) = send.grant.as_ref().filter(|g| g.0 == *shard)
            {
                // Requests of an earlier group need not be aborted, but `drain_time` includes them.
                let earlier = grant.1.term < token.term;
                ensure(*aborted || earlier, "released while in flight")?;
                latest = latest.max(millis(send.deadline));
            }
        }
        ensure(
            ms(self.now) + *drain_time >= ms(latest),
            "drain time too short",
        )
    }

    fn check_refusal(&self, request: &ActiveRequest, refusal: Refusal, ready: bool) -> CheckResult {
        // `Ready` can result in a refusal instead of the write, and a record may be too late.
        let unsent = (ready && matches!(request.stage, Stage::Opening(..)))
            || request.stage == Stage::Recording;
        ensure(
            request.stage == Stage::Router || unsent,
            "refused while in flight",
        )?;
        let not_run = matches!(refusal, Refusal::NotRun(_));
        ensure(!not_run || !request.may_have_run, "untrue refusal")?;
        let leased = self.announced_term.is_none()
            && self.now < self.lease.0
            && self.viewed.index >= self.lease.1;
        let service = self.bundle.service(request.service);
        let plain = service.is_some_and(|s| s.domain_lease.is_none()) && !request.forwarded;
        let no_lease = refusal == Refusal::NotRun(NotRun::NoLease);
        let aligned = self.viewed.bundle == self.bundle.version;
        ensure(!(plain && no_lease && leased && aligned), "lease is valid")
    }

    /// Applies an effect to the model; returns an error if the effect is not allowed.
    pub(crate) fn apply_effect(
        &mut self,
        effect: &Effect,
        ready: Option<RequestId>,
    ) -> CheckResult {
        match effect {
            Effect::Abort { .. } => self.event_counts[0] += 1,
            Effect::Requeue { .. } => self.event_counts[1] += 1,
            Effect::ReportRelease { .. } => {
                self.event_counts[2] += 1;
                return self.check_release(effect);
            }
            Effect::EraseRecord { id, .. } => {
                let request = self.requests.get(id);
                return ensure(request.is_none_or(|o| !o.may_have_run), "erased");
            }
            _ => {}
        }
        let Some(id) = effect.request() else {
            return Ok(());
        };
        let entry = self.requests.get_mut(&id);
        let request = entry.ok_or("effect after the end")?;
        let before = request.clone();
        let (idle, service) = (request.stage == Stage::Router, request.service);
        match effect {
            Effect::Send(send) => {
                ensure(idle, "sent twice")?;
                request.stage = Stage::Opening(send.clone(), false);
                self.check_slots(send, service, true)?;
            }
            Effect::Proceed { .. } => {
                let Stage::Opening(send, false) = before.stage.clone() else {
                    return Err("proceed without send");
                };
                ensure(ready == Some(id), "proceed without ready")?;
                request.writes += 1;
                request.stage = Stage::Written(send.clone(), false);
                self.check_write(&before, &send)?;
                self.check_slots(&send, service, false)?;
            }
            Effect::Requeue { .. } => {
                let opening = matches!(request.stage, Stage::Opening(..));
                ensure(opening && ready == Some(id), "requeue")?;
                request.stage = Stage::Router;
            }
            Effect::Abort { .. } => match &mut request.stage {
                Stage::Opening(_, aborted) | Stage::Written(_, aborted) => *aborted = true,
                _ => return Err("abort of nothing"),
            },
            Effect::Forward { hops, .. } => {
                ensure(idle && request.from_caller && *hops <= 3, "forward")?;
                ensure(!request.recorded, "forward of a recorded request")?;
                ensure(
                    request.retryable || request.writes == 0,
                    "forward after write",
                )?;
                (request.stage, request.forwarded) = (Stage::Forwarded, true);
            }
            Effect::CreateRecord { token, .. } => {
                ensure(idle && request.idempotent && !request.recorded, "record")?;
                (request.stage, request.record_term) = (Stage::Recording, token.term);
            }
            Effect::Redirect { .. } | Effect::Refuse { .. } => {
                self.requests.remove(&id);
                self.last_ended = id;
                if let Effect::Refuse { refusal, .. } = effect {
                    return self.check_refusal(&before, *refusal, ready == Some(id));
                }
                ensure(
                    idle && !before.from_caller && !before.may_have_run,
                    "redirect",
                )?;
            }
            _ => return Err("replay of nothing"),
        }
        Ok(())
    }
}

fn of_term(send: &SendRequest, term: u64) -> bool {
    (send.grant.as_ref()).is_none_or(|(_, token)| token.term == term)
}
