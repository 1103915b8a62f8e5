//! The commands.

pub(crate) mod actions;
pub(crate) mod audit;
pub(crate) mod bundle;
pub(crate) mod key;
pub(crate) mod show;
pub(crate) mod submit;
pub(crate) mod trace;

use crate::CliError;

/// Returns the command of a command group. The parser refuses a command line without one, so the
/// error is not expected.
pub(crate) fn require_command<C>(command: Option<C>) -> Result<C, CliError> {
    command.ok_or_else(|| CliError::Usage("a command is required".into()))
}
