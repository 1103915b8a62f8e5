//! HTTP client for the operators' API.

use std::{io, net::SocketAddr, path::Path, time::Duration};

use camphordale_api::ErrorBody;
use serde::{Serialize, de::DeserializeOwned};
use ureq::{Agent, Timeout};

use crate::{CliError, error::Failures, files::read_key};

/// Timeout to open a connection, after which the next server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a request. It is long enough for a control group to replace a lost leader.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response body, in bytes: enough for an audit trail of 10,000 records.
const MAX_BODY_SIZE: u64 = 16 << 20;

/// Advice if the outcome of an action is unknown.
const CHECK_STATE_ADVICE: &str = "check the state before the action is tried again";

/// Client that tries several servers in turn.
pub(crate) struct Client {
    agent: Agent,
    servers: Vec<SocketAddr>,
    key: Option<String>,
}

/// A response with any status.
pub(crate) struct ServerResponse {
    /// Address of the server.
    pub(crate) server: String,
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// A request without a response.
struct RequestFailure {
    reason: String,
    /// Whether it is certain that no byte of the request reached the server.
    unsent: bool,
}

impl Client {
    pub(crate) fn new(servers: &[SocketAddr], key_file: Option<&Path>) -> Result<Self, CliError> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(REQUEST_TIMEOUT))
            // The server could close an idle connection at the moment a request is written to it,
            // so connections are not reused.
            .max_idle_connections(0)
            .build();
        Ok(Client {
            agent: config.new_agent(),
            servers: servers.to_vec(),
            key: key_file.map(read_key).transpose()?,
        })
    }

    /// Reads `path`. Reads change no state, so the next server is tried after any failure.
    pub(crate) fn get<T>(&self, path: &str) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        let mut failures = Failures::default();
        for server in self.servers()? {
            match self.send(server, path, None, true) {
                Ok(response) if is_unavailable(response.status) => {
                    failures.0.push((server.to_string(), response.reason().1));
                }
                Ok(response) => return response.parse(),
                Err(failure) => failures.0.push((server.to_string(), failure.reason)),
            }
        }
        Err(CliError::Unreachable(failures))
    }

    /// Sends an action. The next server is tried only if the action was certainly not executed.
    pub(crate) fn post<B, T>(&self, path: &str, body: &B) -> Result<T, CliError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let response = self.post_with(path, body, true, CHECK_STATE_ADVICE)?;
        response.parse()
    }

    /// Sends an action like [`Client::post`], with the bearer key if `authorized`, and returns a
    /// response with any status except 421, 502, 503 and 504.
    pub(crate) fn post_with<B>(
        &self,
        path: &str,
        body: &B,
        authorized: bool,
        advice: &'static str,
    ) -> Result<ServerResponse, CliError>
    where
        B: Serialize,
    {
        let text = serde_json::to_string(body).map_err(|e| CliError::InvalidData {
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
            match self.send(server, path, Some(&text), authorized) {
                Ok(response) if matches!(response.status, 502 | 504) => {
                    return Err(unknown(server, response.reason().1));
                }
                Ok(response) if is_unavailable(response.status) => {
                    failures.0.push((server.to_string(), response.reason().1));
                }
                Ok(response) => return Ok(response),
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
        authorized: bool,
    ) -> Result<ServerResponse, RequestFailure> {
        let url = format!("http://{server}{path}");
        let key = self.key.as_ref().filter(|_| authorized);
        let bearer = key.map(|key| format!("Bearer {key}"));
        let response = match body {
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
        let mut response = response.map_err(RequestFailure::from)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_BODY_SIZE);
        let body = body.read_to_string().map_err(|error| RequestFailure {
            reason: error.to_string(),
            unsent: false,
        })?;
        Ok(ServerResponse {
            server: server.to_string(),
            status,
            body,
        })
    }
}

/// Tells whether a status means that another server should be tried: 421 and 503, because the
/// request was not executed, and 502 and 504 for requests that only read.
fn is_unavailable(status: u16) -> bool {
    matches!(status, 421 | 502 | 503 | 504)
}

impl From<ureq::Error> for RequestFailure {
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
        RequestFailure {
            reason: error.to_string(),
            unsent,
        }
    }
}

impl ServerResponse {
    /// Parses the body of a successful response.
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
        serde_json::from_str(&self.body).map_err(|e| CliError::InvalidData {
            step: "read the response",
            reason: format!("{}: {e}", self.server),
        })
    }

    /// Returns the step and the reason of a refused request.
    fn reason(&self) -> (String, String) {
        match serde_json::from_str::<ErrorBody>(&self.body) {
            Ok(body) => (body.step.into(), body.error.into()),
            Err(_) => ("answer".into(), format!("HTTP status {}", self.status)),
        }
    }
}
