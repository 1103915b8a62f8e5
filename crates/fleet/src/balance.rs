//! Which ranges of keys should move, and where to.
//!
//! The input is a sample of recent keys, so a range weighs as much as the requests for it. Moves
//! are few and narrow: each moved key is unavailable for a moment. Holders that have room keep
//! what they have.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    keys::{
        Key,
        KeyRange, //
    },
    registry::Holder,
};

/// A holder above this multiple of its fair load gives keys away.
const HIGH: f64 = 1.25;
/// A holder below this multiple of its fair load takes keys.
const LOW: f64 = 0.95;
/// A load counts as high only if it lies this many standard deviations of its sample above the
/// fair one.
const DEVIATIONS: f64 = 3.0;
/// Least sample on which load is balanced.
const MIN_SAMPLE: usize = 30;
/// Part of the whole load that is spread evenly over all keys, so that unsampled keys weigh too.
const EVEN_PART: f64 = 0.1;
/// A key that alone is this part of its holder's fair load is kept apart from other keys.
const HOT_PART: f64 = 0.9;
/// A key that alone is this part of its holder's fair load may be becoming hot: it does not move to
/// relieve its holder, because only a stronger target could carry it.
const WARM_PART: f64 = 0.4;
/// A hot key leaves its holder if another target can carry this multiple of what the holder can.
const STRONGER: f64 = 1.25;
/// A holder whose load is below this part of its capacity is not relieved: its requests hardly
/// wait, and a move would make them.
const BUSY_USE: f64 = 0.5;
/// A hot key that takes less than this part of its holder's capacity stays there.
const HOT_USE: f64 = 0.7;
/// Multiple of its fair load up to which a target takes keys from the holder of a hot key.
const ROOM: f64 = 1.2;
/// Least part of a range that moves at a time.
const LEAST_PART: f64 = 0.2;
/// Most moves in one plan.
const MAX_MOVES: usize = 6;
/// Keys of the whole range.
const ALL_KEYS: f64 = 65536.0;

/// A target that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub holder: Holder,
    /// Requests that it can carry in a second.
    pub capacity: f64,
    /// Whether it may take more keys.
    pub takes: bool,
}

/// Recent requests for the keys of one service.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// A sample of their keys, in any order.
    pub sample: &'a [Key],
    /// Requests in a second.
    pub rate: f64,
}

/// A range that should go to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// The next holder.
    pub next: Holder,
}

struct Loads {
    /// The spans, with the moves of this plan carried out.
    ranges: Vec<KeyRange>,
    sample: Vec<Key>,
    key_weight: f64,
    width_weight: f64,
    /// All requests in a second, as a part of all that the takers can carry.
    use_of_all: f64,
    load: BTreeMap<Holder, f64>,
    fair: BTreeMap<Holder, f64>,
}

/// Divides all keys evenly among the candidates by their capacity.
///
/// ```
/// use camphordale_fleet::{Holder, balance::{Candidate, divide}};
///
/// let candidate = |id: &str| Candidate {
///     holder: Holder { id: id.into(), incarnation: 1 },
///     capacity: 1.0,
///     takes: true,
/// };
/// let moves = divide(&[candidate("a"), candidate("b")]);
/// assert_eq!((moves[0].to, moves[1].from), (32767, 32768));
/// ```
pub fn divide(candidates: &[Candidate]) -> Vec<Move> {
    let takers: Vec<&Candidate> = candidates.iter().filter(|c| c.takes).collect();
    let sum: f64 = takers.iter().map(|c| c.capacity).sum();
    let mut out = Vec::new();
    let mut from = 0.0;
    for (at, candidate) in takers.iter().enumerate() {
        let to = match at + 1 == takers.len() {
            true => ALL_KEYS,
            false => (from + ALL_KEYS * candidate.capacity / sum).floor(),
        };
        if to > from {
            out.push(Move {
                from: from as Key,
                to: (to - 1.0) as Key,
                next: candidate.holder.clone(),
            });
        }
        from = to;
    }
    out
}

