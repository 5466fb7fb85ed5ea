//! The gateway: real sockets around the `scheduler`.
mod accept;
mod agent;
mod arrivals;
mod ban_files;
mod bans;
mod blocks;
mod boxes;
mod change_orders;
mod changing;
mod client;
mod client_answers;
mod clock;
mod command;
mod connect;
mod context;
mod counts;
mod exchange;
mod fellows;
mod files;
mod gathering;
mod gathering_actor;
mod gathering_parts;
mod gathering_reply;
mod handover;
mod in_force;
mod iscsi_front;
mod iscsi_request;
mod iscsi_session;
mod iscsi_shared;
mod list;
mod listeners;
mod log;
mod mail;
mod module;
mod objects;
mod operators;
mod orders;
mod peer;
mod platform;
mod process_lock;
mod reason;
mod record;
mod reply;
mod restart;
mod seats;
mod shortage;
mod socket;
mod start;
mod start_times;
mod stop;
mod tally;
mod value;
mod watch;
mod wire;
mod words;

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let outcome = match words.as_slice() {
        [] => start::start(),
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
