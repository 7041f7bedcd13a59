//! Command-line options of the binaries.
//!
//! A binary declares its flags in a table; an unknown flag, a missing one or a bad value is an error that names the
//! flag and the value.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use eyre::{Result, bail, eyre};
use lexopt::Arg;

/// A flag with the line that `--help` prints.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Form of the value and its meaning.
    pub help: &'static str,
}

/// Returns the declaration of a flag.
#[must_use]
pub const fn flag(name: &'static str, help: &'static str) -> Flag {
    Flag { name, help }
}

/// Parsed options.
#[derive(Debug, Clone, Default)]
pub struct Options {
    values: BTreeMap<&'static str, Vec<String>>,
    positional: Vec<String>,
    help: bool,
}

impl Options {
    /// Parses `arguments` (without the program name) by the table `flags`.
    ///
    /// # Errors
    ///
    /// Fails for an unknown flag, a flag without a value, and a value that is not Unicode.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>, flags: &[Flag]) -> Result<Self> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut options = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") => options.help = true,
                Arg::Long(name) => {
                    let known = flags.iter().find(|flag| flag.name == name);
                    let known = known.ok_or_else(|| eyre!("flag --{name} is unknown; see --help"))?.name;
                    options.values.entry(known).or_default().push(to_unicode(known, parser.value()?)?);
                }
                Arg::Value(value) => options.positional.push(to_unicode("(positional)", value)?),
                Arg::Short(short) => bail!("flag -{short} is unknown; see --help"),
            }
        }
        Ok(options)
    }

    /// Parses the arguments of this process and handles `--help`.
    ///
    /// # Errors
    ///
    /// Fails as [`Options::parse`] does.
    pub fn from_env(program: &str, flags: &[Flag]) -> Result<Option<Self>> {
        let options = Self::parse(std::env::args_os().skip(1), flags)?;
        if !options.help {
            return Ok(Some(options));
        }
        println!("usage: {program} [flags]");
        for flag in flags {
            println!("  --{:<16} {}", flag.name, flag.help);
        }
        Ok(None)
    }

    /// Returns the value of a flag, none when it was not given.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be parsed or the flag was given twice.
    pub fn optional<T>(&self, name: &str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.values.get(name).map_or(&[][..], Vec::as_slice) {
            [] => Ok(None),
            [value] => Ok(Some(parse(name, value)?)),
            [_, second, ..] => bail!("flag --{name} was given twice, the second time as {second:?}"),
        }
    }

    /// Returns the value of a flag or `default`.
    ///
    /// # Errors
    ///
    /// Fails as [`Options::optional`] does.
    pub fn value<T>(&self, name: &str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// Returns the value of a flag that has no default.
    ///
    /// # Errors
    ///
    /// Fails when the flag is missing, and as [`Options::optional`] does.
    pub fn required<T>(&self, name: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(name)?.ok_or_else(|| eyre!("flag --{name} is missing"))
    }

    /// Returns all values of a flag that may be repeated.
    ///
    /// # Errors
    ///
    /// Fails when a value cannot be parsed.
    pub fn all<T>(&self, name: &str) -> Result<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.values.get(name).into_iter().flatten().map(|value| parse(name, value)).collect()
    }

    /// Returns the arguments that belong to no flag.
    #[must_use]
    pub fn positional(&self) -> &[String] {
        &self.positional
    }
}

fn to_unicode(name: &str, value: OsString) -> Result<String> {
    value.into_string().map_err(|value| eyre!("value {value:?} of {name} is not Unicode"))
}

fn parse<T>(name: &str, value: &str) -> Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    value.parse().map_err(|error| eyre!("flag --{name} has the bad value {value:?}: {error}"))
}

/// Two values joined by `=`, such as `127.10.0.1=127.0.0.1:7001`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair<K, V> {
    /// The value before the `=`.
    pub key: K,
    /// The value after it.
    pub value: V,
}

impl<K, V> FromStr for Pair<K, V>
where
    K: FromStr,
    K::Err: Display,
    V: FromStr,
    V::Err: Display,
{
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self> {
        let (key, value) = text.split_once('=').ok_or_else(|| eyre!("expected KEY=VALUE"))?;
        let key = key.parse().map_err(|error| eyre!("{key:?}: {error}"))?;
        let value = value.parse().map_err(|error| eyre!("{value:?}: {error}"))?;
        Ok(Self { key, value })
    }
}
