//! The page for newcomers names files and functions: each is there.
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Words in back quotes that look like a path of the repository, with the function that follows `::`.
fn named(page: &str) -> Vec<(&str, Option<&str>)> {
    let words = page.split('`').skip(1).step_by(2);
    let paths = words.filter(|word| ["src/", "crates/", "docs/"].iter().any(|top| word.starts_with(top)));
    paths.map(|word| word.split_once("::").map_or((word, None), |(path, name)| (path, Some(name)))).collect()
}

#[test]
fn each_file_and_function_of_the_architecture_page_is_there() {
    let page = std::fs::read_to_string(root().join("docs/ARCHITECTURE.md")).expect("the page");
    let named = named(&page);
    assert!(named.iter().filter(|(_, function)| function.is_some()).count() > 50, "{}", named.len());
    for (path, function) in named {
        let file = root().join(path);
        assert!(file.exists(), "{path} is not there");
        if let Some(function) = function {
            let text = std::fs::read_to_string(&file).expect("a text");
            let defined = [format!("fn {function}("), format!("fn {function}<")];
            assert!(defined.iter().any(|start| text.contains(start)), "{path} has no function {function}");
        }
    }
}
