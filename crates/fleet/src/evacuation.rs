//! Evacuation of failure domains: the operator's orders, and how they are stored and sent.
//!
//! Nothing is sent to the targets of an evacuated domain. The orders are part of the replicated
//! state and of the [`View`], so control VMs and entry VMs act on the same record.
//!
//! The encodings of [`State`](crate::State) and of
//! [`PeerMessage::Snapshot`](crate::PeerMessage::Snapshot) have the record at their very end, and
//! only if there is any. Earlier versions ignore what follows the end of a value, and this version
//! reads its absence as no evacuation. The derived encoding of [`View`] lacks the record, because
//! the view is the first field of the state.

use std::{
    collections::BTreeMap,
    fmt,
    marker::PhantomData, //
};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer,
    de::{
        Error as _,
        SeqAccess,
        Visitor, //
    },
    ser::SerializeTuple,
};

use crate::{
    routing::Domain,
    state::{
        Outcome,
        View, //
    },
};

/// First byte of the record in an encoding. Other values are of later versions.
const RECORD_TAG: u8 = 1;

/// An operator's order about a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationOrder {
    /// Send nothing more to the targets of the domain.
    Start,
    /// Send to them again.
    End,
}

/// The last order about a failure domain that took effect, with the index of its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Evacuation {
    Started { index: u64 },
    Ended { index: u64 },
}

/// The evacuations that operators have ordered, by failure domain. Those that have ended are kept,
/// so that a repeated order to end one is acknowledged again.
///
/// ```
/// use camphordale_fleet::{Evacuations, EvacuationOrder, Outcome};
///
/// let mut evacuations = Evacuations::default();
/// let domain = "a".into();
/// assert_eq!(evacuations.apply(4, &domain, EvacuationOrder::End), Outcome::NotEvacuated);
/// assert_eq!(evacuations.apply(5, &domain, EvacuationOrder::Start), Outcome::Done);
/// assert!(evacuations.contains("a"));
/// assert_eq!(evacuations.apply(6, &domain, EvacuationOrder::End), Outcome::Done);
/// assert_eq!(evacuations.apply(7, &domain, EvacuationOrder::End), Outcome::Repeated);
/// assert_eq!(evacuations.ended_at("a"), Some(6));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations(BTreeMap<Domain, Evacuation>);

impl Evacuations {
    /// Whether a domain is evacuated.
    pub fn contains(&self, domain: &str) -> bool {
        matches!(self.0.get(domain), Some(Evacuation::Started { .. }))
    }

    /// The evacuated domains.
    pub fn evacuated(&self) -> impl Iterator<Item = &Domain> {
        let started = |(_, last): &(&Domain, &Evacuation)| {
            matches!(last, Evacuation::Started { .. }) //
        };
        self.0.iter().filter(started).map(|(domain, _)| domain)
    }

    /// Whether an evacuation of a domain was ever ordered.
    pub fn knows(&self, domain: &str) -> bool {
        self.0.contains_key(domain)
    }

    /// Index of the command that ended the evacuation of a domain, unless it was evacuated again.
    pub fn ended_at(&self, domain: &str) -> Option<u64> {
        match self.0.get(domain) {
            Some(Evacuation::Ended { index }) => Some(*index),
            Some(Evacuation::Started { .. }) | None => None,
        }
    }

    /// Index of the last command about a domain that took effect.
    pub fn changed_at(&self, domain: &str) -> Option<u64> {
        match self.0.get(domain)? {
            Evacuation::Started { index } | Evacuation::Ended { index } => Some(*index),
        }
    }

    /// Applies the order in the command at `index`.
    pub fn apply(&mut self, index: u64, domain: &Domain, order: EvacuationOrder) -> Outcome {
        let next = match (order, self.0.get(domain)) {
            (EvacuationOrder::Start, Some(Evacuation::Started { .. }))
            | (EvacuationOrder::End, Some(Evacuation::Ended { .. })) => return Outcome::Repeated,
            (EvacuationOrder::End, None) => return Outcome::NotEvacuated,
            (EvacuationOrder::Start, _) => Evacuation::Started { index },
            (EvacuationOrder::End, _) => Evacuation::Ended { index },
        };
        self.0.insert(domain.clone(), next);
        Outcome::Done
    }
}

impl View {
    /// Whether the operator has ordered that nothing is sent to the targets of a failure domain.
    ///
    /// ```
    /// assert!(!camphordale_fleet::View::default().is_evacuated("a"));
    /// ```
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.contains(domain)
    }

    /// Whether the target with this id is in an evacuated domain.
    pub(crate) fn is_in_evacuated_domain(&self, id: &str) -> bool {
        if self.evacuations.0.is_empty() {
            return false;
        }
        let target = self.targets.get(id);
        target.is_some_and(|target| self.is_evacuated(&target.domain))
    }
}

/// Encodes `body`, and the record after it if it is not empty.
pub(crate) fn serialize_after<Body, Sink>(
    body: &Body,
    evacuations: &Evacuations,
    serializer: Sink,
) -> Result<Sink::Ok, Sink::Error>
where
    Body: Serialize,
    Sink: Serializer,
{
    let is_empty = evacuations.0.is_empty();
    let mut tuple = serializer.serialize_tuple(if is_empty { 1 } else { 3 })?;
    tuple.serialize_element(body)?;
    if !is_empty {
        tuple.serialize_element(&RECORD_TAG)?;
        tuple.serialize_element(evacuations)?;
    }
    tuple.end()
}

/// Decodes what [`serialize_after`] encoded. A body that ends the input has no record.
pub(crate) fn deserialize_after<'de, Body, Source>(
    deserializer: Source,
) -> Result<(Body, Evacuations), Source::Error>
where
    Body: Deserialize<'de>,
    Source: Deserializer<'de>,
{
    struct WithRecord<Body>(PhantomData<Body>);

    impl<'de, Body> Visitor<'de> for WithRecord<Body>
    where
        Body: Deserialize<'de>,
    {
        type Value = (Body, Evacuations);

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            formatter.write_str("a value and the evacuations after it")
        }

        fn visit_seq<Elements>(self, mut elements: Elements) -> Result<Self::Value, Elements::Error>
        where
            Elements: SeqAccess<'de>,
        {
            let missing = || Elements::Error::custom("the encoding is incomplete");
            let body = elements.next_element()?.ok_or_else(missing)?;
            // One byte can only be missing, not malformed.
            let evacuations = match elements.next_element::<u8>() {
                Ok(Some(RECORD_TAG)) => elements.next_element()?.ok_or_else(missing)?,
                Ok(Some(_)) => return Err(Elements::Error::custom("an unknown record")),
                Ok(None) | Err(_) => Evacuations::default(),
            };
            Ok((body, evacuations))
        }
    }

    deserializer.deserialize_tuple(3, WithRecord(PhantomData))
}

/// Encoding of the view as it is sent to entry VMs.
pub(crate) mod sent_view {
    use super::{
        Deserializer,
        Serializer,
        View,
        deserialize_after,
        serialize_after, //
    };

    pub(crate) fn serialize<Sink>(view: &View, serializer: Sink) -> Result<Sink::Ok, Sink::Error>
    where
        Sink: Serializer,
    {
        serialize_after(view, &view.evacuations, serializer)
    }

    pub(crate) fn deserialize<'de, Source>(deserializer: Source) -> Result<Box<View>, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        let (mut view, evacuations): (Box<View>, _) = deserialize_after(deserializer)?;
        view.evacuations = evacuations;
        Ok(view)
    }
}
