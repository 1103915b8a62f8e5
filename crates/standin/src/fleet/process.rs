//! Child process that is killed when its handle is dropped.

use std::{
    fs::{
        self,
        File, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use super::FleetError;

/// Interval at which [`Process::wait`] checks whether the process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process. Dropping it kills it.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts `program` with its output appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the program cannot be started.
    pub fn start<F>(program: &Path, log: &Path, configure: F) -> Result<Process, FleetError>
    where
        F: FnOnce(&mut Command),
    {
        let out = File::options().create(true).append(true).open(log);
        let out = out.map_err(FleetError::io("open a log"))?;
        let err = out.try_clone().map_err(FleetError::io("open a log"))?;
        let mut command = Command::new(program);
        command.stdin(Stdio::null()).stdout(out).stderr(err);
        configure(&mut command);
        let child = command.spawn().map_err(FleetError::io("start a process"))?;
        let log = log.to_path_buf();
        Ok(Process { child, log })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal with this name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<(), FleetError> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .map_err(FleetError::io("send a signal"))?;
        if status.success() {
            Ok(())
        } else {
            Err(FleetError::new("send a signal", "the process has exited"))
        }
    }

    /// Waits up to `timeout` for the process to exit. Returns whether it succeeded, or `None` if it
    /// is still running.
    pub fn wait(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the output of the process.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
