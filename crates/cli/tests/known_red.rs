//! The `.ci/known-red` script, which turns the list of known failing tests into arguments that skip exactly
//! those tests, and rejects an invalid list.
use std::path::Path;
use std::process::Command;
use test_case::test_case;

const SKIP_BOTH: &str = "--skip leaving --skip ends::late::case_1 ";
const TESTS: &str = "leaving: test\nends::late::case_1: test\nsame: test\nsame: test\nslow: benchmark\n";

const ENTRY: &str = "leaving | cargo test leaving | ends too early, 1 of 30 | #38\n";

#[test_case("", Some(""); "an empty list")]
#[test_case("\n  \n", Some(""); "blank lines")]
#[test_case(ENTRY, Some("--skip leaving "); "one test")]
#[test_case("leaving | c | a | #1\n\nends::late::case_1 | c | b, c | #2\n", Some(SKIP_BOTH); "two tests")]
#[test_case("review/8 | review/8/run.sh | 12 of 144 | #62\n", Some(""); "a case, which CI does not run")]
#[test_case("drill bad-day | drill bad-day --seed 2 | rule 1 | #62\n", Some(""); "a scenario")]
#[test_case(ENTRY.repeat(4).as_str(), None; "more than three entries")]
#[test_case("leaving\n", None; "the name alone")]
#[test_case("leaving | a | #1\n", None; "no command")]
#[test_case("leaving |  | a | #1\n", None; "an empty command")]
#[test_case("leaving | c |  | #1\n", None; "nothing seen")]
#[test_case("leaving | c | a | soon\n", None; "no issue")]
#[test_case("leav | c | a | #1\n", None; "prefix of a test name")]
#[test_case("gone | c | a | #1\n", None; "no such test")]
#[test_case("same | c | a | #1\n", None; "ambiguous name")]
#[test_case("slow | c | a | #1\n", None; "a benchmark")]
#[test_case("review/all | c | a | #1\n", None; "no case")]
fn known_red_list(list: &str, expected: Option<&str>) {
    let folder = std::env::temp_dir().join(format!(
        "applepond-known-red-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (known_red, tests) = (folder.join("KNOWN-RED.txt"), folder.join("tests.txt"));
    std::fs::write(&known_red, list).and_then(|()| std::fs::write(&tests, TESTS)).expect("files");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let out = Command::new(script).arg(&known_red).arg(&tests).output().expect("it runs");
    std::fs::remove_dir_all(&folder).expect("written above");
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.success(), expected.is_some(), "{stderr}");
    if let Some(expected) = expected {
        assert_eq!(String::from_utf8_lossy(&out.stdout), expected);
        for line in list.lines().filter(|line| !line.trim().is_empty()) {
            assert!(stderr.contains(&format!("known red: {line}")), "{stderr}");
        }
    }
}
