//! Whether the routing of a VM is the newest one.
//!
//! A caller does not come back after a refusal such as 404, so this VM gives one only if no change of
//! the routing can be in force that it has not adopted. The leader sends the notice of a change before
//! its reply to a later ping, so a reply shows that all changes up to the sending of the ping are known.

use std::time::Duration;

use camphordale_fleet::{
    ContentKind,
    ContentRef,
    Version, //
};

use crate::entry::READINESS_DETECTION_TIME;

/// Time after its acknowledgement in which a change of the routing is in force at every VM.
const CHANGE_TIME: Duration = Duration::from_millis(2000);
/// Longest time to the acknowledgement of a change.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(4000);
/// Longest time for which a leader that was replaced replies to pings: until it notices that it hears
/// from no majority, which takes two election timeouts.
const FORMER_LEADER_TIME: Duration = Duration::from_millis(700);
/// Age of a confirmation after which a change may be in force of which this VM was not told.
const MAX_CONFIRMATION_AGE: Duration = CHANGE_TIME.saturating_sub(FORMER_LEADER_TIME);
/// Time without progress after which a VM that is behind the others should get no new callers.
const MAX_TIME_BEHIND: Duration = ACKNOWLEDGEMENT_TIME.saturating_add(CHANGE_TIME);
/// Time in which a new leader is elected and streams to this VM.
const LEADER_CHANGE_TIME: Duration = Duration::from_millis(1300);
/// Shortest suggested retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Knowledge of a VM about the age of its routing.
///
/// ```
/// use std::time::Duration;
/// use camphordale_entry::RoutingCertainty;
///
/// let ms = Duration::from_millis;
/// let mut certainty = RoutingCertainty::default();
/// certainty.adopt(3, ms(1000));
/// assert!(!certainty.is_sure(ms(1000)), "the leader has not confirmed it");
/// certainty.confirm(ms(1000));
/// assert!(certainty.is_sure(ms(2200)));
/// assert!(!certainty.is_sure(ms(2300)), "the confirmation is too old");
/// ```
#[derive(Debug, Default)]
pub struct RoutingCertainty {
    /// Version of the routing in force.
    version: Version,
    /// Newest version that the leader told of.
    newest: Version,
    /// When the last ping was sent to which the leader replied.
    confirmed_at: Option<Duration>,
    /// Since when a newer version has been missing, or when the last version was adopted that is not
    /// the newest one.
    behind_since: Option<Duration>,
}

impl RoutingCertainty {
    /// Records that the leader told of a content.
    pub fn learn(&mut self, content: &ContentRef, now: Duration) {
        if let ContentKind::Change { version, .. } = content.kind {
            self.newest = self.newest.max(version);
        }
        if self.newest > self.version {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that the routing of a version is in force.
    pub fn adopt(&mut self, version: Version, now: Duration) {
        self.version = version;
        self.newest = self.newest.max(version);
        self.behind_since = (self.newest > version).then_some(now);
    }

    /// Records the reply to a ping that was sent at `sent`, on an established stream.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// When the last ping was sent to which the leader replied; zero if it has replied to none.
    pub fn confirmed_at(&self) -> Duration {
        self.confirmed_at.unwrap_or_default()
    }

    /// Whether no newer routing can be in force, as long as the stream is established.
    pub fn is_sure(&self, now: Duration) -> bool {
        let is_recent = |at| now.saturating_sub(at) < MAX_CONFIRMATION_AGE;
        self.newest <= self.version && self.confirmed_at.is_some_and(is_recent)
    }

    /// Whether a newer routing has been missing for so long that the other VMs should have it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use camphordale_entry::RoutingCertainty;
    /// use camphordale_fleet::{Change, Content};
    ///
    /// # let change = Change {
    /// #     base_version: 3,
    /// #     version: 4,
    /// #     replace_all: false,
    /// #     routes: Vec::new(),
    /// #     services: Vec::new(),
    /// #     limits: None,
    /// #     removed_routes: Vec::new(),
    /// #     removed_services: Vec::new(),
    /// #     digest: [0; 16],
    /// #     received_ms: 0,
    /// # };
    /// // A change from version 3 to version 4.
    /// let content = Content::of_change(&change)?;
    /// let mut certainty = RoutingCertainty::default();
    /// certainty.adopt(3, Duration::ZERO);
    /// certainty.learn(&content.about(), Duration::from_secs(1));
    /// assert!(!certainty.is_overdue(Duration::from_secs(2)));
    /// assert!(certainty.is_overdue(Duration::from_secs(7)));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn is_overdue(&self, now: Duration) -> bool {
        let behind = self.behind_since.map(|since| now.saturating_sub(since));
        behind.is_some_and(|behind| behind >= MAX_TIME_BEHIND)
    }
}

/// Suggested delay until a VM can tell what its newest routing allows. `missing` is the time that the
/// transfer of its content still takes, if one is in progress, and `silence` the time since the leader
/// was last heard from.
///
/// ```
/// use std::time::Duration;
/// use camphordale_entry::unsure_retry_after;
///
/// let ms = Duration::from_millis;
/// assert_eq!(unsure_retry_after(Some(ms(800)), ms(100)), ms(800));
/// assert_eq!(unsure_retry_after(None, ms(900)), ms(400), "until there is a new leader");
/// assert_eq!(unsure_retry_after(None, ms(9000)), ms(2000), "until callers are sent elsewhere");
/// ```
pub fn unsure_retry_after(missing: Option<Duration>, silence: Duration) -> Duration {
    let until_leader = LEADER_CHANGE_TIME.checked_sub(silence);
    let delay = missing.or(until_leader).unwrap_or(READINESS_DETECTION_TIME);
    delay.max(MIN_RETRY_AFTER)
}
