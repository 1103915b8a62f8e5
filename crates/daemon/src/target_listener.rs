//! The targets' listener: announce, renew, drain.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use camphordale_domain::Outcome;
use camphordale_http::{
    Handler,
    Request,
    Response, //
};
use camphordale_node::{
    DomainCall,
    DomainReply, //
};
use camphordale_route::Event;
use camphordale_types::{
    LoadReport,
    ServiceName,
    ShardRef,
    Side,
    TargetId,
    TargetName,
    TargetSpec,
    Token, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    data_plane::Plane, //
    live_settings::Live,
    node_handle::NodeHandle,
};

/// Longest time that a call of a target waits for the domain leader.
const LIMIT: Duration = Duration::from_secs(1);

/// Longest name of a target or service, in bytes.
const NAME_LIMIT: usize = 128;

/// Serves the targets' listener.
pub(crate) struct TargetListener {
    pub(crate) live: Arc<Live>,
    pub(crate) node: NodeHandle,
    pub(crate) plane: Arc<Plane>,
    /// Renewal time that is told to a target.
    pub(crate) renew: Duration,
}

#[derive(Deserialize)]
struct Announcement {
    name: TargetName,
    service: ServiceName,
    side: Side,
    address: SocketAddr,
    checks_tokens: bool,
    slots: u32,
}

#[derive(Deserialize)]
struct Renewal {
    running: u32,
    load: f32,
    #[serde(default)]
    grants_version: u64,
}

#[derive(Serialize)]
struct Lease {
    #[serde(skip_serializing_if = "Option::is_none")]
    target: Option<TargetId>,
    lease_ms: u64,
    renew_ms: u64,
    state: &'static str,
    grants_version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    grants: Option<Vec<Grant>>,
    shards_left: usize,
}

#[derive(Serialize)]
struct Grant {
    service: ServiceName,
    shard: u32,
    token: Box<str>,
}

/// Why a target's call is refused.
struct Refused {
    status: u16,
    error: Box<str>,
}

type Served<T> = Result<T, Refused>;

impl Handler for TargetListener {
    fn handle(&self, request: Request) -> Response {
        match self.serve(&request) {
            Ok(lease) => json(200, &lease),
            Err(refused) => {
                let body = serde_json::json!({ "error": refused.error, "step": "target" });
                json(refused.status, &body)
            }
        }
    }
}

impl TargetListener {
    fn serve(&self, request: &Request) -> Served<Lease> {
        let header = request.header("authorization").unwrap_or_default();
        if !self.live.admits_target(header) {
            return refuse(401, "the bearer key is missing or wrong");
        }
        if &*request.method != "POST" {
            return refuse(405, "only POST is served here");
        }
        let parts: Vec<&str> = request.path.split('/').skip(1).collect();
        match parts[..] {
            ["v1", "targets"] => self.announce(parse(&request.body)?),
            ["v1", "targets", id, "renew"] => self.renew(number(id)?, parse(&request.body)?),
            ["v1", "targets", id, "drain"] => self.drain(number(id)?),
            _ => refuse(404, "there is no such path"),
        }
    }

    fn announce(&self, asked: Announcement) -> Served<Lease> {
        let named = |text: &str| !text.is_empty() && text.len() <= NAME_LIMIT;
        if !named(&asked.name) || !named(&asked.service) || asked.name.contains('/') {
            return refuse(
                400,
                "name and service must have 1 to 128 bytes and no slash",
            );
        }
        if asked.slots == 0 {
            return refuse(400, "slots must be at least 1");
        }
        let spec = TargetSpec {
            name: asked.name,
            service: asked.service,
            side: asked.side,
            address: asked.address,
            checks_tokens: asked.checks_tokens,
            slots: asked.slots,
        };
        match self.node.domain(DomainCall::Announce(spec), LIMIT) {
            Some(DomainReply::Applied(Outcome::Session(id))) => {
                let report = LoadReport::default();
                let mut lease = self.lease(id, report, 0)?;
                lease.target = Some(id);
                Ok(lease)
            }
            Some(DomainReply::Applied(Outcome::Refused(reason))) => refuse(409, &reason),
            other => unavailable(other),
        }
    }

    fn renew(&self, id: TargetId, asked: Renewal) -> Served<Lease> {
        if !(0.0..=1.0).contains(&asked.load) {
            return refuse(400, "load must be from 0 to 1");
        }
        let report = LoadReport {
            running: asked.running,
            load: asked.load,
        };
        self.plane.route(Event::TargetLoad {
            target: id,
            load: asked.load,
        });
        self.lease(id, report, asked.grants_version)
    }

    /// Renews a lease. The grants are left out when the target has them already.
    fn lease(&self, id: TargetId, load: LoadReport, known_version: u64) -> Served<Lease> {
        let call = DomainCall::RenewTarget {
            target: id,
            load,
            grants_version: known_version,
        };
        match self.node.domain(call, LIMIT) {
            Some(DomainReply::TargetLease {
                lease,
                leaving,
                grants_version,
                grants,
                ..
            }) => Ok(Lease {
                target: None,
                lease_ms: lease.as_millis() as u64,
                renew_ms: self.renew.as_millis() as u64,
                state: if leaving { "leaving" } else { "serving" },
                grants_version,
                shards_left: grants.len(),
                grants: (grants_version != known_version)
                    .then(|| grants.into_iter().map(grant).collect()),
            }),
            Some(DomainReply::NoSession) => refuse(404, "the session does not exist"),
            other => unavailable(other),
        }
    }

    fn drain(&self, id: TargetId) -> Served<Lease> {
        match self.node.domain(DomainCall::Drain(id), LIMIT) {
            Some(DomainReply::Applied(Outcome::Done)) => self.lease(id, LoadReport::default(), 0),
            Some(DomainReply::Applied(_)) => refuse(404, "the session does not exist"),
            other => unavailable(other),
        }
    }
}

fn grant((shard, token): (ShardRef, Token)) -> Grant {
    Grant {
        service: shard.service,
        shard: shard.index,
        token: token.to_string().into(),
    }
}

fn unavailable<T>(reply: Option<DomainReply>) -> Served<T> {
    match reply {
        Some(DomainReply::Failed { reason, .. }) => refuse(503, &reason),
        _ => refuse(503, "the domain leader did not answer"),
    }
}

fn refuse<T>(status: u16, error: &str) -> Served<T> {
    Err(Refused {
        status,
        error: error.into(),
    })
}

fn parse<'a, T>(body: &'a [u8]) -> Served<T>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).or_else(|err| refuse(400, &format!("malformed body: {err}")))
}

fn number(text: &str) -> Served<TargetId> {
    text.parse()
        .or_else(|_| refuse(404, "the session does not exist"))
}

fn json<T>(status: u16, body: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::new(status, body).with_header("Content-Type", "application/json")
}
