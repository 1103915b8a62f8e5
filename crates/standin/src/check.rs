//! Checks the journals of targets against the records of callers.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    fmt,
};

use camphordale_types::RetryPolicy;

use crate::{
    check_shards::{
        check_owner_overlap,
        check_token_order, //
    },
    journal::{
        JournalEntry,
        Phase, //
    },
    record::{
        AttemptRecord,
        Outcome, //
    },
};

/// Maximum number of violations printed for each rule.
const MAX_SHOWN_VIOLATIONS: usize = 5;

/// Rule that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No idempotency key is committed twice.
    IdempotencyKeyOnce,
    /// No request id is committed twice, unless the method may be retried.
    RequestOnce,
    /// Every POST with outcome `ok` was committed exactly once.
    OkCommitted,
    /// No request is committed before an attempt that may have executed it. In particular, a
    /// request whose attempts were all refused as not run is not committed.
    NotRunUncommitted,
    /// A target that checks fencing tokens commits nothing after a commit with a higher token of
    /// the shard.
    CheckedOrder,
    /// Like `CheckedOrder`, for targets that do not check tokens.
    UncheckedOrder,
    /// Committed requests of a shard do not overlap in time on different targets, at least one
    /// of which checks tokens.
    CheckedOverlap,
    /// Like `CheckedOverlap`, for two targets that do not check tokens.
    UncheckedOverlap,
    /// No caller received the response to another request.
    NoWrongResponse,
    /// No caller received a truncated response.
    NoTruncatedResponse,
}

impl Rule {
    const ALL: [Rule; 10] = [
        Rule::IdempotencyKeyOnce,
        Rule::RequestOnce,
        Rule::OkCommitted,
        Rule::NotRunUncommitted,
        Rule::CheckedOrder,
        Rule::UncheckedOrder,
        Rule::CheckedOverlap,
        Rule::UncheckedOverlap,
        Rule::NoWrongResponse,
        Rule::NoTruncatedResponse,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Rule::IdempotencyKeyOnce => "idempotency key committed at most once",
            Rule::RequestOnce => "request id committed at most once",
            Rule::OkCommitted => "answered POST committed exactly once",
            Rule::NotRunUncommitted => "request refused as not run not committed",
            Rule::CheckedOrder => "token order, checking targets",
            Rule::UncheckedOrder => "token order, other targets",
            Rule::CheckedOverlap => "no overlap of owners, checking targets",
            Rule::UncheckedOverlap => "no overlap of owners, other targets",
            Rule::NoWrongResponse => "no answer to another request",
            Rule::NoTruncatedResponse => "no short answer",
        })
    }
}

/// Result of one rule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleResult {
    /// Number of items checked.
    pub count: u64,
    /// Descriptions of the violations.
    pub violations: Vec<Box<str>>,
}

impl RuleResult {
    pub(crate) fn add_violation(&mut self, text: String) {
        self.violations.push(text.into());
    }
}

/// Results of all rules; displayed as a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// Results by rule.
    pub rules: BTreeMap<Rule, RuleResult>,
}

impl CheckReport {
    /// Returns whether all rules hold.
    pub fn holds(&self) -> bool {
        let mut rules = self.rules.values();
        rules.all(|result| result.violations.is_empty())
    }

    /// Returns the violated rules.
    pub fn violated(&self) -> Vec<Rule> {
        let is_violated = |(_, result): &(&Rule, &RuleResult)| !result.violations.is_empty();
        self.rules
            .iter()
            .filter(is_violated)
            .map(|(rule, _)| *rule)
            .collect()
    }

    pub(crate) fn rule(&mut self, rule: Rule) -> &mut RuleResult {
        self.rules.entry(rule).or_default()
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<44}{:>10}{:>12}", "rule", "checked", "violations")?;
        for (rule, result) in &self.rules {
            let bad = result.violations.len();
            writeln!(f, "{rule:<44}{:>10}{bad:>12}", result.count)?;
        }
        for (rule, result) in &self.rules {
            for text in result.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
                writeln!(f, "{rule}: {text}")?;
            }
        }
        Ok(())
    }
}

