//! The program `gateway`.
use std::process::ExitCode;

fn main() -> ExitCode {
    let _log = gateway::log::start();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match gateway::command_line::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            gateway::log::line(format_args!("gateway: {error}"));
            ExitCode::FAILURE
        }
    }
}
