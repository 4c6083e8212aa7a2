//! The script that makes sites of other customers says what it does not find.
use std::path::Path;
use std::process::Command;
use test_case::test_case;

const FILES: [&str; 6] = [
    "node/sites/krkonose-quotes.toml",
    "node/sites/real.json",
    "node/sites/wire.json",
    "node/sites/unlock.txt",
    "node/sites/design.json",
    "mass/unlock.txt",
];

#[test_case(0, "krkonose-quotes.toml is missing"; "no folder of the operators")]
#[test_case(5, "unlock.txt is missing"; "one file short")]
#[test_case(6, "holds no [[class]] any more"; "a site without what it changes")]
fn what_is_missing(files: usize, want: &str) {
    let given = std::env::temp_dir().join(format!("applepond-sites-{}-{files}", std::process::id()));
    for file in &FILES[..files] {
        let file = given.join("kit/more").join(file);
        std::fs::create_dir_all(file.parent().expect("a folder")).expect("made");
        std::fs::write(file, "name = \"krkonose-quotes\"\n").expect("written");
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites/make");
    let out = Command::new(script).arg(&given).output().expect("it runs");
    let said = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && said.contains(want), "{said}");
    if files > 0 {
        std::fs::remove_dir_all(&given).expect("made above");
    }
}
