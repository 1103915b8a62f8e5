//! Requests to the operator interface.

use std::{io, net::SocketAddr, path::Path, time::Duration};

use camphordale_api::ErrorBody;
use serde::{Serialize, de::DeserializeOwned};
use ureq::{Agent, Timeout};

use crate::{CliError, error::Failures, files::read_key};

/// Time to open a connection before the next server is tried.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Time for a whole request. A control group that lost its leader answers within it.
const REQUEST_TIME: Duration = Duration::from_secs(10);

/// Largest answer that is read: an audit trail of 10,000 records.
const ANSWER_BYTES: u64 = 16 << 20;

/// Advice after an action whose outcome is unknown.
const LOOK_FIRST: &str = "look at the state before the action is tried again";

/// Sends requests to the first server that takes them.
pub(crate) struct Client {
    agent: Agent,
    servers: Vec<SocketAddr>,
    key: Option<String>,
}

/// An answer of any status.
pub(crate) struct Reply {
    /// The server.
    pub(crate) server: String,
    /// HTTP status.
    pub(crate) status: u16,
    /// Body.
    pub(crate) body: String,
}

/// A request that got no answer.
struct Failure {
    reason: String,
    /// Whether certainly no byte of the request reached the server.
    unsent: bool,
}

impl Client {
    pub(crate) fn new(servers: &[SocketAddr], key_file: Option<&Path>) -> Result<Self, CliError> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIME))
            .timeout_global(Some(REQUEST_TIME))
            // A kept connection could be closed by the server just when a request is written.
            .max_idle_connections(0)
            .build();
        Ok(Client {
            agent: config.new_agent(),
            servers: servers.to_vec(),
            key: key_file.map(read_key).transpose()?,
        })
    }

    /// Reads `path`. Reads change nothing, so after any failure the next server is asked.
    pub(crate) fn get<T>(&self, path: &str) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        let mut failures = Failures::default();
        for server in self.servers()? {
            match self.send(server, path, None, true) {
                Ok(reply) if is_unavailable(reply.status) => {
                    failures.0.push((server.to_string(), reply.reason().1));
                }
                Ok(reply) => return reply.parse(),
                Err(failure) => failures.0.push((server.to_string(), failure.reason)),
            }
        }
        Err(CliError::Unreachable(failures))
    }

    /// Sends an action. The next server is asked only if the action was certainly not done.
    pub(crate) fn post<B, T>(&self, path: &str, body: &B) -> Result<T, CliError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let reply = self.post_with(path, body, true, LOOK_FIRST)?;
        reply.parse()
    }

    /// As [`Client::post`], with the answer of any status but 421, 502, 503 and 504, and with or without the
    /// bearer key.
    pub(crate) fn post_with<B>(
        &self,
        path: &str,
        body: &B,
        keyed: bool,
        advice: &'static str,
    ) -> Result<Reply, CliError>
    where
        B: Serialize,
    {
        let text = serde_json::to_string(body).map_err(|e| CliError::Wrong {
            step: "encode the request",
            reason: e.to_string(),
        })?;
        let unknown = |server: &SocketAddr, reason| CliError::Unknown {
            server: server.to_string(),
            reason,
            advice,
        };
        let mut failures = Failures::default();
        for server in self.servers()? {
            match self.send(server, path, Some(&text), keyed) {
                Ok(reply) if matches!(reply.status, 502 | 504) => {
                    return Err(unknown(server, reply.reason().1));
                }
                Ok(reply) if is_unavailable(reply.status) => {
                    failures.0.push((server.to_string(), reply.reason().1));
                }
                Ok(reply) => return Ok(reply),
                Err(failure) if failure.unsent => {
                    failures.0.push((server.to_string(), failure.reason));
                }
                Err(failure) => return Err(unknown(server, failure.reason)),
            }
        }
        Err(CliError::Unreachable(failures))
    }

    fn servers(&self) -> Result<&[SocketAddr], CliError> {
        match self.servers.as_slice() {
            [] => Err(CliError::Usage("the command needs --server IP:PORT".into())),
            servers => Ok(servers),
        }
    }

    fn send(
        &self,
        server: &SocketAddr,
        path: &str,
        body: Option<&str>,
        keyed: bool,
    ) -> Result<Reply, Failure> {
        let url = format!("http://{server}{path}");
        let key = self.key.as_ref().filter(|_| keyed);
        let bearer = key.map(|key| format!("Bearer {key}"));
        let answer = match body {
            Some(body) => {
                let mut request = self.agent.post(url).content_type("application/json");
                if let Some(bearer) = bearer {
                    request = request.header("Authorization", bearer);
                }
                request.send(body)
            }
            None => {
                let mut request = self.agent.get(url);
                if let Some(bearer) = bearer {
                    request = request.header("Authorization", bearer);
                }
                request.call()
            }
        };
        let mut answer = answer.map_err(Failure::from)?;
        let status = answer.status().as_u16();
        let body = answer.body_mut().with_config().limit(ANSWER_BYTES);
        let body = body.read_to_string().map_err(|error| Failure {
            reason: error.to_string(),
            unsent: false,
        })?;
        Ok(Reply {
            server: server.to_string(),
            status,
            body,
        })
    }
}

/// Tells whether a status says that the server did not carry out the request and another one may:
/// 421 and 503, and 502 and 504 for requests that only read.
fn is_unavailable(status: u16) -> bool {
    matches!(status, 421 | 502 | 503 | 504)
}

impl From<ureq::Error> for Failure {
    fn from(error: ureq::Error) -> Self {
        let unsent = match &error {
            ureq::Error::Timeout(Timeout::Resolve | Timeout::Connect)
            | ureq::Error::HostNotFound
            | ureq::Error::ConnectionFailed => true,
            ureq::Error::Io(error) => matches!(
                error.kind(),
                io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable
                    | io::ErrorKind::AddrNotAvailable
            ),
            _ => false,
        };
        Failure {
            reason: error.to_string(),
            unsent,
        }
    }
}

impl Reply {
    /// Returns the content of a successful answer.
    pub(crate) fn parse<T>(self) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        if !(200..300).contains(&self.status) {
            let (step, reason) = self.reason();
            return Err(CliError::Refused {
                server: self.server,
                step,
                reason,
            });
        }
        serde_json::from_str(&self.body).map_err(|e| CliError::Wrong {
            step: "read the answer",
            reason: format!("{}: {e}", self.server),
        })
    }

    /// Returns the step and the reason of a refusal.
    fn reason(&self) -> (String, String) {
        match serde_json::from_str::<ErrorBody>(&self.body) {
            Ok(body) => (body.step.into(), body.error.into()),
            Err(_) => ("answer".into(), format!("HTTP status {}", self.status)),
        }
    }
}
