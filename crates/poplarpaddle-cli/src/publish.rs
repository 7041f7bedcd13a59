//! The command `publish`: checks the objects and publishes them as a new generation.

use std::hash::{BuildHasher as _, RandomState};
use std::path::Path;

use poplarpaddle::error::Result;
use poplarpaddle::map::Map;
use poplarpaddle::object::{Kind, Set};
use poplarpaddle::publish::{End, Publish, Published, Settings, Step};

use crate::check;
use crate::console::Console;
use crate::files;
use crate::remote::{Remote, Write};

pub(crate) async fn run(
    remote: &Remote<'_>,
    fleet: &str,
    folder: Option<&Path>,
    prune: bool,
    console: &mut Console<'_>,
) -> Result<()> {
    if let Some(folder) = folder {
        let input = files::read(folder)?;
        check::validate(&input)?;
        upload(remote, &input.set, prune, console).await?;
    }
    let settings = Settings { fleet: fleet.to_owned(), seed: seed(), ..Default::default() };
    let end = drive(remote, Publish::new(remote.now(), settings)).await;
    if let Some(error) = end.error() {
        return Err(error);
    }
    match end {
        End::Published(published) => report(&published, console),
        End::Unchanged { generation } => {
            console.print(&format!("nothing changed since generation {generation}; nothing written"))
        }
        _ => Ok(()),
    }
}

/// Returns a random seed. The standard library seeds [`RandomState`] from the operating system.
fn seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Performs the calls and waits that `publish` requests until it ends.
async fn drive(remote: &Remote<'_>, mut publish: Publish) -> End {
    loop {
        match publish.next(remote.now()) {
            Step::Call { call, deadline } => {
                let outcome = remote.call(&call, deadline).await;
                publish.handle_outcome(remote.now(), outcome);
            }
            Step::Wait(until) => remote.wait(until).await,
            Step::End(end) => return end,
        }
    }
}

fn report(published: &Published, console: &mut Console<'_>) -> Result<()> {
    let Published { generation, publish, parts, part_bytes, manifest_bytes, changes } = published;
    console.print(&format!("published generation {generation}, publish {publish}"))?;
    console.print(&format!("{parts} parts with {part_bytes} bytes, manifest with {manifest_bytes} bytes"))?;
    changes.iter().try_for_each(|change| console.print(&format!("  {change}")))
}

/// Writes the objects of the files to the store. Objects that have no file are deleted only with `prune`, since they may
/// belong to another operator of the fleet.
async fn upload(remote: &Remote<'_>, files: &Set, prune: bool, console: &mut Console<'_>) -> Result<()> {
    let mut extra = Vec::new();
    for kind in Kind::ALL {
        let objects = remote.list(&kind.to_string()).await?;
        let mut stored: Map<String, _> = poplarpaddle::map::seeded(0);
        stored.extend(objects.into_iter().map(|object| (object.name.clone(), object)));
        for name in files.names(kind) {
            let Some(item) = files.get(kind, name) else { continue };
            let (value, object) = (item.to_value()?, stored.remove(name));
            let version = object.as_ref().map_or(0, |object| object.version);
            if object.is_some_and(|object| object.value == value) {
                continue;
            }
            remote.write(&Write { kind, name: name.to_owned(), version, value: Some(value) }).await?;
            let verb = if version == 0 { "added" } else { "changed" };
            console.print(&format!("{verb} {} in the store", item.label()))?;
        }
        let mut unmatched: Vec<Write> = stored
            .into_values()
            .map(|object| Write { kind, name: object.name, version: object.version, value: None })
            .collect();
        unmatched.sort_by(|a, b| a.name.cmp(&b.name));
        extra.extend(unmatched);
    }
    // Targets are deleted before the objects that they refer to.
    for write in extra.iter().rev() {
        if prune {
            remote.write(write).await?;
            console.print(&format!("removed {} from the store", write.label()))?;
        } else {
            console.note(&format!("{} has no file and is kept in the store; --prune deletes it", write.label()));
        }
    }
    Ok(())
}
