//! The operators' listener: status, bundles, targets, shards, members, audit, health, metrics.

use std::{
    io::Read,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use camphordale_api::{
    ActionReply,
    ActionRequest,
    AuditBody,
    BundleParts,
    ErrorBody,
    Explanation,
    LeaderBody,
    LeaseBody,
    MemberBody,
    MemberRequest,
    MembersBody,
    MoveRequest,
    RolesBody,
    ShardBody,
    SignedBundleBody,
    Status,
    SubmitReply,
    TargetBody,
    VmBody,
    VmVersion, //
};
use camphordale_bundle::{
    Signature,
    SignedBundle, //
};
use camphordale_control::{
    AuditEntry,
    Command as ControlCommand,
    EvacuationOrder,
    HomeChange,
    Outcome as ControlOutcome,
    Rejection, //
};
use camphordale_domain::Outcome as DomainOutcome;
use camphordale_node::{
    ControlCall,
    ControlReply,
    DomainCall,
    DomainReply,
    EntryNode,
    MemberList,
    member_vm, //
};
use camphordale_types::{
    ShardRef,
    VmId, //
};
use rouille::{
    Request,
    Response, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    Clock,
    data_plane::DataPlane,
    live_settings::LiveSettings,
    metrics::Metrics,
    node_handle::NodeHandle,
    settings::Settings, //
};

/// Timeout of a call to the leader of a group.
const LEADER_CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Timeout of the call to the control leader for a status. Without a reply, the status does not
/// list the bundle versions of the VMs.
const STATUS_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of the body of an operator's request, in bytes.
const MAX_BODY_SIZE: u64 = 4 * 1024 * 1024;

/// Handler of the operators' listener.
pub(crate) struct OperatorListener {
    pub(crate) settings: Arc<Settings>,
    pub(crate) live_settings: Arc<LiveSettings>,
    pub(crate) clock: Clock,
    pub(crate) node: NodeHandle,
    pub(crate) data_plane: Arc<DataPlane>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) draining: Arc<AtomicBool>,
}

/// A refused request.
struct RequestError {
    status: u16,
    /// The step at which the request was refused.
    step: &'static str,
    message: Box<str>,
}

type HandlerResult<T> = Result<T, RequestError>;

impl OperatorListener {
    /// Serves one request.
    pub(crate) fn serve(&self, request: &Request) -> Response {
        let url = request.url();
        let parts: Vec<&str> = url.split('/').skip(1).collect();
        let result = match (request.method(), &parts[..]) {
            ("GET", ["healthz"]) => return Response::text("ok"),
            ("GET", ["readyz"]) => return self.readiness(),
            ("GET", ["metrics"]) => return self.render_metrics(),
            ("POST", ["v1", "bundle"]) => return into_response(self.submit(request)),
            _ => match self.authorize(request) {
                Ok(()) => self.dispatch(request, &parts),
                Err(err) => Err(err),
            },
        };
        result.unwrap_or_else(|err| error_response(&err))
    }

    fn authorize(&self, request: &Request) -> HandlerResult<()> {
        let header = request.header("Authorization").unwrap_or_default();
        if self.live_settings.accepts_operator(header) {
            Ok(())
        } else {
            refuse(401, "authorize", "the bearer key is missing or wrong")
        }
    }

