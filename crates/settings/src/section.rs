//! Typed access to HCL bodies that continues after a fault, so that all faults of a file are reported at
//! once.
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
    /// What the file contains.
    pub found: String,
    /// What it should contain.
    pub wanted: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}: found {}; wanted: {}", self.line, self.column, self.found, self.wanted)
    }
}

/// Maximum number of characters of a value that a fault quotes.
const MAX_EXCERPT_CHARS: usize = 40;

/// The text of a settings file and the faults found so far.
pub(crate) struct SettingsFile<'a> {
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

/// A range of bytes in the text.
pub(crate) type Span = Range<usize>;

impl<'a> SettingsFile<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        SettingsFile { text, faults: RefCell::new(Vec::new()) }
    }

    /// Parses the text. If it is not valid HCL, reports a fault and returns `None`.
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

    /// Reports a fault at the start of a span.
    pub(crate) fn fault(&self, span: &Span, found: impl Into<String>, wanted: impl Into<String>) {
        let before = &self.text[..span.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|character| *character != '\n').count() + 1;
        let fault = Fault { line, column, found: found.into(), wanted: wanted.into() };
        self.faults.borrow_mut().push(fault);
    }

    /// All faults, ordered by position and without duplicates.
    pub(crate) fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    /// The beginning of a span's text, for fault messages.
    fn excerpt(&self, span: &Span) -> String {
        let text = self.text.get(span.clone()).unwrap_or("").trim();
        let excerpt: String = text.chars().take(MAX_EXCERPT_CHARS).collect();
        format!("`{}`", excerpt.replace('\n', " "))
    }
}

