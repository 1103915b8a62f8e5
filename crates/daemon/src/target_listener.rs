//! The targets' listener: targets announce themselves, renew their leases and drain.

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
    data_plane::DataPlane,
    live_settings::LiveSettings,
    node_handle::NodeHandle, //
};

/// Timeout of a call to the domain leader.
const DOMAIN_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of the name of a target or service, in bytes.
const MAX_NAME_LENGTH: usize = 128;

/// Handler of the targets' listener.
pub(crate) struct TargetListener {
    pub(crate) settings: Arc<LiveSettings>,
    pub(crate) node: NodeHandle,
    pub(crate) data_plane: Arc<DataPlane>,
    /// Interval at which targets are told to renew their leases.
    pub(crate) renew_interval: Duration,
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

/// A refused call of a target.
struct RequestError {
    status: u16,
    message: Box<str>,
}

type HandlerResult<T> = Result<T, RequestError>;

impl Handler for TargetListener {
    fn handle(&self, request: Request) -> Response {
        match self.serve(&request) {
            Ok(body) => json_response(200, &body),
            Err(err) => {
                let body = serde_json::json!({ "error": err.message, "step": "target" });
                json_response(err.status, &body)
            }
        }
    }
}

impl TargetListener {
    fn serve(&self, request: &Request) -> HandlerResult<Lease> {
        let header = request.header("authorization").unwrap_or_default();
        if !self.settings.accepts_target(header) {
            return refuse(401, "the bearer key is missing or wrong");
        }
        if &*request.method != "POST" {
            return refuse(405, "only POST is served here");
        }
        let parts: Vec<&str> = request.path.split('/').skip(1).collect();
        match parts[..] {
            ["v1", "targets"] => self.announce(parse_body(&request.body)?),
            ["v1", "targets", id, "renew"] => {
                self.renew(parse_target_id(id)?, parse_body(&request.body)?)
            }
            ["v1", "targets", id, "drain"] => self.drain(parse_target_id(id)?),
            _ => refuse(404, "there is no such path"),
        }
    }

    fn announce(&self, announcement: Announcement) -> HandlerResult<Lease> {
        let has_valid_length = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_LENGTH;
        if !has_valid_length(&announcement.name)
            || !has_valid_length(&announcement.service)
            || announcement.name.contains('/')
        {
            return refuse(
                400,
                "name and service must have 1 to 128 bytes and no slash",
            );
        }
        if announcement.slots == 0 {
            return refuse(400, "slots must be at least 1");
        }
        let spec = TargetSpec {
            name: announcement.name,
            service: announcement.service,
            side: announcement.side,
            address: announcement.address,
            checks_tokens: announcement.checks_tokens,
            slots: announcement.slots,
        };
        match self
            .node
            .call_domain(DomainCall::Announce(spec), DOMAIN_CALL_TIMEOUT)
        {
            Some(DomainReply::Applied(Outcome::Session(id))) => {
                let report = LoadReport::default();
                let mut lease = self.renew_lease(id, report, 0)?;
                lease.target = Some(id);
                Ok(lease)
            }
            Some(DomainReply::Applied(Outcome::Refused(reason))) => refuse(409, &reason),
            reply => unavailable(reply),
        }
    }

    fn renew(&self, id: TargetId, renewal: Renewal) -> HandlerResult<Lease> {
        if !(0.0..=1.0).contains(&renewal.load) {
            return refuse(400, "load must be from 0 to 1");
        }
        let report = LoadReport {
            running: renewal.running,
            load: renewal.load,
        };
        self.data_plane.handle_router_event(Event::TargetLoad {
            target: id,
            load: renewal.load,
        });
        self.renew_lease(id, report, renewal.grants_version)
    }

    /// Renews a target's lease. The grants are left out if the target already has this version of
    /// them.
    fn renew_lease(
        &self,
        id: TargetId,
        load: LoadReport,
        known_version: u64,
    ) -> HandlerResult<Lease> {
        let call = DomainCall::RenewTarget {
            target: id,
            load,
            grants_version: known_version,
        };
        match self.node.call_domain(call, DOMAIN_CALL_TIMEOUT) {
            Some(DomainReply::TargetLease {
                lease,
                leaving,
                grants_version,
                grants,
                ..
            }) => Ok(Lease {
                target: None,
                lease_ms: lease.as_millis() as u64,
                renew_ms: self.renew_interval.as_millis() as u64,
                state: if leaving { "leaving" } else { "serving" },
                grants_version,
                shards_left: grants.len(),
                grants: (grants_version != known_version)
                    .then(|| grants.into_iter().map(grant_body).collect()),
            }),
            Some(DomainReply::NoSession) => refuse(404, "the session does not exist"),
            reply => unavailable(reply),
        }
    }

    fn drain(&self, id: TargetId) -> HandlerResult<Lease> {
        match self
            .node
            .call_domain(DomainCall::Drain(id), DOMAIN_CALL_TIMEOUT)
        {
            Some(DomainReply::Applied(Outcome::Done)) => {
                self.renew_lease(id, LoadReport::default(), 0)
            }
            Some(DomainReply::Applied(_)) => refuse(404, "the session does not exist"),
            reply => unavailable(reply),
        }
    }
}

fn grant_body((shard, token): (ShardRef, Token)) -> Grant {
    Grant {
        service: shard.service,
        shard: shard.index,
        token: token.to_string().into(),
    }
}

fn unavailable<T>(reply: Option<DomainReply>) -> HandlerResult<T> {
    match reply {
        Some(DomainReply::Failed { reason, .. }) => refuse(503, &reason),
        _ => refuse(503, "the domain leader did not answer"),
    }
}

fn refuse<T>(status: u16, message: &str) -> HandlerResult<T> {
    Err(RequestError {
        status,
        message: message.into(),
    })
}

fn parse_body<'a, T>(body: &'a [u8]) -> HandlerResult<T>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body).or_else(|err| refuse(400, &format!("malformed body: {err}")))
}

fn parse_target_id(text: &str) -> HandlerResult<TargetId> {
    text.parse()
        .or_else(|_| refuse(404, "the session does not exist"))
}

fn json_response<T>(status: u16, body: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::new(status, body).with_header("Content-Type", "application/json")
}
