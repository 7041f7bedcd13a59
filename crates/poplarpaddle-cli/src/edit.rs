//! The commands `put`, `get` and `delete`.

use std::path::PathBuf;

use poplarpaddle::error::{Error, Kind as ErrorKind, Result};
use poplarpaddle::object::{Fault, Input, Item, Kind};

use crate::console::Console;
use crate::files;
use crate::remote::{Remote, Write};

pub(crate) async fn put(
    remote: &Remote<'_>,
    files: &[PathBuf],
    if_version: Option<u64>,
    console: &mut Console<'_>,
) -> Result<()> {
    let mut input = Input::default();
    files.iter().try_for_each(|file| files::read_one(&mut input, file))?;
    if !input.faults.is_empty() {
        return Err(Fault::error(&input.faults));
    }
    for kind in Kind::ALL {
        for name in input.set.names(kind) {
            if let Some(item) = input.set.get(kind, name) {
                put_one(remote, &item, if_version, console).await?;
            }
        }
    }
    Ok(())
}

/// Writes one object unless the store already holds the same value.
async fn put_one(remote: &Remote<'_>, item: &Item, if_version: Option<u64>, console: &mut Console<'_>) -> Result<()> {
    let (kind, name, value) = (item.kind(), item.name().to_owned(), item.to_value()?);
    let stored = remote.get(&kind.to_string(), &name).await?;
    let current = stored.as_ref().map_or(0, |object| object.version);
    let version = if_version.unwrap_or(current);
    if version == current && stored.is_some_and(|object| object.value == value) {
        return console.print(&format!("unchanged {}", item.label()));
    }
    remote.write(&Write { kind, name, version, value: Some(value) }).await?;
    let verb = if version == 0 { "added" } else { "changed" };
    console.print(&format!("{verb} {}", item.label()))
}

pub(crate) async fn get(remote: &Remote<'_>, kind: Kind, name: Option<&str>, console: &mut Console<'_>) -> Result<()> {
    let Some(name) = name else {
        for object in remote.list(&kind.to_string()).await? {
            console.print(&format!("{} version {}", object.name, object.version))?;
        }
        return Ok(());
    };
    let object = remote.get(&kind.to_string(), name).await?.ok_or_else(|| missing(kind, name))?;
    console.print(&format!("{:#}", object.value))
}

pub(crate) async fn delete(
    remote: &Remote<'_>,
    kind: Kind,
    name: &str,
    if_version: Option<u64>,
    console: &mut Console<'_>,
) -> Result<()> {
    let stored = remote.get(&kind.to_string(), name).await?.ok_or_else(|| missing(kind, name))?;
    let version = if_version.unwrap_or(stored.version);
    remote.write(&Write { kind, name: name.to_owned(), version, value: None }).await?;
    console.print(&format!("removed {kind} {name:?}"))
}

fn missing(kind: Kind, name: &str) -> Error {
    Error::new(ErrorKind::Missing, format!("{kind} {name:?} does not exist in the store"))
}
