//! Commands, options and exit codes, on which scripts and service units of operators depend.
use std::path::Path;
use std::process::{Command, Output};
use test_case::test_case;

fn applepond(args: &[&str]) -> Output {
    let mut program = Command::new(env!("CARGO_BIN_EXE_applepond"));
    program.env_remove("PROXY_CONFIG").args(args).output().expect("the program runs")
}

/// Commands that have to remain accepted. A command may gain aliases, but must not lose a name.
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
fn commands_keep_their_names() {
    for command in COMMANDS {
        let help = [command, &["--help"]].concat();
        let help = if command.len() == 1 && ["help", "--version"].contains(&command[0]) {
            command
        } else {
            &help[..]
        };
        let out = applepond(help);
        assert_eq!(out.status.code(), Some(0), "{command:?}: {}", String::from_utf8_lossy(&out.stderr));
    }
}

/// Lists the options that the help of each command shows. Hidden options are not included.
#[test]
fn options_keep_their_names() {
    let mut lines = Vec::new();
    for command in COMMANDS.iter().filter(|command| !["help", "--version"].contains(&command[0])) {
        let out = applepond(&[*command, &["--help"]].concat());
        let help = String::from_utf8_lossy(&out.stdout).into_owned();
        let is_option = |word: &&str| word.starts_with("--") && word.len() > 2;
        let options = help.lines().filter_map(|line| {
            let line = line.trim_start();
            line.starts_with('-').then(|| line.split([' ', ',']).find(is_option))?
        });
        let mut options: Vec<&str> = options.collect();
        options.sort_unstable();
        lines.push(format!("{}: {}", command.join(" "), options.join(" ")));
    }
    insta::assert_snapshot!("options", lines.join("\n"));
}

#[test_case(&["check", "../../deploy/example.hcl"], 0; "valid settings")]
#[test_case(&["check", "../../Cargo.toml"], 2; "invalid settings")]
#[test_case(&["check", "no-such-file"], 2; "missing settings")]
#[test_case(&["serve", "--settings", "no-such-file"], 2; "serve without settings")]
#[test_case(&["serve", "--settings", "../../deploy/example.hcl", "--plant", "no-such"], 2; "unknown bug")]
#[test_case(&["node"], 2; "node without a configuration")]
#[test_case(&["node", "--config", "no-such-file"], 2; "missing node configuration")]
#[test_case(&["fleet", "members", "--at", "127.0.0.1:1"], 1; "router not running")]
#[test_case(&["drill", "members", "--fault", "no-such"], 2; "unknown fault")]
#[test_case(&["no-such-command"], 2; "unknown command")]
fn exit_codes(args: &[&str], code: i32) {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut program = Command::new(env!("CARGO_BIN_EXE_applepond"));
    let out = program.env_remove("PROXY_CONFIG").current_dir(here).args(args).output().expect("it runs");
    assert_eq!(out.status.code(), Some(code), "{}", String::from_utf8_lossy(&out.stderr));
}