/// A settings file as a whole, or one of its blocks.
///
/// The methods that read a value return `None` after a fault, which they report. An absent value is
/// replaced by the default; without a default it is a fault.
pub(crate) struct Section<'a> {
    file: &'a SettingsFile<'a>,
    body: &'a Body,
    /// Span of the block's name, for fault messages.
    pub(crate) span: Span,
    /// Description of the section for fault messages.
    description: String,
    /// Names of attributes and blocks that have been requested, which are the known ones.
    requested: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    /// The file as a whole.
    pub(crate) fn root(file: &'a SettingsFile<'a>, body: &'a Body) -> Self {
        Section { file, body, span: 0..0, description: "the file".into(), requested: RefCell::default() }
    }

    fn of_block(file: &'a SettingsFile<'a>, block: &'a Block) -> Self {
        let span = block.ident.span().unwrap_or(0..0);
        let description = format!("block '{}'", block.ident.as_str());
        Section { file, body: &block.body, span, description, requested: RefCell::default() }
    }

    /// Reports a fault at the start of a span.
    pub(crate) fn fault(&self, span: &Span, found: impl Into<String>, wanted: impl Into<String>) {
        self.file.fault(span, found, wanted);
    }

    /// The value of a key, and its span.
    fn value(&self, key: &str) -> Option<(&'a Expression, Span)> {
        self.requested.borrow_mut().insert(key.to_owned());
        let attribute = self.body.get_attribute(key)?;
        let span = attribute.value.span().or(attribute.span()).unwrap_or(0..0);
        Some((&attribute.value, span))
    }

    /// Span of the value of a key, or that of the section if the key is absent.
    pub(crate) fn span_of(&self, key: &str) -> Span {
        let attribute = self.body.get_attribute(key);
        attribute.and_then(|attribute| attribute.value.span()).unwrap_or(self.span.clone())
    }

    /// Reads and converts the value of a key.
    fn read<T>(
        &self,
        key: &str,
        wanted: &str,
        default: Option<T>,
        convert: impl Fn(&Expression) -> Option<T>,
    ) -> Option<T> {
        match self.value(key) {
            Some((value, span)) => {
                let converted = convert(value);
                if converted.is_none() {
                    self.fault(&span, format!("{key} = {}", self.file.excerpt(&span)), wanted);
                }
                converted
            }
            None if default.is_some() => default,
            None => {
                self.fault(&self.span.clone(), format!("no {key} in {}", self.description), wanted);
                None
            }
        }
    }

    /// Whether the key is present.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    /// Reads a string.
    pub(crate) fn string(&self, key: &str, default: Option<&str>) -> Option<String> {
        self.read(key, "a string", default.map(str::to_owned), |value| value.as_str().map(str::to_owned))
    }

    /// Reads a list of strings.
    pub(crate) fn strings(&self, key: &str, default: Option<Vec<String>>) -> Option<Vec<String>> {
        self.read(key, "a list of strings, as [\"a\", \"b\"]", default, |v| {
            v.as_array()?.iter().map(|value| value.as_str().map(str::to_owned)).collect()
        })
    }

    /// Reads a string that must be one of `choices`.
    pub(crate) fn one_of(&self, key: &str, choices: &[&str], default: Option<&str>) -> Option<String> {
        let quoted: Vec<String> = choices.iter().map(|choice| format!("\"{choice}\"")).collect();
        let wanted = format!("one of {}", quoted.join(", "));
        self.read(key, &wanted, default.map(str::to_owned), |value| {
            value.as_str().filter(|choice| choices.contains(choice)).map(str::to_owned)
        })
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&self, key: &str, default: Option<bool>) -> Option<bool> {
        self.read(key, "true or false", default, Expression::as_bool)
    }

    /// Reads a number in a range, which includes both ends.
    pub(crate) fn number(&self, key: &str, range: Range<f64>, default: Option<f64>) -> Option<f64> {
        let wanted = format!("a number from {} to {}", range.start, range.end);
        self.read(key, &wanted, default, |value| {
            value.as_number()?.as_f64().filter(|number| *number >= range.start && *number <= range.end)
        })
    }

    /// Reads an integer in a range, which includes both ends.
    pub(crate) fn integer(&self, key: &str, range: Range<u64>, default: Option<u64>) -> Option<u64> {
        let wanted = format!("an integer from {} to {}", range.start, range.end);
        self.read(key, &wanted, default, |value| {
            value.as_number()?.as_u64().filter(|number| *number >= range.start && *number <= range.end)
        })
    }

    /// Reads a duration, in µs.
    pub(crate) fn time(&self, key: &str, default: Option<Micros>) -> Option<Micros> {
        let wanted = "a time, as \"250ms\", \"5s\" or \"2m\"";
        self.read(key, wanted, default, |value| value.as_str().and_then(parse_duration))
    }

    /// Reads a string and parses it.
    pub(crate) fn parsed<T: std::str::FromStr>(
        &self,
        key: &str,
        wanted: &str,
        default: Option<T>,
    ) -> Option<T> {
        self.read(key, wanted, default, |value| value.as_str()?.parse().ok())
    }

    /// The block of this name, if there is one; further ones are faults.
    pub(crate) fn block(&self, name: &'static str) -> Option<Section<'a>> {
        self.requested.borrow_mut().insert(name.to_owned());
        let mut blocks = self.body.get_blocks(name);
        let first = blocks.next()?;
        for more in blocks {
            let span = more.ident.span().unwrap_or(0..0);
            self.fault(&span, format!("a second block '{name}'"), "only one");
        }
        Some(Section::of_block(self.file, first))
    }

    /// All blocks of this name in their order; a label is a fault.
    pub(crate) fn unlabelled_blocks(&self, name: &'static str) -> Vec<Section<'a>> {
        self.requested.borrow_mut().insert(name.to_owned());
        let all: Vec<&Block> = self.body.get_blocks(name).collect();
        for block in all.iter().filter(|block| !block.labels.is_empty()) {
            let span = block.labels[0].span().unwrap_or(0..0);
            self.fault(&span, format!("{name} with a label"), format!("{name} {{ ... }}"));
        }
        all.into_iter().map(|block| Section::of_block(self.file, block)).collect()
    }

    /// All blocks of this name in their order, with their labels. Each must have a label of its own.
    pub(crate) fn labelled_blocks(&self, name: &'static str) -> Vec<(String, Section<'a>)> {
        self.requested.borrow_mut().insert(name.to_owned());
        let mut seen = BTreeSet::new();
        let mut sections = Vec::new();
        for block in self.body.get_blocks(name) {
            let section = Section::of_block(self.file, block);
            match block.labels.as_slice() {
                [label] if seen.insert(label.as_str().to_owned()) => {
                    sections.push((label.as_str().to_owned(), section))
                }
                [label] => {
                    let span = label.span().unwrap_or(section.span.clone());
                    self.fault(
                        &span,
                        format!("{name} \"{}\" a second time", label.as_str()),
                        "each name once",
                    );
                }
                labels => {
                    let found = format!("{name} with {} labels", labels.len());
                    self.fault(&section.span.clone(), found, format!("{name} \"NAME\" {{ ... }}"));
                }
            }
        }
        sections
    }

    /// Reports attributes and blocks that have not been requested, as a misspelt key would otherwise be
    /// ignored.
    pub(crate) fn report_unknown(self) {
        let requested = self.requested.borrow();
        let known = || requested.iter().cloned().collect::<Vec<_>>().join(", ");
        for structure in self.body.iter() {
            let (name, span) = match structure {
                Structure::Attribute(attribute) => (attribute.key.as_str(), attribute.key.span()),
                Structure::Block(block) => (block.ident.as_str(), block.ident.span()),
            };
            if !requested.contains(name) {
                let found = format!("'{name}' in {}", self.description);
                self.file.fault(&span.unwrap_or(0..0), found, format!("one of {}", known()));
            }
        }
    }
}

/// Parses a duration such as "250ms" to µs.
fn parse_duration(text: &str) -> Option<Micros> {
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
