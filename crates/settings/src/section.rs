//! Typed reading of HCL bodies that goes on after a fault, so that one run reports all of them.
use applepond::interface::Micros;
use hcl_edit::Span as _;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What stands there.
    pub found: String,
    /// What has to stand there.
    pub wanted: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}: found {}; wanted: {}", self.line, self.column, self.found, self.wanted)
    }
}

/// Limit of characters of a value that a fault quotes.
const MAX_EXCERPT_CHARS: usize = 40;

/// The text of a file, with the faults found so far.
pub(crate) struct SettingsFile<'a> {
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

/// Where in the text something stands, in bytes.
pub(crate) type Span = Range<usize>;

impl<'a> SettingsFile<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        SettingsFile { text, faults: RefCell::new(Vec::new()) }
    }

    /// Parses the text; none, with a fault, where it is not HCL.
    pub(crate) fn parse(&self) -> Option<Body> {
        match hcl_edit::parser::parse_body(self.text) {
            Ok(body) => Some(body),
            Err(error) => {
                let (line, column) = (error.location().line(), error.location().column());
                let found = match error.line().trim() {
                    "" => "the end of a line".to_owned(),
                    text => format!("'{text}'"),
                };
                let wanted = error.message().to_owned();
                self.faults.borrow_mut().push(Fault { line, column, found, wanted });
                None
            }
        }
    }

    /// Reports a fault at this place.
    pub(crate) fn fault(&self, place: &Span, found: impl Into<String>, wanted: impl Into<String>) {
        let before = &self.text[..place.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
        let fault = Fault { line, column, found: found.into(), wanted: wanted.into() };
        self.faults.borrow_mut().push(fault);
    }

    /// All faults, by their place, each once.
    pub(crate) fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    /// The beginning of what stands at a place, for faults.
    fn excerpt(&self, place: &Span) -> String {
        let text = self.text.get(place.clone()).unwrap_or("").trim();
        let excerpt: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
        format!("`{}`", excerpt.replace('\n', " "))
    }
}