/// Checks all rules.
///
/// `entries` are the journals of all targets, each in the order of its file, and `records` the
/// records of all callers. All wall-clock times must come from the same machine.
///
/// # Examples
///
/// ```
/// use camphordale_standin::check;
///
/// let report = check(&[], &[]);
/// assert!(report.holds());
/// assert!(report.to_string().contains("no short answer"));
/// ```
pub fn check(entries: &[JournalEntry], records: &[AttemptRecord]) -> CheckReport {
    let mut report = CheckReport::default();
    for rule in Rule::ALL {
        report.rule(rule);
    }
    let commits: Vec<&JournalEntry> = entries
        .iter()
        .filter(|e| e.phase == Phase::Commit)
        .collect();
    let mut commits_by_marker: HashMap<&str, Vec<&JournalEntry>> = HashMap::new();
    for entry in &commits {
        if let Some(marker) = &entry.marker {
            commits_by_marker.entry(marker).or_default().push(entry);
        }
    }
    check_duplicates(&mut report, &commits);
    check_ok_posts(&mut report, &commits_by_marker, records);
    check_not_run(&mut report, &commits_by_marker, records);
    check_token_order(&mut report, &commits);
    check_owner_overlap(&mut report, entries);
    check_responses(&mut report, records);
    report
}

fn check_duplicates(report: &mut CheckReport, commits: &[&JournalEntry]) {
    let mut keys: HashMap<&str, &JournalEntry> = HashMap::new();
    let mut requests: HashMap<&str, &JournalEntry> = HashMap::new();
    for entry in commits {
        if let Some(key) = &entry.idempotency {
            let result = report.rule(Rule::IdempotencyKeyOnce);
            result.count += 1;
            if let Some(first) = keys.insert(key, entry) {
                result.add_violation(duplicate_text(key, first, entry));
            }
        }
        if entry.request.is_empty() || RetryPolicy::ByMethod.allows(&entry.method) {
            continue;
        }
        let result = report.rule(Rule::RequestOnce);
        result.count += 1;
        if let Some(first) = requests.insert(&entry.request, entry) {
            result.add_violation(duplicate_text(&entry.request, first, entry));
        }
    }
}

fn duplicate_text(id: &str, first: &JournalEntry, second: &JournalEntry) -> String {
    format!(
        "{id} by {} run {} and by {} run {}, {} us later",
        first.target,
        first.run,
        second.target,
        second.run,
        second.wall_us.abs_diff(first.wall_us)
    )
}

fn check_ok_posts(
    report: &mut CheckReport,
    commits_by_marker: &HashMap<&str, Vec<&JournalEntry>>,
    records: &[AttemptRecord],
) {
    let result = report.rule(Rule::OkCommitted);
    let is_ok_post = |r: &&AttemptRecord| r.outcome == Outcome::Ok && &*r.method == "POST";
    let ids: HashSet<&str> = records.iter().filter(is_ok_post).map(|r| &*r.id).collect();
    for id in ids {
        result.count += 1;
        let commits = commits_by_marker.get(id).map_or(0, Vec::len);
        if commits != 1 {
            result.add_violation(format!("{id} was committed {commits} times"));
        }
    }
    result.violations.sort();
}

fn check_not_run(
    report: &mut CheckReport,
    commits_by_marker: &HashMap<&str, Vec<&JournalEntry>>,
    records: &[AttemptRecord],
) {
    let mut attempts: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for record in records {
        attempts.entry(&record.id).or_default().push(record);
    }
    let result = report.rule(Rule::NotRunUncommitted);
    for (id, attempts) in attempts {
        if !attempts
            .iter()
            .any(|attempt| attempt.outcome.is_not_executed())
        {
            continue;
        }
        result.count += 1;
        for commit in commits_by_marker.get(id).into_iter().flatten() {
            let may_have_run = |attempt: &&AttemptRecord| {
                !attempt.outcome.is_not_executed() && attempt.start_us <= commit.wall_us
            };
            if !attempts.iter().any(may_have_run) {
                result.add_violation(format!(
                    "{id} was committed by {} run {}, before any attempt that may have run it",
                    commit.target, commit.run
                ));
            }
        }
    }
    result.violations.sort();
}

fn check_responses(report: &mut CheckReport, records: &[AttemptRecord]) {
    for (rule, outcome) in [
        (Rule::NoWrongResponse, Outcome::Wrong),
        (Rule::NoTruncatedResponse, Outcome::Short),
    ] {
        let result = report.rule(rule);
        result.count = records.len() as u64;
        for record in records.iter().filter(|record| record.outcome == outcome) {
            result.add_violation(format!(
                "{} attempt {} through {}",
                record.id, record.attempt, record.vm
            ));
        }
    }
}
