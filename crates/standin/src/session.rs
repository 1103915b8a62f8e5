//! Session of a target with its domain group, maintained through any entry VM.

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

/// Renewal interval until the first response specifies one.
const INITIAL_RENEW_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout of an announcement, which requires a commit by the domain group.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval between rounds, so that early renewals do not flood the entry VMs.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after all entry VMs failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay after a request was refused.
const REFUSED_DELAY: Duration = Duration::from_secs(1);

/// Error of a session request to the entry VMs.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// No entry VM responded, or all returned a retryable error.
    #[error("{operation}: no entry VM responded; last tried {peer}: {reason}")]
    EntryVmsUnavailable {
        /// Operation that failed.
        operation: &'static str,
        /// Entry VM that was tried last.
        peer: SocketAddr,
        /// Reason for which the last attempt failed.
        reason: Box<str>,
    },
    /// The session does not exist.
    #[error("{operation} at {peer}: no such session")]
    NoSession {
        /// Operation that failed.
        operation: &'static str,
        /// Address of the entry VM.
        peer: SocketAddr,
    },
    /// The entry VM refused the request.
    #[error("{operation} at {peer}: status {status}: {text}")]
    Refused {
        /// Operation that failed.
        operation: &'static str,
        /// Address of the entry VM.
        peer: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        text: Box<str>,
    },
}

enum CallError {
    TryNext(Box<str>),
    Final(u16, Box<str>),
}

/// Maintains the session of `target` until the process ends. Blocks the calling thread.
pub(crate) fn run(target: &Arc<Target>) {
    let mut session = Session::new(target.clone());
    let mut last_error = String::new();
    loop {
        target.faults.wait_until_thawed();
        let started = target.clock.now();
        let delay = match session.run_round() {
            Ok(()) => {
                last_error.clear();
                session.renew_interval
            }
            Err(error) => {
                // Log an error once, not for every attempt.
                let text = error.to_string();
                if text != last_error {
                    eprintln!("{}: {text}", target.options.name);
                    last_error = text;
                }
                match error {
                    SessionError::NoSession { .. } => Duration::ZERO,
                    SessionError::EntryVmsUnavailable { .. } => RETRY_DELAY,
                    SessionError::Refused { .. } => REFUSED_DELAY,
                }
            }
        };
        let elapsed = target.clock.now().saturating_sub(started);
        thread::sleep(MIN_ROUND_INTERVAL.saturating_sub(elapsed));
        target.wait_for_renewal(delay.saturating_sub(elapsed.max(MIN_ROUND_INTERVAL)));
    }
}

struct Session {
    target: Arc<Target>,
    id: Option<TargetId>,
    renew_interval: Duration,
    entry_index: usize,
    drain_announced: bool,
    agent: Agent,
}

impl Session {
    fn new(target: Arc<Target>) -> Self {
        Session {
            agent: agent(Some(target.address.ip()), ANNOUNCE_TIMEOUT),
            target,
            id: None,
            renew_interval: INITIAL_RENEW_INTERVAL,
            entry_index: 0,
            drain_announced: false,
        }
    }

    fn run_round(&mut self) -> Result<(), SessionError> {
        let Some(id) = self.id else {
            return self.announce();
        };
        let result = self.renew(id).and_then(|()| self.drain(id));
        if let Err(SessionError::NoSession { .. }) = result {
            self.id = None;
            self.drain_announced = false;
            self.target.fencing().clear_session();
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
        let (sent_at, response): (_, Announced) =
            self.post("announce", path, ANNOUNCE_TIMEOUT, &body)?;
        self.id = Some(response.target);
        self.renew_interval = Duration::from_millis(response.renew_ms);
        let mut fencing = self.target.fencing();
        fencing.extend_lease(sent_at, Duration::from_millis(response.lease_ms));
        fencing.replace_grants(response.grants_version, &response.grants);
        Ok(())
    }

    fn renew(&mut self, id: TargetId) -> Result<(), SessionError> {
        let running = self.target.running.load(Ordering::SeqCst);
        let hide_load = self.target.faults.settings().hide_load;
        let load = running as f32 / self.target.options.slots.max(1) as f32;
        let body = Renew {
            running: if hide_load { 0 } else { running },
            load: if hide_load { 0.0 } else { load.min(1.0) },
            grants_version: self.target.fencing().grants_version(),
        };
        let path = format!("/v1/targets/{id}/renew");
        let (sent_at, response): (_, Renewed) =
            self.post("renew", &path, self.renew_interval, &body)?;
        self.renew_interval = Duration::from_millis(response.renew_ms);
        let mut fencing = self.target.fencing();
        fencing.extend_lease(sent_at, Duration::from_millis(response.lease_ms));
        if let Some(grants) = response.grants {
            fencing.replace_grants(response.grants_version, &grants);
        }
        drop(fencing);
        self.target.set_shards_left(response.shards_left);
        Ok(())
    }

    fn drain(&mut self, id: TargetId) -> Result<(), SessionError> {
        if self.drain_announced || !self.target.draining.load(Ordering::SeqCst) {
            return Ok(());
        }
        let path = format!("/v1/targets/{id}/drain");
        let body = serde_json::json!({});
        let (_, response): (_, Draining) = self.post("drain", &path, ANNOUNCE_TIMEOUT, &body)?;
        self.drain_announced = true;
        self.target.set_leaving(response.shards_left);
        Ok(())
    }

    /// Posts `body` to the entry VMs in turn, beginning with the one that responded last.
    /// Returns the response with the time just before the successful request was sent, from
    /// which a lease is measured.
    fn post<B, R>(
        &mut self,
        operation: &'static str,
        path: &str,
        timeout: Duration,
        body: &B,
    ) -> Result<(Duration, R), SessionError>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let entries = &self.target.options.entry_vms;
        let mut failures = 0;
        loop {
            let peer = entries[self.entry_index % entries.len()];
            let sent_at = self.target.clock.now();
            match self.call(peer, path, timeout, body) {
                Ok(response) => return Ok((sent_at, response)),
                Err(CallError::Final(404, _)) => {
                    return Err(SessionError::NoSession { operation, peer });
                }
                Err(CallError::Final(status, text)) => {
                    return Err(SessionError::Refused {
                        operation,
                        peer,
                        status,
                        text,
                    });
                }
                Err(CallError::TryNext(reason)) => {
                    self.entry_index += 1;
                    failures += 1;
                    if failures == entries.len() {
                        return Err(SessionError::EntryVmsUnavailable {
                            operation,
                            peer,
                            reason,
                        });
                    }
                }
            }
        }
    }

    fn call<B, R>(
        &self,
        peer: SocketAddr,
        path: &str,
        timeout: Duration,
        body: &B,
    ) -> Result<R, CallError>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let try_next = |e: ureq::Error| CallError::TryNext(e.to_string().into());
        let mut response = self
            .agent
            .post(format!("http://{peer}{path}"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("authorization", self.target.options.bearer())
            .send_json(body)
            .map_err(try_next)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(try_next)?;
        match status {
            200 => serde_json::from_str(&text)
                .map_err(|e| CallError::TryNext(format!("malformed response: {e}").into())),
            400 | 401 | 404 | 409 => Err(CallError::Final(status, text.into())),
            _ => Err(CallError::TryNext(
                format!("status {status}: {text}").into(),
            )),
        }
    }
}
