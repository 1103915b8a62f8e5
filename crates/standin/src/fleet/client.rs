//! HTTP requests to operator listeners and stand-in programs.

use std::{
    fmt,
    io,
    net::SocketAddr,
    time::Duration, //
};

use camphordale_bundle::SignedBundle;
use serde_json::{
    Value,
    json, //
};
use ureq::Agent;

use super::ACCESS_KEY;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// An operation on a fleet failed.
#[derive(Debug, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct FleetError {
    step: &'static str,
    reason: Box<str>,
}

impl FleetError {
    pub(crate) fn new<E>(step: &'static str, reason: E) -> Self
    where
        E: fmt::Display,
    {
        let reason = reason.to_string().into();
        FleetError { step, reason }
    }

    pub(crate) fn io(step: &'static str) -> impl Fn(io::Error) -> FleetError {
        move |err| FleetError::new(step, err)
    }
}

/// Sends `GET` with the access key and returns the JSON response.
///
/// # Errors
///
/// Returns an error if there is no response or its status is not 200.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, FleetError> {
    let request = agent().get(format!("http://{address}{path}"));
    let response = request
        .header("Authorization", format!("Bearer {ACCESS_KEY}"))
        .call();
    read_response(response, "GET")
}

/// Sends `POST` with the access key and a JSON body, and returns the JSON response.
///
/// # Errors
///
/// Returns an error if there is no response or its status is not 200.
pub fn post_json(address: SocketAddr, path: &str, body: &Value) -> Result<Value, FleetError> {
    let request = agent().post(format!("http://{address}{path}"));
    let response = request
        .header("Authorization", format!("Bearer {ACCESS_KEY}"))
        .send_json(body);
    read_response(response, "POST")
}

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into()
}

fn read_response(
    response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    step: &'static str,
) -> Result<Value, FleetError> {
    let mut response = response.map_err(|err| FleetError::new(step, err))?;
    let status = response.status();
    let text = response.body_mut().read_to_string();
    let text = text.map_err(|err| FleetError::new(step, err))?;
    if status != 200 {
        return Err(FleetError::new(step, format!("status {status}: {text}")));
    }
    Ok(serde_json::from_str(&text).unwrap_or(Value::Null))
}

/// Returns the request body that submits a bundle.
pub(super) fn bundle_body(signed: &SignedBundle) -> Value {
    let signatures: Vec<Value> = signed
        .signatures
        .iter()
        .map(|signature| json!({ "operator": signature.operator, "bytes": hex(&signature.bytes) }))
        .collect();
    json!({ "bytes": hex(&signed.bytes), "signatures": signatures })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
