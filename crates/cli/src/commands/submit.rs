//! `bundle submit` and `bundle status`.

use std::{
    thread,
    time::{Duration, Instant},
};

use camphordale_api::{Status, SubmitReply, VmVersion};

use crate::{
    CliError,
    args::SubmitArgs,
    client::Client,
    console::{Console, Table, or_dash},
    files::{read_signed, to_body},
};

/// Interval at which the versions in force are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Advice if the response was lost. Submitting an accepted bundle again is idempotent: it returns
/// the first response.
const RESEND_ADVICE: &str = "the bundle may have been accepted; sending the same file again is \
                             safe and shows the outcome";

pub(crate) fn run(
    args: &SubmitArgs,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let signed = read_signed(&args.file)?;
    let digest = signed.digest();
    let response = client.post_with("/v1/bundle", &to_body(signed), false, RESEND_ADVICE)?;
    let reply = match serde_json::from_str::<SubmitReply>(&response.body) {
        Ok(reply) => reply,
        Err(_) => response.parse()?,
    };
    if reply.digest != digest {
        return Err(CliError::InvalidData {
            step: "read the response",
            reason: format!(
                "received a reply about bundle {} instead of {digest}",
                reply.digest
            ),
        });
    }
    if !reply.accepted() {
        return Err(CliError::Conflict {
            version: reply.version,
            digest: digest.short(),
            latest_version: reply.standing_version,
            latest_digest: reply.standing_digest.map_or("-".into(), |d| d.short()),
        });
    }
    let suffix = if reply.resent { " before" } else { "" };
    console.notice(&format!(
        "bundle {} ({}) was accepted{suffix}",
        reply.version,
        digest.short()
    ));
    wait_in_force(reply.version, args.wait, client, console)?;
    console.show(&reply, || {
        format!("bundle {} is in force on every VM", reply.version)
    })
}

/// Waits until all VMs report `version` or a later one.
fn wait_in_force(
    version: u64,
    timeout: Duration,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let start = Instant::now();
    let mut last_progress = String::new();
    let mut missing = String::from("any VM, as far as known");
    loop {
        let progress = match client.get::<Status>("/v1/status") {
            Ok(status) => {
                let versions = &status.versions;
                let behind: Vec<&VmVersion> =
                    versions.iter().filter(|vm| vm.version < version).collect();
                if behind.is_empty() && !versions.is_empty() {
                    return Ok(());
                }
                if !behind.is_empty() {
                    missing = describe_vms(&behind);
                }
                format!(
                    "in force on {} of {} VMs",
                    versions.len() - behind.len(),
                    versions.len()
                )
            }
            // The bundle has been accepted, so polling goes on while no server can be reached.
            Err(error @ (CliError::Unreachable(_) | CliError::Unknown { .. })) => error.to_string(),
            // The exit code of other errors would mean that the bundle was refused.
            Err(error) => {
                let reason = error.to_string();
                return Err(CliError::VersionsUnknown { version, reason });
            }
        };
        if progress != last_progress {
            console.notice(&progress);
            last_progress = progress;
        }
        if start.elapsed() >= timeout {
            return Err(CliError::NotInForce { version, missing });
        }
        thread::sleep(POLL_INTERVAL.min(timeout.saturating_sub(start.elapsed())));
    }
}

fn describe_vms(vms: &[&VmVersion]) -> String {
    let names: Vec<String> = vms
        .iter()
        .map(|vm| format!("VM {} ({}, version {})", vm.vm, vm.domain, vm.version))
        .collect();
    names.join(", ")
}

pub(crate) fn status(client: &Client, console: &mut Console<'_>) -> Result<(), CliError> {
    let status: Status = client.get("/v1/status")?;
    let value = serde_json::json!({
        "version": status.bundle_version,
        "digest": status.bundle_digest.map(|d| d.to_string()),
        "versions": status.versions,
    });
    console.show(&value, || {
        let digest = or_dash(status.bundle_digest);
        let mut table = Table::new(["VM", "DOMAIN", "VERSION", "REPORTED"]);
        for vm in &status.versions {
            table.row([
                vm.vm.to_string(),
                vm.domain.to_string(),
                vm.version.to_string(),
                vm.age_ms
                    .map_or("never".into(), |age| format!("{age} ms ago")),
            ]);
        }
        format!(
            "VM {}: bundle {}, digest {digest}\n{}",
            status.vm,
            status.bundle_version,
            table.text()
        )
    })
}