/// The file as a whole, or one block of it.
///
/// Readers of values return none where there is a fault, which they report. A value that is absent is the
/// default, where there is one, and a fault otherwise.
pub(crate) struct Section<'a> {
    file: &'a SettingsFile<'a>,
    body: &'a Body,
    /// Where it begins.
    pub(crate) place: Span,
    /// What it is, for faults.
    description: String,
    /// Names of attributes and blocks that readers have asked for.
    read: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    /// The file as a whole.
    pub(crate) fn whole(file: &'a SettingsFile<'a>, body: &'a Body) -> Self {
        Section { file, body, place: 0..0, description: "the file".into(), read: RefCell::default() }
    }

    fn of_block(file: &'a SettingsFile<'a>, block: &'a Block) -> Self {
        let place = block.ident.span().unwrap_or(0..0);
        let description = format!("block '{}'", block.ident.as_str());
        Section { file, body: &block.body, place, description, read: RefCell::default() }
    }

    /// Reports a fault at this place.
    pub(crate) fn fault(&self, place: &Span, found: impl Into<String>, wanted: impl Into<String>) {
        self.file.fault(place, found, wanted);
    }

    /// The value of a key, and where it stands.
    fn value(&self, key: &str) -> Option<(&'a Expression, Span)> {
        self.read.borrow_mut().insert(key.to_owned());
        let attribute = self.body.get_attribute(key)?;
        let place = attribute.value.span().or(attribute.span()).unwrap_or(0..0);
        Some((&attribute.value, place))
    }

    /// Where the value of a key stands, for faults found later; the beginning of the section where it is
    /// absent.
    pub(crate) fn place_of(&self, key: &str) -> Span {
        let attribute = self.body.get_attribute(key);
        attribute.and_then(|attribute| attribute.value.span()).unwrap_or(self.place.clone())
    }

    /// Reads the value of a key.
    fn read<T>(
        &self,
        key: &str,
        wanted: &str,
        default: Option<T>,
        read: impl Fn(&Expression) -> Option<T>,
    ) -> Option<T> {
        match self.value(key) {
            Some((value, place)) => {
                let read = read(value);
                if read.is_none() {
                    self.fault(&place, format!("{key} = {}", self.file.excerpt(&place)), wanted);
                }
                read
            }
            None if default.is_some() => default,
            None => {
                self.fault(&self.place.clone(), format!("no {key} in {}", self.description), wanted);
                None
            }
        }
    }

    /// Whether the key is there.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    /// A text.
    pub(crate) fn text(&self, key: &str, default: Option<&str>) -> Option<String> {
        self.read(key, "a text", default.map(str::to_owned), |value| value.as_str().map(str::to_owned))
    }

    /// A list of texts.
    pub(crate) fn texts(&self, key: &str, default: Option<Vec<String>>) -> Option<Vec<String>> {
        self.read(key, "a list of texts, as [\"a\", \"b\"]", default, |v| {
            v.as_array()?.iter().map(|value| value.as_str().map(str::to_owned)).collect()
        })
    }

    /// One of these words.
    pub(crate) fn one_of(&self, key: &str, words: &[&str], default: Option<&str>) -> Option<String> {
        let quoted: Vec<String> = words.iter().map(|word| format!("\"{word}\"")).collect();
        let wanted = format!("one of {}", quoted.join(", "));
        self.read(key, &wanted, default.map(str::to_owned), |value| {
            value.as_str().filter(|word| words.contains(word)).map(str::to_owned)
        })
    }

    /// A truth value.
    pub(crate) fn mark(&self, key: &str, default: Option<bool>) -> Option<bool> {
        self.read(key, "true or false", default, Expression::as_bool)
    }

    /// A number in this range, both ends included.
    pub(crate) fn number(&self, key: &str, range: Range<f64>, default: Option<f64>) -> Option<f64> {
        let wanted = format!("a number from {} to {}", range.start, range.end);
        self.read(key, &wanted, default, |value| {
            value.as_number()?.as_f64().filter(|number| *number >= range.start && *number <= range.end)
        })
    }

    /// A whole number in this range, both ends included.
    pub(crate) fn whole_number(&self, key: &str, range: Range<u64>, default: Option<u64>) -> Option<u64> {
        let wanted = format!("a whole number from {} to {}", range.start, range.end);
        self.read(key, &wanted, default, |value| {
            value.as_number()?.as_u64().filter(|number| *number >= range.start && *number <= range.end)
        })
    }

    /// A time, in µs.
    pub(crate) fn time(&self, key: &str, default: Option<Micros>) -> Option<Micros> {
        let wanted = "a time, as \"250ms\", \"5s\" or \"2m\"";
        self.read(key, wanted, default, |value| value.as_str().and_then(micros))
    }

    /// A text that is parsed.
    pub(crate) fn parsed<T: std::str::FromStr>(
        &self,
        key: &str,
        wanted: &str,
        default: Option<T>,
    ) -> Option<T> {
        self.read(key, wanted, default, |value| value.as_str()?.parse().ok())
    }

    /// The one block of this name, if there is one; a second one is a fault.
    pub(crate) fn block(&self, name: &'static str) -> Option<Section<'a>> {
        self.read.borrow_mut().insert(name.to_owned());
        let mut blocks = self.body.get_blocks(name);
        let first = blocks.next()?;
        for more in blocks {
            let place = more.ident.span().unwrap_or(0..0);
            self.fault(&place, format!("a second block '{name}'"), "one of them");
        }
        Some(Section::of_block(self.file, first))
    }

    /// All blocks of this name, which have no label, in their order.
    pub(crate) fn blocks(&self, name: &'static str) -> Vec<Section<'a>> {
        self.read.borrow_mut().insert(name.to_owned());
        let all: Vec<&Block> = self.body.get_blocks(name).collect();
        for block in all.iter().filter(|block| !block.labels.is_empty()) {
            let place = block.labels[0].span().unwrap_or(0..0);
            self.fault(&place, format!("{name} with a label"), format!("{name} {{ ... }}"));
        }
        all.into_iter().map(|block| Section::of_block(self.file, block)).collect()
    }

    /// All blocks of this name, each by its one label; two of the same label are a fault.
    pub(crate) fn named(&self, name: &'static str) -> Vec<(String, Section<'a>)> {
        self.read.borrow_mut().insert(name.to_owned());
        let mut seen = BTreeSet::new();
        let mut sections = Vec::new();
        for block in self.body.get_blocks(name) {
            let section = Section::of_block(self.file, block);
            match block.labels.as_slice() {
                [label] if seen.insert(label.as_str().to_owned()) => {
                    sections.push((label.as_str().to_owned(), section))
                }
                [label] => {
                    let place = label.span().unwrap_or(section.place.clone());
                    self.fault(
                        &place,
                        format!("{name} \"{}\" a second time", label.as_str()),
                        "each name once",
                    );
                }
                labels => {
                    let found = format!("{name} with {} labels", labels.len());
                    self.fault(&section.place.clone(), found, format!("{name} \"NAME\" {{ ... }}"));
                }
            }
        }
        sections
    }

    /// Reports what no reader has asked for: a misspelt key would otherwise be ignored in silence.
    pub(crate) fn done(self) {
        let read = self.read.borrow();
        let known = || read.iter().cloned().collect::<Vec<_>>().join(", ");
        for structure in self.body.iter() {
            let (name, place) = match structure {
                Structure::Attribute(attribute) => (attribute.key.as_str(), attribute.key.span()),
                Structure::Block(block) => (block.ident.as_str(), block.ident.span()),
            };
            if !read.contains(name) {
                let found = format!("'{name}' in {}", self.description);
                self.file.fault(&place.unwrap_or(0..0), found, format!("one of {}", known()));
            }
        }
    }
}

/// "250ms" and the like as µs.
fn micros(text: &str) -> Option<Micros> {
    let digits = text.find(|character: char| !character.is_ascii_digit()).unwrap_or(text.len());
    let scale = match &text[digits..] {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        _ => return None,
    };
    text[..digits].parse::<u64>().ok()?.checked_mul(scale)
}
