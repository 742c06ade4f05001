//! Hosts one assigner for each instance that the simulator names, on standard input and output.

mod host;
mod wire;

use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, stdin().lock());
    match host::run(input, BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("whinhill-simhost: {failure}");
            ExitCode::FAILURE
        }
    }
}