/// Returns the moves that should begin now. `ranges` are those of one service that are not on the
/// move.
///
/// ```
/// use camphordale_fleet::{Holder, KeyRange, balance::{Candidate, Demand, plan}};
///
/// let holder = |id: &str| Holder { id: id.into(), incarnation: 1 };
/// let candidate = |id: &str, takes| Candidate { holder: holder(id), capacity: 30.0, takes };
/// let range = KeyRange { from: 0, to: u16::MAX, holder: Some(holder("a")), handover: None };
/// let moves = plan(
///     &[range],
///     &[candidate("a", false), candidate("b", true)],
///     &Demand { sample: &[], rate: 0.0 },
/// );
/// assert_eq!(moves[0].next, holder("b"));
/// ```
pub fn plan(ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand<'_>) -> Vec<Move> {
    let mut loads = Loads::new(ranges, candidates, demand);
    let mut out = loads.leaving(candidates);
    for _ in out.len()..MAX_MOVES {
        match loads.next_move(candidates, demand.sample.len() >= MIN_SAMPLE) {
            Some((donor, found)) => {
                loads.shift(&donor, &found);
                out.push(found);
            }
            None => break,
        }
    }
    out
}

/// The holders that one key alone keeps busy.
pub fn hot_holders(
    ranges: &[KeyRange],
    candidates: &[Candidate],
    demand: &Demand<'_>,
) -> BTreeSet<Holder> {
    let loads = Loads::new(ranges, candidates, demand);
    let holders = candidates.iter().filter(|c| c.takes).map(|c| &c.holder);
    let hot = holders.filter(|holder| loads.hot_key(holder).is_some());
    hot.cloned().collect()
}

/// Picks the candidate that carries the least load for its capacity.
pub fn heir(ranges: &[KeyRange], candidates: &[Candidate], sample: &[Key]) -> Option<Holder> {
    let demand = Demand { sample, rate: 0.0 };
    Loads::new(ranges, candidates, &demand).least(candidates)
}

impl Loads {
    fn new(ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand<'_>) -> Loads {
        let sample = demand.sample;
        let mut sorted = sample.to_vec();
        sorted.sort_unstable();
        let sampled = if sample.is_empty() {
            0.0
        } else {
            (1.0 - EVEN_PART) / sample.len() as f64
        };
        let even = if sample.is_empty() { 1.0 } else { EVEN_PART };
        let mut loads = Loads {
            ranges: ranges.to_vec(),
            sample: sorted,
            key_weight: sampled,
            width_weight: even / ALL_KEYS,
            use_of_all: 0.0,
            load: BTreeMap::new(),
            fair: BTreeMap::new(),
        };
        let takers = candidates.iter().filter(|c| c.takes);
        let sum: f64 = takers.clone().map(|c| c.capacity).sum();
        loads.use_of_all = demand.rate / sum.max(f64::MIN_POSITIVE);
        for candidate in takers {
            let fair = candidate.capacity / sum;
            loads.fair.insert(candidate.holder.clone(), fair);
            loads.load.insert(candidate.holder.clone(), 0.0);
        }
        for range in ranges {
            if let Some(holder) = &range.holder {
                *loads.load.entry(holder.clone()).or_default() +=
                    loads.weight(range.from, range.to);
            }
        }
        loads
    }

    fn count(&self, from: Key, to: Key) -> usize {
        let start = self.sample.partition_point(|key| *key < from);
        let end = self.sample.partition_point(|key| *key <= to);
        end - start
    }

    fn weight(&self, from: Key, to: Key) -> f64 {
        let width = f64::from(to) - f64::from(from) + 1.0;
        self.count(from, to) as f64 * self.key_weight + width * self.width_weight
    }

    fn ratio(&self, holder: &Holder) -> f64 {
        let fair = self.fair.get(holder).copied().unwrap_or(f64::MIN_POSITIVE);
        self.load.get(holder).copied().unwrap_or(0.0) / fair
    }

    /// The part of its capacity that a holder uses for a load, which is a part of all requests.
    fn use_of(&self, holder: &Holder, load: f64) -> f64 {
        let fair = self.fair.get(holder).copied().unwrap_or(f64::MIN_POSITIVE);
        load / fair * self.use_of_all
    }

    fn least(&self, candidates: &[Candidate]) -> Option<Holder> {
        let takers = candidates.iter().filter(|c| c.takes);
        let least = takers.min_by(|a, b| self.ratio(&a.holder).total_cmp(&self.ratio(&b.holder)));
        least.map(|candidate| candidate.holder.clone())
    }

    /// Whole spans of holders that may not keep them.
    fn leaving(&mut self, candidates: &[Candidate]) -> Vec<Move> {
        let mut out = Vec::new();
        for range in self.ranges.clone() {
            let Some(holder) = &range.holder else {
                continue;
            };
            let leaves = candidates.iter().any(|c| c.holder == *holder && !c.takes);
            if !leaves {
                continue;
            }
            let Some(next) = self.least(candidates) else {
                break;
            };
            let found = Move {
                from: range.from,
                to: range.to,
                next,
            };
            self.shift(holder, &found);
            out.push(found);
        }
        out
    }

