//! How the measurements are run.

use std::path::PathBuf;

/// Options of all sections.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Folder of the programs.
    pub programs: PathBuf,
    /// Folder in which settings, data and logs of deployments are kept; removed if none is given.
    pub keep: Option<PathBuf>,
    /// Whether fewer and shorter runs are made, to try the programs out.
    pub trial: bool,
}

impl RunOptions {
    /// Returns the fixed seeds.
    pub(crate) fn seeds(&self) -> Vec<u64> {
        (1..=self.count(10) as u64).collect()
    }

    /// Returns `count`, or a few in a trial.
    pub(crate) fn count(&self, count: usize) -> usize {
        if self.trial { count.min(2) } else { count }
    }

    /// Returns the command line of a section.
    pub(crate) fn command(&self, section: &str) -> String {
        let trial = if self.trial { " --trial" } else { "" };
        format!("`scripts/measure {section}{trial}`")
    }
}
