//! Typed reading of HCL bodies that goes on after a fault, so that one look shows all of them.
use applepond::interface::Micros;
use hcl_edit::Span;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

/// One fault of a settings file; lines and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub line: usize,
    pub column: usize,
    pub found: String,
    pub wanted: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: found {}; wanted: {}", self.line, self.column, self.found, self.wanted)
    }
}

/// The file's text and the faults found so far.
pub struct Sheet<'a> {
    text: &'a str,
    faults: RefCell<Vec<Fault>>,
}

/// Where in the text something stands.
pub type Place = Range<usize>;

impl<'a> Sheet<'a> {
    pub fn new(text: &'a str) -> Self {
        Sheet { text, faults: RefCell::new(Vec::new()) }
    }

    pub fn parse(&self) -> Option<Body> {
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

    pub fn fault(&self, place: &Place, found: impl Into<String>, wanted: impl Into<String>) {
        let before = &self.text[..place.start.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        let fault = Fault { line, column, found: found.into(), wanted: wanted.into() };
        self.faults.borrow_mut().push(fault);
    }

    pub fn faults(self) -> Vec<Fault> {
        let mut faults = self.faults.into_inner();
        faults.sort();
        faults.dedup();
        faults
    }

    fn shown(&self, place: &Place) -> String {
        let text = self.text.get(place.clone()).unwrap_or("").trim();
        let short: String = text.chars().take(40).collect();
        format!("`{}`", short.replace('\n', " "))
    }
}

/// One body of the file, with what of it has been read.
pub struct Part<'a> {
    sheet: &'a Sheet<'a>,
    body: &'a Body,
    pub place: Place,
    what: String,
    read: RefCell<BTreeSet<String>>,
}

impl<'a> Part<'a> {
    pub fn whole(sheet: &'a Sheet<'a>, body: &'a Body) -> Self {
        Part { sheet, body, place: 0..0, what: "the file".into(), read: RefCell::default() }
    }

    fn of_block(sheet: &'a Sheet<'a>, block: &'a Block) -> Self {
        let place = block.ident.span().unwrap_or(0..0);
        let what = format!("block '{}'", block.ident.as_str());
        Part { sheet, body: &block.body, place, what, read: RefCell::default() }
    }

    pub fn fault(&self, place: &Place, found: impl Into<String>, wanted: impl Into<String>) {
        self.sheet.fault(place, found, wanted);
    }

    fn value(&self, key: &str) -> Option<(&'a Expression, Place)> {
        self.read.borrow_mut().insert(key.to_owned());
        let attribute = self.body.get_attribute(key)?;
        let place = attribute.value.span().or(attribute.span()).unwrap_or(0..0);
        Some((&attribute.value, place))
    }

    /// Where a value stands, for faults found later.
    pub fn place_of(&self, key: &str) -> Place {
        let attribute = self.body.get_attribute(key);
        attribute.and_then(|a| a.value.span()).unwrap_or(self.place.clone())
    }

    fn read<T>(
        &self,
        key: &str,
        wanted: &str,
        or: Option<T>,
        read: impl Fn(&Expression) -> Option<T>,
    ) -> Option<T> {
        match self.value(key) {
            Some((value, place)) => {
                let got = read(value);
                if got.is_none() {
                    self.fault(&place, format!("{key} = {}", self.sheet.shown(&place)), wanted);
                }
                got
            }
            None if or.is_some() => or,
            None => {
                self.fault(&self.place.clone(), format!("no {key} in {}", self.what), wanted);
                None
            }
        }
    }

    pub fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    pub fn text(&self, key: &str, or: Option<&str>) -> Option<String> {
        self.read(key, "a text", or.map(str::to_owned), |v| v.as_str().map(str::to_owned))
    }

    pub fn texts(&self, key: &str, or: Option<Vec<String>>) -> Option<Vec<String>> {
        self.read(key, "a list of texts, as [\"a\", \"b\"]", or, |v| {
            v.as_array()?.iter().map(|v| v.as_str().map(str::to_owned)).collect()
        })
    }

    pub fn one_of(&self, key: &str, words: &[&str], or: Option<&str>) -> Option<String> {
        let wanted =
            format!("one of {}", words.iter().map(|w| format!("\"{w}\"")).collect::<Vec<_>>().join(", "));
        self.read(key, &wanted, or.map(str::to_owned), |v| {
            v.as_str().filter(|t| words.contains(t)).map(str::to_owned)
        })
    }

