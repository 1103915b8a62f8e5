//! Session of a target with its domain group, through any entry VM.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    thread,
    time::Duration,
};

use camphordale_types::TargetId;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use ureq::Agent;

use crate::{
    agent,
    protocol::{
        Announce,
        Announced,
        Draining,
        Renew,
        Renewed, //
    },
    target::Target,
};

/// Time between renewals before the first answer states it.
const FIRST_RENEW: Duration = Duration::from_millis(150);
/// Time allowed for an announcement, which needs a commit of the domain group.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(1);
/// Least time between two rounds, so that early renewals do not flood the entry VMs.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Pause after every entry VM failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause after the announcement was refused.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// An entry VM did not do what was asked.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// No entry VM answered, or all said to try another.
    #[error("{step}: no entry VM answered; last, {peer}: {cause}")]
    NoEntry {
        /// What was attempted.
        step: &'static str,
        /// The entry VM that was tried last.
        peer: SocketAddr,
        /// What happened there.
        cause: Box<str>,
    },
    /// The session does not exist.
    #[error("{step} at {peer}: no such session")]
    NoSession {
        /// What was attempted.
        step: &'static str,
        /// The entry VM.
        peer: SocketAddr,
    },
    /// The entry VM refused.
    #[error("{step} at {peer}: status {status}: {text}")]
    Refused {
        /// What was attempted.
        step: &'static str,
        /// The entry VM.
        peer: SocketAddr,
        /// Status of the answer.
        status: u16,
        /// Body of the answer.
        text: Box<str>,
    },
}

enum Failure {
    TryNext(Box<str>),
    Final(u16, Box<str>),
}

/// Keeps the session of `target` until the process ends. Run it in a thread of its own.
pub(crate) fn keep(target: &Arc<Target>) {
    let mut session = Session::new(target.clone());
    let mut last = String::new();
    loop {
        target.switches.wait_thawed();
        let began = target.clock.now();
        let pause = match session.round() {
            Ok(()) => {
                last.clear();
                session.renew
            }
            Err(error) => {
                // A line per change of state, not per attempt.
                let text = error.to_string();
                if text != last {
                    eprintln!("{}: {text}", target.options.name);
                    last = text;
                }
                match error {
                    SessionError::NoSession { .. } => Duration::ZERO,
                    SessionError::NoEntry { .. } => RETRY_PAUSE,
                    SessionError::Refused { .. } => REFUSED_PAUSE,
                }
            }
        };
        let spent = target.clock.now().saturating_sub(began);
        thread::sleep(MIN_PAUSE.saturating_sub(spent));
        target.wait_nudge(pause.saturating_sub(spent.max(MIN_PAUSE)));
    }
}

struct Session {
    target: Arc<Target>,
    id: Option<TargetId>,
    renew: Duration,
    entry: usize,
    drained: bool,
    agent: Agent,
}

impl Session {
    fn new(target: Arc<Target>) -> Self {
        Session {
            agent: agent(Some(target.address.ip()), ANNOUNCE_LIMIT),
            target,
            id: None,
            renew: FIRST_RENEW,
            entry: 0,
            drained: false,
        }
    }

    fn round(&mut self) -> Result<(), SessionError> {
        let Some(id) = self.id else {
            return self.announce();
        };
        let result = self.renew(id).and_then(|()| self.drain(id));
        if let Err(SessionError::NoSession { .. }) = result {
            self.id = None;
            self.drained = false;
            self.target.fence().forget();
        }
        result
    }

    fn announce(&mut self) -> Result<(), SessionError> {
        let options = &self.target.options;
        let body = Announce {
            name: options.name.clone(),
            service: options.service.clone(),
            side: options.side,
            address: self.target.address.to_string().into(),
            checks_tokens: options.checks_tokens,
            slots: options.slots,
        };
        let path = "/v1/targets";
        let (sent, answer): (_, Announced) = self.post("announce", path, ANNOUNCE_LIMIT, &body)?;
        self.id = Some(answer.target);
        self.renew = Duration::from_millis(answer.renew_ms);
        let mut fence = self.target.fence();
        fence.renewed(sent, Duration::from_millis(answer.lease_ms));
        fence.replace(answer.grants_version, &answer.grants);
        Ok(())
    }

    fn renew(&mut self, id: TargetId) -> Result<(), SessionError> {
        let running = self.target.running.load(Ordering::SeqCst);
        let lie = self.target.switches.settings().lie;
        let load = running as f32 / self.target.options.slots.max(1) as f32;
        let body = Renew {
            running: if lie { 0 } else { running },
            load: if lie { 0.0 } else { load.min(1.0) },
            grants_version: self.target.fence().version(),
        };
        let path = format!("/v1/targets/{id}/renew");
        let (sent, answer): (_, Renewed) = self.post("renew", &path, self.renew, &body)?;
        self.renew = Duration::from_millis(answer.renew_ms);
        let mut fence = self.target.fence();
        fence.renewed(sent, Duration::from_millis(answer.lease_ms));
        if let Some(grants) = answer.grants {
            fence.replace(answer.grants_version, &grants);
        }
        drop(fence);
        self.target.note_left(answer.shards_left);
        Ok(())
    }

    fn drain(&mut self, id: TargetId) -> Result<(), SessionError> {
        if self.drained || !self.target.draining.load(Ordering::SeqCst) {
            return Ok(());
        }
        let path = format!("/v1/targets/{id}/drain");
        let body = serde_json::json!({});
        let (_, answer): (_, Draining) = self.post("drain", &path, ANNOUNCE_LIMIT, &body)?;
        self.drained = true;
        self.target.note_leaving(answer.shards_left);
        Ok(())
    }

    /// Posts `body` to the entry VMs in turn, beginning with the one that answered last.
    /// Returns the time just before the answered call was sent, from which a lease counts.
    fn post<B, A>(
        &mut self,
        step: &'static str,
        path: &str,
        limit: Duration,
        body: &B,
    ) -> Result<(Duration, A), SessionError>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let entries = &self.target.options.entry_vms;
        let mut tries = 0;
        loop {
            let peer = entries[self.entry % entries.len()];
            let sent = self.target.clock.now();
            match self.call(peer, path, limit, body) {
                Ok(answer) => return Ok((sent, answer)),
                Err(Failure::Final(404, _)) => {
                    return Err(SessionError::NoSession { step, peer });
                }
                Err(Failure::Final(status, text)) => {
                    return Err(SessionError::Refused {
                        step,
                        peer,
                        status,
                        text,
                    });
                }
                Err(Failure::TryNext(cause)) => {
                    self.entry += 1;
                    tries += 1;
                    if tries == entries.len() {
                        return Err(SessionError::NoEntry { step, peer, cause });
                    }
                }
            }
        }
    }

    fn call<B, A>(
        &self,
        peer: SocketAddr,
        path: &str,
        limit: Duration,
        body: &B,
    ) -> Result<A, Failure>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let next = |e: ureq::Error| Failure::TryNext(e.to_string().into());
        let mut answer = self
            .agent
            .post(format!("http://{peer}{path}"))
            .config()
            .timeout_global(Some(limit))
            .build()
            .header("authorization", self.target.options.bearer())
            .send_json(body)
            .map_err(next)?;
        let status = answer.status().as_u16();
        let text = answer.body_mut().read_to_string().map_err(next)?;
        match status {
            200 => serde_json::from_str(&text)
                .map_err(|e| Failure::TryNext(format!("malformed answer: {e}").into())),
            400 | 401 | 404 | 409 => Err(Failure::Final(status, text.into())),
            _ => Err(Failure::TryNext(format!("status {status}: {text}").into())),
        }
    }
}
