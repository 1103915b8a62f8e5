//! Checks journals of targets against records of callers.

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
        check_order,
        check_overlap, //
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

/// Violations of one rule that are printed.
const SHOWN: usize = 5;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No idempotency key is committed twice.
    KeyOnce,
    /// No request id is committed twice, unless the method may be repeated.
    RequestOnce,
    /// Every POST that was answered was committed exactly once.
    OkCommitted,
    /// No request is committed before an attempt that may have run it. In particular, one that
    /// was only ever refused as not run is not committed.
    NotRunUncommitted,
    /// A target that checks tokens commits nothing after a higher token of the shard.
    CheckedOrder,
    /// The same for targets that do not check tokens.
    UncheckedOrder,
    /// Committed runs of different targets, at least one of which checks tokens, do not overlap
    /// on a shard.
    CheckedOverlap,
    /// The same if none of the two checks tokens.
    UncheckedOverlap,
    /// No caller got an answer to another request.
    NoWrong,
    /// No caller got a short answer.
    NoShort,
}

impl Rule {
    const ALL: [Rule; 10] = [
        Rule::KeyOnce,
        Rule::RequestOnce,
        Rule::OkCommitted,
        Rule::NotRunUncommitted,
        Rule::CheckedOrder,
        Rule::UncheckedOrder,
        Rule::CheckedOverlap,
        Rule::UncheckedOverlap,
        Rule::NoWrong,
        Rule::NoShort,
    ];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Rule::KeyOnce => "idempotency key committed at most once",
            Rule::RequestOnce => "request id committed at most once",
            Rule::OkCommitted => "answered POST committed exactly once",
            Rule::NotRunUncommitted => "request refused as not run not committed",
            Rule::CheckedOrder => "token order, checking targets",
            Rule::UncheckedOrder => "token order, other targets",
            Rule::CheckedOverlap => "no overlap of owners, checking targets",
            Rule::UncheckedOverlap => "no overlap of owners, other targets",
            Rule::NoWrong => "no answer to another request",
            Rule::NoShort => "no short answer",
        })
    }
}

/// Result for one rule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Checked {
    /// Things that were checked.
    pub count: u64,
    /// What violates the rule.
    pub violations: Vec<Box<str>>,
}

impl Checked {
    pub(crate) fn violate(&mut self, text: String) {
        self.violations.push(text.into());
    }
}

/// Result of all rules; prints as a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CheckReport {
    /// By rule.
    pub rules: BTreeMap<Rule, Checked>,
}

impl CheckReport {
    /// Tells whether all rules hold.
    pub fn holds(&self) -> bool {
        let mut rules = self.rules.values();
        rules.all(|checked| checked.violations.is_empty())
    }

    /// Returns the rules that are violated.
    pub fn violated(&self) -> Vec<Rule> {
        let bad = |(_, checked): &(&Rule, &Checked)| !checked.violations.is_empty();
        self.rules
            .iter()
            .filter(bad)
            .map(|(rule, _)| *rule)
            .collect()
    }

    pub(crate) fn rule(&mut self, rule: Rule) -> &mut Checked {
        self.rules.entry(rule).or_default()
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<44}{:>10}{:>12}", "rule", "checked", "violations")?;
        for (rule, checked) in &self.rules {
            let bad = checked.violations.len();
            writeln!(f, "{rule:<44}{:>10}{bad:>12}", checked.count)?;
        }
        for (rule, checked) in &self.rules {
            for text in checked.violations.iter().take(SHOWN) {
                writeln!(f, "{rule}: {text}")?;
            }
        }
        Ok(())
    }
}

/// Checks all rules.
///
/// `entries` are the journals of all targets, each in the order of its file, and `records` the
/// records of all callers. Wall clocks must come from one machine.
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
    let mut markers: HashMap<&str, Vec<&JournalEntry>> = HashMap::new();
    for entry in &commits {
        if let Some(marker) = &entry.marker {
            markers.entry(marker).or_default().push(entry);
        }
    }
    check_once(&mut report, &commits);
    check_answered(&mut report, &markers, records);
    check_refused(&mut report, &markers, records);
    check_order(&mut report, &commits);
    check_overlap(&mut report, entries);
    check_answers(&mut report, records);
    report
}

fn check_once(report: &mut CheckReport, commits: &[&JournalEntry]) {
    let mut keys: HashMap<&str, &JournalEntry> = HashMap::new();
    let mut requests: HashMap<&str, &JournalEntry> = HashMap::new();
    for entry in commits {
        if let Some(key) = &entry.idempotency {
            let checked = report.rule(Rule::KeyOnce);
            checked.count += 1;
            if let Some(first) = keys.insert(key, entry) {
                checked.violate(twice(key, first, entry));
            }
        }
        if entry.request.is_empty() || RetryPolicy::ByMethod.allows(&entry.method) {
            continue;
        }
        let checked = report.rule(Rule::RequestOnce);
        checked.count += 1;
        if let Some(first) = requests.insert(&entry.request, entry) {
            checked.violate(twice(&entry.request, first, entry));
        }
    }
}

fn twice(id: &str, first: &JournalEntry, second: &JournalEntry) -> String {
    format!(
        "{id} by {} run {} and by {} run {}, {} us later",
        first.target,
        first.run,
        second.target,
        second.run,
        second.wall_us.abs_diff(first.wall_us)
    )
}

fn check_answered(
    report: &mut CheckReport,
    markers: &HashMap<&str, Vec<&JournalEntry>>,
    records: &[AttemptRecord],
) {
    let checked = report.rule(Rule::OkCommitted);
    let answered = |r: &&AttemptRecord| r.outcome == Outcome::Ok && &*r.method == "POST";
    let ids: HashSet<&str> = records.iter().filter(answered).map(|r| &*r.id).collect();
    for id in ids {
        checked.count += 1;
        let commits = markers.get(id).map_or(0, Vec::len);
        if commits != 1 {
            checked.violate(format!("{id} was committed {commits} times"));
        }
    }
    checked.violations.sort();
}

fn check_refused(
    report: &mut CheckReport,
    markers: &HashMap<&str, Vec<&JournalEntry>>,
    records: &[AttemptRecord],
) {
    let mut attempts: HashMap<&str, Vec<&AttemptRecord>> = HashMap::new();
    for record in records {
        attempts.entry(&record.id).or_default().push(record);
    }
    let checked = report.rule(Rule::NotRunUncommitted);
    for (id, attempts) in attempts {
        if !attempts
            .iter()
            .any(|attempt| attempt.outcome.is_not_executed())
        {
            continue;
        }
        checked.count += 1;
        for commit in markers.get(id).into_iter().flatten() {
            let may_have_run = |attempt: &&AttemptRecord| {
                !attempt.outcome.is_not_executed() && attempt.start_us <= commit.wall_us
            };
            if !attempts.iter().any(may_have_run) {
                checked.violate(format!(
                    "{id} was committed by {} run {}, before any attempt that may have run it",
                    commit.target, commit.run
                ));
            }
        }
    }
    checked.violations.sort();
}

fn check_answers(report: &mut CheckReport, records: &[AttemptRecord]) {
    for (rule, outcome) in [
        (Rule::NoWrong, Outcome::Wrong),
        (Rule::NoShort, Outcome::Short),
    ] {
        let checked = report.rule(rule);
        checked.count = records.len() as u64;
        for record in records.iter().filter(|record| record.outcome == outcome) {
            checked.violate(format!(
                "{} attempt {} through {}",
                record.id, record.attempt, record.vm
            ));
        }
    }
}
