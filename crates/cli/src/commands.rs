//! The commands.

pub(crate) mod actions;
pub(crate) mod audit;
pub(crate) mod bundle;
pub(crate) mod key;
pub(crate) mod show;
pub(crate) mod submit;
pub(crate) mod trace;

use crate::CliError;

/// Returns the command of a group. The parser refuses a command line without one.
pub(crate) fn required<C>(command: Option<C>) -> Result<C, CliError> {
    command.ok_or_else(|| CliError::Usage("a command is required".into()))
}
