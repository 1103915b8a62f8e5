//! Log lines and counters of an entry VM.

use camphordale_entry::{
    AttemptId,
    Decision,
    Evidence,
    LogEvent,
    Reason,
    RequestHandle, //
};
use camphordale_http::Response;
use slog::{
    Logger,
    info, //
};

use super::EntryProcess;
use crate::{
    adapter::{
        ExecutionClaim,
        ProtocolAdapter, //
    },
    process::ProcessContext,
};

impl<Adapter> EntryProcess<Adapter>
where
    Adapter: ProtocolAdapter,
{
    /// Logs and counts a response that says, by its status or its fields, that the request was not
    /// executed. Its form shows whether the target states this of this request.
    pub(super) fn log_refusal(
        &self,
        attempt: AttemptId,
        response: &Response,
        reused: bool,
        context: &mut ProcessContext,
    ) {
        let status = response.status;
        let claim = self.adapter.target_fields(response).execution;
        let is_doubtful = claim == ExecutionClaim::Contradictory;
        if !is_doubtful && !self.adapter.promises_not_executed(status) {
            return;
        }
        let stated = claim == ExecutionClaim::NotExecuted;
        context.metrics.count_target_refusal(status, stated);
        if context.may_log("target refused") {
            let id = response.header(self.adapter.request_id_header());
            info!(context.logger, "target refused"; "attempt" => attempt, "status" => status,
                "stated" => stated, "request" => id.unwrap_or("-"), "reused" => reused);
        }
    }

    pub(super) fn log_event(&mut self, event: LogEvent, context: &mut ProcessContext) {
        match event {
            LogEvent::Refused(decision) => {
                context.metrics.count_refusal(decision.reason.name());
                if context.may_log("refused") {
                    self.log_decision(&context.logger, "refused", &decision);
                }
            }
            LogEvent::Retried(decision) => {
                context.metrics.count_retry(decision.reason.name());
                if context.may_log("repeated") {
                    self.log_decision(&context.logger, "repeated", &decision);
                }
            }
            LogEvent::Trial {
                request,
                fingerprint,
                number,
            } => {
                context.metrics.count_event("trial");
                if context.may_log("trial") {
                    info!(context.logger, "trial of a quarantined request";
                        "request" => request.map(|request| self.request_id(request)),
                        "fingerprint" => format!("{fingerprint:032x}"), "number" => number);
                }
            }
            LogEvent::Cleared {
                request,
                fingerprint,
            } => {
                context.metrics.count_event("cleared");
                if context.may_log("cleared") {
                    info!(context.logger, "quarantined request completed";
                        "request" => self.request_id(request),
                        "fingerprint" => format!("{fingerprint:032x}"));
                }
            }
            LogEvent::Control { live, view } => {
                context.metrics.count_event("control");
                info!(context.logger, "stream from control"; "live" => live, "view" => view);
            }
            LogEvent::Ready {
                ready,
                silence,
                overdue,
            } => {
                context.metrics.count_event("ready");
                info!(context.logger, "readiness"; "ready" => ready,
                    "silence_ms" => silence.as_millis() as u64, "routing_overdue" => overdue);
            }
            LogEvent::Limit {
                target,
                limit,
                told,
            } => {
                context.metrics.count_event("limit");
                if context.may_log("limit") {
                    info!(context.logger, "limit of a target"; "target" => &*target,
                        "per_s" => limit.map(f64::from), "told" => told);
                }
            }
            LogEvent::Cold {
                target,
                limit,
                source,
            } => {
                context.metrics.count_event("cold");
                if context.may_log("cold") {
                    info!(context.logger, "cold target"; "target" => &*target,
                        "cold" => limit.is_some(), "per_s" => limit.map(f64::from),
                        "source" => source.name());
                }
            }
            LogEvent::Leaving { target } => {
                context.metrics.count_event("leaving");
                if context.may_log("leaving") {
                    info!(context.logger, "target leaves by its answer"; "target" => &*target);
                }
            }
            LogEvent::Paused { target, pause } => {
                context.metrics.count_event("paused");
                if context.may_log("paused") {
                    info!(context.logger, "target wants no requests"; "target" => &*target,
                        "for_ms" => pause.as_millis() as u64);
                }
            }
            LogEvent::Evacuation {
                domain,
                order,
                keyed_for,
            } => {
                context.metrics.count_event("evacuation");
                info!(context.logger, "evacuation in force"; "domain" => &*domain,
                    "order" => format!("{order:?}"),
                    "keyed_for_ms" => keyed_for.as_millis() as u64);
            }
            LogEvent::Departure {
                service,
                departure,
                receivers,
            } => {
                context.metrics.count_event("departure");
                for (bodies, fraction) in [("short", departure.short), ("large", departure.large)] {
                    let permille = (fraction * 1000.0).round() as u64;
                    context.metrics.set_departure(&service, bodies, permille);
                }
                if context.may_log("departure") {
                    let receivers = receivers.iter();
                    let receivers = receivers.map(|(domain, share)| format!("{domain}:{share:.2}"));
                    let receivers = receivers.collect::<Vec<_>>().join(",");
                    info!(context.logger, "requests leave the domain"; "service" => &*service,
                        "short" => departure.short, "large" => departure.large,
                        "receivers" => receivers);
                }
            }
            LogEvent::Departed(counts) => {
                let reasons = [
                    ("planned", counts.planned),
                    ("none-in-time", counts.none_in_time),
                    ("unplanned", counts.unplanned),
                ];
                for (reason, count) in reasons {
                    context.metrics.count_departures(reason, count);
                }
            }
            LogEvent::Transferred(stats) => {
                context.metrics.count_event("transfer");
                info!(context.logger, "content received"; "content" => format!("{:?}", stats.kind),
                    "bytes" => stats.length, "parts" => stats.parts,
                    "took_ms" => stats.took.as_millis() as u64);
            }
            LogEvent::Unusable(reason) => {
                context.metrics.count_event("unusable-content");
                info!(context.logger, "content cannot be used"; "reason" => &*reason);
            }
            LogEvent::Routing {
                version,
                view,
                contended,
            } => {
                context.metrics.count_event("routing");
                self.routing_version = version;
                if let Some(routing) = &self.entry.view().routing {
                    context.event_loop.set_limits(routing.limits());
                }
                info!(context.logger, "routing in force";
                    "version" => version, "view" => view, "contended" => contended);
            }
        }
    }

    /// Logs a target's failure or a late response. Other responses are only counted.
    pub(super) fn log_outcome(
        &self,
        decision: &Decision,
        late: bool,
        context: &mut ProcessContext,
    ) {
        let message = match decision.reason {
            Reason::Failure => "target failed",
            _ if late => "late",
            _ => return,
        };
        if context.may_log(message) {
            self.log_decision(&context.logger, message, decision);
        }
    }

    /// Id of a request by its caller.
    fn request_id(&self, request: RequestHandle) -> &str {
        let active = self.requests.get(&request);
        active
            .and_then(|active| active.fields.id.as_deref())
            .unwrap_or("-")
    }

    fn log_decision(&self, logger: &Logger, message: &'static str, decision: &Decision) {
        let active = self.requests.get(&decision.request);
        let id = self.request_id(decision.request);
        let stats = decision.target_stats.as_ref();
        let crashed = (!decision.crashed.is_empty()).then(|| decision.crashed.join(","));
        info!(logger, "{}", message;
            "crashed" => crashed,
            "evidence" => decision.evidence.map(Evidence::name),
            "fingerprint" => active.map(|active| format!("{:032x}", active.fingerprint)),
            "report_age_ms" => stats.and_then(|stats| stats.report_age)
                .map(|age| age.as_millis() as u64),
            "silent" => stats.map(|stats| stats.unresponsive),
            "failing" => stats.map(|stats| stats.failure_rate as f32),
            "expected_ms" => stats.map(|stats| stats.expected_latency.as_millis() as u64),
            "load" => stats.map(|stats| stats.load as f32),
            "open" => stats.map(|stats| stats.in_flight),
            "request" => id,
            "reason" => decision.reason.name(),
            "service" => decision.service.as_deref().unwrap_or("-"),
            "target" => decision.target.as_deref().unwrap_or("-"),
            "attempts" => decision.attempts,
            "queued_ms" => decision.queued.as_millis() as u64,
            "age_ms" => decision.age.as_millis() as u64,
            "left_ms" => decision.remaining.as_millis() as u64,
            "key" => decision.key,
            "view" => decision.view_index,
            "version" => self.routing_version);
    }
}
