//! Headers of requests and answers on their way through, and the bodies of refusals.

use std::time::Duration;

use camphordale_domain::StoredResponse;
use camphordale_http::{
    Request,
    Response, //
};
use camphordale_route::SendRequest;
use camphordale_types::{
    Refusal,
    RequestId, //
};

/// Headers by name, names in lower case.
pub(crate) type Headers = Vec<(Box<str>, Box<str>)>;

const PREFIX: &str = "camphordale-";
const REQUEST: &str = "camphordale-request";
const OUTCOME: &str = "camphordale-outcome";
const DEADLINE: &str = "camphordale-deadline";
const NOT_RUN: &str = "not-run";

/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];

/// Returns the time that the caller allows, and checks its idempotency key.
///
/// # Errors
///
/// The message says which header cannot be used.
pub(crate) fn allowed_time(request: &Request) -> Result<Option<Duration>, &'static str> {
    if let Some(key) = request.header("idempotency-key") {
        let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > KEY_LIMIT || !visible {
            return Err("Idempotency-Key must be 1 to 128 visible ASCII characters");
        }
    }
    match request.header(DEADLINE) {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(ms) => Ok(Some(Duration::from_millis(ms))),
            Err(_) => Err("Camphordale-Deadline must be a number of milliseconds"),
        },
    }
}

/// Returns the headers of a caller that are passed on.
pub(crate) fn from_caller(headers: Headers) -> Headers {
    headers
        .into_iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !name.starts_with(PREFIX))
        .filter(|(name, _)| !matches!(&**name, "content-length" | "expect"))
        .collect()
}

/// Returns the headers of a target's answer that are passed on.
pub(crate) fn from_target(headers: Headers) -> Headers {
    headers
        .into_iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && &**name != "content-length")
        .filter(|(name, _)| &**name != OUTCOME)
        .collect()
}

/// Returns the headers of a request to a target.
pub(crate) fn to_target(
    headers: &Headers,
    id: RequestId,
    send: &SendRequest,
    left: Duration,
) -> Headers {
    let mut out = headers.clone();
    let mut add = |name: &str, value: String| out.push((name.into(), value.into()));
    add(REQUEST, format!("{id:032x}"));
    add(DEADLINE, left.as_millis().to_string());
    if let Some((shard, token)) = &send.grant {
        add("camphordale-shard", shard.to_string());
        add("camphordale-token", token.to_string());
    }
    out
}

/// Returns the host that a request names, without port.
pub(crate) fn host(headers: &Headers) -> Option<Box<str>> {
    let (_, value) = headers.iter().find(|(name, _)| &**name == "host")?;
    let host = match value.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => value,
    };
    Some(host.into())
}

/// Tells whether an answer belongs to the request.
pub(crate) fn echoes(response: &Response, id: RequestId) -> bool {
    let expected = format!("{id:032x}");
    header(&response.headers, REQUEST).is_some_and(|echo| echo.eq_ignore_ascii_case(&expected))
}

/// Tells whether the target says that it did not run the request.
pub(crate) fn says_not_run(response: &Response) -> bool {
    response.status == 503 && header(&response.headers, OUTCOME) == Some(NOT_RUN)
}

/// Tells whether the answer to a request is kept in an idempotency record.
pub(crate) fn is_storable(request: &Headers, answer: &StoredResponse, limit: usize) -> bool {
    header(request, "idempotency-key").is_some() && answer.body.len() <= limit
}

/// Returns the answer to a caller.
pub(crate) fn pass_on(answer: StoredResponse) -> Response {
    Response {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}

/// Returns the refusal of a request that cannot be used.
pub(crate) fn bad_request(message: &str) -> Response {
    json(400, NOT_RUN, "bad-request", message)
}

/// Returns the answer for a request without an answer of a target.
pub(crate) fn refusal(refusal: Refusal) -> Response {
    let message = refusal.to_string();
    let reason = refusal.code();
    match refusal {
        Refusal::NotRun(_) => {
            let status = match reason {
                "no-service" => 404,
                "no-key" => 400,
                _ => 503,
            };
            let mut response = json(status, NOT_RUN, reason, &message);
            if status == 503 {
                response.headers.push(("Retry-After".into(), "1".into()));
            }
            response
        }
        Refusal::Unknown(unknown) => {
            let status = match unknown {
                camphordale_types::Unknown::Timeout => 504,
                _ => 502,
            };
            json(status, "unknown", reason, &message)
        }
    }
}

fn json(status: u16, outcome: &str, reason: &str, message: &str) -> Response {
    let body = serde_json::json!({
        "outcome": outcome,
        "reason": reason,
        "message": message,
    });
    Response {
        status,
        headers: vec![
            ("Content-Type".into(), "application/json".into()),
            ("Camphordale-Outcome".into(), outcome.into()),
            ("Camphordale-Reason".into(), reason.into()),
        ],
        body: body.to_string().into_bytes(),
    }
}

fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(own, _)| &**own == name)
        .map(|(_, value)| &**value)
}

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}