    fn shift(&mut self, donor: &Holder, found: &Move) {
        let weight = self.weight(found.from, found.to);
        *self.load.entry(donor.clone()).or_default() -= weight;
        *self.load.entry(found.next.clone()).or_default() += weight;
        let mut next = Vec::with_capacity(self.ranges.len() + 2);
        for range in self.ranges.drain(..) {
            // Parts before, within and after the range that moves.
            let (from, to) = (range.from.max(found.from), range.to.min(found.to));
            if from > to {
                next.push(range);
                continue;
            }
            if range.from < from {
                next.push(KeyRange {
                    to: from - 1,
                    ..range.clone()
                });
            }
            next.push(KeyRange {
                from,
                to,
                holder: Some(found.next.clone()),
                handover: None,
            });
            if range.to > to {
                next.push(KeyRange {
                    from: to + 1,
                    ..range
                });
            }
        }
        self.ranges = next;
    }

    /// The move that relieves the holder with the highest load that can be relieved. A candidate
    /// without keys gets some in any case.
    fn next_move(&self, candidates: &[Candidate], sampled: bool) -> Option<(Holder, Move)> {
        let taker = self.least(candidates)?;
        let is_new = self.ratio(&taker) == 0.0;
        if !is_new && (!sampled || self.ratio(&taker) > LOW) {
            return None;
        }
        let donors = candidates.iter().filter(|c| c.takes && c.holder != taker);
        let mut donors: Vec<&Holder> = donors.map(|c| &c.holder).collect();
        donors.sort_by(|a, b| self.ratio(b).total_cmp(&self.ratio(a)));
        donors.into_iter().find_map(|donor| {
            let found = match is_new {
                true => self.share_out(donor, &taker, sampled),
                false => self.relieve(donor, &taker, candidates),
            };
            found.map(|found| (donor.clone(), found))
        })
    }

    /// A part of a donor's keys for a target that has none. A hot key stays where it is.
    fn share_out(&self, donor: &Holder, taker: &Holder, sampled: bool) -> Option<Move> {
        if self.hot_key(donor).is_some() {
            return None;
        }
        let half = self.load.get(donor)? / 2.0;
        let wanted = self.fair.get(taker)?.min(half);
        let found = match sampled {
            true => self.narrowest(donor, wanted, None),
            false => None,
        };
        let (from, to) = found.or_else(|| self.part_of_widest(donor, wanted))?;
        let next = taker.clone();
        Some(Move { from, to, next })
    }

    /// A part of the keys of a busy donor for the target with the least load.
    fn relieve(&self, donor: &Holder, taker: &Holder, candidates: &[Candidate]) -> Option<Move> {
        let high = self.ratio(donor);
        if !self.is_high(donor, high) {
            return None;
        }
        if let Some(key) = self.hot_key(donor) {
            return self.isolate(donor, key, candidates);
        }
        let over = (high - 1.0) * self.fair.get(donor)?;
        let under = (1.0 - self.ratio(taker)) * self.fair.get(taker)?;
        // Where one key is most of the load there is no such range, and a cut by width would take
        // the key along by chance.
        let (load, key) = self.hottest(donor);
        let kept = (load > WARM_PART * self.fair.get(donor)?).then_some(key);
        let (from, to) = self.narrowest(donor, over.min(under), kept)?;
        let next = taker.clone();
        Some(Move { from, to, next })
    }

    /// The part of all requests that is for the hottest key of a holder, and the key.
    fn hottest(&self, holder: &Holder) -> (f64, Key) {
        let mut best = (0, 0);
        for range in self.own_ranges(holder) {
            let start = self.sample.partition_point(|key| *key < range.from);
            let end = self.sample.partition_point(|key| *key <= range.to);
            for run in self.sample[start..end].chunk_by(|a, b| a == b) {
                best = best.max((run.len(), run[0]));
            }
        }
        let (count, key) = best;
        (count as f64 * self.key_weight, key)
    }

    /// The key of a holder that alone is about its fair load and keeps it busy, if there is one.
    fn hot_key(&self, holder: &Holder) -> Option<Key> {
        let fair = self.fair.get(holder)?;
        let (load, key) = self.hottest(holder);
        (load > HOT_PART * fair && self.use_of(holder, load) > BUSY_USE).then_some(key)
    }

