//! Interface to the protocol of a deployment.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_entry::{
    LoadReport,
    Refusal, //
};
use camphordale_fleet::{
    Answer,
    Call,
    Key,
    Order,
    Reply,
    RequestRate,
    TargetId, //
};
use camphordale_http::{
    Request,
    Response, //
};

/// Header fields of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerFields {
    /// Id of the caller's attempt, which the target returns in its response.
    pub id: Option<Box<str>>,
    /// How long the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Shard key, if the request has one.
    pub key: Option<Key>,
}

/// A header field of a response in which a target states something about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedField<Value> {
    /// The response has no such field.
    Absent,
    /// The value.
    Valid(Value),
    /// The field is repeated, or its value is out of bounds or cannot be read. It states nothing.
    Malformed,
}

impl<Value> StatedField<Value> {
    /// The value, if the response has a valid one.
    ///
    /// ```
    /// assert_eq!(camphordale_reactor::StatedField::Valid(3).valid(), Some(3));
    /// ```
    pub fn valid(self) -> Option<Value> {
        match self {
            StatedField::Valid(value) => Some(value),
            StatedField::Absent | StatedField::Malformed => None,
        }
    }
}

/// What a response says about the execution of the request that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionClaim {
    /// Nothing.
    None,
    /// The target executed the request.
    Executed,
    /// The target did not execute the request and will not.
    NotExecuted,
    /// The response says that the target did not execute the request, but not in the form that the
    /// protocol gives such a response, or it also says the opposite.
    Contradictory,
}

/// Header fields of a target's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetFields {
    /// What the response says about the execution of the request.
    pub execution: ExecutionClaim,
    /// Load that the target reports.
    pub load: Option<LoadReport>,
    /// Limit that the target sets on the requests of all entry VMs together.
    pub limit: StatedField<RequestRate>,
    /// Whether the target states that it leaves.
    pub leaving: StatedField<()>,
    /// Time for which the target states that it wants no requests from this VM.
    pub pause: StatedField<Duration>,
}

/// The HTTP request that carries an order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Request path.
    pub path: Box<str>,
    /// Header fields.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Request body.
    pub body: Vec<u8>,
}

/// Kind of the call that a reply answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A change or a read of the routing, or another order of an operator.
    Routing,
    /// An announcement or a leave of a target.
    Target,
}

/// Translates between the protocol of a deployment and the types of this product. Implementations
/// make no decisions of their own.
pub trait ProtocolAdapter {
    /// Parses the header fields of a caller's request. `None` if a field is malformed.
    fn caller_fields(&self, request: &Request) -> Option<CallerFields>;

    /// Header fields of the request to `target`. `remaining` is the time until its deadline.
    fn forward_headers(
        &self,
        request: &Request,
        target: &TargetId,
        remaining: Duration,
    ) -> Vec<(Box<str>, Box<str>)>;

    /// Name, in lower case, of the header field by which a response identifies its request.
    fn request_id_header(&self) -> &'static str;

    /// Name, in lower case, of the header field that every success of a target has.
    fn success_header(&self) -> &'static str;

    /// Whether callers take the status as a promise that their request was not executed and will
    /// not be.
    fn promises_not_executed(&self, status: u16) -> bool;

    /// Parses the header fields of a target's response.
    fn target_fields(&self, response: &Response) -> TargetFields;

    /// The response to a refused request.
    fn refusal_response(&self, refusal: Refusal, fields: &CallerFields) -> Response;

    /// Whether a request is a readiness probe.
    fn is_readiness_probe(&self, request: &Request) -> bool;

    /// Parses a call of an operator or a target.
    ///
    /// # Errors
    ///
    /// The response to a malformed call.
    fn parse_call(&self, request: &Request) -> Result<Call, Response>;

    /// The response to a call with the given path. `local_address` is the control address of this
    /// VM.
    fn call_response(
        &self,
        kind: CallKind,
        path: &str,
        reply: &Reply,
        local_address: SocketAddr,
    ) -> Response;

    /// The request that carries an order to `target`. It must name the target, so that another one
    /// that listens at the address does not carry the order out.
    fn order_request(&self, order: &Order, target: &TargetId) -> OrderRequest;

    /// Parses a target's response to an order.
    fn parse_answer(&self, order: &Order, response: &Response) -> Answer;
}