    fn dispatch(&self, request: &Request, parts: &[&str]) -> HandlerResult<Response> {
        match (request.method(), parts) {
            ("GET", ["v1", "status"]) => Ok(json_response(&self.status()?)),
            ("GET", ["v1", "bundle"]) => self.bundle(request),
            ("GET", ["v1", "vms"]) => Ok(json_response(&self.vms()?)),
            ("GET", ["v1", "targets"]) => Ok(json_response(&self.targets()?)),
            ("POST", ["v1", "targets", id, "drain"]) => self.drain_target(request, id),
            ("GET", ["v1", "shards"]) => Ok(json_response(&self.shards(request)?)),
            ("POST", ["v1", "shards", "move"]) => self.move_shard(request),
            ("POST", ["v1", "domains", name, "lost"]) => {
                let by = parse_body::<ActionRequest>(request)?.by;
                let (domain, at) = ((*name).into(), unix_time());
                let command = ControlCommand::DeclareLost { domain, by, at };
                self.execute(command, &format!("domain {name} is declared lost"))
            }
            ("POST", ["v1", "domains", name, "return"]) => {
                let by = parse_body::<ActionRequest>(request)?.by;
                let (domain, at) = ((*name).into(), unix_time());
                let command = ControlCommand::ReturnDomain { domain, by, at };
                self.execute(command, &format!("domain {name} may take part again"))
            }
            ("POST", ["v1", "domains", name, "evacuate"]) => {
                let done =
                    format!("domain {name} is evacuated: nothing new is to be sent to its targets");
                self.order_evacuation(request, name, EvacuationOrder::Start, &done)
            }
            ("POST", ["v1", "domains", name, "readmit"]) => {
                let done = format!("domain {name} may take part again");
                self.order_evacuation(request, name, EvacuationOrder::End, &done)
            }
            ("GET", ["v1", "explain"]) => Ok(json_response(&self.explain(request)?)),
            ("GET", ["v1", "audit"]) => Ok(json_response(&self.audit(request)?)),
            ("GET", ["v1", "members"]) => Ok(json_response(&self.members()?)),
            ("POST", ["v1", "members", "add"]) => {
                let requested: MemberRequest = parse_body(request)?;
                // A new voter joins by itself once its settings give it the control role. The
                // operator's command only adds a record to the audit trail.
                let command = ControlCommand::RecordAction {
                    action: format!("add VM {} to the control group", requested.vm).into(),
                    by: requested.by,
                    at: unix_time(),
                };
                self.execute(command, &format!("VM {} may join", requested.vm))
            }
            ("POST", ["v1", "members", "remove"]) => self.remove_member(request),
            _ => refuse(404, "route", "there is no such path"),
        }
    }

    fn order_evacuation(
        &self,
        request: &Request,
        domain: &str,
        order: EvacuationOrder,
        done: &str,
    ) -> HandlerResult<Response> {
        let by = parse_body::<ActionRequest>(request)?.by;
        let command = ControlCommand::Evacuate {
            domain: domain.into(),
            order,
            by,
            at: unix_time(),
        };
        self.execute(command, done)
    }

    fn readiness(&self) -> Response {
        let draining = self.draining.load(Ordering::Relaxed);
        let status = self.data_plane.with_router(|router| router.status());
        if draining {
            Response::text("draining").with_status_code(503)
        } else if status.bundle.is_none() {
            Response::text("no bundle in force").with_status_code(503)
        } else {
            Response::text("ready")
        }
    }

    fn render_metrics(&self) -> Response {
        match self.metrics.render() {
            Ok(text) => Response::from_data("text/plain; version=0.0.4", text),
            Err(err) => Response::text(err.to_string()).with_status_code(500),
        }
    }

    fn inspect<T, F>(&self, read: F) -> HandlerResult<T>
    where
        T: Send + 'static,
        F: FnOnce(&EntryNode, Duration) -> T + Send + 'static,
    {
        match self.node.inspect(read) {
            Some(value) => Ok(value),
            None => refuse(503, "inspect", "the node did not answer"),
        }
    }

    fn call_control(&self, call: ControlCall) -> HandlerResult<ControlReply> {
        match self.node.call_control(call, LEADER_CALL_TIMEOUT) {
            Some(ControlReply::Failed { may_commit, reason }) => {
                refuse(if may_commit { 504 } else { 503 }, "control", &reason)
            }
            Some(ControlReply::NotLeader(_)) | None => {
                refuse(503, "control", "the control group has no leader")
            }
            Some(reply) => Ok(reply),
        }
    }

