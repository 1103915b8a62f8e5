//! YAML layout of a bundle, before validation.

use std::time::Duration;

use camphordale_types::{
    Bundle,
    Digest,
    KeySource,
    Operator,
    Operators,
    RetryPolicy,
    Route,
    Service,
    Weights, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DisplayFromStr,
    serde_as, //
};

use crate::{
    error::ValidationError,
    serde_adapters::{
        DurationOrNone,
        DurationText,
        HexText,
        KeyText,
        Percent, //
    },
    validate::validate, //
};

/// Default number of shards of a keyed service.
const DEFAULT_SHARDS: u32 = 256;
/// Default queue limit, in requests per slot of a target.
const DEFAULT_QUEUE_PER_SLOT: u32 = 4;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const DEFAULT_RECORD_LIFE: Duration = Duration::from_secs(600);
const DEFAULT_WARM_UP: Duration = Duration::from_secs(10);

#[serde_as]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBundle {
    version: u64,
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    previous: Option<Digest>,
    operators: RawOperators,
    services: Vec<RawService>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOperators {
    needed: u32,
    keys: Vec<RawOperator>,
}

#[serde_as]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOperator {
    name: Box<str>,
    #[serde_as(as = "HexText")]
    key: [u8; 32],
}

#[serde_as]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Box<str>,
    route: RawRoute,
    #[serde_as(as = "KeyText")]
    #[serde(default = "no_key")]
    key: KeySource,
    #[serde(default)]
    shards: Option<u32>,
    #[serde(default)]
    hot_keys: Vec<Box<str>>,
    #[serde(default)]
    repeat: RawRetryPolicy,
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_deadline")]
    deadline: Duration,
    #[serde_as(as = "DurationOrNone")]
    #[serde(default)]
    domain_lease: Option<Duration>,
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_record_life")]
    record_life: Duration,
    #[serde_as(as = "Percent")]
    #[serde(default)]
    new_percent: u8,
    slots: u32,
    connections: u32,
    #[serde(default)]
    queue: Option<u32>,
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_warm_up")]
    warm_up: Duration,
    #[serde(default)]
    weights: RawWeights,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    prefix: Box<str>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    host: Option<Box<str>>,
}

#[derive(Clone, Copy, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawRetryPolicy {
    #[default]
    ByMethod,
    Always,
    Never,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawWeights {
    imbalance: f64,
    churn: f64,
    unavailable: f64,
}

impl Default for RawWeights {
    fn default() -> Self {
        RawWeights {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        }
    }
}

fn no_key() -> KeySource {
    KeySource::None
}

fn default_deadline() -> Duration {
    DEFAULT_DEADLINE
}

fn default_record_life() -> Duration {
    DEFAULT_RECORD_LIFE
}

fn default_warm_up() -> Duration {
    DEFAULT_WARM_UP
}

impl TryFrom<RawBundle> for Bundle {
    type Error = ValidationError;

    fn try_from(raw: RawBundle) -> Result<Self, ValidationError> {
        let mut bundle = Bundle {
            version: raw.version,
            previous: raw.previous,
            operators: Operators {
                needed: raw.operators.needed,
                keys: raw
                    .operators
                    .keys
                    .into_iter()
                    .map(|raw| Operator {
                        name: raw.name,
                        key: raw.key,
                    })
                    .collect(),
            },
            services: raw.services.into_iter().map(Service::from).collect(),
        };
        // Validated before sorting, so that the index in an error's path is the position of the
        // service in the YAML text.
        validate(&bundle)?;
        bundle.services.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(bundle)
    }
}

