//! Serde adapter for types that are serialized as strings by `Display` and `FromStr`.

use std::borrow::Cow;
use std::fmt::Display;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};

pub(super) fn serialize<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

pub(super) fn deserialize<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: FromStr<Err: Display>,
    D: Deserializer<'de>,
{
    let text = Cow::<'de, str>::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}
