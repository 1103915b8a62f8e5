//! Commands that display state and change nothing.

use camphordale_api::{Explanation, LeaderBody, ShardBody, Status, TargetBody, VmBody};

use super::require_command;
use crate::{
    CliError,
    args::{ExplainArgs, ShardShowArgs, TargetListArgs, Vm},
    client::Client,
    console::{Console, Table, or_dash, yes_or_no},
    url::encode,
};

pub(crate) fn vms(
    command: Option<Vm>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let Vm::List(_) = require_command(command)?;
    let list: Vec<VmBody> = client.get("/v1/vms")?;
    console.show(&list, || {
        let header = [
            "VM", "DOMAIN", "INNER", "OUTER", "ENTRY", "CONTROL", "GROUP", "BUNDLE",
        ];
        let mut table = Table::new(header);
        for vm in &list {
            table.row([
                vm.vm.to_string(),
                vm.domain.to_string(),
                vm.inner.to_string(),
                vm.outer.to_string(),
                yes_or_no(vm.entry),
                if vm.control_voter { "voter" } else { "-" }.into(),
                vm.group_voter
                    .map_or("?", |v| if v { "voter" } else { "-" })
                    .into(),
                vm.version.map_or("?".into(), |v| v.to_string()),
            ]);
        }
        table.text()
    })
}

pub(crate) fn targets(
    args: &TargetListArgs,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let mut list: Vec<TargetBody> = client.get("/v1/targets")?;
    if let Some(service) = &args.service {
        list.retain(|target| &*target.service == service);
    }
    console.show(&list, || {
        let header = [
            "ID", "NAME", "SERVICE", "SIDE", "ADDRESS", "STATE", "SENDER", "SHARDS", "SLOTS",
            "CHECKS",
        ];
        let mut table = Table::new(header);
        for target in &list {
            table.row([
                target.id.to_string(),
                target.name.to_string(),
                target.service.to_string(),
                variant_name(target.side),
                target.address.to_string(),
                variant_name(target.state),
                or_dash(target.sender),
                target.shards.to_string(),
                target.slots.to_string(),
                yes_or_no(target.checks_tokens),
            ]);
        }
        table.text()
    })
}

pub(crate) fn shards(
    args: &ShardShowArgs,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let path = format!("/v1/shards?service={}", encode(&args.service));
    let mut list: Vec<ShardBody> = client.get(&path)?;
    if let Some(shard) = args.shard {
        list.retain(|body| body.shard == shard);
    }
    console.show(&list, || {
        let header = [
            "SHARD",
            "SIDE",
            "HOME",
            "NEXT",
            "OWNER",
            "SENDER",
            "TOKEN",
            "RELEASING",
        ];
        let mut table = Table::new(header);
        for shard in &list {
            table.row([
                shard.shard.to_string(),
                variant_name(shard.side),
                or_dash(shard.home.as_ref()),
                or_dash(shard.next.as_ref()),
                or_dash(shard.owner.as_ref()),
                or_dash(shard.sender),
                or_dash(shard.token),
                yes_or_no(shard.releasing),
            ]);
        }
        table.text()
    })
}

pub(crate) fn explain(
    args: &ExplainArgs,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let path = format!(
        "/v1/explain?service={}&key={}",
        encode(&args.service),
        encode(&args.key)
    );
    let body: Explanation = client.get(&path)?;
    console.show(&body, || {
        let mut text = format!(
            "key {:?} of {} is in shard {} ({})\nhome {}, owner {}, sender {}, token {}\n",
            body.key,
            body.service,
            body.shard,
            variant_name(body.side),
            or_dash(body.home.as_ref()),
            or_dash(body.owner.as_ref()),
            or_dash(body.sender),
            or_dash(body.token),
        );
        let action = if body.would_send_here {
            "sends"
        } else {
            "does not send"
        };
        text.push_str(&format!(
            "the VM that answered {action} it to the owner itself\n"
        ));
        for step in &body.why {
            text.push_str(&format!("- {step}\n"));
        }
        text
    })
}

pub(crate) fn status(client: &Client, console: &mut Console<'_>) -> Result<(), CliError> {
    let body: Status = client.get("/v1/status")?;
    console.show(&body, || {
        let digest = body.bundle_digest.map(|d| d.short());
        let counters = &body.counters;
        let roles = match (body.roles.entry, body.roles.control) {
            (true, true) => "entry, control",
            (true, false) => "entry",
            (false, true) => "control",
            (false, false) => "none",
        };
        let lease = match body.lease.valid {
            true => format!("valid for {} ms", body.lease.left_ms),
            false => "not valid".into(),
        };
        let lines = [
            (
                "vm",
                format!(
                    "{} in {}, run {:016x}",
                    body.vm, body.domain, body.incarnation
                ),
            ),
            ("program", body.program.to_string()),
            ("roles", roles.into()),
            (
                "bundle",
                format!("{} ({})", body.bundle_version, or_dash(digest)),
            ),
            ("control", leader(&body.control)),
            ("group", leader(&body.group)),
            ("lease", lease),
            ("draining", yes_or_no(body.draining)),
            (
                "requests",
                format!(
                    "{} answered, {} not run, {} unknown, {} retries, {} forwards",
                    counters.answered,
                    counters.not_run,
                    counters.unknown,
                    counters.retries,
                    counters.forwards
                ),
            ),
            (
                "load",
                format!(
                    "{} in flight, {} waiting",
                    counters.inflight, counters.queued
                ),
            ),
        ];
        lines
            .iter()
            .map(|(name, value)| format!("{name:9} {value}\n"))
            .collect()
    })
}

fn leader(group: &LeaderBody) -> String {
    let leader = match group.leader {
        Some(vm) => format!("leader VM {vm}"),
        None => "no leader known".into(),
    };
    let voter = if group.voter { "voter" } else { "no voter" };
    format!("{leader}, term {}.{}, {voter}", group.term, group.epoch)
}

/// Returns the name of an enum variant in lower case.
fn variant_name<T>(value: T) -> String
where
    T: std::fmt::Debug,
{
    format!("{value:?}").to_ascii_lowercase()
}
