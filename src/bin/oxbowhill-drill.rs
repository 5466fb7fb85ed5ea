//! The decisions on the drill's wire, from standard input to standard output.
#![forbid(unsafe_code)]
use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match oxbowhill::wire::run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("oxbowhill-drill: {e}");
            ExitCode::FAILURE
        }
    }
}
