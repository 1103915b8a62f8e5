//! Translation of HTTP messages between callers and targets: headers that are forwarded or
//! removed, and the responses of refused requests.

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

/// Header names in lower case, with their values.
pub(crate) type Headers = Vec<(Box<str>, Box<str>)>;

const HEADER_PREFIX: &str = "camphordale-";
const REQUEST_ID_HEADER: &str = "camphordale-request";
const OUTCOME_HEADER: &str = "camphordale-outcome";
const DEADLINE_HEADER: &str = "camphordale-deadline";
const NOT_RUN: &str = "not-run";

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 128;

/// Headers that apply to a single connection and are not forwarded.
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

/// Returns the timeout that the caller states, and validates its idempotency key.
///
/// # Errors
///
/// Fails with a message that names the invalid header.
pub(crate) fn caller_timeout(request: &Request) -> Result<Option<Duration>, &'static str> {
    if let Some(key) = request.header("idempotency-key") {
        let visible = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY || !visible {
            return Err("Idempotency-Key must be 1 to 128 visible ASCII characters");
        }
    }
    match request.header(DEADLINE_HEADER) {
        None => Ok(None),
        Some(text) => match text.parse() {
            Ok(ms) => Ok(Some(Duration::from_millis(ms))),
            Err(_) => Err("Camphordale-Deadline must be a number of milliseconds"),
        },
    }
}

/// Returns the headers of a caller's request that are forwarded.
pub(crate) fn request_headers(headers: Headers) -> Headers {
    headers
        .into_iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !name.starts_with(HEADER_PREFIX))
        .filter(|(name, _)| !matches!(&**name, "content-length" | "expect"))
        .collect()
}

/// Returns the headers of a target's response that are forwarded to the caller.
pub(crate) fn response_headers(headers: Headers) -> Headers {
    headers
        .into_iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && &**name != "content-length")
        .filter(|(name, _)| &**name != OUTCOME_HEADER)
        .collect()
}

/// Returns the headers of a request to a target: the forwarded ones, the request's id, the
/// `remaining` time until its deadline and, with a grant, its shard and fencing token.
pub(crate) fn target_headers(
    headers: &Headers,
    id: RequestId,
    send: &SendRequest,
    remaining: Duration,
) -> Headers {
    let mut out = headers.clone();
    let mut add = |name: &str, value: String| out.push((name.into(), value.into()));
    add(REQUEST_ID_HEADER, format!("{id:032x}"));
    add(DEADLINE_HEADER, remaining.as_millis().to_string());
    if let Some((shard, token)) = &send.grant {
        add("camphordale-shard", shard.to_string());
        add("camphordale-token", token.to_string());
    }
    out
}

/// Returns the host of a request without its port.
pub(crate) fn host(headers: &Headers) -> Option<Box<str>> {
    let (_, value) = headers.iter().find(|(name, _)| &**name == "host")?;
    let host = match value.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => value,
    };
    Some(host.into())
}

/// Tells whether a response carries the id of the request.
pub(crate) fn has_request_id(response: &Response, id: RequestId) -> bool {
    let expected = format!("{id:032x}");
    header(&response.headers, REQUEST_ID_HEADER)
        .is_some_and(|found| found.eq_ignore_ascii_case(&expected))
}

/// Tells whether the target declares that it did not run the request.
pub(crate) fn is_not_run(response: &Response) -> bool {
    response.status == 503 && header(&response.headers, OUTCOME_HEADER) == Some(NOT_RUN)
}

/// Tells whether a response is stored in an idempotency record: the request has an idempotency
/// key, and the body is at most `max_body` bytes.
pub(crate) fn is_storable(request: &Headers, response: &StoredResponse, max_body: usize) -> bool {
    header(request, "idempotency-key").is_some() && response.body.len() <= max_body
}

/// Returns the response to a caller.
pub(crate) fn caller_response(response: StoredResponse) -> Response {
    Response {
        status: response.status,
        headers: response.headers,
        body: response.body,
    }
}

/// Returns the response to a request with invalid headers.
pub(crate) fn bad_request(message: &str) -> Response {
    refusal_response(400, NOT_RUN, "bad-request", message)
}

/// Returns the response to a refused request, with its outcome and reason.
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
            let mut response = refusal_response(status, NOT_RUN, reason, &message);
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
            refusal_response(status, "unknown", reason, &message)
        }
    }
}

fn refusal_response(status: u16, outcome: &str, reason: &str, message: &str) -> Response {
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
        .find(|(key, _)| &**key == name)
        .map(|(_, value)| &**value)
}

fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}
