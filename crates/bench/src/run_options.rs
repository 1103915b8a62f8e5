//! Options of a benchmark run.

use std::path::PathBuf;

/// Options that apply to all sections.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Directory with the compiled programs.
    pub programs: PathBuf,
    /// Directory in which the settings, data and logs of deployments are kept. If it is not set,
    /// they go to a temporary directory that is removed after the run.
    pub keep: Option<PathBuf>,
    /// Whether to make few and short runs, to check that the benchmarks work.
    pub trial: bool,
}

impl RunOptions {
    /// Returns the seeds of the repetitions, which are the same in each run.
    pub(crate) fn seeds(&self) -> Vec<u64> {
        (1..=self.count(10) as u64).collect()
    }

    /// Returns `count`, or at most 2 in a trial.
    pub(crate) fn count(&self, count: usize) -> usize {
        if self.trial { count.min(2) } else { count }
    }

    /// Returns the command line that runs a section, as Markdown code.
    pub(crate) fn command(&self, section: &str) -> String {
        let trial = if self.trial { " --trial" } else { "" };
        format!("`scripts/measure {section}{trial}`")
    }
}
