//! Parsed INI document.
//!
//! The settings look up each key that they know. The keys and sections that remain are reported as unknown.

use std::fmt;

use ini_core::{Item, Parser};

/// Fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{file}:{line}: {message}")]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Line number, counted from 1; 0 for a missing section or key.
    pub line: u32,
    /// Error message with the key, its value and the allowed values.
    pub message: String,
}

/// Every fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Key with its value.
struct Entry<'a> {
    section: &'a str,
    key: &'a str,
    value: &'a str,
    line: u32,
    /// True once the settings have looked up the key.
    used: bool,
}

struct Section<'a> {
    name: &'a str,
    line: u32,
    /// True once the settings have looked up a key of the section.
    used: bool,
}

/// Result of looking up a key.
enum Value<T> {
    Absent,
    Invalid,
    Valid(T),
}

/// Parsed document and the faults found so far.
pub(super) struct Document<'a> {
    file: &'a str,
    sections: Vec<Section<'a>>,
    entries: Vec<Entry<'a>>,
    /// Sections and keys that the settings have looked up.
    known_keys: Vec<(&'static str, &'static str)>,
    /// Missing sections that were already reported.
    missing_sections: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Document<'a> {
    /// Parses `text` into sections and keys.
    pub(super) fn parse(file: &'a str, text: &'a str) -> Self {
        let mut document = Self {
            file,
            sections: Vec::new(),
            entries: Vec::new(),
            known_keys: Vec::new(),
            missing_sections: Vec::new(),
            faults: Vec::new(),
        };
        let mut section = "";
        let mut parser = Parser::new(text).auto_trim(true);
        while let Some(item) = parser.next() {
            // The parser counts line ends, and the last line may have none.
            let is_cut = parser.remainder().is_empty() && !text.ends_with(['\n', '\r']);
            let line = parser.line() + u32::from(is_cut);
            match item {
                Item::Section(name) => {
                    section = name;
                    document.add_section(name, line);
                }
                Item::Property(key, Some(value)) => document.add_entry(section, key, value, line),
                Item::Property(text, None) => {
                    document.report(line, format!("{text:?} is neither a section, a key = value nor a ; comment"));
                }
                Item::Error(text) => document.report(line, format!("section header {text:?} has no closing bracket")),
                Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
            }
        }
        document
    }

    /// Returns the value of a required key. If the key is missing or its value is invalid, reports a fault and returns
    /// `default`.
    pub(super) fn require<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        match self.look_up(section, key, allowed, parse) {
            Value::Valid(value) => return value,
            Value::Invalid => {}
            Value::Absent => self.report_missing(section, key, allowed),
        }
        default
    }

    /// Returns the value of an optional key, or `default` if the key is missing. If the value is invalid, reports a
    /// fault and returns `default`.
    pub(super) fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> T {
        match self.look_up(section, key, allowed, parse) {
            Value::Valid(value) => value,
            Value::Invalid | Value::Absent => default,
        }
    }

    /// Returns every fault, including unknown sections and keys, in the order of the lines.
    pub(super) fn finish(mut self) -> Result<(), Faults> {
        self.report_unknown_sections();
        self.report_unknown_keys();
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(Faults(self.faults))
    }

    fn look_up<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Value<T> {
        self.known_keys.push((section, key));
        for found in self.sections.iter_mut().filter(|found| found.name == section) {
            found.used = true;
        }
        let matches = |entry: &&mut Entry<'_>| entry.section == section && entry.key == key && !entry.used;
        let Some(entry) = self.entries.iter_mut().find(matches) else {
            return Value::Absent;
        };
        entry.used = true;
        let (value, line) = (entry.value, entry.line);
        if let Some(parsed) = parse(value) {
            return Value::Valid(parsed);
        }
        self.report(line, format!("[{section}] {key} = {value:?} is not allowed; allowed: {allowed}"));
        Value::Invalid
    }

    fn report_missing(&mut self, section: &'static str, key: &str, allowed: &str) {
        if self.sections.iter().any(|found| found.name == section) {
            self.report(0, format!("[{section}] {key} is missing; allowed: {allowed}"));
        } else if !self.missing_sections.contains(&section) {
            self.missing_sections.push(section);
            self.report(0, format!("section [{section}] is missing"));
        }
    }

    fn add_section(&mut self, name: &'a str, line: u32) {
        if let Some(first) = self.sections.iter().find(|section| section.name == name) {
            let message = format!("section [{name}] is defined twice, first in line {}", first.line);
            self.report(line, message);
        }
        self.sections.push(Section { name, line, used: false });
    }

    fn add_entry(&mut self, section: &'a str, key: &'a str, value: &'a str, line: u32) {
        let earlier = self.entries.iter().find(|entry| entry.section == section && entry.key == key);
        if let Some(first) = earlier {
            let message = format!("[{section}] {key} = {value:?} is defined twice, first in line {}", first.line);
            self.report(line, message);
            return;
        }
        self.entries.push(Entry { section, key, value, line, used: false });
    }

    fn report_unknown_sections(&mut self) {
        let mut names: Vec<&str> = self.known_keys.iter().map(|(section, _)| *section).collect();
        names.dedup();
        let allowed = names.join(", ");
        let unknown: Vec<(u32, String)> = self
            .sections
            .iter()
            .filter(|section| !section.used)
            .map(|section| (section.line, format!("section [{}] is unknown; allowed: {allowed}", section.name)))
            .collect();
        for (line, message) in unknown {
            self.report(line, message);
        }
    }

    fn report_unknown_keys(&mut self) {
        let mut unknown = Vec::new();
        for entry in self.entries.iter().filter(|entry| !entry.used) {
            let keys: Vec<&str> =
                self.known_keys.iter().filter(|(section, _)| *section == entry.section).map(|(_, key)| *key).collect();
            if keys.is_empty() && !entry.section.is_empty() {
                continue;
            }
            let message = format!(
                "[{}] {} = {:?} is an unknown key; allowed: {}",
                entry.section,
                entry.key,
                entry.value,
                keys.join(", ")
            );
            unknown.push((entry.line, message));
        }
        for (line, message) in unknown {
            self.report(line, message);
        }
    }

    fn report(&mut self, line: u32, message: String) {
        self.faults.push(Fault { file: self.file.to_owned(), line, message });
    }
}
