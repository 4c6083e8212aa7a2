//! Error output and exit status of the command line.

/// Exit status for invalid arguments, settings or input files.
pub(crate) const USAGE_ERROR: u8 = 2;

/// Prints an error to standard error, followed by its help text and code. `context` precedes the message.
pub(crate) fn print_error(context: &str, error: &dyn miette::Diagnostic) {
    eprintln!("{context}{error}");
    if let Some(help) = error.help() {
        let code = error.code().map_or(String::new(), |code| format!(" ({code})"));
        eprintln!("  what to do{code}: {help}");
    }
}
