//! Reads batches from standard input and writes one reply for each to standard output.
use applepond_adapter::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("applepond-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line)?;
        writeln!(output, "{reply}").and_then(|()| output.flush())?;
    }
    Ok(())
}
