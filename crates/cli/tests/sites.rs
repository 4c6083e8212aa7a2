//! The script that generates other customers' sites reports missing input.
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

#[test_case(0, "krkonose-quotes.toml is missing"; "no input directory")]
#[test_case(5, "unlock.txt is missing"; "one file missing")]
#[test_case(6, "holds no [[class]] any more"; "site without the section that it replaces")]
fn missing_input_is_reported(files: usize, message: &str) {
    let given = std::env::temp_dir().join(format!("applepond-sites-{}-{files}", std::process::id()));
    for file in &FILES[..files] {
        let file = given.join("kit/more").join(file);
        std::fs::create_dir_all(file.parent().expect("a folder")).expect("made");
        std::fs::write(file, "name = \"krkonose-quotes\"\n").expect("written");
    }
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites/make");
    let out = Command::new(script).arg(&given).output().expect("it runs");
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success() && stderr.contains(message), "{stderr}");
    if files > 0 {
        std::fs::remove_dir_all(&given).expect("made above");
    }
}
