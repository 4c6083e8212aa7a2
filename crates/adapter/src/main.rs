//! Reads batches of events from standard input and writes one reply per batch to standard output.
use applepond_adapter::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("applepond-adapter: {error}");
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
        let reply = host.handle_batch(&line)?;
        writeln!(output, "{reply}").and_then(|()| output.flush())?;
    }
    Ok(())
}
