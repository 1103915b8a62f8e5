//! What a target's response says about the execution of its request.

use camphordale_http::Response;

use crate::adapter::{
    ExecutionClaim,
    ProtocolAdapter, //
};

/// A complete response of a target to the request that it belongs to.
#[derive(Debug)]
pub(crate) enum TargetAnswer {
    /// It may be passed on.
    Relayable(RelayableResponse),
    /// It states that the target did not execute the request.
    NotExecuted,
    /// Its status would tell the caller that the request was not executed, but it does not state
    /// this, or it contradicts itself.
    Unproved,
}

/// A response that may be passed on to the caller: its status does not promise that the request was
/// not executed.
#[derive(Debug)]
pub(crate) struct RelayableResponse(Response);

impl RelayableResponse {
    pub(crate) fn response(&self) -> &Response {
        &self.0
    }
}

impl TargetAnswer {
    /// Sorts a response by its claim and its status.
    pub(crate) fn new<Adapter>(response: Response, claim: ExecutionClaim, adapter: &Adapter) -> Self
    where
        Adapter: ProtocolAdapter,
    {
        let promises = adapter.promises_not_executed(response.status);
        match claim {
            ExecutionClaim::NotExecuted => TargetAnswer::NotExecuted,
            ExecutionClaim::Contradictory => TargetAnswer::Unproved,
            ExecutionClaim::Executed | ExecutionClaim::None if promises => TargetAnswer::Unproved,
            ExecutionClaim::Executed | ExecutionClaim::None => {
                TargetAnswer::Relayable(RelayableResponse(response))
            }
        }
    }
}
