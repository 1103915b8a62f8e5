//! Planner for key ranges: which ranges should move, and to which target.
//!
//! The load of a range is estimated from a sample of recently requested keys. Moves are few and
//! narrow, because each moved key is unavailable for a moment. Holders that have spare capacity
//! keep their keys.

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

/// A holder above this multiple of its fair share of the load gives keys away.
const OVERLOAD_RATIO: f64 = 1.25;
/// A target below this multiple of its fair share receives keys.
const UNDERLOAD_RATIO: f64 = 0.95;
/// A load counts as high only if it exceeds the fair share by this many standard deviations of the
/// sample.
const MIN_DEVIATIONS: f64 = 3.0;
/// Minimum sample size for balancing by load.
const MIN_SAMPLE: usize = 30;
/// Fraction of the total load that is spread evenly over all keys, so that keys without samples
/// have weight too.
const EVEN_FRACTION: f64 = 0.1;
/// A key with this fraction of its holder's fair share is hot: it is isolated from other keys.
const HOT_KEY_FRACTION: f64 = 0.9;
/// A key with this fraction of its holder's fair share may be becoming hot. It is not moved to
/// relieve its holder, because only a stronger target could serve it.
const WARM_KEY_FRACTION: f64 = 0.4;
/// A hot key moves if another target has this multiple of its holder's capacity.
const STRONGER_RATIO: f64 = 1.25;
/// A holder below this utilization is not relieved: its requests hardly wait, and a move would make
/// them wait.
const MIN_UTILIZATION: f64 = 0.5;
/// A hot key that uses less than this fraction of its holder's capacity is not moved.
const HOT_KEY_MIN_UTILIZATION: f64 = 0.7;
/// A target receives keys from the holder of a hot key up to this multiple of its fair share.
const MAX_FILL_RATIO: f64 = 1.2;
/// Minimum fraction of a range that is moved at once.
const MIN_MOVE_FRACTION: f64 = 0.2;
/// Maximum number of moves in one plan.
const MAX_MOVES: usize = 6;
/// Number of keys.
const KEY_COUNT: f64 = 65536.0;

/// A target that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub holder: Holder,
    /// Capacity in requests per second.
    pub capacity: f64,
    /// Whether it may receive more keys.
    pub accepts_keys: bool,
}

/// Recent requests for the keys of one service.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// A sample of the requested keys, in any order.
    pub sample: &'a [Key],
    /// Requests per second.
    pub rate: f64,
}

/// A key range that should move to another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// First key.
    pub from: Key,
    /// Last key.
    pub to: Key,
    /// The next holder.
    pub next: Holder,
}

struct LoadModel {
    /// The ranges after the moves of this plan.
    ranges: Vec<KeyRange>,
    sample: Vec<Key>,
    sample_weight: f64,
    even_weight: f64,
    /// Total request rate as a fraction of the capacity of all receivers.
    total_utilization: f64,
    load: BTreeMap<Holder, f64>,
    fair_share: BTreeMap<Holder, f64>,
}

