//! The edge to the protocol of one deployment.

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
    TargetId, //
};
use camphordale_http::{
    Request,
    Response, //
};

/// What the fields of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerFields {
    /// Id of the attempt, which the target repeats in its response.
    pub id: Option<Box<str>>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The key.
    pub key: Option<Key>,
}

/// What the fields of a target's response say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetFields {
    /// Whether the target says that it did not run the request.
    pub not_executed: bool,
    /// What it says of its load.
    pub load: Option<LoadReport>,
}

/// An order to a target, as a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    /// Method.
    pub method: &'static str,
    /// Path.
    pub path: Box<str>,
    /// Header fields.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// What kind of call a reply answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A change or read of the routing.
    Routing,
    /// An announcement or a leave.
    Target,
}

/// Names, formats and calls of a deployment. Implementations translate and decide nothing.
pub trait ProtocolAdapter {
    /// Reads the fields of a caller's request. `None` if a field cannot be read.
    fn caller_fields(&self, request: &Request) -> Option<CallerFields>;

    /// Header fields of the request to a target.
    fn forward_headers(
        &self,
        request: &Request,
        target: &TargetId,
        left: Duration,
    ) -> Vec<(Box<str>, Box<str>)>;

    /// Name of the field by which a response names its request, in lower case.
    fn request_id_header(&self) -> &'static str;

    /// Reads the fields of a target's response.
    fn target_fields(&self, response: &Response) -> TargetFields;

    /// The response for a refused request.
    fn refusal_response(&self, refusal: Refusal, fields: &CallerFields) -> Response;

    /// Whether a request asks if the VM takes callers.
    fn is_readiness_probe(&self, request: &Request) -> bool;

    /// Reads a call of an operator or a target.
    ///
    /// # Errors
    ///
    /// The response to a call that cannot be read.
    fn parse_call(&self, request: &Request) -> Result<Call, Response>;

    /// The response to a call with the given path. `here` is the address at which this VM takes
    /// calls.
    fn call_response(
        &self,
        kind: CallKind,
        path: &str,
        reply: &Reply,
        here: SocketAddr,
    ) -> Response;

    /// The request that carries an order.
    fn order_request(&self, order: &Order) -> OrderRequest;

    /// Reads a target's response to an order.
    fn parse_answer(&self, order: &Order, response: &Response) -> Answer;
}
