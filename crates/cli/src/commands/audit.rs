//! `audit`: shows and verifies the audit trail.

use camphordale_api::AuditBody;
use camphordale_control::{AuditEntry, verify_audit};
use camphordale_types::Digest;

use super::require_command;
use crate::{
    CliError,
    args::Audit,
    client::Client,
    console::{Console, Table, or_dash},
};

/// Step that errors of the verification name.
const VERIFY_STEP: &str = "verify the audit trail";

pub(crate) fn run(
    command: Option<Audit>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    match require_command(command)? {
        Audit::Show(args) => show(&fetch(client, args.from)?, console),
        Audit::Verify(args) => verify(&fetch(client, 1)?, args.hash, console),
    }
}

/// Fetches all records from number `from` on. A server may return them in several pages.
fn fetch(client: &Client, from: u64) -> Result<Vec<AuditBody>, CliError> {
    let mut records: Vec<AuditBody> = Vec::new();
    loop {
        let next = records.last().map_or(from, |last| last.number + 1);
        let page: Vec<AuditBody> = client.get(&format!("/v1/audit?from={next}"))?;
        let Some(first) = page.first() else {
            return Ok(records);
        };
        // Prevents an endless loop with a server that ignores `from`.
        if first.number < next {
            return Err(CliError::InvalidData {
                step: "fetch the audit trail",
                reason: format!("received record {} instead of {next}", first.number),
            });
        }
        records.extend(page);
    }
}

fn show(records: &[AuditBody], console: &mut Console<'_>) -> Result<(), CliError> {
    console.show(&records, || {
        let mut table = Table::new(["NUMBER", "AT", "BY", "ACTION", "BEFORE", "AFTER"]);
        for record in records {
            table.row([
                record.number.to_string(),
                format_utc(record.at),
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
    let invalid = |reason| CliError::InvalidData {
        step: VERIFY_STEP,
        reason,
    };
    let entries: Vec<AuditEntry> = records.iter().cloned().map(audit_entry).collect();
    verify_audit(&entries).map_err(|e| invalid(e.to_string()))?;
    if let Some(known) = known
        && !records.iter().any(|record| record.hash == known)
    {
        return Err(invalid(format!("no record has the hash {known}")));
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

fn audit_entry(body: AuditBody) -> AuditEntry {
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

/// Formats a time in seconds since the Unix epoch as date and time in UTC.
fn format_utc(at: u64) -> String {
    let (days, rest) = (at / 86_400, at % 86_400);
    // Counts years from March, so that the leap day is the last day of a year. An era is a period
    // of 400 such years.
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