    fn execute(&self, command: ControlCommand, done: &str) -> HandlerResult<Response> {
        match self.call_control(ControlCall::Execute(command))? {
            ControlReply::Applied(ControlOutcome::Rejected(rejection)) => {
                refuse(409, "apply", &rejection.to_string())
            }
            _ => Ok(json_response(&ActionReply { done: done.into() })),
        }
    }

    fn status(&self) -> HandlerResult<Status> {
        let (node_status, incarnation, digest) = self.inspect(|node, now| {
            let digest = node.directory().cache().digest();
            (node.status(now), node.incarnation(), digest)
        })?;
        let router = self.data_plane.with_router(|router| router.status());
        let now = self.clock.now();
        let settings = &self.settings;
        let versions = match self
            .node
            .call_control(ControlCall::BundleVersions, STATUS_CALL_TIMEOUT)
        {
            Some(ControlReply::BundleVersions(versions)) => self.add_domains(versions)?,
            _ => Vec::new(),
        };
        let mut counters = self.metrics.counters();
        counters.inflight = self.data_plane.in_flight() as u64;
        counters.queued = router.queued as u64;
        Ok(Status {
            vm: settings.vm,
            incarnation,
            domain: settings.domain.clone(),
            roles: RolesBody {
                entry: settings.roles.entry,
                control: settings.roles.control,
            },
            program: env!("CARGO_PKG_VERSION").into(),
            bundle_version: router.bundle.unwrap_or(0),
            bundle_digest: digest,
            versions,
            control: LeaderBody {
                term: 0,
                epoch: 0,
                leader: node_status.control_leader,
                voter: settings.roles.control,
            },
            group: LeaderBody {
                term: node_status.group_term,
                epoch: node_status.epoch,
                leader: node_status.leader,
                voter: node_status.voter,
            },
            lease: LeaseBody {
                valid: node_status.lease_valid,
                left_ms: router.lease_expiry.saturating_sub(now).as_millis() as u64,
            },
            draining: router.draining,
            counters,
        })
    }

    fn add_domains(
        &self,
        versions: Vec<camphordale_node::VmVersion>,
    ) -> HandlerResult<Vec<VmVersion>> {
        self.inspect(move |node, _| {
            let cache = node.directory().cache();
            versions
                .into_iter()
                .map(|reported| VmVersion {
                    vm: reported.vm,
                    domain: cache
                        .vm(reported.vm)
                        .map(|info| info.domain.clone())
                        .unwrap_or_default(),
                    version: reported.version,
                    age_ms: Some(reported.report_age.as_millis() as u64),
                })
                .collect()
        })
    }

    fn bundle(&self, request: &Request) -> HandlerResult<Response> {
        let version = match request.get_param("version") {
            None => None,
            Some(text) => match text.parse() {
                Ok(version) => Some(version),
                Err(_) => return refuse(400, "parse", "version must be a number"),
            },
        };
        match self.call_control(ControlCall::Bundle(version))? {
            ControlReply::Bundle(Some(signed)) => {
                let signatures = signed
                    .signatures
                    .into_iter()
                    .map(|signature| (signature.operator, signature.bytes))
                    .collect();
                Ok(json_response(&SignedBundleBody::from((
                    signed.bytes,
                    signatures,
                ))))
            }
            _ => refuse(404, "bundle", "there is no such bundle"),
        }
    }

