//! The list of tests that CI leaves out for a known fault: exactly those; one that is not in order fails.
use std::path::Path;
use std::process::Command;
use test_case::test_case;

const BOTH: &str = "--skip leaving --skip ends::late::case_1 ";
const TESTS: &str = "leaving: test\nends::late::case_1: test\nsame: test\nsame: test\nslow: benchmark\n";

#[test_case("", Some(""); "an empty list")]
#[test_case("\n  \n", Some(""); "blank lines")]
#[test_case("leaving | ends too early | #38\n", Some("--skip leaving "); "one")]
#[test_case("leaving | a | #1\n\nends::late::case_1 | b, c | #2\n", Some(BOTH); "two")]
#[test_case("leaving | a | #1\n".repeat(4).as_str(), None; "more than three")]
#[test_case("leaving\n", None; "a name alone")]
#[test_case("leaving |  | #1\n", None; "no cause")]
#[test_case("leaving | a | soon\n", None; "no issue")]
#[test_case("leav | a | #1\n", None; "part of a name")]
#[test_case("gone | a | #1\n", None; "a name that no test has")]
#[test_case("same | a | #1\n", None; "a name that two tests have")]
#[test_case("slow | a | #1\n", None; "no test")]
fn known_red(list: &str, want: Option<&str>) {
    let folder = std::env::temp_dir().join(format!(
        "applepond-known-red-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (red, tests) = (folder.join("KNOWN-RED.txt"), folder.join("tests.txt"));
    std::fs::write(&red, list).and_then(|()| std::fs::write(&tests, TESTS)).expect("files");
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let out = Command::new(script).arg(&red).arg(&tests).output().expect("it runs");
    std::fs::remove_dir_all(&folder).expect("written above");
    let said = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.success(), want.is_some(), "{said}");
    if let Some(want) = want {
        assert_eq!(String::from_utf8_lossy(&out.stdout), want);
        for line in list.lines().filter(|line| !line.trim().is_empty()) {
            assert!(said.contains(&format!("known red: {line}")), "{said}");
        }
    }
}
