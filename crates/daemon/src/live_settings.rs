//! The settings that a running daemon reloads on SIGHUP.

use std::sync::{
    PoisonError,
    RwLock, //
};

use crate::settings::{
    BearerKey,
    Drain,
    Settings, //
};

/// The present values of the settings that can be reloaded.
pub(crate) struct LiveSettings(RwLock<Values>);

struct Values {
    targets: Vec<BearerKey>,
    operators: BearerKey,
    drain: Drain,
}

impl LiveSettings {
    pub(crate) fn new(settings: &Settings) -> Self {
        LiveSettings(RwLock::new(Values::of(settings)))
    }

    /// Replaces the values by those of new settings.
    pub(crate) fn replace(&self, settings: &Settings) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Values::of(settings);
    }

    /// Tells whether an `Authorization` header carries the key of a target.
    pub(crate) fn accepts_target(&self, header: &str) -> bool {
        self.read(|values| values.targets.iter().any(|key| key.accepts(header)))
    }

    /// Tells whether an `Authorization` header carries the operators' key.
    pub(crate) fn accepts_operator(&self, header: &str) -> bool {
        self.read(|values| values.operators.accepts(header))
    }

    pub(crate) fn drain(&self) -> Drain {
        self.read(|values| values.drain)
    }

    fn read<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&Values) -> T,
    {
        f(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Values {
    fn of(settings: &Settings) -> Self {
        Values {
            targets: settings
                .targets
                .as_ref()
                .map(|targets| targets.keys.clone())
                .unwrap_or_default(),
            operators: settings.operators.key.clone(),
            drain: settings.drain,
        }
    }
}
