//! One attempt of a caller, and the check of its answer.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER: u64 = 16 * 1024 * 1024;

/// What is sent, the same in all attempts.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) id: Box<str>,
    pub(crate) idempotency: Option<Box<str>>,
    pub(crate) path: Box<str>,
    pub(crate) key: Option<(Box<str>, Box<str>)>,
    /// Body of a POST; none for a GET.
    pub(crate) body: Option<Vec<u8>>,
    pub(crate) deadline_ms: Option<u64>,
}

/// How it ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    pub(crate) status: Option<u16>,
    pub(crate) reason: Option<Box<str>>,
    pub(crate) target: Option<Box<str>>,
}

impl Ended {
    fn new(outcome: Outcome) -> Self {
        Ended {
            outcome,
            status: None,
            reason: None,
            target: None,
        }
    }
}

/// The part of a stand-in target's answer that is checked.
#[derive(Debug, Deserialize)]
struct Body {
    target: Box<str>,
    marker: Option<Box<str>>,
    echo: Box<str>,
    pad_bytes: usize,
    pad: Box<str>,
}

/// Sends `work` to the entry VM at `vm`.
pub(crate) fn attempt(agent: &Agent, vm: SocketAddr, work: &Work) -> Ended {
    let mut response = match send(agent, vm, work) {
        Ok(response) => response,
        Err(Error::ConnectionFailed | Error::Timeout(Timeout::Connect)) => {
            return Ended::new(Outcome::ConnectFailed);
        }
        Err(_) => return Ended::new(Outcome::Unknown),
    };
    let header = |name| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(Box::<str>::from)
    };
    let status = response.status().as_u16();
    let mut ended = Ended {
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
    let read = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_vec();
    let Ok(body) = read else {
        // The refusal is in the header, so a short body does not change it.
        if !ended.outcome.is_not_executed() && ended.outcome != Outcome::Unknown {
            ended.outcome = Outcome::Short;
        }
        return ended;
    };
    if ended.outcome == Outcome::Ok {
        (ended.outcome, ended.target) = check(&body, work);
    }
    ended
}

fn send(agent: &Agent, vm: SocketAddr, work: &Work) -> Result<Response<ureq::Body>, Error> {
    let url = format!("http://{vm}{}", work.path);
    let mut list = vec![(headers::MARKER, &*work.id)];
    if let Some((name, value)) = &work.key {
        list.push((name, value));
    }
    if let Some(key) = &work.idempotency {
        list.push((headers::IDEMPOTENCY, key));
    }
    let deadline = work.deadline_ms.map(|ms| ms.to_string());
    if let Some(deadline) = &deadline {
        list.push((headers::DEADLINE, deadline));
    }
    match &work.body {
        Some(body) => {
            let empty = agent.post(url);
            let request = list
                .iter()
                .fold(empty, |r, (name, value)| r.header(*name, *value));
            request.send(&body[..])
        }
        None => {
            let empty = agent.get(url);
            let request = list
                .iter()
                .fold(empty, |r, (name, value)| r.header(*name, *value));
            request.call()
        }
    }
}

fn check(body: &[u8], work: &Work) -> (Outcome, Option<Box<str>>) {
    let Ok(body) = serde_json::from_slice::<Body>(body) else {
        return (Outcome::Short, None);
    };
    let sent = work.body.as_deref().unwrap_or_default();
    let own = body.marker.as_ref() == Some(&work.id) && sent.starts_with(body.echo.as_bytes());
    // A POST echoes at least the marker, with which its body begins.
    let own = own && (work.body.is_none() || body.echo.starts_with(&*work.id));
    let outcome = if !own {
        Outcome::Wrong
    } else if body.pad.len() != body.pad_bytes {
        Outcome::Short
    } else {
        Outcome::Ok
    };
    (outcome, Some(body.target))
}