    fn submit(&self, request: &Request) -> HandlerResult<Response> {
        let requested: SignedBundleBody = parse_body(request)?;
        let (bytes, signatures) = BundleParts::try_from(requested)
            .or_else(|err| refuse(400, "parse", &err.to_string()))?;
        let signatures = signatures
            .into_iter()
            .map(|(operator, bytes)| Signature { operator, bytes })
            .collect();
        let signed = SignedBundle { bytes, signatures };
        let digest = signed.digest();
        let version = camphordale_bundle::decode(&signed.bytes)
            .or_else(|err| refuse(400, "parse", &err.to_string()))?
            .version;
        let before = self.inspect(|node, _| node.directory().cache().digest())?;
        let command = ControlCommand::SubmitBundle {
            signed,
            at: unix_time(),
        };
        let mut reply = SubmitReply {
            version,
            digest,
            standing_version: version,
            standing_digest: Some(digest),
            resent: before == Some(digest),
        };
        match self.call_control(ControlCall::Execute(command))? {
            ControlReply::Applied(ControlOutcome::Rejected(Rejection::Conflict {
                latest_version,
                latest_digest,
                ..
            })) => {
                reply.standing_version = latest_version;
                reply.standing_digest = latest_digest;
                Ok(json_response(&reply).with_status_code(409))
            }
            ControlReply::Applied(ControlOutcome::Rejected(rejection)) => {
                refuse(400, "apply", &rejection.to_string())
            }
            _ => Ok(json_response(&reply)),
        }
    }

    fn vms(&self) -> HandlerResult<Vec<VmBody>> {
        let members = match self.call_control(ControlCall::Members) {
            Ok(ControlReply::Members(members)) => Some(members),
            _ => None,
        };
        let versions = match self.call_control(ControlCall::BundleVersions) {
            Ok(ControlReply::BundleVersions(versions)) => versions,
            _ => Vec::new(),
        };
        self.inspect(move |node, _| {
            let is_voter = |vm| is_voter(members.as_ref(), vm);
            let version = |vm| versions.iter().find(|reported| reported.vm == vm);
            node.directory()
                .cache()
                .vms()
                .iter()
                .map(|info| VmBody {
                    vm: info.vm,
                    incarnation: info.incarnation,
                    domain: info.domain.clone(),
                    inner: info.inner,
                    outer: info.outer,
                    entry: info.entry,
                    control_voter: is_voter(info.vm),
                    group_voter: None,
                    version: version(info.vm).map(|reported| reported.version),
                })
                .collect()
        })
    }

    fn targets(&self) -> HandlerResult<Vec<TargetBody>> {
        self.inspect(|node, _| {
            let Some(state) = node.domain_state() else {
                return Vec::new();
            };
            state
                .targets()
                .map(|entry| TargetBody {
                    id: entry.info.id,
                    name: entry.info.spec.name.clone(),
                    service: entry.info.spec.service.clone(),
                    side: entry.info.spec.side,
                    address: entry.info.spec.address,
                    checks_tokens: entry.info.spec.checks_tokens,
                    slots: entry.info.spec.slots,
                    state: entry.info.state,
                    sender: entry.sender,
                    shards: entry.owned_shards,
                })
                .collect()
        })
    }

    fn drain_target(&self, request: &Request, id: &str) -> HandlerResult<Response> {
        let by = parse_body::<ActionRequest>(request)?.by;
        let Ok(id) = id.parse() else {
            return refuse(404, "parse", "there is no such target");
        };
        match self
            .node
            .call_domain(DomainCall::Drain(id), LEADER_CALL_TIMEOUT)
        {
            Some(DomainReply::Applied(DomainOutcome::Done)) => {}
            Some(DomainReply::Applied(_)) => {
                return refuse(404, "drain", "there is no such target in this domain");
            }
            _ => return refuse(503, "drain", "the domain group has no leader"),
        }
        let record = ControlCommand::RecordAction {
            action: format!("drain target {id} in domain {}", self.settings.domain).into(),
            by,
            at: unix_time(),
        };
        self.execute(record, &format!("target {id} is leaving"))
    }

    fn shards(&self, request: &Request) -> HandlerResult<Vec<ShardBody>> {
        let Some(service) = request.get_param("service") else {
            return refuse(400, "parse", "the parameter service is missing");
        };
        self.inspect(move |node, _| shard_bodies(node, &service))
    }

