//! Validated content of a bundle.

use serde::{Deserialize, Serialize};

use crate::{Digest, OperatorName, Service};

/// One version of the configuration that operators control: the operators and the services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// Version, one above the previous bundle's.
    pub version: u64,
    /// Digest of the bundle this one replaces; `None` for the first.
    pub previous: Option<Digest>,
    /// Operators that sign the *next* bundle.
    pub operators: Operators,
    /// Services, in order of their names.
    pub services: Vec<Service>,
}

/// The operators and the number of signatures that a bundle requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operators {
    /// Number of different operators that must sign.
    pub needed: u32,
    /// The operators.
    pub keys: Vec<Operator>,
}

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name, unique among the operators.
    pub name: OperatorName,
    /// ed25519 public key.
    pub key: [u8; 32],
}

impl Bundle {
    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns the service that a request for `host` and `path` belongs to.
    ///
    /// The longest matching prefix wins; with equal prefixes a service that names the host wins
    /// over one that does not.
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<&Service> {
        self.services
            .iter()
            .filter(|s| s.route.matches(host, path))
            .max_by_key(|s| (s.route.prefix.len(), s.route.host.is_some()))
    }
}

impl crate::Route {
    /// Returns whether a request for `host` and `path` matches.
    ///
    /// # Examples
    ///
    /// ```
    /// use camphordale_types::Route;
    ///
    /// let route = Route { prefix: "/berths".into(), host: None };
    /// assert!(route.matches(None, "/berths/7"));
    /// assert!(!route.matches(None, "/berths-old"));
    /// ```
    pub fn matches(&self, host: Option<&str>, path: &str) -> bool {
        if let Some(expected) = &self.host
            && !host.is_some_and(|h| h.eq_ignore_ascii_case(expected))
        {
            return false;
        }
        let prefix = self.prefix.trim_end_matches('/');
        path.strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
    }
}
