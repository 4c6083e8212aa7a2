//! Every file and function that the architecture page names exists.
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the repository paths in back quotes on the page, each with the function after `::` if there is
/// one.
fn referenced_items(page: &str) -> Vec<(&str, Option<&str>)> {
    let words = page.split('`').skip(1).step_by(2);
    let paths = words.filter(|word| ["src/", "crates/", "docs/"].iter().any(|top| word.starts_with(top)));
    paths.map(|word| word.split_once("::").map_or((word, None), |(path, name)| (path, Some(name)))).collect()
}

#[test]
fn architecture_page_names_existing_items() {
    let page = std::fs::read_to_string(root().join("docs/ARCHITECTURE.md")).expect("the page");
    let items = referenced_items(&page);
    assert!(items.iter().filter(|(_, function)| function.is_some()).count() > 50, "{}", items.len());
    for (path, function) in items {
        let file = root().join(path);
        assert!(file.exists(), "{path} does not exist");
        if let Some(function) = function {
            let text = std::fs::read_to_string(&file).expect("a text");
            let defined = [format!("fn {function}("), format!("fn {function}<")];
            assert!(defined.iter().any(|start| text.contains(start)), "{path} has no function {function}");
        }
    }
}
