//! Values from the measurements that the capacity is worked out from.

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

/// Named values; the name starts with the section, such as `control.cpu_per_vm`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MeasuredValues(BTreeMap<Box<str>, f64>);

impl MeasuredValues {
    /// Reads the file; one that does not exist has no values.
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

    /// Writes the file.
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

    /// Sets one value; one that is not finite is left out.
    pub fn set(&mut self, name: &str, value: f64) {
        if value.is_finite() {
            self.0.insert(name.into(), value);
        } else {
            self.0.remove(name);
        }
    }

    /// Returns one value.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.get(name).copied()
    }
}