impl From<RawService> for Service {
    fn from(raw: RawService) -> Self {
        let keyed = raw.key != KeySource::None;
        Service {
            name: raw.name,
            route: raw.route.into(),
            key: raw.key,
            shards: raw.shards.unwrap_or(if keyed { DEFAULT_SHARDS } else { 0 }),
            hot_keys: raw.hot_keys,
            repeat: match raw.repeat {
                RawRetryPolicy::ByMethod => RetryPolicy::ByMethod,
                RawRetryPolicy::Always => RetryPolicy::Always,
                RawRetryPolicy::Never => RetryPolicy::Never,
            },
            deadline: raw.deadline,
            domain_lease: raw.domain_lease,
            record_life: raw.record_life,
            new_percent: raw.new_percent,
            slots: raw.slots,
            connections: raw.connections,
            queue: raw
                .queue
                .unwrap_or_else(|| raw.slots.saturating_mul(DEFAULT_QUEUE_PER_SLOT)),
            warm_up: raw.warm_up,
            weights: Weights {
                imbalance: raw.weights.imbalance,
                churn: raw.weights.churn,
                unavailable: raw.weights.unavailable,
            },
        }
    }
}

impl From<RawRoute> for Route {
    /// Normalizes a route, so that routes that match the same requests are equal.
    fn from(raw: RawRoute) -> Self {
        let prefix = raw.prefix.trim_end_matches('/');
        Route {
            prefix: match prefix {
                "" if raw.prefix.starts_with('/') => "/".into(),
                _ => prefix.into(),
            },
            host: raw.host.map(|host| host.to_ascii_lowercase().into()),
        }
    }
}

impl From<&Bundle> for RawBundle {
    fn from(bundle: &Bundle) -> Self {
        let key = |operator: &Operator| RawOperator {
            name: operator.name.clone(),
            key: operator.key,
        };
        RawBundle {
            version: bundle.version,
            previous: bundle.previous,
            operators: RawOperators {
                needed: bundle.operators.needed,
                keys: bundle.operators.keys.iter().map(key).collect(),
            },
            services: bundle.services.iter().map(RawService::from).collect(),
        }
    }
}

impl From<&Service> for RawService {
    fn from(service: &Service) -> Self {
        RawService {
            name: service.name.clone(),
            route: RawRoute {
                prefix: service.route.prefix.clone(),
                host: service.route.host.clone(),
            },
            key: service.key.clone(),
            shards: Some(service.shards),
            hot_keys: service.hot_keys.clone(),
            repeat: match service.repeat {
                RetryPolicy::ByMethod => RawRetryPolicy::ByMethod,
                RetryPolicy::Always => RawRetryPolicy::Always,
                RetryPolicy::Never => RawRetryPolicy::Never,
            },
            deadline: service.deadline,
            domain_lease: service.domain_lease,
            record_life: service.record_life,
            new_percent: service.new_percent,
            slots: service.slots,
            connections: service.connections,
            queue: Some(service.queue),
            warm_up: service.warm_up,
            weights: RawWeights {
                imbalance: service.weights.imbalance,
                churn: service.weights.churn,
                unavailable: service.weights.unavailable,
            },
        }
    }
}

/// Returns the fields of a service as pairs of name and YAML value, in the order of the layout.
pub(crate) fn service_fields(service: &Service) -> Vec<(Box<str>, Box<str>)> {
    let Ok(serde_norway::Value::Mapping(fields)) =
        serde_norway::to_value(RawService::from(service))
    else {
        return Vec::new();
    };
    fields
        .iter()
        .map(|(name, value)| (name.as_str().unwrap_or_default().into(), format_flow(value)))
        .collect()
}

/// Formats a value on one line, in YAML flow style.
fn format_flow(value: &serde_norway::Value) -> Box<str> {
    use serde_norway::Value;
    let text = match value {
        Value::Sequence(items) => {
            let items: Vec<_> = items.iter().map(format_flow).collect();
            format!("[{}]", items.join(", "))
        }
        Value::Mapping(fields) => {
            let field = |(name, value): (&Value, &Value)| {
                format!("{}: {}", format_flow(name), format_flow(value))
            };
            let fields: Vec<_> = fields.iter().map(field).collect();
            format!("{{{}}}", fields.join(", "))
        }
        scalar => serde_norway::to_string(scalar)
            .unwrap_or_default()
            .trim_end()
            .to_owned(),
    };
    text.into()
}
