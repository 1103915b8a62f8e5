//! Commands that change the state of the deployment, and the lists of their command groups.

use camphordale_api::{ActionReply, ActionRequest, MemberRequest, MembersBody, MoveRequest};

use super::{require_command, show};
use crate::{
    CliError,
    args::{Domain, DomainArgs, Member, Shard, Target},
    client::Client,
    console::{Console, Table, or_dash},
    url::encode,
};

pub(crate) fn target(
    command: Option<Target>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    match require_command(command)? {
        Target::List(args) => show::targets(&args, client, console),
        Target::Drain(args) => {
            let path = format!("/v1/targets/{}/drain", args.id);
            let by = args.operator.into();
            show_done(client.post(&path, &ActionRequest { by })?, console)
        }
    }
}

pub(crate) fn shard(
    command: Option<Shard>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    match require_command(command)? {
        Shard::Show(args) => show::shards(&args, client, console),
        Shard::Move(args) => {
            let request = MoveRequest {
                service: args.service.into(),
                shard: args.shard,
                to: args.to.into(),
                by: args.operator.into(),
            };
            show_done(client.post("/v1/shards/move", &request)?, console)
        }
    }
}

pub(crate) fn domain(
    command: Option<Domain>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let (
        DomainArgs {
            domain, operator, ..
        },
        action,
    ) = match require_command(command)? {
        Domain::DeclareLost(args) => (args, "lost"),
        Domain::Return(args) => (args, "return"),
        Domain::Evacuate(args) => (args, "evacuate"),
        Domain::Readmit(args) => (args, "readmit"),
    };
    let path = format!("/v1/domains/{}/{action}", encode(&domain));
    let by = operator.into();
    show_done(client.post(&path, &ActionRequest { by })?, console)
}

pub(crate) fn member(
    command: Option<Member>,
    client: &Client,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    match require_command(command)? {
        Member::List(_) => members(client, console),
        Member::Add(args) => {
            let request = MemberRequest {
                vm: args.vm,
                address: args.address,
                by: args.operator.into(),
            };
            show_done(client.post("/v1/members/add", &request)?, console)
        }
        Member::Remove(args) => {
            let request = MemberRequest {
                vm: args.vm,
                address: None,
                by: args.operator.into(),
            };
            show_done(client.post("/v1/members/remove", &request)?, console)
        }
    }
}

fn members(client: &Client, console: &mut Console<'_>) -> Result<(), CliError> {
    let body: MembersBody = client.get("/v1/members")?;
    console.show(&body, || {
        let mut table = Table::new(["MEMBER", "VM", "ROLE", "LOG"]);
        for member in &body.members {
            let is_leader = member.vm.is_some() && member.vm == body.leader;
            let role = match (member.voter, is_leader) {
                (true, true) => "leader",
                (true, false) => "voter",
                (false, _) => "catching up",
            };
            table.row([
                format!("{:016x}", member.member),
                or_dash(member.vm),
                role.into(),
                or_dash(member.matched),
            ]);
        }
        let voters = body.members.iter().filter(|m| m.voter).count();
        format!(
            "{}{voters} voters, {} may be lost; term {}, committed {}",
            table.text(),
            body.tolerate,
            body.epoch,
            body.commit
        )
    })
}

fn show_done(body: ActionReply, console: &mut Console<'_>) -> Result<(), CliError> {
    console.show(&body, || body.done.to_string())
}
