//! Parses the command-line options of the binaries.
//!
//! Each binary declares its flags in a table. An unknown flag, a missing flag or an invalid value is reported as an
//! error that names the flag and the value.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use eyre::{Result, bail, eyre};
use lexopt::Arg;

/// A command-line flag and its `--help` text.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Format and meaning of the value.
    pub help: &'static str,
}

/// Returns a flag with the given name and help text.
#[must_use]
pub const fn flag(name: &'static str, help: &'static str) -> Flag {
    Flag { name, help }
}

/// Parsed command-line options.
#[derive(Debug, Clone, Default)]
pub struct Options {
    values: BTreeMap<&'static str, Vec<String>>,
    positional: Vec<String>,
    help: bool,
}

impl Options {
    /// Parses `arguments`, which do not include the program name, against the table `flags`.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown flag, a flag without a value, or a value that is not valid Unicode.
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
                Arg::Value(value) => options.positional.push(to_unicode("a positional argument", value)?),
                Arg::Short(short) => bail!("flag -{short} is unknown; see --help"),
            }
        }
        Ok(options)
    }

    /// Parses the arguments of this process. For `--help`, prints the usage and returns `None`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Options::parse`].
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

    /// Returns the value of a flag, or `None` if the flag was not given.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be parsed or the flag was given more than once.
    pub fn optional<T>(&self, name: &str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.values.get(name).map_or(&[][..], Vec::as_slice) {
            [] => Ok(None),
            [value] => Ok(Some(parse(name, value)?)),
            [_, second, ..] => bail!("flag --{name} was given more than once; the second value is {second:?}"),
        }
    }

    /// Returns the value of a flag, or `default` if the flag was not given.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Options::optional`].
    pub fn value<T>(&self, name: &str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.optional(name)?.unwrap_or(default))
    }

    /// Returns the value of a mandatory flag.
    ///
    /// # Errors
    ///
    /// Returns an error if the flag is missing, and the same errors as [`Options::optional`].
    pub fn required<T>(&self, name: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(name)?.ok_or_else(|| eyre!("flag --{name} is missing"))
    }

    /// Returns all values of a repeatable flag.
    ///
    /// # Errors
    ///
    /// Returns an error if a value cannot be parsed.
    pub fn all<T>(&self, name: &str) -> Result<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.values.get(name).into_iter().flatten().map(|value| parse(name, value)).collect()
    }

    /// Returns the positional arguments.
    #[must_use]
    pub fn positional(&self) -> &[String] {
        &self.positional
    }
}

fn to_unicode(name: &str, value: OsString) -> Result<String> {
    value.into_string().map_err(|value| eyre!("value {value:?} of {name} is not valid Unicode"))
}

fn parse<T>(name: &str, value: &str) -> Result<T>
where
    T: FromStr,
    T::Err: Display,
{
    value.parse().map_err(|error| eyre!("invalid value {value:?} for flag --{name}: {error}"))
}

/// A key and a value joined by `=`, such as `127.10.0.1=127.0.0.1:7001`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair<K, V> {
    /// Text before the `=`.
    pub key: K,
    /// Text after the `=`.
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
