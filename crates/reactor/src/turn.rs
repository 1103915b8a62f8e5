//! Time that one turn of a process's loop takes, by kind of work.

use std::time::Duration;

use slog::info;

use crate::process::ProcessContext;

/// A turn of the loop that takes longer is logged: a leader must send heartbeats in between, and an
/// entry VM delays its callers.
const LONG_TURN: Duration = Duration::from_millis(40);

/// Kinds of work in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Timers of the reducer.
    Timer,
    /// Messages of the control group.
    Consensus,
    /// Messages between entry VMs and control VMs.
    Stream,
    /// Calls of operators and targets.
    Call,
    /// Requests of callers.
    Request,
    /// Answers of targets to requests or orders.
    Answer,
    /// Effects that are carried out after all events of the turn.
    Effects,
}

impl Work {
    const ALL: [Work; 7] = [
        Work::Timer,
        Work::Consensus,
        Work::Stream,
        Work::Call,
        Work::Request,
        Work::Answer,
        Work::Effects,
    ];

    fn name(self) -> &'static str {
        match self {
            Work::Timer => "timer",
            Work::Consensus => "consensus",
            Work::Stream => "stream",
            Work::Call => "call",
            Work::Request => "request",
            Work::Answer => "answer",
            Work::Effects => "effects",
        }
    }
}

/// Work done in the present turn.
#[derive(Debug, Default)]
pub(crate) struct TurnTimes {
    spent: [(u32, Duration); Work::ALL.len()],
}

impl TurnTimes {
    /// Counts one event, or the effects of a turn.
    pub(crate) fn record(&mut self, work: Work, took: Duration) {
        let (count, total) = &mut self.spent[work as usize];
        *count += 1;
        *total += took;
    }

    /// Ends the turn. One that was long is counted by the kind of work that took most of it, and
    /// logged with all kinds.
    pub(crate) fn end(&mut self, context: &mut ProcessContext) {
        let spent = std::mem::take(&mut self.spent);
        let total: Duration = spent.iter().map(|(_, took)| *took).sum();
        if total < LONG_TURN {
            return;
        }
        let longest = Work::ALL
            .into_iter()
            .max_by_key(|work| spent[*work as usize].1);
        if let Some(work) = longest {
            context.metrics.count_long_turn(work.name());
        }
        if !context.may_log("long turn") {
            return;
        }
        let by_kind: Vec<String> = Work::ALL
            .into_iter()
            .filter(|work| spent[*work as usize].0 > 0)
            .map(|work| {
                let (count, took) = spent[work as usize];
                format!("{} {count} in {} ms", work.name(), took.as_millis())
            })
            .collect();
        info!(context.logger, "long turn"; "ms" => total.as_millis() as u64,
            "work" => by_kind.join(", "));
    }
}