    fn move_shard(&self, request: &Request) -> HandlerResult<Response> {
        let requested: MoveRequest = parse_body(request)?;
        let (service, index) = (requested.service.clone(), requested.shard);
        let to = requested.to.clone();
        let found = self.inspect(move |node, _| {
            let cache = node.directory().cache();
            let version = cache.bundle().map_or(0, |bundle| bundle.version);
            let home = cache.home(&service, index);
            let evacuated = cache.evacuated().contains(&to);
            home.map(|home| (home.since, version, evacuated))
        })?;
        let Some((expected, bundle, evacuated)) = found else {
            return refuse(404, "move", "the shard has no home");
        };
        if evacuated {
            return refuse(409, "move", "the domain is under evacuation");
        }
        let record = ControlCommand::RecordAction {
            action: format!(
                "move {}/{} to {}",
                requested.service, requested.shard, requested.to
            )
            .into(),
            by: requested.by,
            at: unix_time(),
        };
        self.execute(record, "")?;
        let change = HomeChange {
            index: requested.shard,
            expected_since: expected,
            to: requested.to.clone(),
            immediate: false,
        };
        let command = ControlCommand::SetHomes {
            service: requested.service.clone(),
            bundle,
            changes: vec![change],
        };
        let done = format!(
            "shard {}/{} moves to {} once its home has released it",
            requested.service, requested.shard, requested.to
        );
        self.execute(command, &done)
    }

    fn explain(&self, request: &Request) -> HandlerResult<Explanation> {
        let (Some(service), Some(key)) = (request.get_param("service"), request.get_param("key"))
        else {
            return refuse(400, "parse", "the parameters service and key are needed");
        };
        let found = self
            .data_plane
            .with_router(|router| router.explain(&service, &key));
        let Some(found) = found else {
            return refuse(404, "explain", "the bundle has no such service with keys");
        };
        let mut why: Vec<Box<str>> = Vec::new();
        why.push(format!("the key belongs to shard {}", found.shard).into());
        if let Some(home) = &found.home {
            why.push(format!("the shard is homed in domain {home}").into());
        }
        if let Some(name) = &found.owner_name {
            why.push(format!("its owner is target {name}").into());
        }
        if let Some(sender) = found.sender {
            why.push(format!("VM {sender} sends to the owner").into());
        }
        why.push(match &found.blocked {
            Some(blocked) => format!("this VM would not send: {blocked}").into(),
            None => "this VM would send the request".into(),
        });
        Ok(Explanation {
            service: service.into(),
            key: key.into(),
            shard: found.shard.index,
            side: found.side,
            home: found.home,
            sender: found.sender,
            owner: found.owner_name,
            token: found.token,
            would_send_here: found.blocked.is_none(),
            why,
        })
    }

    fn audit(&self, request: &Request) -> HandlerResult<Vec<AuditBody>> {
        let from = request
            .get_param("from")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1);
        match self.call_control(ControlCall::Audit(from))? {
            ControlReply::Audit(entries) => Ok(entries.into_iter().map(audit_body).collect()),
            _ => refuse(503, "control", "the control group did not answer"),
        }
    }

    fn members(&self) -> HandlerResult<MembersBody> {
        match self.call_control(ControlCall::Members)? {
            ControlReply::Members(list) => Ok(MembersBody {
                epoch: list.term,
                leader: Some(member_vm(list.leader)),
                commit: list.commit,
                members: member_bodies(&list),
                tolerate: self.settings.control.tolerate as u32,
            }),
            _ => refuse(503, "control", "the control group did not answer"),
        }
    }

    fn remove_member(&self, request: &Request) -> HandlerResult<Response> {
        let requested: MemberRequest = parse_body(request)?;
        let ControlReply::Members(list) = self.call_control(ControlCall::Members)? else {
            return refuse(503, "control", "the control group did not answer");
        };
        let mut members = list.voters.iter().chain(&list.learners).copied();
        let Some(member) = members.find(|&member| member_vm(member) == requested.vm) else {
            return refuse(404, "remove", "the VM is no member of the control group");
        };
        let remaining = list.voters.iter().filter(|&&voter| voter != member).count();
        if remaining < 2 * self.settings.control.tolerate + 1 {
            let error = format!("{remaining} voters could not tolerate the losses in the settings");
            return refuse(409, "remove", &error);
        }
        let call = ControlCall::Remove {
            member,
            by: requested.by,
            at: unix_time(),
        };
        self.call_control(call)?;
        let done = format!("VM {} is removed from the control group", requested.vm).into();
        Ok(json_response(&ActionReply { done }))
    }
}

