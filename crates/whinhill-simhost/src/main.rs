//! Runs the assigner instances that the simulator names.
//!
//! Reads batches of events from standard input and writes each instance's orders to standard output.

mod host;
mod wire;

use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, stdin().lock());
    match host::run(input, BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinhill-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
