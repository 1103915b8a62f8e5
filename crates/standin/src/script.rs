//! Mix of requests that a caller sends.

use std::{
    fs,
    io,
    path::Path, //
};

use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use serde::Deserialize;

/// Number of hottest keys that are swapped with others in a shift.
const HOTTEST_KEYS: usize = 11;
/// Exponent of the Zipf distribution of keys.
const ZIPF_EXPONENT: f64 = 0.99;
/// Multiplier that spreads seeds, so that adjacent seeds do not generate the same requests.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Maximum number of keys of a service, which bounds the table of the distribution.
const MAX_KEYS: usize = 1_000_000;

/// Error in reading or validating a script.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The file could not be read.
    #[error("read {path}: {source}")]
    Read {
        /// Path of the file.
        path: Box<str>,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not a valid YAML or JSON script.
    #[error("parse {path}: {source}")]
    Parse {
        /// Path of the file.
        path: Box<str>,
        /// The parse error with its line.
        source: serde_norway::Error,
    },
    /// A value is out of range.
    #[error("service {service:?}: {text}")]
    Value {
        /// Name of the service.
        service: Box<str>,
        /// Reason for which the value is invalid.
        text: &'static str,
    },
    /// The script has no services.
    #[error("the script has no services")]
    Empty,
}

/// The services to call.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The services.
    pub services: Vec<ScriptService>,
}

/// One service of a script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptService {
    /// Name, for the records.
    pub name: Box<str>,
    /// Path; `{key}` is replaced by the key.
    pub path: Box<str>,
    /// Header for the key.
    #[serde(default)]
    pub key_header: Option<Box<str>>,
    /// Number of keys; 0 for a service without keys.
    #[serde(default)]
    pub keys: usize,
    /// Percentage of requests with method POST and a body.
    #[serde(default)]
    pub post_percent: u8,
    /// Weight of this service relative to the others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Size of the body of a POST in bytes; the body begins with the marker.
    #[serde(default)]
    pub body_size: usize,
    /// Whether a POST carries an `Idempotency-Key`.
    #[serde(default = "yes")]
    pub idempotent: bool,
}

fn one() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

impl Script {
    /// Reads and validates a script from a YAML or JSON file.
    ///
    /// # Errors
    ///
    /// Returns an error with the invalid file, line or service.
    pub fn read(path: &Path) -> Result<Self, ScriptError> {
        let name = || path.display().to_string().into();
        let text = fs::read_to_string(path).map_err(|source| ScriptError::Read {
            path: name(),
            source,
        })?;
        let script: Script = serde_norway::from_str(&text).map_err(|source| {
            let path = name();
            ScriptError::Parse { path, source }
        })?;
        script.check()?;
        Ok(script)
    }

    fn check(&self) -> Result<(), ScriptError> {
        if self.services.is_empty() {
            return Err(ScriptError::Empty);
        }
        for service in &self.services {
            let takes_key = service.key_header.is_some() || service.path.contains("{key}");
            let text = if !service.path.starts_with('/') {
                "path must begin with /"
            } else if service.keys > MAX_KEYS {
                "keys must be at most 1000000"
            } else if (service.keys > 0) != takes_key {
                "keys need key_header or {key} in the path, and the other way round"
            } else if !(service.weight > 0.0 && service.weight.is_finite()) {
                "weight must be above 0"
            } else if service.post_percent > 100 {
                "post_percent must be at most 100"
            } else {
                continue;
            };
            let service = service.name.clone();
            return Err(ScriptError::Value { service, text });
        }
        Ok(())
    }
}

/// A request sampled from a mix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SampledRequest {
    /// Index of the service in the script.
    pub service: usize,
    /// Index of the key in the service; `None` for a service without keys.
    pub key: Option<usize>,
    /// Whether the method is POST.
    pub post: bool,
    /// Random number that selects an entry VM.
    pub vm: usize,
}

/// Samples requests from a script. The same seed and request number give the same request.
///
/// # Examples
///
/// ```
/// use camphordale_standin::{RequestMix, Script};
///
/// let script: Script = serde_norway::from_str(
///     "services: [{name: cat, path: '/cat/{key}', keys: 100, post_percent: 50}]",
/// )?;
/// let (one, two) = (RequestMix::new(&script, 7), RequestMix::new(&script, 7));
/// assert_eq!(one.sample(12, 0), two.sample(12, 0));
/// # Ok::<(), serde_norway::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct RequestMix {
    seed: u64,
    /// Cumulative weights of the services.
    service_weights: Vec<f64>,
    /// Cumulative weights of the keys, by service.
    key_weights: Vec<Vec<f64>>,
    post_percents: Vec<u8>,
}

impl RequestMix {
    /// Creates a mix of `script`.
    pub fn new(script: &Script, seed: u64) -> Self {
        let services = &script.services;
        RequestMix {
            seed,
            service_weights: cumulative(services.iter().map(|service| service.weight)),
            key_weights: services
                .iter()
                .map(|service| zipf_cumulative(service.keys))
                .collect(),
            post_percents: services
                .iter()
                .map(|service| service.post_percent)
                .collect(),
        }
    }

    /// Samples request `number`. `hot_shift` is the number of times that the hottest keys have
    /// been swapped with others.
    pub fn sample(&self, number: u64, hot_shift: usize) -> SampledRequest {
        // A generator per request lets threads sample without sharing state.
        let random = &mut StdRng::seed_from_u64(self.seed.wrapping_mul(SEED_MULTIPLIER) ^ number);
        let service = pick_weighted(&self.service_weights, random);
        let keys = &self.key_weights[service];
        let key = (!keys.is_empty())
            .then(|| shift_hot_keys(pick_weighted(keys, random), hot_shift, keys.len()));
        SampledRequest {
            service,
            key,
            post: random.random_range(0..100) < self.post_percents[service],
            vm: random.random_range(0..usize::MAX),
        }
    }
}

fn zipf_cumulative(keys: usize) -> Vec<f64> {
    cumulative((1..=keys).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT)))
}

fn cumulative(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |weight| {
        sum += weight;
        sum
    };
    weights.map(add).collect()
}

fn pick_weighted(cumulative: &[f64], random: &mut StdRng) -> usize {
    let Some(total) = cumulative.last() else {
        return 0;
    };
    let point = random.random_range(0.0..*total);
    cumulative
        .partition_point(|sum| *sum <= point)
        .min(cumulative.len() - 1)
}

/// Returns the key at `rank` after the hottest keys were swapped with the `hot_shift`th group of
/// keys of the same size.
fn shift_hot_keys(rank: usize, hot_shift: usize, keys: usize) -> usize {
    let groups = keys / HOTTEST_KEYS;
    if groups < 2 {
        return (rank + hot_shift) % keys;
    }
    let first = hot_shift % groups * HOTTEST_KEYS;
    if rank < HOTTEST_KEYS {
        rank + first
    } else if (first..first + HOTTEST_KEYS).contains(&rank) {
        rank - first
    } else {
        rank
    }
}
