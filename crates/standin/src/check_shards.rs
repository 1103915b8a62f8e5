//! Checks that ownership of a shard is exclusive and passes on in the order of the fencing tokens.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use camphordale_types::Token;

use crate::{
    check::{
        CheckReport,
        Rule, //
    },
    journal::{
        JournalEntry,
        Phase, //
    },
};

/// Checks that no commit of a shard follows one with a higher token.
pub(crate) fn check_token_order(report: &mut CheckReport, commits: &[&JournalEntry]) {
    let mut shards: BTreeMap<&str, Vec<(Token, &JournalEntry)>> = BTreeMap::new();
    for entry in commits {
        if let (Some(shard), Some(token)) = (&entry.shard, entry.token) {
            shards.entry(shard).or_default().push((token, entry));
        }
    }
    for (shard, mut commits) in shards {
        commits.sort_by_key(|(_, entry)| entry.wall_us);
        let mut highest: Option<(Token, &JournalEntry)> = None;
        for (token, entry) in commits {
            let checks_tokens = entry.checks_tokens;
            let rule = if checks_tokens {
                Rule::CheckedOrder
            } else {
                Rule::UncheckedOrder
            };
            let result = report.rule(rule);
            result.count += 1;
            let Some((seen, by)) = highest.filter(|(seen, _)| *seen > token) else {
                highest = Some((token, entry));
                continue;
            };
            // A target that does not check tokens may complete a request of an earlier sender
            // after one of a later sender. Only a commit by another owner violates the rule.
            if checks_tokens || by.target != entry.target {
                result.add_violation(format!(
                    "{shard}: {} run {} committed with {token}, {} us after {} run {} with {seen}",
                    entry.target,
                    entry.run,
                    entry.wall_us.saturating_sub(by.wall_us),
                    by.target,
                    by.run
                ));
            }
        }
    }
}

struct Run<'a> {
    entry: &'a JournalEntry,
    start: u64,
    end: u64,
}

/// Checks that committed requests of one shard do not overlap in time on different targets.
pub(crate) fn check_owner_overlap(report: &mut CheckReport, entries: &[JournalEntry]) {
    for (shard, mut runs) in committed_runs(entries) {
        runs.sort_by_key(|run| run.start);
        // For each target, the run with the latest end among those that have started.
        let mut last_runs: HashMap<&str, &Run<'_>> = HashMap::new();
        for run in &runs {
            let mut rule = if run.entry.checks_tokens {
                Rule::CheckedOverlap
            } else {
                Rule::UncheckedOverlap
            };
            report.rule(rule).count += 1;
            let name = &*run.entry.target;
            let others = last_runs.iter().filter(|(target, _)| **target != name);
            for (_, other) in others.filter(|(_, other)| other.end > run.start) {
                if other.entry.checks_tokens {
                    rule = Rule::CheckedOverlap;
                }
                report.rule(rule).add_violation(format!(
                    "{shard}: {name} run {} started {} us before the commit of {} run {}",
                    run.entry.run,
                    other.end - run.start,
                    other.entry.target,
                    other.entry.run
                ));
            }
            let last = last_runs.entry(name).or_insert(run);
            if run.end > last.end {
                *last = run;
            }
        }
    }
}

fn committed_runs(entries: &[JournalEntry]) -> BTreeMap<&str, Vec<Run<'_>>> {
    let mut starts: HashMap<(&str, u64), u64> = HashMap::new();
    let mut shards: BTreeMap<&str, Vec<Run<'_>>> = BTreeMap::new();
    for entry in entries {
        let Some(shard) = &entry.shard else {
            continue;
        };
        // A restarted target numbers its runs from 1 again and appends to the same journal, so
        // a commit belongs to the latest start with its number.
        let id = (&*entry.target, entry.run);
        match entry.phase {
            Phase::Start => {
                starts.insert(id, entry.wall_us);
            }
            Phase::Commit => shards.entry(shard).or_default().push(Run {
                entry,
                start: starts.get(&id).copied().unwrap_or(entry.wall_us),
                end: entry.wall_us,
            }),
        }
    }
    shards
}
