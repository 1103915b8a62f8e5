//! Log lines of a control VM.

use camphordale_fleet::{
    Answer,
    Dispatch,
    LogEvent,
    Order, //
};
use slog::{
    Logger,
    info,
    warn, //
};

use crate::process::ProcessContext;

/// Logs the first order on a connection to a target, with its answer.
pub(super) fn log_order(dispatch: &Dispatch, answer: &Answer, logger: &Logger) {
    let (kind, from, to, fence) = match dispatch.order {
        Order::Grant {
            from, to, fence, ..
        } => ("grant", from, to, fence),
        Order::Release { from, to, fence } => ("release", from, to, fence),
    };
    info!(logger, "order over a new connection"; "kind" => kind, "from" => from, "to" => to,
        "fence" => fence, "target" => &*dispatch.holder.id, "born" => dispatch.holder.incarnation,
        "address" => dispatch.address.to_string(), "answer" => format!("{answer:?}"));
}

/// Logs and counts a change of state.
pub(super) fn log_event(event: &LogEvent, context: &mut ProcessContext) {
    let kind = match event {
        LogEvent::Role { .. } => "role",
        LogEvent::Change { .. } => "change",
        LogEvent::Acknowledged {
            behind: 0,
            is_new: false,
            ..
        } => "acknowledged",
        LogEvent::Acknowledged { .. } => "acknowledged-while-behind",
        LogEvent::Evacuation { .. } => "evacuation",
        LogEvent::Target { .. } => "target",
        LogEvent::Suspected { .. } => "suspected",
        LogEvent::Assigned { .. } => "assigned",
        LogEvent::Moving { .. } => "moving",
        LogEvent::Withheld { .. } => "withheld",
        LogEvent::Order { .. } => "order",
        LogEvent::Members { .. } => "members",
        LogEvent::Lagging { .. } => "member-lagging",
        LogEvent::Unaddressed { .. } => "member-unaddressed",
        LogEvent::Entries(_) => "entries",
        LogEvent::Codec(_) => "codec",
    };
    context.metrics.count_event(kind);
    if !context.may_log(kind) {
        return;
    }
    let logger = &context.logger;
    match event {
        LogEvent::Role {
            leads,
            term,
            leader,
        } => info!(logger, "role"; "leads" => leads, "term" => term, "leader" => leader),
        LogEvent::Change {
            base,
            version,
            outcome,
        } => info!(logger, "change decided"; "base" => base, "version" => version,
            "outcome" => format!("{outcome:?}")),
        LogEvent::Acknowledged {
            index,
            version,
            waited,
            behind,
            oldest,
            is_new,
        } => info!(logger, "acknowledged"; "index" => index, "version" => version,
            "waited_ms" => waited.as_millis() as u64, "behind" => behind, "oldest" => oldest,
            "new_leader" => is_new),
        LogEvent::Evacuation {
            domain,
            order,
            outcome,
        } => info!(logger, "evacuation decided"; "domain" => &**domain,
            "order" => format!("{order:?}"), "outcome" => format!("{outcome:?}")),
        LogEvent::Target {
            id,
            incarnation,
            change,
        } => {
            info!(logger, "target"; "target" => &**id, "born" => incarnation, "state" => change);
        }
        LogEvent::Suspected { holder, suspected } => {
            info!(logger, "target may be cold"; "target" => &*holder.id,
                "born" => holder.incarnation, "suspected" => suspected);
        }
        LogEvent::Assigned { service, range } => info!(logger, "keys assigned";
            "service" => &**service, "from" => range.from, "to" => range.to,
            "target" => range.holder.as_ref().map_or("-", |holder| &*holder.id),
            "handover" => range.handover.is_some()),
        LogEvent::Moving {
            service,
            range,
            next,
        } => info!(logger, "keys begin to move"; "service" => &**service,
            "from" => range.0, "to" => range.1, "target" => &*next.id),
        LogEvent::Withheld {
            service,
            range,
            holder,
            next,
        } => info!(logger, "keys left out of an answer"; "service" => &**service,
            "from" => range.0, "to" => range.1, "target" => &*holder.id, "next" => &*next.id),
        LogEvent::Order { holder, answer } => info!(logger, "order not carried out";
            "target" => &*holder.id, "answer" => format!("{answer:?}")),
        LogEvent::Members { voters, learners } => info!(logger, "members";
            "voters" => format!("{voters:?}"), "learners" => format!("{learners:?}")),
        LogEvent::Lagging {
            member,
            lagging,
            missing,
            silence,
        } => info!(logger, "member lags behind the log"; "member" => member,
            "lagging" => lagging, "missing" => missing, "silent_ms" => silence.as_millis() as u64),
        LogEvent::Unaddressed {
            member,
            repeated: false,
        } => warn!(logger, "no address of a member"; "member" => member),
        LogEvent::Unaddressed { .. } => {}
        LogEvent::Entries(count) => info!(logger, "entry VMs"; "count" => count),
        LogEvent::Codec(what) => warn!(logger, "encoding or decoding failed"; "what" => what),
    }
}
