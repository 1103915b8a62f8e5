//! Executes a request in a target.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_types::Token;
use serde_json::json;

use crate::{
    AdmissionError,
    Delivery,
    Fault,
    JournalEntry,
    Phase,
    Request,
    Response,
    headers,
    target::Target,
    unix_micros, //
};

/// Maximum length of the request body that is echoed, in bytes.
const MAX_ECHO_SIZE: usize = 128;

/// Executes `request`, or refuses it as not run.
pub(crate) fn handle_request(target: &Target, request: &Request) -> Response {
    target.faults.wait_until_thawed();
    if &*request.method == "OPTIONS" && &*request.path == "*" {
        return response(target, request, 200);
    }
    if target.faults.should_inject(Fault::Shed) {
        return not_run(target, request, "shed by a switch");
    }
    let Some(slot) = Slot::take(target) else {
        return not_run(target, request, "no free slot");
    };
    let result = RequestRun::new(target, request).and_then(|run| run.run());
    let response = match result {
        Ok(response) => apply_response_faults(target, request, response),
        Err(reason) => not_run(target, request, &reason),
    };
    drop(slot);
    target.faults.wait_until_thawed();
    response
}

struct Slot<'a>(&'a Target);

impl<'a> Slot<'a> {
    fn take(target: &'a Target) -> Option<Self> {
        let slots = target.options.slots;
        let increment = |running| (running < slots).then_some(running + 1);
        let order = Ordering::SeqCst;
        let taken = target.running.fetch_update(order, order, increment);
        taken.ok().map(|_| Slot(target))
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

struct RequestRun<'a> {
    target: &'a Target,
    request: &'a Request,
    run: u64,
    deadline: Option<Instant>,
    keyed: Option<(&'a str, Token)>,
}

impl<'a> RequestRun<'a> {
    fn new(target: &'a Target, request: &'a Request) -> Result<Self, Box<str>> {
        let deadline = match request.header(headers::DEADLINE) {
            Some(text) => {
                let left = text.parse().map_err(|_| "malformed deadline")?;
                request.received_at.checked_add(Duration::from_millis(left))
            }
            None => None,
        };
        let keyed = match (
            request.header(headers::SHARD),
            request.header(headers::TOKEN),
        ) {
            (Some(shard), Some(token)) => {
                let token = token.parse().map_err(|_| "malformed token")?;
                Some((shard, token))
            }
            (None, None) => None,
            _ => return Err("shard and token go together".into()),
        };
        Ok(RequestRun {
            target,
            request,
            run: target.runs.fetch_add(1, Ordering::Relaxed) + 1,
            deadline,
            keyed,
        })
    }

    fn run(&self) -> Result<Response, Box<str>> {
        self.admit(Phase::Start)?;
        self.target
            .faults
            .simulate_work(self.target.options.work_time);
        self.target.faults.wait_until_thawed();
        self.admit(Phase::Commit)?;
        self.target.commits.fetch_add(1, Ordering::Relaxed);
        let mut response = response(self.target, self.request, 200);
        response.body = self.body();
        Ok(response)
    }

    /// Checks whether the request may enter `phase` and records it in the journal. Both happen
    /// under one lock, so that a commit cannot follow one with a higher token.
    fn admit(&self, phase: Phase) -> Result<(), Box<str>> {
        let mut fencing = self.target.fencing();
        if self.deadline.is_some_and(|end| Instant::now() >= end) {
            return Err("the deadline has passed".into());
        }
        if self.target.options.checks_tokens {
            let checked = fencing.check(self.target.clock.now(), self.keyed);
            if let Err(error) = checked {
                if let AdmissionError::NotGranted(_) = error {
                    self.target.request_renewal();
                }
                return Err(error.to_string().into());
            }
        }
        let Some(journal) = &self.target.journal else {
            return Ok(());
        };
        let written = journal.write(&self.entry(phase));
        written.map_err(|e| format!("journal: {e}").into())
    }

    fn entry(&self, phase: Phase) -> JournalEntry {
        let options = &self.target.options;
        let header = |name| self.request.header(name).map(Box::from);
        JournalEntry {
            at_us: self.target.clock.now().as_micros() as u64,
            wall_us: unix_micros(),
            target: options.name.clone(),
            checks_tokens: options.checks_tokens,
            run: self.run,
            request: header(headers::REQUEST).unwrap_or_default(),
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            idempotency: header(headers::IDEMPOTENCY),
            marker: header(headers::MARKER),
            shard: self.keyed.map(|(shard, _)| shard.into()),
            token: self.keyed.map(|(_, token)| token),
            key: header(&options.key_header),
            phase,
        }
    }

    fn body(&self) -> Vec<u8> {
        let options = &self.target.options;
        let request = self.request;
        let echo = &request.body[..request.body.len().min(MAX_ECHO_SIZE)];
        let value = json!({
            "target": options.name,
            "request": request.header(headers::REQUEST),
            "path": request.path,
            "key": request.header(&options.key_header),
            "run": self.run,
            "marker": request.header(headers::MARKER),
            "echo": String::from_utf8_lossy(echo),
            "pad_bytes": options.padding_size,
            "pad": "x".repeat(options.padding_size),
        });
        value.to_string().into_bytes()
    }
}

fn response(target: &Target, request: &Request, status: u16) -> Response {
    let mut headers = vec![
        ("content-type", "application/json".into()),
        (headers::TARGET, target.options.name.clone()),
    ];
    if let Some(id) = request.header(headers::REQUEST) {
        headers.push((headers::REQUEST, id.into()));
    }
    Response {
        status,
        headers,
        ..Response::default()
    }
}

fn not_run(target: &Target, request: &Request, reason: &str) -> Response {
    target.refused.fetch_add(1, Ordering::Relaxed);
    let mut response = response(target, request, 503);
    response
        .headers
        .push((headers::OUTCOME, headers::NOT_RUN.into()));
    response.body = json!({ "outcome": headers::NOT_RUN, "message": reason })
        .to_string()
        .into_bytes();
    response
}

/// Applies the injected faults that affect the response of an executed request.
fn apply_response_faults(target: &Target, request: &Request, mut response: Response) -> Response {
    let faults = &target.faults;
    if faults.should_inject(Fault::Late) {
        let allowed = request.header(headers::DEADLINE).map(str::parse::<u64>);
        let allowed = Duration::from_millis(allowed.and_then(Result::ok).unwrap_or(0));
        let left = allowed.saturating_sub(request.received_at.elapsed());
        thread::sleep(left + Duration::from_millis(faults.settings().late_ms));
    }
    if faults.should_inject(Fault::Truncate) {
        response.delivery = Delivery::Truncated;
    }
    let swap = faults.should_inject(Fault::Swap);
    let wrong = faults.should_inject(Fault::WrongId);
    let headers = &mut response.headers;
    let index = headers.iter().position(|(n, _)| *n == headers::REQUEST);
    let id = index.map(|at| headers[at].1.clone()).unwrap_or_default();
    let id = if swap {
        let body = std::mem::take(&mut response.body);
        let (id, body) = faults.swap_response((id, body));
        response.body = body;
        id
    } else if wrong {
        id.chars().rev().collect::<String>().into()
    } else {
        id
    };
    if let Some(at) = index {
        headers[at].1 = id;
    }
    response
}
