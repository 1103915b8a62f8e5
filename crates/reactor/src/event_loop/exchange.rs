//! Exchanges with targets, and why they fail.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use crate::held_body::HeldBody;

/// Identifier of an exchange with a target.
pub type ExchangeId = u64;

/// The connection that carries an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Any connection to the address from a pool.
    Pooled {
        /// Largest number of pooled connections to the address.
        limit: usize,
    },
    /// A new connection, which is kept under this number.
    Open(u64),
    /// The connection that was opened under this number. The exchange fails without being sent if
    /// it is closed.
    Kept(u64),
    /// A new connection for this exchange only.
    Single,
}

/// An HTTP exchange with a target: a request and its response.
pub struct Exchange {
    /// Identifier that the result carries.
    pub id: ExchangeId,
    /// Address of the target.
    pub address: SocketAddr,
    /// The encoded request, without a long body.
    pub bytes: Vec<u8>,
    /// The body that follows `bytes`, if it is long.
    pub body: Option<Arc<HeldBody>>,
    /// How the response is recognized.
    pub expected: crate::ExpectedResponse,
    /// The connection that carries it.
    pub connection: ConnectionUse,
    /// When the exchange fails, on the clock of the process.
    pub deadline: Duration,
}

/// What closed a connection or ended an exchange without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection could not be opened.
    Unconnected,
    /// The other side closed or reset the connection.
    Closed,
    /// The network failed: data was not acknowledged, or the address became unreachable.
    Network,
    /// A time limit of this process passed.
    TimedOut,
    /// The other side sent bytes that are not a valid message.
    Invalid,
    /// This process ended it.
    Local,
}

impl FailureCause {
    /// The cause of a failed read or write on an established connection.
    ///
    /// ```
    /// use std::io::ErrorKind;
    /// use camphordale_reactor::FailureCause;
    ///
    /// let cause = FailureCause::from_io(&ErrorKind::ConnectionReset.into());
    /// assert_eq!(cause, FailureCause::Closed);
    /// ```
    pub fn from_io(error: &io::Error) -> FailureCause {
        match error.kind() {
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe => FailureCause::Closed,
            _ => FailureCause::Network,
        }
    }

    /// Name in logs.
    ///
    /// ```
    /// assert_eq!(camphordale_reactor::FailureCause::TimedOut.name(), "timed-out");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            FailureCause::Unconnected => "unconnected",
            FailureCause::Closed => "closed",
            FailureCause::Network => "network",
            FailureCause::TimedOut => "timed-out",
            FailureCause::Invalid => "invalid",
            FailureCause::Local => "local",
        }
    }
}

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    /// Whether any byte of the request may have reached the target.
    pub sent: bool,
    /// Whether any byte was received from the target.
    pub received: bool,
    /// What ended the exchange.
    pub cause: FailureCause,
    /// Description of the failure.
    pub reason: Box<str>,
}

impl ExchangeError {
    /// Whether the target closed or reset the connection after bytes of the request were sent.
    ///
    /// ```
    /// use camphordale_reactor::{ExchangeError, FailureCause};
    ///
    /// let error = ExchangeError {
    ///     sent: true,
    ///     received: false,
    ///     cause: FailureCause::Closed,
    ///     reason: "connection reset".into(),
    /// };
    /// assert!(error.closed_by_target());
    /// ```
    pub fn closed_by_target(&self) -> bool {
        self.sent && self.cause == FailureCause::Closed
    }
}
