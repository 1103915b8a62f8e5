//! The chain of accepted bundles.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use camphordale_bundle::{
    SignedBundle,
    decode, //
};
use camphordale_types::{
    Bundle,
    Digest,
    OperatorName,
    Operators, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Outcome,
    Rejection,
    homes::ServiceHistories, //
};

/// Number of accepted digests that are kept to detect resubmissions. At 1,300 bundles a day they
/// cover 50 days and take 2 MB.
const MAX_RECENT_DIGESTS: usize = 65_536;

/// Number of bundles before the latest one whose content is kept, so that operators can roll back.
const MAX_EARLIER_BUNDLES: usize = 32;

/// The latest bundle and the digests of its predecessors.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BundleChain {
    /// Operators that sign the first bundle.
    initial_operators: Operators,
    latest: Option<SignedBundle>,
    /// The most recent bundles before it, newest last.
    earlier: VecDeque<SignedBundle>,
    /// Digests of the most recently accepted bundles; the last is that of `latest`.
    recent_digests: VecDeque<Digest>,
    /// Version of the latest bundle; 0 if there is none.
    version: u64,
    /// Content of `latest`.
    #[serde(skip)]
    bundle: Option<Bundle>,
}

/// Result of a submission.
pub(crate) enum Submission {
    /// The bundle was accepted before, or it was refused.
    Unchanged(Outcome),
    /// The bundle was accepted now.
    Accepted {
        outcome: Outcome,
        signers: Vec<OperatorName>,
    },
}

impl BundleChain {
    pub(crate) fn new(initial_operators: Operators) -> Self {
        BundleChain {
            initial_operators,
            latest: None,
            earlier: VecDeque::new(),
            recent_digests: VecDeque::new(),
            version: 0,
            bundle: None,
        }
    }

    pub(crate) fn latest(&self) -> Option<&SignedBundle> {
        self.latest.as_ref()
    }

    /// Returns the accepted bundle with this version, if it is still kept.
    pub(crate) fn signed_at(&self, version: u64) -> Option<&SignedBundle> {
        let age = self.version.checked_sub(version)?;
        match usize::try_from(age).ok()? {
            0 => self.latest(),
            age => self.earlier.iter().rev().nth(age - 1),
        }
    }

    pub(crate) fn bundle(&self) -> Option<&Bundle> {
        self.bundle.as_ref()
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn digest(&self) -> Option<Digest> {
        self.recent_digests.back().copied()
    }

    /// Returns the operators that must sign the next bundle.
    pub(crate) fn operators(&self) -> &Operators {
        match &self.bundle {
            Some(bundle) => &bundle.operators,
            None => &self.initial_operators,
        }
    }

    /// Accepts `signed` if it follows the latest bundle and enough operators signed it.
    pub(crate) fn submit(
        &mut self,
        signed: &SignedBundle,
        histories: &ServiceHistories,
    ) -> Submission {
        let digest = signed.digest();
        if let Some(version) = self.accepted_version(digest) {
            return Submission::Unchanged(Outcome::Accepted { version, digest });
        }
        let refuse = |rejection| Submission::Unchanged(Outcome::Rejected(rejection));
        let bundle = match decode(&signed.bytes) {
            Ok(bundle) => bundle,
            Err(error) => return refuse(Rejection::Bundle(error.to_string().into())),
        };
        // Checked before the signatures, so that the loser of a race learns the latest version even
        // if the winner replaced the operators.
        if bundle.version != self.version + 1 || bundle.previous != self.digest() {
            return refuse(Rejection::Conflict {
                version: bundle.version,
                latest_version: self.version,
                latest_digest: self.digest(),
            });
        }
        if let Err(error) = signed.verify(self.operators()) {
            return refuse(Rejection::Bundle(error.to_string().into()));
        }
        if let Err(reason) = histories.check(&bundle) {
            return refuse(Rejection::Bundle(reason));
        }
        let signers = signed.signers(self.operators());
        self.version = bundle.version;
        self.earlier.extend(self.latest.replace(signed.clone()));
        while self.earlier.len() > MAX_EARLIER_BUNDLES {
            self.earlier.pop_front();
        }
        self.bundle = Some(bundle);
        self.recent_digests.push_back(digest);
        while self.recent_digests.len() > MAX_RECENT_DIGESTS {
            self.recent_digests.pop_front();
        }
        let outcome = Outcome::Accepted {
            version: self.version,
            digest,
        };
        Submission::Accepted { outcome, signers }
    }

    /// Returns the version under which the bundle with this digest was accepted.
    fn accepted_version(&self, digest: Digest) -> Option<u64> {
        let age = self
            .recent_digests
            .iter()
            .rev()
            .position(|kept| *kept == digest)?;
        Some(self.version - age as u64)
    }

    /// Restores the content after decoding; returns `None` if the fields are inconsistent.
    pub(crate) fn restore(mut self) -> Option<Self> {
        if let Some(signed) = &self.latest {
            let bundle = decode(&signed.bytes).ok()?;
            if bundle.version != self.version || self.digest() != Some(signed.digest()) {
                return None;
            }
            self.bundle = Some(bundle);
        }
        let count = self.recent_digests.len() as u64;
        let consistent = count <= self.version && (count == 0) == self.latest.is_none();
        (consistent && (self.version == 0) == (count == 0)).then_some(self)
    }
}

/// Bound on how long a partitioned domain may keep serving the shards of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingBound {
    /// Longest domain lease; `None` means without limit.
    pub lease: Option<Duration>,
    /// Longest time limit of a request.
    pub deadline: Duration,
}
