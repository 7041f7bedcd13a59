//! Reads the fields of a JSON value and records every fault in one pass.

use std::net::Ipv4Addr;

use serde_json::{Map, Value};

use super::Fault;

/// Reads the fields of one JSON object. Each getter records a fault and returns `None` when the field is invalid.
pub(super) struct Reader<'a, 'f> {
    location: &'a str,
    /// Prefix of the field names in faults, such as `ports[0].`.
    prefix: String,
    fields: &'a Map<String, Value>,
    /// Names of the fields requested so far.
    known: Vec<&'static str>,
    faults: &'f mut Vec<Fault>,
}

impl<'a, 'f> Reader<'a, 'f> {
    /// Creates a reader of `value`. When `value` is not a JSON object, records a fault and returns `None`.
    pub(super) fn new(location: &'a str, prefix: String, value: &'a Value, faults: &'f mut Vec<Fault>) -> Option<Self> {
        let Some(fields) = value.as_object() else {
            let field = if prefix.is_empty() { "value" } else { prefix.trim_end_matches('.') };
            faults.push(Fault::new(location, field, value, "a JSON object"));
            return None;
        };
        Some(Self { location, prefix, fields, known: Vec::new(), faults })
    }

    pub(super) fn string(&mut self, name: &'static str) -> Option<String> {
        self.required(name, "a string", |value| value.as_str().map(str::to_owned))
    }

    pub(super) fn address(&mut self, name: &'static str) -> Option<Ipv4Addr> {
        self.required(name, "an IPv4 address", |value| value.as_str()?.parse().ok())
    }

    pub(super) fn number<T: TryFrom<u64> + Copy + std::fmt::Display>(
        &mut self,
        name: &'static str,
        max: T,
    ) -> Option<T> {
        let allowed = format!("an integer from 0 to {max}");
        self.required(name, &allowed, |value| T::try_from(value.as_u64()?).ok())
    }

    /// Returns `None` for a missing and for an invalid field; only an invalid one records a fault.
    pub(super) fn optional_number(&mut self, name: &'static str, max: u16) -> Option<u16> {
        if matches!(self.fields.get(name), None | Some(Value::Null)) {
            self.known.push(name);
            return None;
        }
        self.number(name, max)
    }

    /// Returns false for a missing field.
    pub(super) fn flag(&mut self, name: &'static str) -> Option<bool> {
        if self.fields.contains_key(name) {
            return self.required(name, "true or false", Value::as_bool);
        }
        self.known.push(name);
        Some(false)
    }

    /// Reads each element of an array of JSON objects with `read`.
    pub(super) fn array<T>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(&mut Reader<'_, '_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let values = self.required(name, "an array", |value| value.as_array().cloned())?;
        let mut items = Vec::with_capacity(values.len());
        for (index, value) in values.iter().enumerate() {
            let prefix = format!("{}{name}[{index}].", self.prefix);
            let item = Reader::new(self.location, prefix, value, self.faults).and_then(|mut reader| {
                let item = read(&mut reader);
                reader.finish();
                item
            });
            items.push(item);
        }
        items.into_iter().collect()
    }

    /// Records a fault for each field that was not read by any getter.
    pub(super) fn finish(self) {
        let allowed = self.known.join(", ");
        for (name, value) in self.fields.iter().filter(|(name, _)| !self.known.contains(&name.as_str())) {
            let field = format!("{}unknown field {name:?}", self.prefix);
            self.faults.push(Fault::new(self.location, field, value, format!("the fields {allowed}")));
        }
    }

    fn required<T>(&mut self, name: &'static str, allowed: &str, read: impl FnOnce(&Value) -> Option<T>) -> Option<T> {
        self.known.push(name);
        let value = self.fields.get(name);
        let read = value.and_then(read);
        if read.is_none() {
            let field = format!("{}{name}", self.prefix);
            let fault = match value {
                Some(value) => Fault::new(self.location, field, value, allowed),
                None => Fault::new(self.location, field, &"missing", allowed),
            };
            self.faults.push(fault);
        }
        read
    }
}
