//! Messages between VMs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use camphordale_raft::{
    MemberId,
    Message, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    keys::Key,
    registry::TargetId,
    routing::{
        Domain,
        ServiceName, //
    },
    state::{
        Command,
        View, //
    },
};

/// A control VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Id in the Raft group; a lost disk gives a new one.
    pub id: MemberId,
    /// Address for messages between VMs.
    pub peer: SocketAddr,
    /// Address for operators and targets.
    pub control: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
}

/// Requests for one key since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The service.
    pub service: ServiceName,
    /// All keyed requests of the service, counted.
    pub total: u32,
    /// Keys drawn from these requests, each with the same chance.
    pub sample: Vec<Key>,
}

/// Times of answers of one target since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetTimes {
    /// The target.
    pub id: TargetId,
    /// Answers.
    pub count: u32,
    /// Sum of their times in milliseconds, without the waits that the load explains.
    pub millis: u32,
}

/// How many entry VMs share the targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Entry VMs with a live stream.
    pub all: u32,
    /// Those in the failure domain of the receiver.
    pub domain: u32,
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between members of the control group.
    Raft {
        /// The sender.
        from: MemberId,
        /// The recipient. A VM that lost its disk must not take what was meant for its former id.
        to: MemberId,
        /// The message.
        message: Message,
    },
    /// Control VMs that the sender knows.
    MemberList(Vec<Member>),
    /// A control VM wants to take part; passed on to the leader.
    Join(Member),
    /// An entry VM wants the view from the leader.
    Subscribe {
        /// Random id of the process.
        entry: u64,
        /// Failure domain of the entry VM.
        domain: Domain,
        /// Index of the view that it has.
        index: u64,
    },
    /// The receiver of [`PeerMessage::Subscribe`] does not lead.
    NotLeader {
        /// Where the leader takes streams, if known.
        leader: Option<SocketAddr>,
    },
    /// The whole view.
    Snapshot(Box<View>),
    /// One command of the state machine.
    Update {
        /// Index of the command.
        index: u64,
        /// The command.
        command: Box<Command>,
    },
    /// A change of holder began, or is over: it is not in the log, because it only saves entry VMs
    /// requests that a target would send away.
    Handover {
        /// The service.
        service: ServiceName,
        /// First key.
        from: Key,
        /// Last key.
        to: Key,
        /// Whether the next holder has the keys now. Otherwise the former one is releasing them.
        done: bool,
    },
    /// An entry VM is alive and has the view of `index`.
    Ping {
        /// Time of sending by the sender's clock.
        sent: Duration,
        /// Index of the view.
        index: u64,
        /// Requests for keys since the last ping.
        load: Vec<KeyLoad>,
        /// Times of targets that hold keys.
        times: Vec<TargetTimes>,
    },
    /// Answers a ping.
    Pong {
        /// Copied from the ping.
        sent: Duration,
        /// How many entry VMs share the targets.
        share: Share,
    },
}

impl PeerMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Those of `postcard`, for a message that has no encoding.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Those of `postcard`, for bytes that are no message.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_fleet::PeerMessage;
    ///
    /// let message = PeerMessage::NotLeader { leader: None };
    /// assert_eq!(PeerMessage::decode(&message.encode()?)?, message);
    /// # Ok::<(), postcard::Error>(())
    /// ```
    pub fn decode(bytes: &[u8]) -> Result<PeerMessage, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
