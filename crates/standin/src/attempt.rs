//! Sends one attempt of a request and verifies the response.

use std::net::SocketAddr;

use serde::Deserialize;
use ureq::{
    Agent,
    Error,
    Timeout,
    http::Response, //
};

use crate::{
    headers,
    record::Outcome, //
};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_SIZE: u64 = 16 * 1024 * 1024;

/// Content of a request, the same for all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) id: Box<str>,
    pub(crate) idempotency: Option<Box<str>>,
    pub(crate) path: Box<str>,
    pub(crate) key: Option<(Box<str>, Box<str>)>,
    /// Body of a POST; `None` for a GET.
    pub(crate) body: Option<Vec<u8>>,
    pub(crate) deadline_ms: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    pub(crate) status: Option<u16>,
    pub(crate) reason: Option<Box<str>>,
    pub(crate) target: Option<Box<str>>,
}

impl AttemptResult {
    fn new(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            status: None,
            reason: None,
            target: None,
        }
    }
}

/// The fields of a stand-in target's response body that are verified.
#[derive(Debug, Deserialize)]
struct TargetResponse {
    target: Box<str>,
    marker: Option<Box<str>>,
    echo: Box<str>,
    pad_bytes: usize,
    pad: Box<str>,
}

/// Sends `spec` to the entry VM at `vm`.
pub(crate) fn run_attempt(agent: &Agent, vm: SocketAddr, spec: &RequestSpec) -> AttemptResult {
    let mut response = match send(agent, vm, spec) {
        Ok(response) => response,
        Err(Error::ConnectionFailed | Error::Timeout(Timeout::Connect)) => {
            return AttemptResult::new(Outcome::ConnectFailed);
        }
        Err(_) => return AttemptResult::new(Outcome::Unknown),
    };
    let header = |name| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(Box::<str>::from)
    };
    let status = response.status().as_u16();
    let mut result = AttemptResult {
        outcome: match header(headers::OUTCOME).as_deref() {
            Some(headers::NOT_RUN) => Outcome::NotRun,
            Some(_) => Outcome::Unknown,
            None if status >= 400 => Outcome::Refused,
            None => Outcome::Ok,
        },
        status: Some(status),
        reason: header(headers::REASON),
        target: None,
    };
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_RESPONSE_SIZE)
        .read_to_vec();
    let Ok(body) = body else {
        // A refusal is reported in the headers, so a truncated body does not change it.
        if !result.outcome.is_not_executed() && result.outcome != Outcome::Unknown {
            result.outcome = Outcome::Short;
        }
        return result;
    };
    if result.outcome == Outcome::Ok {
        (result.outcome, result.target) = check_response(&body, spec);
    }
    result
}

fn send(agent: &Agent, vm: SocketAddr, spec: &RequestSpec) -> Result<Response<ureq::Body>, Error> {
    let url = format!("http://{vm}{}", spec.path);
    let mut headers = vec![(headers::MARKER, &*spec.id)];
    if let Some((name, value)) = &spec.key {
        headers.push((name, value));
    }
    if let Some(key) = &spec.idempotency {
        headers.push((headers::IDEMPOTENCY, key));
    }
    let deadline = spec.deadline_ms.map(|ms| ms.to_string());
    if let Some(deadline) = &deadline {
        headers.push((headers::DEADLINE, deadline));
    }
    match &spec.body {
        Some(body) => {
            let builder = agent.post(url);
            let request = headers
                .iter()
                .fold(builder, |r, (name, value)| r.header(*name, *value));
            request.send(&body[..])
        }
        None => {
            let builder = agent.get(url);
            let request = headers
                .iter()
                .fold(builder, |r, (name, value)| r.header(*name, *value));
            request.call()
        }
    }
}

fn check_response(body: &[u8], spec: &RequestSpec) -> (Outcome, Option<Box<str>>) {
    let Ok(body) = serde_json::from_slice::<TargetResponse>(body) else {
        return (Outcome::Short, None);
    };
    let sent = spec.body.as_deref().unwrap_or_default();
    let is_match = body.marker.as_ref() == Some(&spec.id) && sent.starts_with(body.echo.as_bytes());
    // The body of a POST begins with the marker, so the echo contains at least that.
    let is_match = is_match && (spec.body.is_none() || body.echo.starts_with(&*spec.id));
    let outcome = if !is_match {
        Outcome::Wrong
    } else if body.pad.len() != body.pad_bytes {
        Outcome::Short
    } else {
        Outcome::Ok
    };
    (outcome, Some(body.target))
}
