//! How errors of the command line reach an operator.

/// Exit status for a command line, settings or a file that are not valid.
pub(crate) const USAGE_ERROR: u8 = 2;

/// Prints an error as an operator reads it: what happened, and what to do about it. `context` comes in front.
pub(crate) fn print_error(context: &str, error: &dyn miette::Diagnostic) {
    eprintln!("{context}{error}");
    if let Some(help) = error.help() {
        let code = error.code().map_or(String::new(), |code| format!(" ({code})"));
        eprintln!("  what to do{code}: {help}");
    }
}
