//! Every error that an operator can meet: each has a code of its own and says what to do; docs/errors.md
//! lists them and is as this test writes it (ERRORS=write writes it anew).
use miette::Diagnostic;
use std::collections::BTreeMap;
use std::path::Path;

fn all() -> Vec<(&'static str, Box<dyn Diagnostic>)> {
    let mut all: Vec<(&str, Box<dyn Diagnostic>)> = Vec::new();
    fn put<D: Diagnostic + 'static>(
        all: &mut Vec<(&'static str, Box<dyn Diagnostic>)>,
        package: &'static str,
        each: Vec<D>,
    ) {
        all.extend(each.into_iter().map(|e| (package, Box::new(e) as Box<dyn Diagnostic>)));
    }
    put(&mut all, "consensus", applepond_consensus::Unavailable::each());
    put(&mut all, "consensus", vec![applepond_consensus::message::MalformedMessage]);
    put(&mut all, "recovery", applepond_recovery::SnapshotError::EACH.to_vec());
    put(&mut all, "recovery", vec![applepond_recovery::MalformedMessage]);
    put(&mut all, "scenarios", applepond_scenarios::errors::ScenarioError::each());
    put(&mut all, "fleet", applepond_fleet::QueryError::each());
    put(&mut all, "gateway", applepond_gateway::errors::EndpointListError::each());
    put(&mut all, "gateway", applepond_gateway::errors::ReloadError::each());
    put(&mut all, "prefix_cache", applepond_prefix_cache::DecodeError::ALL.to_vec());
    put(&mut all, "platform", applepond_platform::errors::InputError::each());
    put(&mut all, "platform", applepond_platform::errors::NameServiceError::each());
    put(&mut all, "storage", applepond_storage::StorageError::each());
    put(&mut all, "gossip", applepond_gossip::PublishError::ALL.to_vec());
    put(&mut all, "gossip", applepond_gossip::MessageError::ALL.to_vec());
    all
}

#[test]
fn each_has_a_code_and_says_what_to_do() {
    let mut codes = BTreeMap::new();
    for (package, error) in all() {
        let code = error.code().map(|c| c.to_string()).expect("a code");
        let help = error.help().map(|h| h.to_string()).expect("what to do");
        assert!(help.len() > 20 || help.starts_with("nothing"), "{code}: {help}");
        assert!(codes.insert(code.clone(), (package, help)).is_none(), "{code} stands twice");
    }
    let mut page =
        "# Errors, by code\n\nWritten by `crates/cli/tests/errors.rs` from the types themselves. What \
                    happened and where stands in the error's own words.\n\n| code | package | what to do |\n\
                    | --- | --- | --- |\n"
            .to_owned();
    for (code, (package, help)) in codes {
        page += &format!("| `{code}` | {package} | {help} |\n");
    }
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/errors.md");
    if std::env::var("ERRORS").is_ok_and(|word| word == "write") {
        std::fs::write(&file, &page).expect("written");
    }
    assert_eq!(std::fs::read_to_string(&file).expect("the page"), page, "ERRORS=write writes it anew");
}

// An error of words alone says neither what to do nor where to look it up.
#[test]
fn no_error_is_a_text_alone() {
    fn files(folder: &Path, found: &mut Vec<std::path::PathBuf>) {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() && !path.ends_with("target") && !path.ends_with("tests") {
                files(&path, found);
            } else if path.extension().is_some_and(|e| e == "rs") {
                found.push(path);
            }
        }
    }
    let (root, mut found) = (Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."), Vec::new());
    files(&root.join("crates"), &mut found);
    files(&root.join("src"), &mut found);
    assert!(found.len() > 80, "{} files", found.len());
    let wanted = concat!(", Str", "ing>");
    for file in found {
        let text = std::fs::read_to_string(&file).expect("a text");
        let alone = |line: &&str| line.contains("Result<") && line.contains(wanted) && !line.contains("Map<");
        assert_eq!(text.lines().find(alone), None, "{}", file.display());
    }
}
