//! The command `diff`: compares the files, the store and the published generation.

use std::path::Path;

use poplarpaddle::error::Result;
use poplarpaddle::object::{Change, Difference, Fault, Set};
use serde_json::Value;

use crate::console::Console;
use crate::files;
use crate::remote::Remote;

pub(crate) async fn run(
    remote: &Remote<'_>,
    fleet: &str,
    folder: Option<&Path>,
    console: &mut Console<'_>,
) -> Result<()> {
    let store = remote.objects().await?;
    let mut faults = store.faults.clone();
    if let Some(folder) = folder {
        let files = files::read(folder)?;
        faults.extend(files.faults);
        print_changes("files against the store", &store.set, &files.set, console)?;
    }
    let published = remote.published(fleet).await?;
    let (title, set) = match published {
        Some(published) => (format!("store against generation {}", published.manifest.generation), published.set),
        None => ("store against an empty set, as no generation is published".to_owned(), Set::default()),
    };
    print_changes(&title, &set, &store.set, console)?;
    if faults.is_empty() { Ok(()) } else { Err(Fault::error(&faults)) }
}

/// Prints the objects that differ between two sets, with their differing fields.
fn print_changes(title: &str, older: &Set, newer: &Set, console: &mut Console<'_>) -> Result<()> {
    let changes = older.changes(newer);
    console.print(&format!("{title}: {} differ", changes.len()))?;
    for change in &changes {
        console.print(&format!("  {change}"))?;
        for line in differing_fields(change, older, newer)? {
            console.print(&format!("    {line}"))?;
        }
    }
    Ok(())
}

/// Returns a line for each field that differs between the two versions of a changed object.
fn differing_fields(change: &Change, older: &Set, newer: &Set) -> Result<Vec<String>> {
    let value = |set: &Set| set.get(change.kind, &change.name).map(|item| item.to_value()).transpose();
    let (Difference::Changed, Some(before), Some(after)) = (change.difference, value(older)?, value(newer)?) else {
        return Ok(Vec::new());
    };
    let (Some(before), Some(after)) = (before.as_object(), after.as_object()) else {
        return Ok(Vec::new());
    };
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let differing = names.into_iter().filter(|name| before.get(*name) != after.get(*name));
    let text = |value: Option<&Value>| value.map_or_else(|| "none".to_owned(), ToString::to_string);
    Ok(differing.map(|name| format!("{name}: {} -> {}", text(before.get(name)), text(after.get(name)))).collect())
}
