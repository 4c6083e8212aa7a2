//! Every error that is shown to an operator has a unique code and a help text. docs/errors.md lists them as
//! this test generates it; run the test with ERRORS=write to regenerate the page.
use miette::Diagnostic;
use std::collections::BTreeMap;
use std::path::Path;

fn all_errors() -> Vec<(&'static str, Box<dyn Diagnostic>)> {
    let mut all: Vec<(&str, Box<dyn Diagnostic>)> = Vec::new();
    fn put<D: Diagnostic + 'static>(
        all: &mut Vec<(&'static str, Box<dyn Diagnostic>)>,
        package: &'static str,
        each: Vec<D>,
    ) {
        all.extend(each.into_iter().map(|error| (package, Box::new(error) as Box<dyn Diagnostic>)));
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
fn errors_have_unique_codes_and_help() {
    let mut codes = BTreeMap::new();
    for (package, error) in all_errors() {
        let code = error.code().map(|code| code.to_string()).expect("a code");
        let help = error.help().map(|help| help.to_string()).expect("a help text");
        assert!(help.len() > 20 || help.starts_with("nothing"), "{code}: {help}");
        assert!(codes.insert(code.clone(), (package, help)).is_none(), "{code} is used twice");
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
    assert_eq!(
        std::fs::read_to_string(&file).expect("the page"),
        page,
        "regenerate the page with ERRORS=write"
    );
}

// An error that is a plain string has neither help nor a code to look up.
#[test]
fn no_error_type_is_a_string() {
    fn collect_sources(folder: &Path, found: &mut Vec<std::path::PathBuf>) {
        for entry in std::fs::read_dir(folder).expect("a folder").flatten() {
            let path = entry.path();
            if path.is_dir() && !path.ends_with("target") && !path.ends_with("tests") {
                collect_sources(&path, found);
            } else if path.extension().is_some_and(|e| e == "rs") {
                found.push(path);
            }
        }
    }
    let (root, mut found) = (Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."), Vec::new());
    collect_sources(&root.join("crates"), &mut found);
    collect_sources(&root.join("src"), &mut found);
    assert!(found.len() > 80, "{} files", found.len());
    let string_error = concat!(", Str", "ing>");
    for file in found {
        let text = std::fs::read_to_string(&file).expect("a text");
        let is_string_error =
            |line: &&str| line.contains("Result<") && line.contains(string_error) && !line.contains("Map<");
        assert_eq!(text.lines().find(is_string_error), None, "{}", file.display());
    }
}
