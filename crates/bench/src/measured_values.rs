//! Measured values that the capacity estimate is computed from.

use std::{
    collections::BTreeMap,
    fs,
    io,
    path::Path, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::MeasureError;

/// Measured values by name. A name starts with the section's name, such as
/// `state.record_bytes`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MeasuredValues(BTreeMap<Box<str>, f64>);

impl MeasuredValues {
    /// Reads the values from a JSON file. A file that does not exist counts as empty.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is not a JSON object of numbers.
    pub fn read(file: &Path) -> Result<MeasuredValues, MeasureError> {
        let name = file.display().to_string();
        match fs::read(file) {
            Ok(bytes) => serde_json::from_slice(&bytes)
                .map_err(io::Error::from)
                .map_err(MeasureError::file(&name)),
            Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(MeasuredValues::default()),
            Err(err) => Err(MeasureError::file(&name)(err)),
        }
    }

    /// Writes the values to a JSON file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, file: &Path) -> Result<(), MeasureError> {
        let name = file.display().to_string();
        let text = serde_json::to_string_pretty(self).map_err(io::Error::from);
        let text = text.map_err(MeasureError::file(&name))? + "\n";
        fs::write(file, text).map_err(MeasureError::file(&name))
    }

    /// Sets a value, or removes it if the new value is not finite.
    pub fn set(&mut self, name: &str, value: f64) {
        if value.is_finite() {
            self.0.insert(name.into(), value);
        } else {
            self.0.remove(name);
        }
    }

    /// Returns a value, or `None` if it has not been measured.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }
}
