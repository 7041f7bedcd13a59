//! Faults of objects.

use crate::error::{Error, Kind};

/// Maximum length of a value shown in a fault, in characters.
const MAX_SHOWN: usize = 80;

/// One fault of an object: its location, the value found and the allowed values.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("{location}: {field} is {value}, allowed: {allowed}")]
pub struct Fault {
    /// File, or kind and name of the object.
    pub location: String,
    /// Field or property of the object, such as `ports[0].port` or `number of ports`.
    pub field: String,
    /// Value found, such as the JSON value of the field; truncated when long.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl Fault {
    /// Creates a fault. A long value is truncated.
    #[must_use]
    pub fn new(
        location: impl Into<String>,
        field: impl Into<String>,
        value: &dyn std::fmt::Display,
        allowed: impl Into<String>,
    ) -> Self {
        let full = value.to_string();
        let mut value: String = full.chars().take(MAX_SHOWN).collect();
        if value.len() < full.len() {
            value.push_str("...");
        }
        Self { location: location.into(), field: field.into(), value, allowed: allowed.into() }
    }

    /// Returns one error that lists all faults, one per line.
    #[must_use]
    pub fn error(faults: &[Self]) -> Error {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let noun = if faults.len() == 1 { "fault" } else { "faults" };
        Error::new(Kind::Object, format!("{} {noun} in the objects\n{}", faults.len(), lines.join("\n")))
    }
}
