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
/// Maximum number of moves in one plan for contended routing: when traffic starts, a quarter of the
/// holders may be too slow for equal parts of the keys.
const CONTENDED_MAX_MOVES: usize = 16;
/// A holder above this multiple of its fair share gives keys away if the service is busy and the
/// routing is contended. Chance is allowed for in addition.
const CONTENDED_OVERLOAD_RATIO: f64 = 1.1;
/// A target below this multiple of its fair share receives keys if the routing is contended. The gap
/// to [`CONTENDED_OVERLOAD_RATIO`] keeps keys from moving back.
const CONTENDED_UNDERLOAD_RATIO: f64 = 0.9;
/// Utilization of a service above which waiting grows steeply, so that smaller differences between
/// holders matter.
const BUSY_UTILIZATION: f64 = 0.6;
/// Standard deviations by which a load must exceed the fair share if the routing is contended.
const CONTENDED_DEVIATIONS: f64 = 3.0;
/// The same for a holder that is expected to be saturated: a needless move costs less than requests
/// that wait there longer and longer.
const SATURATED_DEVIATIONS: f64 = 1.0;
/// A rise in the load is sudden if it exceeds this multiple of the fair share of a holder.
const SUDDEN_RATIO: f64 = 1.5;
/// Utilization above which a holder counts as saturated. Its queue hardly gets shorter.
const SATURATED_UTILIZATION: f64 = 0.95;
/// Standard deviations by which the samples at one holder must exceed what evenly requested keys
/// explain for the even model to be dropped. Chance alone reaches this once in 300,000 cases.
const UNEVEN_DEVIATIONS: f64 = 4.5;
/// A whole range moves if it has at least this fraction of the wanted load.
const MIN_EDGE_FRACTION: f64 = 0.5;
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

/// Which differences between holders count in a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All that chance does not explain.
    All,
    /// Only those of a sudden rise of the load, for a short sample.
    SuddenRises,
}

/// What the planner knows about the estimates that it is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// Capacities count as exact, and the sample as the load.
    Plain,
    /// For contended routing: the load of a range is estimated from the sample only as far as chance
    /// does not explain the sample, and smaller differences between busy holders count.
    Weighed {
        /// Standard error of the capacities, relative.
        capacity_error: f64,
        /// Which differences between holders count.
        scope: Scope,
    },
}

/// Position of a receiver in [`LoadModel::receivers`].
type ReceiverIndex = usize;

/// Load of the receivers, which are the candidates that accept keys.
struct LoadModel<'a> {
    receivers: Vec<&'a Candidate>,
    indexes: BTreeMap<&'a Holder, ReceiverIndex>,
    /// First and last keys of the ranges of each receiver after the moves of this plan, in key
    /// order.
    held: Vec<Vec<(Key, Key)>>,
    sample: Vec<Key>,
    evidence: Evidence,
    sample_weight: f64,
    even_weight: f64,
    /// Weight of one sample in the load of a single key.
    key_weight: f64,
    /// Total request rate as a fraction of the capacity of all receivers.
    total_utilization: f64,
    /// Fraction of all requests that each receiver gets.
    load: Vec<f64>,
    /// Fraction of all requests that corresponds to the capacity of each receiver.
    fair_share: Vec<f64>,
}

/// Picks holders for free ranges, one after the other. Each choice counts as load for the next ones.
pub struct Placement<'a> {
    model: LoadModel<'a>,
    /// Receivers by load ratio. The order of the bits is that of the ratios, as none is negative.
    by_ratio: BTreeSet<(u64, ReceiverIndex)>,
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
    plan_with(ranges, candidates, demand, Evidence::Plain)
}

