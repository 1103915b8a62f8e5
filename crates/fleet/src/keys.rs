//! Key ranges and their holders.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::registry::Holder;

/// A key.
pub type Key = u16;
/// Opaque data that the previous holder of a key range passes to the next one.
pub type HandoverData = Box<str>;

/// A key range with one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// The target that holds the keys, if any.
    pub holder: Option<Holder>,
    /// Handover data from the previous holder.
    pub handover: Option<HandoverData>,
}

impl KeyRange {
    /// Number of keys.
    pub fn width(&self) -> u32 {
        u32::from(self.to) - u32::from(self.from) + 1
    }
}

/// Holders of all keys of one service: key ranges in order, without gaps or overlaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMap(Vec<KeyRange>);

impl Default for KeyMap {
    fn default() -> Self {
        KeyMap(vec![KeyRange {
            from: 0,
            to: Key::MAX,
            holder: None,
            handover: None,
        }])
    }
}

impl KeyMap {
    /// The ranges in key order.
    pub fn ranges(&self) -> &[KeyRange] {
        &self.0
    }

    /// The range that contains `key`.
    ///
    /// ```
    /// use camphordale_fleet::{KeyMap, KeyRange};
    ///
    /// let mut map = KeyMap::default();
    /// map.assign(KeyRange { from: 10, to: 20, holder: None, handover: Some("h".into()) });
    /// assert_eq!(map.find(15).from, 10);
    /// assert_eq!(map.find(21).from, 21);
    /// ```
    pub fn find(&self, key: Key) -> &KeyRange {
        let at = self.0.partition_point(|range| range.to < key);
        &self.0[at]
    }

    /// The ranges that overlap `from..=to`, in key order.
    pub fn overlapping(&self, from: Key, to: Key) -> impl Iterator<Item = &KeyRange> {
        let overlaps = move |range: &&KeyRange| range.from <= to && range.to >= from;
        self.0.iter().filter(overlaps)
    }

    /// First and last keys of the ranges without a holder, in key order.
    ///
    /// ```
    /// use camphordale_fleet::{Holder, KeyMap, KeyRange};
    ///
    /// let mut map = KeyMap::default();
    /// let holder = Some(Holder { id: "a".into(), incarnation: 1 });
    /// map.assign(KeyRange { from: 10, to: 20, holder, handover: None });
    /// assert_eq!(map.unassigned(), [(0, 9), (21, u16::MAX)]);
    /// ```
    pub fn unassigned(&self) -> Vec<(Key, Key)> {
        let without_holder = self.0.iter().filter(|range| range.holder.is_none());
        without_holder.map(|range| (range.from, range.to)).collect()
    }

    /// Inserts `range` in place of the present ranges of its keys. A range that overlaps it only
    /// partly keeps its other keys.
    pub fn assign(&mut self, range: KeyRange) {
        let mut next = Vec::with_capacity(self.0.len() + 2);
        let mut placed = Some(range.clone());
        for old in self.0.drain(..) {
            if old.from < range.from {
                next.push(KeyRange {
                    to: old.to.min(range.from - 1),
                    ..old.clone()
                });
            }
            if old.to >= range.from
                && let Some(range) = placed.take()
            {
                next.push(range);
            }
            if old.to > range.to {
                next.push(KeyRange {
                    from: old.from.max(range.to + 1),
                    ..old
                });
            }
        }
        self.0 = next;
    }

    /// Number of keys assigned to `holder`.
    pub fn width_of(&self, holder: &Holder) -> u32 {
        self.0
            .iter()
            .filter(|range| range.holder.as_ref() == Some(holder))
            .map(KeyRange::width)
            .sum()
    }
}