    /// The target that can carry a hot key far better than its holder, if there is one.
    fn stronger(&self, holder: &Holder, candidates: &[Candidate]) -> Option<Holder> {
        let (load, _) = self.hottest(holder);
        if self.use_of(holder, load) < HOT_USE {
            return None;
        }
        let own = candidates.iter().find(|c| c.holder == *holder)?;
        // Two hot keys on one target would displace each other.
        let others = candidates
            .iter()
            .filter(|c| c.takes && c.holder != *holder && self.hot_key(&c.holder).is_none());
        let strongest = others.max_by(|a, b| a.capacity.total_cmp(&b.capacity))?;
        (strongest.capacity > own.capacity * STRONGER).then(|| strongest.holder.clone())
    }

    /// One key is too much for its holder, and cannot be divided: it goes to a far stronger target
    /// if there is one, and all other keys of its holder go elsewhere.
    fn isolate(&self, holder: &Holder, key: Key, candidates: &[Candidate]) -> Option<Move> {
        if let Some(next) = self.stronger(holder, candidates) {
            return Some(Move {
                from: key,
                to: key,
                next,
            });
        }
        let rest = self.own_ranges(holder).flat_map(|range| {
            let below =
                (range.from < key).then(|| (range.from, range.to.min(key.saturating_sub(1))));
            let above = (range.to > key).then(|| (range.from.max(key.saturating_add(1)), range.to));
            below
                .into_iter()
                .chain(above)
                .filter(|(from, to)| from <= to)
        });
        // Another hot key beside this one would only bring its load to the next holder.
        let bearable = self.fair.get(holder)? * HOT_PART;
        let (from, to) = rest
            .filter(|(from, to)| self.weight(*from, *to) < bearable)
            .max_by(|a, b| self.weight(a.0, a.1).total_cmp(&self.weight(b.0, b.1)))?;
        let others: Vec<Candidate> = candidates
            .iter()
            .filter(|c| c.holder != *holder)
            .cloned()
            .collect();
        let next = self.least(&others)?;
        // A range that would be too much for its next holder moves in parts.
        let room = self.fair.get(&next)? * ROOM - self.load.get(&next)?;
        if room <= 0.0 {
            return None;
        }
        let part = (room / self.weight(from, to)).clamp(LEAST_PART, 1.0);
        let keys = (f64::from(to - from) * part) as Key;
        Some(Move {
            from,
            to: from + keys,
            next,
        })
    }

    /// Whether a holder's load is high beyond the noise of the sample.
    fn is_high(&self, holder: &Holder, ratio: f64) -> bool {
        let fair = self.fair.get(holder).copied().unwrap_or(0.0) * self.sample.len() as f64;
        let busy = ratio * self.use_of_all > BUSY_USE;
        busy && ratio > HIGH && (ratio - 1.0) * fair > DEVIATIONS * fair.sqrt()
    }

    fn own_ranges(&self, holder: &Holder) -> impl Iterator<Item = &KeyRange> {
        self.ranges
            .iter()
            .filter(move |range| range.holder.as_ref() == Some(holder))
    }

    /// The narrowest range of the donor with about the wanted load, by the sample, and without the
    /// key that it keeps.
    fn narrowest(&self, donor: &Holder, wanted: f64, kept: Option<Key>) -> Option<(Key, Key)> {
        let need = (wanted / self.key_weight.max(f64::MIN_POSITIVE)).round() as usize;
        if need == 0 {
            return None;
        }
        let mut best: Option<(Key, Key)> = None;
        for range in self.own_ranges(donor) {
            let start = self.sample.partition_point(|key| *key < range.from);
            let end = self.sample.partition_point(|key| *key <= range.to);
            for part in self.sample[start..end].windows(need) {
                let (from, to) = (part[0], part[need - 1]);
                // Repeats of the last key belong to the range too; one key may be all load.
                let heavy = self.weight(from, to) > 1.5 * wanted;
                let narrower = best.is_none_or(|(f, t)| to - from < t - f);
                let keeps = kept.is_none_or(|key| key < from || key > to);
                if narrower && !heavy && keeps {
                    best = Some((from, to));
                }
            }
        }
        best
    }

    /// The upper part of the donor's widest range, cut by width.
    fn part_of_widest(&self, donor: &Holder, wanted: f64) -> Option<(Key, Key)> {
        let widest = self.own_ranges(donor).max_by_key(|range| range.width())?;
        let weight = self.weight(widest.from, widest.to);
        if weight <= 0.0 || widest.width() < 2 {
            return None;
        }
        let part = (wanted / weight).clamp(0.0, 0.5);
        let keys = (f64::from(widest.width()) * part) as u32;
        let from = u32::from(widest.to) + 1 - keys.max(1);
        Some((from as Key, widest.to))
    }
}
