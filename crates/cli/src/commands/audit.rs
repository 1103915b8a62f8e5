//! `audit`: the audit trail.

use camphordale_api::AuditBody;
use camphordale_control::{AuditEntry, verify_audit};
use camphordale_types::Digest;

use super::required;
use crate::{
    CliError,
    args::Audit,
    client::Client,
    console::{Console, Table, or_dash},
};

/// Step named in errors.
const VERIFY: &str = "verify the audit trail";

pub(crate) fn run(
    command: Option<Audit>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    match required(command)? {
        Audit::Show(args) => show(&fetch(client, args.from)?, console),
        Audit::Verify(args) => verify(&fetch(client, 1)?, args.hash, console),
    }
}

/// Fetches all records from number `from` on. A server may send them in parts.
fn fetch(client: &Client, from: u64) -> Result<Vec<AuditBody>, CliError> {
    let mut records: Vec<AuditBody> = Vec::new();
    loop {
        let next = records.last().map_or(from, |last| last.number + 1);
        let part: Vec<AuditBody> = client.get(&format!("/v1/audit?from={next}"))?;
        let Some(first) = part.first() else {
            return Ok(records);
        };
        // A server that ignores `from` would be asked without end.
        if first.number < next {
            return Err(CliError::Wrong {
                step: "fetch the audit trail",
                reason: format!("record {} came instead of {next}", first.number),
            });
        }
        records.extend(part);
    }
}

fn show(records: &[AuditBody], console: &mut Console<'_>) -> Result<(), CliError> {
    console.show(&records, || {
        let mut table = Table::new(["NUMBER", "AT", "BY", "ACTION", "BEFORE", "AFTER"]);
        for record in records {
            table.row([
                record.number.to_string(),
                utc(record.at),
                record.by.to_string(),
                record.action.to_string(),
                or_dash(record.before.map(|d| d.short())),
                or_dash(record.after.map(|d| d.short())),
            ]);
        }
        table.text()
    })
}

fn verify(
    records: &[AuditBody],
    known: Option<Digest>,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let wrong = |reason| CliError::Wrong {
        step: VERIFY,
        reason,
    };
    let entries: Vec<AuditEntry> = records.iter().cloned().map(entry).collect();
    verify_audit(&entries).map_err(|e| wrong(e.to_string()))?;
    if let Some(known) = known
        && !records.iter().any(|record| record.hash == known)
    {
        return Err(wrong(format!("no record has the hash {known}")));
    }
    let last = records.last();
    let value = serde_json::json!({
        "records": records.len(),
        "first": records.first().map(|r| r.number),
        "last": last.map(|r| r.number),
        "hash": last.map(|r| r.hash.to_string()),
    });
    console.show(&value, || match (records.first(), last) {
        (Some(first), Some(last)) => format!(
            "records {} to {} are unchanged\nhash of the last: {}",
            first.number, last.number, last.hash
        ),
        _ => "the audit trail is empty".into(),
    })
}

fn entry(body: AuditBody) -> AuditEntry {
    AuditEntry {
        number: body.number,
        at: body.at,
        by: body.by,
        action: body.action,
        before: body.before,
        after: body.after,
        previous: body.previous,
        hash: body.hash,
    }
}

/// Returns the date and time of `at`, in seconds since the Unix epoch.
fn utc(at: u64) -> String {
    let (days, rest) = (at / 86_400, at % 86_400);
    // Years that begin in March put the leap day at the end; an era has 400 such years.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}Z")
}