    pub fn mark(&self, key: &str, or: Option<bool>) -> Option<bool> {
        self.read(key, "true or false", or, Expression::as_bool)
    }

    pub fn number(&self, key: &str, range: Range<f64>, or: Option<f64>) -> Option<f64> {
        let wanted = format!("a number from {} to {}", range.start, range.end);
        self.read(key, &wanted, or, |v| {
            v.as_number()?.as_f64().filter(|n| *n >= range.start && *n <= range.end)
        })
    }

    pub fn whole_number(&self, key: &str, range: Range<u64>, or: Option<u64>) -> Option<u64> {
        let wanted = format!("a whole number from {} to {}", range.start, range.end);
        self.read(key, &wanted, or, |v| {
            v.as_number()?.as_u64().filter(|n| *n >= range.start && *n <= range.end)
        })
    }

    pub fn time(&self, key: &str, or: Option<Micros>) -> Option<Micros> {
        let wanted = "a time, as \"250ms\", \"5s\" or \"2m\"";
        self.read(key, wanted, or, |v| v.as_str().and_then(micros))
    }

    pub fn parsed<T: std::str::FromStr>(&self, key: &str, wanted: &str, or: Option<T>) -> Option<T> {
        self.read(key, wanted, or, |v| v.as_str()?.parse().ok())
    }

    /// The one block of this name, or an empty one.
    pub fn block(&self, name: &'static str) -> Option<Part<'a>> {
        self.read.borrow_mut().insert(name.to_owned());
        let mut blocks = self.body.get_blocks(name);
        let first = blocks.next()?;
        for more in blocks {
            let place = more.ident.span().unwrap_or(0..0);
            self.fault(&place, format!("a second block '{name}'"), "one of them");
        }
        Some(Part::of_block(self.sheet, first))
    }

    /// All blocks of this name, which have no label, in their order.
    pub fn blocks(&self, name: &'static str) -> Vec<Part<'a>> {
        self.read.borrow_mut().insert(name.to_owned());
        let all: Vec<&Block> = self.body.get_blocks(name).collect();
        for block in all.iter().filter(|b| !b.labels.is_empty()) {
            let place = block.labels[0].span().unwrap_or(0..0);
            self.fault(&place, format!("{name} with a label"), format!("{name} {{ ... }}"));
        }
        all.into_iter().map(|block| Part::of_block(self.sheet, block)).collect()
    }

    /// All blocks of this name, each by its one label; two of the same label are a fault.
    pub fn named(&self, name: &'static str) -> Vec<(String, Part<'a>)> {
        self.read.borrow_mut().insert(name.to_owned());
        let mut seen = BTreeSet::new();
        let mut parts = Vec::new();
        for block in self.body.get_blocks(name) {
            let part = Part::of_block(self.sheet, block);
            match block.labels.as_slice() {
                [label] if seen.insert(label.as_str().to_owned()) => {
                    parts.push((label.as_str().to_owned(), part))
                }
                [label] => {
                    let place = label.span().unwrap_or(part.place.clone());
                    self.fault(
                        &place,
                        format!("{name} \"{}\" a second time", label.as_str()),
                        "each name once",
                    );
                }
                labels => {
                    let found = format!("{name} with {} labels", labels.len());
                    self.fault(&part.place.clone(), found, format!("{name} \"NAME\" {{ ... }}"));
                }
            }
        }
        parts
    }

    /// Faults what nobody asked for: a misspelt key would else be passed over in silence.
    pub fn done(self) {
        let read = self.read.borrow();
        let known = || read.iter().cloned().collect::<Vec<_>>().join(", ");
        for structure in self.body.iter() {
            let (name, place) = match structure {
                Structure::Attribute(a) => (a.key.as_str(), a.key.span()),
                Structure::Block(b) => (b.ident.as_str(), b.ident.span()),
            };
            if !read.contains(name) {
                let found = format!("'{name}' in {}", self.what);
                self.sheet.fault(&place.unwrap_or(0..0), found, format!("one of {}", known()));
            }
        }
    }
}

/// "250ms" and the like as µs.
fn micros(text: &str) -> Option<Micros> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let scale = match &text[digits..] {
        "us" => 1,
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        _ => return None,
    };
    text[..digits].parse::<u64>().ok()?.checked_mul(scale)
}
