//! `key`: generates keys.

use camphordale_bundle::{generate_key, key_to_text, public_to_text};

use super::require_command;
use crate::{CliError, args::Key, console::Console, files::create_key};

pub(crate) fn run(command: Option<Key>, console: &mut Console<'_>) -> Result<(), CliError> {
    let Key::New(args) = require_command(command)?;
    let key = generate_key().map_err(|e| CliError::content(&args.file, e))?;
    create_key(&args.file, &key_to_text(&key))?;
    let public = public_to_text(&key);
    let value = serde_json::json!({"file": args.file, "public": public});
    console.show(&value, || {
        format!(
            "{} written; keep it secret\npublic key, for an operator in a bundle: {public}",
            args.file.display()
        )
    })
}
