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
    homes::Layouts, //
};

/// Accepted digests that are kept to recognise resends: 50 days at 1,300 bundles a day, 2 MB.
const MAX_DIGESTS: usize = 65_536;

/// Bundles before the standing one whose content is kept, so that operators can roll back.
const MAX_EARLIER: usize = 32;

/// The standing bundle and the digests of those before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Chain {
    /// Operators that sign the first bundle.
    first: Operators,
    standing: Option<SignedBundle>,
    /// The last bundles before it, the newest last.
    earlier: VecDeque<SignedBundle>,
    /// Digests of the last accepted bundles; the last is the standing one.
    digests: VecDeque<Digest>,
    /// Version of the standing bundle, 0 for none.
    version: u64,
    /// Content of `standing`.
    #[serde(skip)]
    content: Option<Bundle>,
}

/// What became of a submitted bundle.
pub(crate) enum Submitted {
    /// It was accepted before, or is refused.
    Settled(Outcome),
    /// It is accepted now.
    New {
        outcome: Outcome,
        signers: Vec<OperatorName>,
    },
}

impl Chain {
    pub(crate) fn new(first: Operators) -> Self {
        Chain {
            first,
            standing: None,
            earlier: VecDeque::new(),
            digests: VecDeque::new(),
            version: 0,
            content: None,
        }
    }

    pub(crate) fn standing(&self) -> Option<&SignedBundle> {
        self.standing.as_ref()
    }

    /// Returns the accepted bundle with this version, if it is kept.
    pub(crate) fn at(&self, version: u64) -> Option<&SignedBundle> {
        let back = self.version.checked_sub(version)?;
        match usize::try_from(back).ok()? {
            0 => self.standing(),
            back => self.earlier.iter().rev().nth(back - 1),
        }
    }

    pub(crate) fn content(&self) -> Option<&Bundle> {
        self.content.as_ref()
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn digest(&self) -> Option<Digest> {
        self.digests.back().copied()
    }

    /// Returns the operators whose signatures the next bundle needs.
    pub(crate) fn operators(&self) -> &Operators {
        match &self.content {
            Some(bundle) => &bundle.operators,
            None => &self.first,
        }
    }

    /// Accepts `signed` if it follows the standing bundle and enough operators signed it.
    pub(crate) fn submit(&mut self, signed: &SignedBundle, layouts: &Layouts) -> Submitted {
        let digest = signed.digest();
        if let Some(version) = self.accepted(digest) {
            return Submitted::Settled(Outcome::Accepted { version, digest });
        }
        let refuse = |rejection| Submitted::Settled(Outcome::Rejected(rejection));
        let bundle = match decode(&signed.bytes) {
            Ok(bundle) => bundle,
            Err(error) => return refuse(Rejection::Bundle(error.to_string().into())),
        };
        // Before the signatures, so that the loser of a race learns what stands even if the
        // winner replaced the operators.
        if bundle.version != self.version + 1 || bundle.previous != self.digest() {
            return refuse(Rejection::Conflict {
                version: bundle.version,
                standing_version: self.version,
                standing: self.digest(),
            });
        }
        if let Err(error) = signed.verify(self.operators()) {
            return refuse(Rejection::Bundle(error.to_string().into()));
        }
        if let Err(reason) = layouts.check(&bundle) {
            return refuse(Rejection::Bundle(reason));
        }
        let signers = signed.signers(self.operators());
        self.version = bundle.version;
        self.earlier.extend(self.standing.replace(signed.clone()));
        while self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
        self.content = Some(bundle);
        self.digests.push_back(digest);
        while self.digests.len() > MAX_DIGESTS {
            self.digests.pop_front();
        }
        let outcome = Outcome::Accepted {
            version: self.version,
            digest,
        };
        Submitted::New { outcome, signers }
    }

    /// Returns the version under which the bundle with this digest was accepted.
    fn accepted(&self, digest: Digest) -> Option<u64> {
        let back = self.digests.iter().rev().position(|kept| *kept == digest)?;
        Some(self.version - back as u64)
    }

    /// Restores the content after decoding; fails if the parts do not fit each other.
    pub(crate) fn restore(mut self) -> Option<Self> {
        if let Some(signed) = &self.standing {
            let bundle = decode(&signed.bytes).ok()?;
            if bundle.version != self.version || self.digest() != Some(signed.digest()) {
                return None;
            }
            self.content = Some(bundle);
        }
        let count = self.digests.len() as u64;
        let fits = count <= self.version && (count == 0) == self.standing.is_none();
        (fits && (self.version == 0) == (count == 0)).then_some(self)
    }
}

/// How long a cut-off domain may serve the shards of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingBound {
    /// Longest domain lease; none is without end.
    pub lease: Option<Duration>,
    /// Longest deadline of a request.
    pub deadline: Duration,
}
