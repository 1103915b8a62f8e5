//! Validation of the content of a bundle. Errors name the invalid field.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use camphordale_types::{
    Bundle,
    KeySource,
    Operators,
    Route,
    Service,
    Weights, //
};

use crate::{
    error::{
        ErrorPath,
        ValidationError, //
    },
    key::is_usable, //
};

const MAX_SERVICES: usize = 1024;
const MAX_OPERATORS: usize = 64;
const MAX_SHARDS: u32 = 65_536;
const MAX_HOT_KEYS: usize = 64;
const MAX_KEY_BYTES: usize = 1024;
const MAX_NAME_BYTES: usize = 64;
const MAX_SEGMENT_INDEX: u32 = 63;
const MAX_PREFIX_BYTES: usize = 1024;
const MAX_HOST_BYTES: usize = 253;
const MAX_SLOTS: u32 = 4096;
const MAX_CONNECTIONS: u32 = 65_536;
const MAX_QUEUE: u32 = 65_536;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const MAX_LEASE: Duration = Duration::from_secs(24 * 3600);
const MAX_RECORD_LIFE: Duration = Duration::from_secs(24 * 3600);
const MAX_WARM_UP: Duration = Duration::from_secs(3600);

/// Validates a decoded bundle, whose services must be sorted by name.
pub(crate) fn validate_decoded(bundle: &Bundle) -> Result<(), ValidationError> {
    validate(bundle)?;
    ensure(bundle.services.is_sorted_by_key(|s| &s.name), || {
        "services are not sorted by name".into()
    })
    .field("services")
}

/// Validates a bundle whose services may be in any order.
pub(crate) fn validate(bundle: &Bundle) -> Result<(), ValidationError> {
    ensure(bundle.version >= 1, || "the first version is 1".into()).field("version")?;
    ensure(bundle.previous.is_some() == (bundle.version > 1), || {
        "required from version 2 on, and not allowed in version 1".into()
    })
    .field("previous")?;
    check_operators(&bundle.operators).field("operators")?;
    check_services(&bundle.services).field("services")
}

fn check_operators(operators: &Operators) -> Result<(), ValidationError> {
    let count = operators.keys.len();
    ensure(
        operators.needed >= 1 && operators.needed as usize <= count,
        || format!("must be between 1 and the number of keys, {count}"),
    )
    .field("needed")?;
    ensure(count <= MAX_OPERATORS, || {
        format!("more than {MAX_OPERATORS} operators")
    })
    .field("keys")?;
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (i, operator) in operators.keys.iter().enumerate() {
        let name = check_name(&operator.name)
            .and_then(|()| ensure_unique(&mut names, &operator.name, &operator.name));
        let key = ensure(is_usable(&operator.key), || {
            "not a usable ed25519 public key".into()
        })
        .and_then(|()| ensure_unique(&mut keys, &operator.key, "the key"));
        name.field("name")
            .and(key.field("key"))
            .item(i)
            .field("keys")?;
    }
    Ok(())
}

fn check_services(services: &[Service]) -> Result<(), ValidationError> {
    ensure(services.len() <= MAX_SERVICES, || {
        format!("more than {MAX_SERVICES} services")
    })?;
    let mut names = BTreeSet::new();
    let mut routes = BTreeSet::new();
    for (i, service) in services.iter().enumerate() {
        check_service(service)
            .and_then(|()| ensure_unique(&mut names, &service.name, &service.name).field("name"))
            .and_then(|()| {
                let route = (&service.route.host, &service.route.prefix);
                ensure_unique(&mut routes, route, "the pair of host and prefix").field("route")
            })
            .item(i)?;
    }
    Ok(())
}

fn check_service(service: &Service) -> Result<(), ValidationError> {
    check_name(&service.name).field("name")?;
    check_route(&service.route).field("route")?;
    check_key(&service.key).field("key")?;
    check_shards(service)?;
    ensure_range(service.deadline, MS, MAX_DEADLINE).field("deadline")?;
    if let Some(lease) = service.domain_lease {
        ensure_range(lease, SECOND, MAX_LEASE).field("domain_lease")?;
    }
    // If a record expired before the deadline of its request, a duplicate of the request could be
    // executed.
    ensure_range(
        service.record_life,
        service.deadline.max(SECOND),
        MAX_RECORD_LIFE,
    )
    .field("record_life")?;
    ensure(service.new_percent <= 100, || {
        "must not be more than 100%".into()
    })
    .field("new_percent")?;
    ensure((1..=MAX_SLOTS).contains(&service.slots), || {
        format!("must be between 1 and {MAX_SLOTS}")
    })
    .field("slots")?;
    ensure(
        (service.slots..=MAX_CONNECTIONS).contains(&service.connections),
        || {
            format!(
                "must be between the number of slots, {}, and {MAX_CONNECTIONS}",
                service.slots
            )
        },
    )
    .field("connections")?;
    ensure(service.queue <= MAX_QUEUE, || {
        format!("must not be more than {MAX_QUEUE}")
    })
    .field("queue")?;
    ensure_range(service.warm_up, Duration::ZERO, MAX_WARM_UP).field("warm_up")?;
    check_weights(&service.weights).field("weights")
}

