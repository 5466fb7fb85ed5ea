//! The program's arguments: none to serve, or a command of the configuration tool.
use crate::lifecycle::start::{self, StartError};
use std::io::{self, Write};

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The arguments are invalid.
    #[error("usage: gateway | gateway config write APP | gateway config check FILE")]
    Usage,
    /// The gateway could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// No configuration can be written for that application.
    #[error(transparent)]
    Write(config::ConfigError),
    /// The configuration file can't be read.
    #[error("{file}: {source}")]
    Read {
        /// The file's path, as given.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration file is faulty.
    #[error("{file}: {fault}")]
    Check {
        /// The file's path, as given.
        file: String,
        /// The faulty key, and the reason.
        fault: config::ConfigError,
    },
}

/// Runs the command that the arguments name; without arguments, serves until the process is signalled to stop.
///
/// # Errors
/// [`CommandError`]; its text is what the user sees.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        [] => Ok(start::start()?),
        ["config", "write", application] => {
            let text = config::application(application).map_err(CommandError::Write)?;
            print(&text);
            Ok(())
        }
        ["config", "check", file] => check(file),
        _ => Err(CommandError::Usage),
    }
}

/// Writes to standard output. An error means that the reader has closed the pipe, which is no failure of the command.
fn print(text: &str) {
    drop(io::stdout().write_all(text.as_bytes()));
}

fn check(file: &str) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| CommandError::Read { file: file.to_owned(), source })?;
    let config =
        config::read(file, &text).map_err(|fault| CommandError::Check { file: file.to_owned(), fault })?;
    print(&format!(
        "{file}: good; {} classes, {} plans, {} disk boxes\n",
        config.classes.len(),
        config.plans.len(),
        config.known.targets.len()
    ));
    Ok(())
}