/// Returns the moves that should start now, like [`plan`].
///
/// ```
/// use camphordale_fleet::{Holder, KeyRange, balance::{Candidate, Demand, Evidence, Scope, plan_with}};
///
/// let candidate = |id: &str, capacity| Candidate {
///     holder: Holder { id: id.into(), incarnation: 1 },
///     capacity,
///     accepts_keys: true,
/// };
/// let candidates = [candidate("slow", 10.0), candidate("fast", 30.0)];
/// let half = |from, to, at: usize| KeyRange {
///     from,
///     to,
///     holder: Some(candidates[at].holder.clone()),
///     handover: None,
/// };
/// let ranges = [half(0, 32767, 0), half(32768, u16::MAX, 1)];
/// let sample: Vec<u16> = (0..60).map(|at| at * 1092).collect();
/// let demand = Demand { sample: &sample, rate: 30.0 };
/// let evidence = Evidence::Weighed { capacity_error: 0.1, scope: Scope::All };
/// let moves = plan_with(&ranges, &candidates, &demand, evidence);
/// assert_eq!(&*moves[0].next.id, "fast");
/// ```
pub fn plan_with(
    ranges: &[KeyRange],
    candidates: &[Candidate],
    demand: &Demand<'_>,
    evidence: Evidence,
) -> Vec<Move> {
    let mut model = LoadModel::new(ranges, candidates, demand);
    let max_moves = match evidence {
        Evidence::Plain => MAX_MOVES,
        Evidence::Weighed { .. } => {
            model.weigh(evidence);
            CONTENDED_MAX_MOVES
        }
    };
    let mut out = model.evacuate(ranges, candidates);
    for _ in out.len()..max_moves {
        match model.next_move(demand.sample.len() >= MIN_SAMPLE) {
            Some((donor, receiver, (from, to))) => {
                model.move_keys(Some(donor), receiver, from, to);
                let next = model.receivers[receiver].holder.clone();
                out.push(Move { from, to, next });
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
    let hot = (0..model.receivers.len()).filter(|at| model.hot_key(*at).is_some());
    hot.map(|at| model.receivers[at].holder.clone()).collect()
}

/// The candidate with the lowest load relative to its capacity.
pub fn least_loaded(
    ranges: &[KeyRange],
    candidates: &[Candidate],
    sample: &[Key],
) -> Option<Holder> {
    let demand = Demand { sample, rate: 0.0 };
    let model = LoadModel::new(ranges, candidates, &demand);
    let at = model.least_loaded(None)?;
    Some(model.receivers[at].holder.clone())
}

/// The first key from `first` on for which `is_before` is false, or `last`.
fn partition_keys<IsBefore>(first: Key, last: Key, is_before: IsBefore) -> Key
where
    IsBefore: Fn(Key) -> bool,
{
    let (mut low, mut high) = (first, last);
    while low < high {
        let middle = low + (high - low) / 2;
        match is_before(middle) {
            true => low = middle + 1,
            false => high = middle,
        }
    }
    low
}

/// The range that contains a key, if any. `ranges` are in key order.
pub(crate) fn range_at(ranges: &[KeyRange], key: Key) -> Option<&KeyRange> {
    let at = ranges.partition_point(|range| range.to < key);
    ranges.get(at).filter(|range| range.from <= key)
}

impl<'a> Placement<'a> {
    /// Starts from the present ranges of a service and a sample of the requested keys.
    ///
    /// ```
    /// use camphordale_fleet::{Holder, KeyRange, balance::{Candidate, Placement}};
    ///
    /// let candidate = |id: &str| Candidate {
    ///     holder: Holder { id: id.into(), incarnation: 1 },
    ///     capacity: 30.0,
    ///     accepts_keys: true,
    /// };
    /// let range = |from, to| KeyRange { from, to, holder: None, handover: None };
    /// let ranges = [range(0, 32767), range(32768, u16::MAX)];
    /// let candidates = [candidate("a"), candidate("b")];
    /// let mut placement = Placement::new(&ranges, &candidates, &[]);
    /// assert_eq!(placement.place(&ranges[0]).map(|next| next.id), Some("a".into()));
    /// assert_eq!(placement.place(&ranges[1]).map(|next| next.id), Some("b".into()));
    /// ```
    pub fn new(ranges: &[KeyRange], candidates: &'a [Candidate], sample: &[Key]) -> Placement<'a> {
        let model = LoadModel::new(ranges, candidates, &Demand { sample, rate: 0.0 });
        let mut placement = Placement {
            model,
            by_ratio: BTreeSet::new(),
        };
        for at in 0..placement.model.receivers.len() {
            placement.by_ratio.insert(placement.entry(at));
        }
        placement
    }

    /// Picks the next holder of a range, or `None` if no candidate accepts keys.
    pub fn place(&mut self, range: &KeyRange) -> Option<Holder> {
        let (_, next) = *self.by_ratio.first()?;
        let previous = range.holder.as_ref();
        let previous = previous.and_then(|holder| self.model.indexes.get(holder).copied());
        let changed = previous.into_iter().filter(|previous| *previous != next);
        let changed: Vec<ReceiverIndex> = changed.chain([next]).collect();
        for at in &changed {
            self.by_ratio.remove(&self.entry(*at));
        }
        self.model.move_keys(previous, next, range.from, range.to);
        for at in &changed {
            self.by_ratio.insert(self.entry(*at));
        }
        Some(self.model.receivers[next].holder.clone())
    }

    fn entry(&self, at: ReceiverIndex) -> (u64, ReceiverIndex) {
        (self.model.load_ratio(at).max(0.0).to_bits(), at)
    }
}

impl<'a> LoadModel<'a> {
    fn new(ranges: &[KeyRange], candidates: &'a [Candidate], demand: &Demand<'_>) -> LoadModel<'a> {
        let mut sample = demand.sample.to_vec();
        sample.sort_unstable();
        let (sample_weight, even) = match sample.len() {
            0 => (0.0, 1.0),
            count => ((1.0 - EVEN_FRACTION) / count as f64, EVEN_FRACTION),
        };
        let receivers: Vec<&Candidate> = candidates.iter().filter(|c| c.accepts_keys).collect();
        let sum: f64 = receivers.iter().map(|c| c.capacity).sum();
        let indexes = receivers.iter().enumerate();
        let indexes: BTreeMap<&Holder, ReceiverIndex> = indexes
            .map(|(at, receiver)| (&receiver.holder, at))
            .collect();
        let mut model = LoadModel {
            indexes,
            held: vec![Vec::new(); receivers.len()],
            sample,
            evidence: Evidence::Plain,
            sample_weight,
            even_weight: even / KEY_COUNT,
            key_weight: sample_weight,
            total_utilization: demand.rate / sum.max(f64::MIN_POSITIVE),
            load: vec![0.0; receivers.len()],
            fair_share: receivers.iter().map(|c| c.capacity / sum).collect(),
            receivers,
        };
        for range in ranges {
            let holder = range.holder.as_ref();
            if let Some(at) = holder.and_then(|holder| model.indexes.get(holder).copied()) {
                model.load[at] += model.load_of(range.from, range.to);
                model.held[at].push((range.from, range.to));
            }
        }
        model
    }

    /// Adopts `evidence`, and gives the sample the weight that chance leaves it.
    fn weigh(&mut self, evidence: Evidence) {
        self.evidence = evidence;
        let count = self.sample.len();
        if count < MIN_SAMPLE {
            return;
        }
        let fraction = self.unevenness().min(1.0 - EVEN_FRACTION);
        self.sample_weight = fraction / count as f64;
        self.even_weight = (1.0 - fraction) / KEY_COUNT;
        for at in 0..self.receivers.len() {
            let held = self.held[at].iter();
            self.load[at] = held.map(|(from, to)| self.load_of(*from, *to)).sum();
        }
    }

    /// The part of the differences between holders that is not explained by chance: 0 if the
    /// sample is as even as one of evenly requested keys is, up to 1.
    fn unevenness(&self) -> f64 {
        let count = self.sample.len() as f64;
        let (mut sum, mut holders) = (0.0, 0.0);
        for held in self.held.iter().filter(|held| !held.is_empty()) {
            let (mut seen, mut expected) = (0.0, 0.0);
            for (from, to) in held {
                seen += self.sample_in(*from, *to).len() as f64;
                expected += count * (f64::from(*to) - f64::from(*from) + 1.0) / KEY_COUNT;
            }
            if seen - expected > UNEVEN_DEVIATIONS * expected.max(1.0).sqrt() {
                return 1.0;
            }
            sum += (seen - expected).powi(2) / expected.max(1.0);
            holders += 1.0;
        }
        let dispersion: f64 = sum / f64::max(holders, 1.0);
        (1.0 - 1.0 / dispersion.max(1.0)).max(0.0)
    }

    fn sample_in(&self, from: Key, to: Key) -> &[Key] {
        let start = self.sample.partition_point(|key| *key < from);
        let end = self.sample.partition_point(|key| *key <= to);
        &self.sample[start..end]
    }

    fn load_of(&self, from: Key, to: Key) -> f64 {
        let width = f64::from(to) - f64::from(from) + 1.0;
        self.sample_in(from, to).len() as f64 * self.sample_weight + width * self.even_weight
    }

    fn load_ratio(&self, at: ReceiverIndex) -> f64 {
        self.load[at] / self.fair_share[at]
    }

    /// Utilization of a receiver by `load`, which is a fraction of all requests.
    fn utilization(&self, at: ReceiverIndex, load: f64) -> f64 {
        load / self.fair_share[at] * self.total_utilization
    }

    fn least_loaded(&self, except: Option<ReceiverIndex>) -> Option<ReceiverIndex> {
        let receivers = (0..self.receivers.len()).filter(|at| Some(*at) != except);
        receivers.min_by(|a, b| self.load_ratio(*a).total_cmp(&self.load_ratio(*b)))
    }

    /// Moves of all ranges away from holders that may not keep them.
    fn evacuate(&mut self, ranges: &[KeyRange], candidates: &[Candidate]) -> Vec<Move> {
        let leaving = candidates.iter().filter(|c| !c.accepts_keys);
        let leaving: BTreeSet<&Holder> = leaving.map(|c| &c.holder).collect();
        let mut out = Vec::new();
        for range in ranges {
            if range.holder.as_ref().is_none_or(|h| !leaving.contains(h)) {
                continue;
            }
            let Some(next) = self.least_loaded(None) else {
                break;
            };
            self.move_keys(None, next, range.from, range.to);
            out.push(Move {
                from: range.from,
                to: range.to,
                next: self.receivers[next].holder.clone(),
            });
        }
        out
    }

    /// Moves keys to another receiver. `donor` holds all of them, or is not a receiver.
    fn move_keys(&mut self, donor: Option<ReceiverIndex>, next: ReceiverIndex, from: Key, to: Key) {
        let weight = self.load_of(from, to);
        if let Some(donor) = donor {
            self.load[donor] -= weight;
            let rest = self.held[donor].drain(..).flat_map(|(first, last)| {
                let overlaps = first <= to && last >= from;
                let below = (overlaps && first < from).then(|| (first, from.saturating_sub(1)));
                let above = (overlaps && last > to).then(|| (to.saturating_add(1), last));
                let whole = (!overlaps).then_some((first, last));
                [whole, below, above].into_iter().flatten()
            });
            let rest: Vec<(Key, Key)> = rest.collect();
            self.held[donor] = rest;
        }
        self.load[next] += weight;
        let at = self.held[next].partition_point(|(first, _)| *first < from);
        self.held[next].insert(at, (from, to));
    }

    /// The move that relieves the holder with the highest load that can be relieved, as donor,
    /// receiver and keys. A candidate without keys always receives some.
    fn next_move(&self, sampled: bool) -> Option<(ReceiverIndex, ReceiverIndex, (Key, Key))> {
        let receiver = self.least_loaded(None)?;
        let is_new = self.load_ratio(receiver) == 0.0;
        let underload_ratio = match self.evidence {
            Evidence::Plain => UNDERLOAD_RATIO,
            Evidence::Weighed { .. } => CONTENDED_UNDERLOAD_RATIO,
        };
        if !is_new && (!sampled || self.load_ratio(receiver) > underload_ratio) {
            return None;
        }
        let donors = (0..self.receivers.len()).filter(|at| *at != receiver);
        let mut donors: Vec<ReceiverIndex> = donors.collect();
        donors.sort_by(|a, b| self.load_ratio(*b).total_cmp(&self.load_ratio(*a)));
        donors.into_iter().find_map(|donor| {
            let planned = match is_new {
                true => self
                    .fill_empty(donor, receiver, sampled)
                    .map(|keys| (receiver, keys)),
                false => self.relieve(donor, receiver),
            };
            planned.map(|(next, keys)| (donor, next, keys))
        })
    }

    /// Part of a donor's keys for a target without keys. A hot key stays at its holder.
    fn fill_empty(
        &self,
        donor: ReceiverIndex,
        receiver: ReceiverIndex,
        sampled: bool,
    ) -> Option<(Key, Key)> {
        if self.hot_key(donor).is_some() {
            return None;
        }
        let half = self.load[donor] / 2.0;
        let wanted = self.fair_share[receiver].min(half);
        let planned = match sampled {
            true => self.narrowest_edge(donor, wanted, None),
            false => None,
        };
        planned.or_else(|| self.cut_widest_range(donor, wanted))
    }

    /// Part of an overloaded donor's keys, for the target with the lowest load unless a hot key
    /// needs another one.
    fn relieve(
        &self,
        donor: ReceiverIndex,
        receiver: ReceiverIndex,
    ) -> Option<(ReceiverIndex, (Key, Key))> {
        let high = self.load_ratio(donor);
        if !self.is_overloaded(donor, high) {
            return None;
        }
        if let Some(key) = self.hot_key(donor) {
            return self.isolate_hot_key(donor, key);
        }
        let over = (high - 1.0) * self.fair_share[donor];
        let under = (1.0 - self.load_ratio(receiver)) * self.fair_share[receiver];
        // Where one key is most of the load there is no such range, and a cut by width could move
        // that key along by chance.
        let (load, key) = self.hottest_key(donor);
        let excluded = (load > WARM_KEY_FRACTION * self.fair_share[donor]).then_some(key);
        let keys = self.narrowest_edge(donor, over.min(under), excluded)?;
        Some((receiver, keys))
    }

    /// The hottest key of a holder with its fraction of all requests.
    fn hottest_key(&self, at: ReceiverIndex) -> (f64, Key) {
        let mut best = (0, 0);
        for (from, to) in &self.held[at] {
            for run in self.sample_in(*from, *to).chunk_by(|a, b| a == b) {
                best = best.max((run.len(), run[0]));
            }
        }
        let (count, key) = best;
        (count as f64 * self.key_weight, key)
    }

    /// The key that alone makes up most of its holder's fair share and keeps the holder busy, if
    /// any.
    fn hot_key(&self, at: ReceiverIndex) -> Option<Key> {
        let (load, key) = self.hottest_key(at);
        let dominates = load > HOT_KEY_FRACTION * self.fair_share[at];
        (dominates && self.utilization(at, load) > MIN_UTILIZATION).then_some(key)
    }

    /// A target that can serve the holder's hot key much better than the holder, if any.
    fn stronger_target(&self, holder: ReceiverIndex) -> Option<ReceiverIndex> {
        let (load, _) = self.hottest_key(holder);
        if self.utilization(holder, load) < HOT_KEY_MIN_UTILIZATION {
            return None;
        }
        let capacity = |at: ReceiverIndex| self.receivers[at].capacity;
        // Two hot keys on one target would displace each other.
        let others =
            (0..self.receivers.len()).filter(|at| *at != holder && self.hot_key(*at).is_none());
        let strongest = others.max_by(|a, b| capacity(*a).total_cmp(&capacity(*b)))?;
        (capacity(strongest) > capacity(holder) * STRONGER_RATIO).then_some(strongest)
    }

    /// Handles a key that is too much for its holder and cannot be divided: it moves to a much
    /// stronger target if there is one. Otherwise the holder's other keys move away.
    fn isolate_hot_key(
        &self,
        holder: ReceiverIndex,
        key: Key,
    ) -> Option<(ReceiverIndex, (Key, Key))> {
        if let Some(next) = self.stronger_target(holder) {
            return Some((next, (key, key)));
        }
        let rest = self.held[holder].iter().flat_map(|(first, last)| {
            let below = (*first < key).then(|| (*first, (*last).min(key.saturating_sub(1))));
            let above = (*last > key).then(|| ((*first).max(key.saturating_add(1)), *last));
            below
                .into_iter()
                .chain(above)
                .filter(|(from, to)| from <= to)
        });
        // Moving a range with another hot key would only bring its load to the next holder.
        let max_load = self.fair_share[holder] * HOT_KEY_FRACTION;
        let (from, to) = rest
            .filter(|(from, to)| self.load_of(*from, *to) < max_load)
            .max_by(|a, b| self.load_of(a.0, a.1).total_cmp(&self.load_of(b.0, b.1)))?;
        let next = self.least_loaded(Some(holder))?;
        // A range that would overload its next holder moves in parts.
        let spare_share = self.fair_share[next] * MAX_FILL_RATIO - self.load[next];
        if spare_share <= 0.0 {
            return None;
        }
        let part = (spare_share / self.load_of(from, to)).clamp(MIN_MOVE_FRACTION, 1.0);
        let keys = (f64::from(to - from) * part) as Key;
        Some((next, (from, from + keys)))
    }

    /// Whether a holder is overloaded beyond the noise of the sample.
    fn is_overloaded(&self, at: ReceiverIndex, ratio: f64) -> bool {
        let fair = self.fair_share[at] * self.sample.len() as f64;
        let busy = ratio * self.total_utilization > MIN_UTILIZATION;
        let exceeds = match self.evidence {
            Evidence::Plain => {
                ratio > OVERLOAD_RATIO && (ratio - 1.0) * fair > MIN_DEVIATIONS * fair.sqrt()
            }
            Evidence::Weighed {
                scope: Scope::SuddenRises,
                ..
            } if ratio < SUDDEN_RATIO => false,
            Evidence::Weighed { capacity_error, .. } => {
                let sampled = self.sample_weight * self.sample.len() as f64;
                let noise = capacity_error.hypot(sampled / fair.max(1.0).sqrt());
                let ratio_limit = match self.total_utilization > BUSY_UTILIZATION {
                    true => CONTENDED_OVERLOAD_RATIO,
                    false => OVERLOAD_RATIO,
                };
                let deviations = match ratio * self.total_utilization > SATURATED_UTILIZATION {
                    true => SATURATED_DEVIATIONS,
                    false => CONTENDED_DEVIATIONS,
                };
                ratio > ratio_limit + deviations * noise
            }
        };
        busy && exceeds
    }

    /// The narrowest part at an edge of one of the donor's ranges that has about the wanted load and
    /// does not contain the excluded key; or a whole range with less load.
    fn narrowest_edge_by_load(
        &self,
        donor: ReceiverIndex,
        wanted: f64,
        excluded: Option<Key>,
    ) -> Option<(Key, Key)> {
        let mut best: Option<(Key, Key)> = None;
        for (first, last) in &self.held[donor] {
            let whole = self.load_of(*first, *last);
            let edges = match whole <= wanted {
                true if whole < wanted * MIN_EDGE_FRACTION => continue,
                true => [(*first, *last); 2],
                false => [
                    (
                        *first,
                        partition_keys(*first, *last, |to| self.load_of(*first, to) < wanted),
                    ),
                    (
                        partition_keys(*first, *last, |from| self.load_of(from, *last) >= wanted)
                            .saturating_sub(1)
                            .max(*first),
                        *last,
                    ),
                ],
            };
            for (from, to) in edges {
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

    /// The narrowest part at an edge of one of the donor's ranges that has about the wanted load in
    /// the sample and does not contain the excluded key. The densest part anywhere in the range
    /// would be dense mostly by chance, and carry much less load than it seems to.
    fn narrowest_edge(
        &self,
        donor: ReceiverIndex,
        wanted: f64,
        excluded: Option<Key>,
    ) -> Option<(Key, Key)> {
        if let Evidence::Weighed { .. } = self.evidence {
            return self.narrowest_edge_by_load(donor, wanted, excluded);
        }
        let need = (wanted / self.sample_weight.max(f64::MIN_POSITIVE)).round() as usize;
        if need == 0 {
            return None;
        }
        let mut best: Option<(Key, Key)> = None;
        for (first, last) in &self.held[donor] {
            let sample = self.sample_in(*first, *last);
            if sample.len() < need {
                continue;
            }
            let edges = [
                (*first, sample[need - 1]),
                (sample[sample.len() - need], *last),
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
    fn cut_widest_range(&self, donor: ReceiverIndex, wanted: f64) -> Option<(Key, Key)> {
        let width = |(from, to): &(Key, Key)| u32::from(*to) - u32::from(*from) + 1;
        let widest = self.held[donor].iter().max_by_key(|range| width(range))?;
        let weight = self.load_of(widest.0, widest.1);
        if weight <= 0.0 || width(widest) < 2 {
            return None;
        }
        let part = (wanted / weight).clamp(0.0, 0.5);
        let keys = (f64::from(width(widest)) * part) as u32;
        let from = u32::from(widest.1) + 1 - keys.max(1);
        Some((from as Key, widest.1))
    }
}
