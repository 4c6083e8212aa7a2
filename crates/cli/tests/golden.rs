//! The command line and its exit codes: scripts and units of operators use them.
use std::path::Path;
use std::process::{Command, Output};
use test_case::test_case;

fn applepond(words: &[&str]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_applepond"));
    program.env_remove("PROXY_CONFIG").args(words).output().expect("the program runs")
}

/// Commands that were accepted before; one may get further names and help, and never loses one.
const COMMANDS: [&[&str]; 18] = [
    &["serve"],
    &["node"],
    &["fleet"],
    &["fleet", "members"],
    &["check"],
    &["standin"],
    &["standin", "worker"],
    &["standin", "store"],
    &["standin", "hosts"],
    &["drill"],
    &["drill", "bad-day"],
    &["drill", "chains"],
    &["drill", "members"],
    &["drill", "comeback"],
    &["drill", "openings"],
    &["drill", "retry-storm"],
    &["help"],
    &["--version"],
];

#[test]
fn commands_keep_their_words() {
    for words in COMMANDS {
        let help = [words, &["--help"]].concat();
        let help =
            if words.len() == 1 && ["help", "--version"].contains(&words[0]) { words } else { &help[..] };
        let out = applepond(help);
        assert_eq!(out.status.code(), Some(0), "{words:?}: {}", String::from_utf8_lossy(&out.stderr));
    }
}

/// Options by command, hidden ones of rigs included, as the parser names them in its error for one without a
/// value.
#[test]
fn options_keep_their_words() {
    let mut lines = Vec::new();
    for words in COMMANDS.iter().filter(|words| !["help", "--version"].contains(&words[0])) {
        let out = applepond(&[*words, &["--help"]].concat());
        let help = String::from_utf8_lossy(&out.stdout).into_owned();
        let is_option = |word: &&str| word.starts_with("--") && word.len() > 2;
        let options = help.lines().filter_map(|line| {
            let line = line.trim_start();
            line.starts_with('-').then(|| line.split([' ', ',']).find(is_option))?
        });
        let mut options: Vec<&str> = options.collect();
        options.sort_unstable();
        lines.push(format!("{}: {}", words.join(" "), options.join(" ")));
    }
    insta::assert_snapshot!("options", lines.join("\n"));
}

#[test_case(&["check", "../../deploy/example.hcl"], 0; "good settings")]
#[test_case(&["check", "../../Cargo.toml"], 2; "settings with faults")]
#[test_case(&["check", "no-such-file"], 2; "settings that are not there")]
#[test_case(&["serve", "--settings", "no-such-file"], 2; "serve without settings")]
#[test_case(&["serve", "--settings", "../../deploy/example.hcl", "--plant", "no-such"], 2; "unknown plant")]
#[test_case(&["node"], 2; "node without a configuration")]
#[test_case(&["node", "--config", "no-such-file"], 2; "node whose configuration is not there")]
#[test_case(&["fleet", "members", "--at", "127.0.0.1:1"], 1; "a router that does not run")]
#[test_case(&["drill", "members", "--fault", "no-such"], 2; "unknown fault")]
#[test_case(&["no-such-command"], 2; "unknown command")]
fn exit_codes(words: &[&str], code: i32) {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut program = Command::new(env!("CARGO_BIN_EXE_applepond"));
    let out = program.env_remove("PROXY_CONFIG").current_dir(here).args(words).output().expect("it runs");
    assert_eq!(out.status.code(), Some(code), "{}", String::from_utf8_lossy(&out.stderr));
}
