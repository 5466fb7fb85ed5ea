//! The gateway: real sockets around the `scheduler`.
mod admin;
mod backend;
mod client;
mod clock;
mod config_overlay;
mod context;
mod coordination;
mod counts;
mod discovery;
mod iscsi;
mod lifecycle;
mod log;
mod messages;
mod net;
mod scatter_gather;
mod scheduler_actor;

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let outcome = match words.as_slice() {
        [] => lifecycle::start::start(),
        ["config", "write", app] => {
            config::application(app).map(|text| say(&text)).map_err(|e| e.to_string())
        }
        ["config", "check", file] => check(file),
        _ => Err("usage: gateway | gateway config write APP | gateway config check FILE".into()),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crate::log::line(format_args!("gateway: {e}"));
            ExitCode::FAILURE
        }
    }
}

/// Writes to standard output; a reader that has gone is no fault.
fn say(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn check(file: &str) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
    let config = config::read(file, &text).map_err(|e| format!("{file}: {e}"))?;
    say(&format!(
        "{file}: good; {} classes, {} plans, {} disk boxes\n",
        config.classes.len(),
        config.plans.len(),
        config.known.targets.len()
    ));
    Ok(())
}
