//! Differences between two bundles.

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
    /// The number of signatures required for the next bundle differs.
    Needed {
        /// Number in the first bundle.
        before: u32,
        /// Number in the second bundle.
        after: u32,
    },
    /// The operator is only in the second bundle.
    OperatorAdded(OperatorName),
    /// The operator is only in the first bundle.
    OperatorRemoved(OperatorName),
    /// The key of the operator differs.
    OperatorKey(OperatorName),
    /// The service is only in the second bundle.
    ServiceAdded(ServiceName),
    /// The service is only in the first bundle.
    ServiceRemoved(ServiceName),
    /// A field of a service differs.
    Field {
        /// The service.
        service: ServiceName,
        /// YAML name of the field.
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
/// name. The digest of the previous bundle is omitted, because it always differs.
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
    let mut differences = Vec::new();
    if before.version != after.version {
        differences.push(Difference::Version {
            before: before.version,
            after: after.version,
        });
    }
    diff_operators(before, after, &mut differences);
    diff_services(before, after, &mut differences);
    differences
}

fn diff_operators(before: &Bundle, after: &Bundle, differences: &mut Vec<Difference>) {
    let (old, new) = (&before.operators, &after.operators);
    if old.needed != new.needed {
        differences.push(Difference::Needed {
            before: old.needed,
            after: new.needed,
        });
    }
    let by_name = |bundle: &Bundle| -> BTreeMap<OperatorName, [u8; 32]> {
        let keys = bundle.operators.keys.iter();
        keys.map(|operator| (operator.name.clone(), operator.key))
            .collect()
    };
    for (name, pair) in join_by_name(&by_name(before), &by_name(after)) {
        match pair {
            (Some(_), None) => differences.push(Difference::OperatorRemoved(name)),
            (None, _) => differences.push(Difference::OperatorAdded(name)),
            (Some(old), Some(new)) if old != new => differences.push(Difference::OperatorKey(name)),
            (Some(_), Some(_)) => {}
        }
    }
}

fn diff_services(before: &Bundle, after: &Bundle, differences: &mut Vec<Difference>) {
    fn by_name(bundle: &Bundle) -> BTreeMap<ServiceName, &Service> {
        let services = bundle.services.iter();
        services
            .map(|service| (service.name.clone(), service))
            .collect()
    }
    for (name, pair) in join_by_name(&by_name(before), &by_name(after)) {
        match pair {
            (Some(_), None) => differences.push(Difference::ServiceRemoved(name)),
            (None, _) => differences.push(Difference::ServiceAdded(name)),
            (Some(old), Some(new)) => {
                let fields = service_fields(old).into_iter().zip(service_fields(new));
                differences.extend(fields.filter(|((_, old), (_, new))| old != new).map(
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

/// The values of two maps for one name.
type Pair<Value> = (Option<Value>, Option<Value>);

/// Returns the values of both maps for each name that is in at least one of them.
fn join_by_name<Value>(
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
