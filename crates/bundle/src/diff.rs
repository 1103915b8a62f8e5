//! What a bundle changes.

use std::{
    collections::BTreeMap,
    fmt, //
};

use camphordale_types::{
    Bundle,
    OperatorName,
    Service,
    ServiceName, //
};

use crate::raw::service_fields;

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// The version differs.
    Version {
        /// Version of the first bundle.
        before: u64,
        /// Version of the second bundle.
        after: u64,
    },
    /// The number of signatures that the next bundle needs differs.
    Needed {
        /// Number in the first bundle.
        before: u32,
        /// Number in the second bundle.
        after: u32,
    },
    /// Only the second bundle has the operator.
    OperatorAdded(OperatorName),
    /// Only the first bundle has the operator.
    OperatorRemoved(OperatorName),
    /// The operator has another key.
    OperatorKey(OperatorName),
    /// Only the second bundle has the service.
    ServiceAdded(ServiceName),
    /// Only the first bundle has the service.
    ServiceRemoved(ServiceName),
    /// A field of a service differs.
    Field {
        /// The service.
        service: ServiceName,
        /// Name of the field in YAML.
        field: Box<str>,
        /// Its value in the first bundle, as YAML.
        before: Box<str>,
        /// Its value in the second bundle, as YAML.
        after: Box<str>,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Version { before, after } => write!(f, "version: {before} -> {after}"),
            Difference::Needed { before, after } => {
                write!(f, "signatures needed: {before} -> {after}")
            }
            Difference::OperatorAdded(name) => write!(f, "operator {name}: added"),
            Difference::OperatorRemoved(name) => write!(f, "operator {name}: removed"),
            Difference::OperatorKey(name) => write!(f, "operator {name}: key changed"),
            Difference::ServiceAdded(name) => write!(f, "service {name}: added"),
            Difference::ServiceRemoved(name) => write!(f, "service {name}: removed"),
            Difference::Field {
                service,
                field,
                before,
                after,
            } => write!(f, "service {service}: {field}: {before} -> {after}"),
        }
    }
}

/// Returns the differences from `before` to `after`: version, operators by name, then services by
/// name. The digest of the previous bundle is left out, because it always differs.
///
/// # Examples
///
/// ```
/// use camphordale_bundle::{diff, parse_bundle};
///
/// let before = parse_bundle(include_str!("../../../examples/bundles/kilimo.yaml"))?;
/// let mut after = before.clone();
/// after.services[0].new_percent = 25;
/// let lines: Vec<String> = diff(&before, &after).iter().map(ToString::to_string).collect();
/// assert_eq!(lines, ["service catalogue: new_percent: 0% -> 25%"]);
/// # Ok::<(), camphordale_bundle::BundleError>(())
/// ```
pub fn diff(before: &Bundle, after: &Bundle) -> Vec<Difference> {
    let mut found = Vec::new();
    if before.version != after.version {
        found.push(Difference::Version {
            before: before.version,
            after: after.version,
        });
    }
    diff_operators(before, after, &mut found);
    diff_services(before, after, &mut found);
    found
}

fn diff_operators(before: &Bundle, after: &Bundle, found: &mut Vec<Difference>) {
    let (old, new) = (&before.operators, &after.operators);
    if old.needed != new.needed {
        found.push(Difference::Needed {
            before: old.needed,
            after: new.needed,
        });
    }
    let by_name = |bundle: &Bundle| -> BTreeMap<OperatorName, [u8; 32]> {
        let keys = bundle.operators.keys.iter();
        keys.map(|operator| (operator.name.clone(), operator.key))
            .collect()
    };
    for (name, pair) in pairs(&by_name(before), &by_name(after)) {
        match pair {
            (Some(_), None) => found.push(Difference::OperatorRemoved(name)),
            (None, _) => found.push(Difference::OperatorAdded(name)),
            (Some(old), Some(new)) if old != new => found.push(Difference::OperatorKey(name)),
            (Some(_), Some(_)) => {}
        }
    }
}

fn diff_services(before: &Bundle, after: &Bundle, found: &mut Vec<Difference>) {
    fn by_name(bundle: &Bundle) -> BTreeMap<ServiceName, &Service> {
        let services = bundle.services.iter();
        services
            .map(|service| (service.name.clone(), service))
            .collect()
    }
    for (name, pair) in pairs(&by_name(before), &by_name(after)) {
        match pair {
            (Some(_), None) => found.push(Difference::ServiceRemoved(name)),
            (None, _) => found.push(Difference::ServiceAdded(name)),
            (Some(old), Some(new)) => {
                let fields = service_fields(old).into_iter().zip(service_fields(new));
                found.extend(fields.filter(|((_, old), (_, new))| old != new).map(
                    |((field, before), (_, after))| Difference::Field {
                        service: name.clone(),
                        field,
                        before,
                        after,
                    },
                ));
            }
        }
    }
}

/// The values that two maps have for one name.
type Pair<Value> = (Option<Value>, Option<Value>);

/// Returns the values of both maps for each name that either has.
fn pairs<Value>(
    before: &BTreeMap<Box<str>, Value>,
    after: &BTreeMap<Box<str>, Value>,
) -> Vec<(Box<str>, Pair<Value>)>
where
    Value: Copy,
{
    let names: std::collections::BTreeSet<&Box<str>> = before.keys().chain(after.keys()).collect();
    names
        .into_iter()
        .map(|name| {
            (
                name.clone(),
                (before.get(name).copied(), after.get(name).copied()),
            )
        })
        .collect()
}
