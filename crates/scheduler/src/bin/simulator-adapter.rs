//! The decisions on the simulator's wire, from standard input to standard output.
#![forbid(unsafe_code)]
use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match scheduler::wire::run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("simulator-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
