//! Runs one request in a target.

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
    Delivery,
    Denied,
    Fault,
    JournalEntry,
    Phase,
    Reply,
    Request,
    headers,
    target::Target,
    unix_micros, //
};

/// Longest part of a request body that is echoed, in bytes.
const ECHO: usize = 128;

/// Runs `request`, or says that it was not run.
pub(crate) fn answer(target: &Target, request: &Request) -> Reply {
    target.switches.wait_thawed();
    if &*request.method == "OPTIONS" && &*request.path == "*" {
        return reply(target, request, 200);
    }
    if target.switches.hits(Fault::Shed) {
        return not_run(target, request, "shed by a switch");
    }
    let Some(slot) = Slot::take(target) else {
        return not_run(target, request, "no free slot");
    };
    let done = Job::new(target, request).and_then(|job| job.run());
    let whole = match done {
        Ok(whole) => deliver(target, request, whole),
        Err(why) => not_run(target, request, &why),
    };
    drop(slot);
    target.switches.wait_thawed();
    whole
}

struct Slot<'a>(&'a Target);

impl<'a> Slot<'a> {
    fn take(target: &'a Target) -> Option<Self> {
        let slots = target.options.slots;
        let more = |running| (running < slots).then_some(running + 1);
        let order = Ordering::SeqCst;
        let taken = target.running.fetch_update(order, order, more);
        taken.ok().map(|_| Slot(target))
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Job<'a> {
    target: &'a Target,
    request: &'a Request,
    run: u64,
    deadline: Option<Instant>,
    keyed: Option<(&'a str, Token)>,
}

impl<'a> Job<'a> {
    fn new(target: &'a Target, request: &'a Request) -> Result<Self, Box<str>> {
        let deadline = match request.header(headers::DEADLINE) {
            Some(text) => {
                let left = text.parse().map_err(|_| "malformed deadline")?;
                request.read.checked_add(Duration::from_millis(left))
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
        Ok(Job {
            target,
            request,
            run: target.runs.fetch_add(1, Ordering::Relaxed) + 1,
            deadline,
            keyed,
        })
    }

    fn run(&self) -> Result<Reply, Box<str>> {
        self.step(Phase::Start)?;
        self.target.switches.work(self.target.options.work_time);
        self.target.switches.wait_thawed();
        self.step(Phase::Commit)?;
        self.target.commits.fetch_add(1, Ordering::Relaxed);
        let mut reply = reply(self.target, self.request, 200);
        reply.body = self.body();
        Ok(reply)
    }

    /// Checks the rules and notes the step in the journal. Both happen under one lock, so that
    /// a commit cannot follow that of a higher token.
    fn step(&self, phase: Phase) -> Result<(), Box<str>> {
        let mut fence = self.target.fence();
        if self.deadline.is_some_and(|end| Instant::now() >= end) {
            return Err("the deadline has passed".into());
        }
        if self.target.options.checks_tokens {
            let checked = fence.check(self.target.clock.now(), self.keyed);
            if let Err(denied) = checked {
                if let Denied::NoGrant(_) = denied {
                    self.target.nudge();
                }
                return Err(denied.to_string().into());
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
        let echo = &request.body[..request.body.len().min(ECHO)];
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

fn reply(target: &Target, request: &Request, status: u16) -> Reply {
    let mut headers = vec![
        ("content-type", "application/json".into()),
        (headers::TARGET, target.options.name.clone()),
    ];
    if let Some(id) = request.header(headers::REQUEST) {
        headers.push((headers::REQUEST, id.into()));
    }
    Reply {
        status,
        headers,
        ..Reply::default()
    }
}

fn not_run(target: &Target, request: &Request, why: &str) -> Reply {
    target.refused.fetch_add(1, Ordering::Relaxed);
    let mut reply = reply(target, request, 503);
    reply
        .headers
        .push((headers::OUTCOME, headers::NOT_RUN.into()));
    reply.body = json!({ "outcome": headers::NOT_RUN, "message": why })
        .to_string()
        .into_bytes();
    reply
}

/// Applies the faults that hit the answer of a request that was run.
fn deliver(target: &Target, request: &Request, mut reply: Reply) -> Reply {
    let switches = &target.switches;
    if switches.hits(Fault::Late) {
        let allowed = request.header(headers::DEADLINE).map(str::parse::<u64>);
        let allowed = Duration::from_millis(allowed.and_then(Result::ok).unwrap_or(0));
        let left = allowed.saturating_sub(request.read.elapsed());
        thread::sleep(left + Duration::from_millis(switches.settings().late_ms));
    }
    if switches.hits(Fault::Cut) {
        reply.delivery = Delivery::Cut;
    }
    let swap = switches.hits(Fault::Swap);
    let wrong = switches.hits(Fault::WrongId);
    let headers = &mut reply.headers;
    let place = headers.iter().position(|(n, _)| *n == headers::REQUEST);
    let id = place.map(|at| headers[at].1.clone()).unwrap_or_default();
    let id = if swap {
        let body = std::mem::take(&mut reply.body);
        let (id, body) = switches.swap((id, body));
        reply.body = body;
        id
    } else if wrong {
        id.chars().rev().collect::<String>().into()
    } else {
        id
    };
    if let Some(at) = place {
        headers[at].1 = id;
    }
    reply
}