fn shard_bodies(node: &EntryNode, service: &str) -> Vec<ShardBody> {
    let cache = node.directory().cache();
    let Some(content) = cache.bundle().and_then(|bundle| bundle.service(service)) else {
        return Vec::new();
    };
    let state = node.domain_state();
    (0..content.shard_count())
        .map(|index| {
            let home = cache.home(service, index);
            let entry = state.and_then(|state| state.shard(&ShardRef::new(service, index)));
            let owner = entry
                .and_then(|entry| entry.phase.owner())
                .and_then(|owner| state.and_then(|state| state.target(owner)));
            ShardBody {
                service: service.into(),
                shard: index,
                side: content.side_of(index),
                home: home.map(|home| home.domain.clone()),
                next: home.and_then(|home| home.next.clone()),
                owner: owner.map(|owner| owner.info.spec.name.clone()),
                sender: owner.and_then(|owner| owner.sender),
                releasing: entry.is_some_and(|entry| {
                    matches!(entry.phase, camphordale_domain::Phase::Releasing(_))
                }),
                token: entry.map(|entry| entry.token),
            }
        })
        .collect()
}

fn member_bodies(list: &MemberList) -> Vec<MemberBody> {
    let body = |member: u64, voter| MemberBody {
        member,
        vm: Some(member_vm(member)),
        voter,
        matched: None,
    };
    let voters = list.voters.iter().map(|&member| body(member, true));
    let learners = list.learners.iter().map(|&member| body(member, false));
    voters.chain(learners).collect()
}

fn audit_body(entry: AuditEntry) -> AuditBody {
    AuditBody {
        number: entry.number,
        at: entry.at,
        by: entry.by,
        action: entry.action,
        before: entry.before,
        after: entry.after,
        previous: entry.previous,
        hash: entry.hash,
    }
}

fn is_voter(members: Option<&MemberList>, vm: VmId) -> bool {
    members.is_some_and(|list| list.voters.iter().any(|&member| member_vm(member) == vm))
}

fn parse_body<T>(request: &Request) -> HandlerResult<T>
where
    T: DeserializeOwned,
{
    let Some(data) = request.data() else {
        return refuse(400, "parse", "the body was read before");
    };
    let mut bytes = Vec::new();
    if data
        .take(MAX_BODY_SIZE + 1)
        .read_to_end(&mut bytes)
        .is_err()
    {
        return refuse(400, "read", "the body could not be read");
    }
    if bytes.len() as u64 > MAX_BODY_SIZE {
        return refuse(413, "read", "the body is too large");
    }
    serde_json::from_slice(&bytes)
        .or_else(|err| refuse(400, "parse", &format!("malformed body: {err}")))
}

fn json_response<T>(body: &T) -> Response
where
    T: Serialize,
{
    Response::json(body)
}

fn into_response(result: HandlerResult<Response>) -> Response {
    result.unwrap_or_else(|err| error_response(&err))
}

fn error_response(err: &RequestError) -> Response {
    let body = ErrorBody {
        error: err.message.clone(),
        step: err.step.into(),
    };
    json_response(&body).with_status_code(err.status)
}

fn refuse<T>(status: u16, step: &'static str, message: &str) -> HandlerResult<T> {
    Err(RequestError {
        status,
        step,
        message: message.into(),
    })
}

/// Returns the seconds since the Unix epoch, for records of the audit trail only.
fn unix_time() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