/// Divides all keys among the candidates in proportion to their capacity.
///
/// ```
/// use camphordale_fleet::{Holder, balance::{Candidate, divide}};
///
/// let candidate = |id: &str| Candidate {
///     holder: Holder { id: id.into(), incarnation: 1 },
///     capacity: 1.0,
///     accepts_keys: true,
/// };
/// let moves = divide(&[candidate("a"), candidate("b")]);
/// assert_eq!((moves[0].to, moves[1].from), (32767, 32768));
/// ```
pub fn divide(candidates: &[Candidate]) -> Vec<Move> {
    let receivers: Vec<&Candidate> = candidates.iter().filter(|c| c.accepts_keys).collect();
    let sum: f64 = receivers.iter().map(|c| c.capacity).sum();
    let mut out = Vec::new();
    let mut from = 0.0;
    for (at, candidate) in receivers.iter().enumerate() {
        let to = match at + 1 == receivers.len() {
            true => KEY_COUNT,
            false => (from + KEY_COUNT * candidate.capacity / sum).floor(),
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

/// Returns the moves that should start now. `ranges` are those of one service that are not moving.
///
/// ```
/// use camphordale_fleet::{Holder, KeyRange, balance::{Candidate, Demand, plan}};
///
/// let holder = |id: &str| Holder { id: id.into(), incarnation: 1 };
/// let candidate =
///     |id: &str, accepts_keys| Candidate { holder: holder(id), capacity: 30.0, accepts_keys };
/// let range = KeyRange { from: 0, to: u16::MAX, holder: Some(holder("a")), handover: None };
/// let moves = plan(
///     &[range],
///     &[candidate("a", false), candidate("b", true)],
///     &Demand { sample: &[], rate: 0.0 },
/// );
/// assert_eq!(moves[0].next, holder("b"));
/// ```
pub fn plan(ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand<'_>) -> Vec<Move> {
    let mut model = LoadModel::new(ranges, candidates, demand);
    let mut out = model.evacuate(candidates);
    for _ in out.len()..MAX_MOVES {
        match model.next_move(candidates, demand.sample.len() >= MIN_SAMPLE) {
            Some((donor, planned)) => {
                model.apply_move(&donor, &planned);
                out.push(planned);
            }
            None => break,
        }
    }
    out
}

/// Holders whose load is dominated by a single hot key.
pub fn hot_holders(
    ranges: &[KeyRange],
    candidates: &[Candidate],
    demand: &Demand<'_>,
) -> BTreeSet<Holder> {
    let model = LoadModel::new(ranges, candidates, demand);
    let holders = candidates
        .iter()
        .filter(|c| c.accepts_keys)
        .map(|c| &c.holder);
    let hot = holders.filter(|holder| model.hot_key(holder).is_some());
    hot.cloned().collect()
}

/// The candidate with the lowest load relative to its capacity.
pub fn least_loaded(
    ranges: &[KeyRange],
    candidates: &[Candidate],
    sample: &[Key],
) -> Option<Holder> {
    let demand = Demand { sample, rate: 0.0 };
    LoadModel::new(ranges, candidates, &demand).least_loaded(candidates)
}

impl LoadModel {
    fn new(ranges: &[KeyRange], candidates: &[Candidate], demand: &Demand<'_>) -> LoadModel {
        let sample = demand.sample;
        let mut sorted = sample.to_vec();
        sorted.sort_unstable();
        let sampled = if sample.is_empty() {
            0.0
        } else {
            (1.0 - EVEN_FRACTION) / sample.len() as f64
        };
        let even = if sample.is_empty() {
            1.0
        } else {
            EVEN_FRACTION
        };
        let mut model = LoadModel {
            ranges: ranges.to_vec(),
            sample: sorted,
            sample_weight: sampled,
            even_weight: even / KEY_COUNT,
            total_utilization: 0.0,
            load: BTreeMap::new(),
            fair_share: BTreeMap::new(),
        };
        let receivers = candidates.iter().filter(|c| c.accepts_keys);
        let sum: f64 = receivers.clone().map(|c| c.capacity).sum();
        model.total_utilization = demand.rate / sum.max(f64::MIN_POSITIVE);
        for candidate in receivers {
            let fair = candidate.capacity / sum;
            model.fair_share.insert(candidate.holder.clone(), fair);
            model.load.insert(candidate.holder.clone(), 0.0);
        }
        for range in ranges {
            if let Some(holder) = &range.holder {
                *model.load.entry(holder.clone()).or_default() +=
                    model.load_of(range.from, range.to);
            }
        }
        model
    }

    fn sample_count(&self, from: Key, to: Key) -> usize {
        let start = self.sample.partition_point(|key| *key < from);
        let end = self.sample.partition_point(|key| *key <= to);
        end - start
    }

    fn load_of(&self, from: Key, to: Key) -> f64 {
        let width = f64::from(to) - f64::from(from) + 1.0;
        self.sample_count(from, to) as f64 * self.sample_weight + width * self.even_weight
    }

    fn load_ratio(&self, holder: &Holder) -> f64 {
        let fair = self
            .fair_share
            .get(holder)
            .copied()
            .unwrap_or(f64::MIN_POSITIVE);
        self.load.get(holder).copied().unwrap_or(0.0) / fair
    }

    /// Utilization of a holder by `load`, which is a fraction of all requests.
    fn utilization(&self, holder: &Holder, load: f64) -> f64 {
        let fair = self
            .fair_share
            .get(holder)
            .copied()
            .unwrap_or(f64::MIN_POSITIVE);
        load / fair * self.total_utilization
    }

    fn least_loaded(&self, candidates: &[Candidate]) -> Option<Holder> {
        let receivers = candidates.iter().filter(|c| c.accepts_keys);
        let least_loaded = receivers.min_by(|a, b| {
            self.load_ratio(&a.holder)
                .total_cmp(&self.load_ratio(&b.holder))
        });
        least_loaded.map(|candidate| candidate.holder.clone())
    }

    /// Moves of all ranges away from holders that may not keep them.
    fn evacuate(&mut self, candidates: &[Candidate]) -> Vec<Move> {
        let mut out = Vec::new();
        for range in self.ranges.clone() {
            let Some(holder) = &range.holder else {
                continue;
            };
            let must_leave = candidates
                .iter()
                .any(|c| c.holder == *holder && !c.accepts_keys);
            if !must_leave {
                continue;
            }
            let Some(next) = self.least_loaded(candidates) else {
                break;
            };
            let planned = Move {
                from: range.from,
                to: range.to,
                next,
            };
            self.apply_move(holder, &planned);
            out.push(planned);
        }
        out
    }

    fn apply_move(&mut self, donor: &Holder, planned: &Move) {
        let weight = self.load_of(planned.from, planned.to);
        *self.load.entry(donor.clone()).or_default() -= weight;
        *self.load.entry(planned.next.clone()).or_default() += weight;
        let mut next = Vec::with_capacity(self.ranges.len() + 2);
        for range in self.ranges.drain(..) {
            // Splits the range into the parts before, within and after the moved range.
            let (from, to) = (range.from.max(planned.from), range.to.min(planned.to));
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
                holder: Some(planned.next.clone()),
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
    /// without keys always receives some.
    fn next_move(&self, candidates: &[Candidate], sampled: bool) -> Option<(Holder, Move)> {
        let receiver = self.least_loaded(candidates)?;
        let is_new = self.load_ratio(&receiver) == 0.0;
        if !is_new && (!sampled || self.load_ratio(&receiver) > UNDERLOAD_RATIO) {
            return None;
        }
        let donors = candidates
            .iter()
            .filter(|c| c.accepts_keys && c.holder != receiver);
        let mut donors: Vec<&Holder> = donors.map(|c| &c.holder).collect();
        donors.sort_by(|a, b| self.load_ratio(b).total_cmp(&self.load_ratio(a)));
        donors.into_iter().find_map(|donor| {
            let planned = match is_new {
                true => self.fill_empty(donor, &receiver, sampled),
                false => self.relieve(donor, &receiver, candidates),
            };
            planned.map(|planned| (donor.clone(), planned))
        })
    }

    /// Part of a donor's keys for a target without keys. A hot key stays at its holder.
    fn fill_empty(&self, donor: &Holder, receiver: &Holder, sampled: bool) -> Option<Move> {
        if self.hot_key(donor).is_some() {
            return None;
        }
        let half = self.load.get(donor)? / 2.0;
        let wanted = self.fair_share.get(receiver)?.min(half);
        let planned = match sampled {
            true => self.narrowest_edge(donor, wanted, None),
            false => None,
        };
        let (from, to) = planned.or_else(|| self.cut_widest_range(donor, wanted))?;
        let next = receiver.clone();
        Some(Move { from, to, next })
    }

    /// Part of an overloaded donor's keys for the target with the lowest load.
    fn relieve(&self, donor: &Holder, receiver: &Holder, candidates: &[Candidate]) -> Option<Move> {
        let high = self.load_ratio(donor);
        if !self.is_overloaded(donor, high) {
            return None;
        }
        if let Some(key) = self.hot_key(donor) {
            return self.isolate_hot_key(donor, key, candidates);
        }
        let over = (high - 1.0) * self.fair_share.get(donor)?;
        let under = (1.0 - self.load_ratio(receiver)) * self.fair_share.get(receiver)?;
        // Where one key is most of the load there is no such range, and a cut by width could move
        // that key along by chance.
        let (load, key) = self.hottest_key(donor);
        let excluded = (load > WARM_KEY_FRACTION * self.fair_share.get(donor)?).then_some(key);
        let (from, to) = self.narrowest_edge(donor, over.min(under), excluded)?;
        let next = receiver.clone();
        Some(Move { from, to, next })
    }

    /// The hottest key of a holder with its fraction of all requests.
    fn hottest_key(&self, holder: &Holder) -> (f64, Key) {
        let mut best = (0, 0);
        for range in self.ranges_of(holder) {
            let start = self.sample.partition_point(|key| *key < range.from);
            let end = self.sample.partition_point(|key| *key <= range.to);
            for run in self.sample[start..end].chunk_by(|a, b| a == b) {
                best = best.max((run.len(), run[0]));
            }
        }
        let (count, key) = best;
        (count as f64 * self.sample_weight, key)
    }

    /// The key that alone makes up most of its holder's fair share and keeps the holder busy, if
    /// any.
    fn hot_key(&self, holder: &Holder) -> Option<Key> {
        let fair = self.fair_share.get(holder)?;
        let (load, key) = self.hottest_key(holder);
        (load > HOT_KEY_FRACTION * fair && self.utilization(holder, load) > MIN_UTILIZATION)
            .then_some(key)
    }

    /// A target that can serve the holder's hot key much better than the holder, if any.
    fn stronger_target(&self, holder: &Holder, candidates: &[Candidate]) -> Option<Holder> {
        let (load, _) = self.hottest_key(holder);
        if self.utilization(holder, load) < HOT_KEY_MIN_UTILIZATION {
            return None;
        }
        let own = candidates.iter().find(|c| c.holder == *holder)?;
        // Two hot keys on one target would displace each other.
        let others = candidates
            .iter()
            .filter(|c| c.accepts_keys && c.holder != *holder && self.hot_key(&c.holder).is_none());
        let strongest = others.max_by(|a, b| a.capacity.total_cmp(&b.capacity))?;
        (strongest.capacity > own.capacity * STRONGER_RATIO).then(|| strongest.holder.clone())
    }

    /// Handles a key that is too much for its holder and cannot be divided: it moves to a much
    /// stronger target if there is one. Otherwise the holder's other keys move away.
    fn isolate_hot_key(&self, holder: &Holder, key: Key, candidates: &[Candidate]) -> Option<Move> {
        if let Some(next) = self.stronger_target(holder, candidates) {
            return Some(Move {
                from: key,
                to: key,
                next,
            });
        }
        let rest = self.ranges_of(holder).flat_map(|range| {
            let below =
                (range.from < key).then(|| (range.from, range.to.min(key.saturating_sub(1))));
            let above = (range.to > key).then(|| (range.from.max(key.saturating_add(1)), range.to));
            below
                .into_iter()
                .chain(above)
                .filter(|(from, to)| from <= to)
        });
        // Moving a range with another hot key would only bring its load to the next holder.
        let max_load = self.fair_share.get(holder)? * HOT_KEY_FRACTION;
        let (from, to) = rest
            .filter(|(from, to)| self.load_of(*from, *to) < max_load)
            .max_by(|a, b| self.load_of(a.0, a.1).total_cmp(&self.load_of(b.0, b.1)))?;
        let others: Vec<Candidate> = candidates
            .iter()
            .filter(|c| c.holder != *holder)
            .cloned()
            .collect();
        let next = self.least_loaded(&others)?;
        // A range that would overload its next holder moves in parts.
        let spare_share = self.fair_share.get(&next)? * MAX_FILL_RATIO - self.load.get(&next)?;
        if spare_share <= 0.0 {
            return None;
        }
        let part = (spare_share / self.load_of(from, to)).clamp(MIN_MOVE_FRACTION, 1.0);
        let keys = (f64::from(to - from) * part) as Key;
        Some(Move {
            from,
            to: from + keys,
            next,
        })
    }

    /// Whether a holder is overloaded beyond the noise of the sample.
    fn is_overloaded(&self, holder: &Holder, ratio: f64) -> bool {
        let fair = self.fair_share.get(holder).copied().unwrap_or(0.0) * self.sample.len() as f64;
        let busy = ratio * self.total_utilization > MIN_UTILIZATION;
        busy && ratio > OVERLOAD_RATIO && (ratio - 1.0) * fair > MIN_DEVIATIONS * fair.sqrt()
    }

    fn ranges_of(&self, holder: &Holder) -> impl Iterator<Item = &KeyRange> {
        self.ranges
            .iter()
            .filter(move |range| range.holder.as_ref() == Some(holder))
    }

    /// The narrowest part at an edge of one of the donor's ranges that has about the wanted load in
    /// the sample and does not contain the excluded key. The densest part anywhere in the range
    /// would be dense mostly by chance, and carry much less load than it seems to.
    fn narrowest_edge(
        &self,
        donor: &Holder,
        wanted: f64,
        excluded: Option<Key>,
    ) -> Option<(Key, Key)> {
        let need = (wanted / self.sample_weight.max(f64::MIN_POSITIVE)).round() as usize;
        if need == 0 {
            return None;
        }
        let mut best: Option<(Key, Key)> = None;
        for range in self.ranges_of(donor) {
            let start = self.sample.partition_point(|key| *key < range.from);
            let end = self.sample.partition_point(|key| *key <= range.to);
            let sample = &self.sample[start..end];
            if sample.len() < need {
                continue;
            }
            let edges = [
                (range.from, sample[need - 1]),
                (sample[sample.len() - need], range.to),
            ];
            for (from, to) in edges {
                // Further samples of the last key belong to the part too; one key may be all of the
                // load.
                let heavy = self.load_of(from, to) > 1.5 * wanted;
                let narrower = best.is_none_or(|(f, t)| to - from < t - f);
                let avoids_excluded = excluded.is_none_or(|key| key < from || key > to);
                if narrower && !heavy && avoids_excluded {
                    best = Some((from, to));
                }
            }
        }
        best
    }

    /// The upper part of the donor's widest range, cut by width.
    fn cut_widest_range(&self, donor: &Holder, wanted: f64) -> Option<(Key, Key)> {
        let widest = self.ranges_of(donor).max_by_key(|range| range.width())?;
        let weight = self.load_of(widest.from, widest.to);
        if weight <= 0.0 || widest.width() < 2 {
            return None;
        }
        let part = (wanted / weight).clamp(0.0, 0.5);
        let keys = (f64::from(widest.width()) * part) as u32;
        let from = u32::from(widest.to) + 1 - keys.max(1);
        Some((from as Key, widest.to))
    }
}