fn check_route(route: &Route) -> Result<(), ValidationError> {
    let prefix = &*route.prefix;
    let is_allowed = |b: u8| b.is_ascii_graphic() && !b"?#\"<>\\^`{|}".contains(&b);
    ensure(
        prefix.starts_with('/')
            && prefix.len() <= MAX_PREFIX_BYTES
            && prefix.bytes().all(is_allowed),
        || "must begin with / and contain only characters that are valid in a path".into(),
    )
    .field("prefix")?;
    ensure(prefix == "/" || !prefix.ends_with('/'), || {
        "must not end with /".into()
    })
    .field("prefix")?;
    ensure(!prefix.contains("//"), || {
        "must not contain an empty segment".into()
    })
    .field("prefix")?;
    let Some(host) = &route.host else {
        return Ok(());
    };
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
    ensure(
        (1..=MAX_HOST_BYTES).contains(&host.len()) && host.bytes().all(is_allowed),
        || "must be a host name without port".into(),
    )
    .field("host")
}

fn check_key(key: &KeySource) -> Result<(), ValidationError> {
    let valid_length = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
    match key {
        KeySource::None => Ok(()),
        KeySource::Header(name) => {
            let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
            ensure(valid_length(name) && name.bytes().all(is_token), || {
                format!("{name:?} is not a header name")
            })
            .field("header")
        }
        KeySource::Segment(index) => ensure(*index <= MAX_SEGMENT_INDEX, || {
            format!("must not be more than {MAX_SEGMENT_INDEX}")
        })
        .field("segment"),
        KeySource::Query(name) => {
            let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
            ensure(
                valid_length(name) && name.bytes().all(is_unreserved),
                || format!("{name:?} is not the name of a query parameter"),
            )
            .field("query")
        }
    }
}

fn check_shards(service: &Service) -> Result<(), ValidationError> {
    let keyed = service.is_keyed();
    ensure(!keyed || (1..=MAX_SHARDS).contains(&service.shards), || {
        format!("must be between 1 and {MAX_SHARDS} for a service with a key source")
    })
    .field("shards")?;
    ensure(keyed || service.shards == 0, || {
        "must be 0 for a service without a key source".into()
    })
    .field("shards")?;
    ensure(keyed || service.hot_keys.is_empty(), || {
        "a service without a key source has no hot keys".into()
    })
    .field("hot_keys")?;
    ensure(service.hot_keys.len() <= MAX_HOT_KEYS, || {
        format!("more than {MAX_HOT_KEYS} hot keys")
    })
    .field("hot_keys")?;
    let mut seen = BTreeSet::new();
    for (i, key) in service.hot_keys.iter().enumerate() {
        ensure((1..=MAX_KEY_BYTES).contains(&key.len()), || {
            format!("must have between 1 and {MAX_KEY_BYTES} bytes")
        })
        .and_then(|()| ensure_unique(&mut seen, key, key))
        .item(i)
        .field("hot_keys")?;
    }
    Ok(())
}

fn check_weights(weights: &Weights) -> Result<(), ValidationError> {
    // A negative zero would give equal weights different canonical bytes.
    let check_weight = |weight: f64| {
        ensure(weight.is_finite() && weight.is_sign_positive(), || {
            "must be a finite number that is not negative".into()
        })
    };
    check_weight(weights.imbalance).field("imbalance")?;
    check_weight(weights.churn).field("churn")?;
    check_weight(weights.unavailable).field("unavailable")
}

fn check_name(name: &str) -> Result<(), ValidationError> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    ensure(
        (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed),
        || format!("must be 1 to {MAX_NAME_BYTES} of the characters a-z, 0-9 and -"),
    )
}

/// Checks the range of a duration. The YAML format has no unit below a millisecond.
fn ensure_range(value: Duration, min: Duration, max: Duration) -> Result<(), ValidationError> {
    ensure(
        (min..=max).contains(&value) && value.subsec_nanos().is_multiple_of(1_000_000),
        || format!("must be between {min:?} and {max:?} in whole milliseconds"),
    )
}

fn ensure_unique<Item>(
    seen: &mut BTreeSet<Item>,
    item: Item,
    what: &str,
) -> Result<(), ValidationError>
where
    Item: Ord,
{
    ensure(seen.insert(item), || format!("{what} is used twice"))
}

fn ensure(condition: bool, reason: impl FnOnce() -> String) -> Result<(), ValidationError> {
    if condition {
        Ok(())
    } else {
        Err(ValidationError::new(reason()))
    }
}
