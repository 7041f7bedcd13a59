//! Reads objects from files `KIND/NAME.json`, one object per file.

use std::fs;
use std::path::{Path, PathBuf};

use poplarpaddle::error::{Error, Kind as ErrorKind, Result};
use poplarpaddle::object::{Fault, Input, Item, Kind};

/// Maximum size of a file in bytes; the store accepts values up to 1 MB.
const MAX_BYTES: u64 = 1_000_000;

/// Reads every object below `folder`.
///
/// Faults of objects are collected in the result, so that all of them are reported together.
///
/// # Errors
///
/// [`ErrorKind::Io`] naming the file or folder that cannot be read, [`ErrorKind::Argument`] for a folder that is not
/// named after a kind.
pub fn read(folder: &Path) -> Result<Input> {
    let mut input = Input::default();
    for path in entries(folder)? {
        if !path.is_dir() {
            continue;
        }
        let kind = kind_of(&path)?;
        for file in entries(&path)? {
            add(&mut input, kind, &file)?;
        }
    }
    Ok(input)
}

/// Reads the object in `file` into `input`; the name of the file's folder is the kind.
///
/// # Errors
///
/// The same errors as [`read`].
pub fn read_one(input: &mut Input, file: &Path) -> Result<()> {
    let folder = file.parent().filter(|folder| folder.file_name().is_some());
    let Some(folder) = folder else {
        let message = format!("file {} has no folder, allowed: KIND/NAME.json", file.display());
        return Err(Error::new(ErrorKind::Argument, message));
    };
    add(input, kind_of(folder)?, file)
}

fn kind_of(folder: &Path) -> Result<Kind> {
    let name = folder.file_name().unwrap_or_default().to_string_lossy();
    name.parse().map_err(|error: Error| {
        Error::new(ErrorKind::Argument, format!("folder {}: {}", folder.display(), error.message()))
    })
}

fn add(input: &mut Input, kind: Kind, file: &Path) -> Result<()> {
    let label = file.display().to_string();
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    if file.extension().is_none_or(|extension| extension != "json") {
        input.faults.push(Fault::new(label, "file name", &file.display(), "NAME.json"));
        return Ok(());
    }
    let size = fs::metadata(file).map_err(|error| unreadable(file, &error))?.len();
    if size > MAX_BYTES {
        let faults = vec![Fault::new(&label, "size in bytes", &size, format!("up to {MAX_BYTES}"))];
        input.add(&label, kind, &name, Err(faults));
        return Ok(());
    }
    let bytes = fs::read(file).map_err(|error| unreadable(file, &error))?;
    input.add(&label, kind, &name, Item::from_json(&label, kind, &bytes));
    Ok(())
}

/// Returns the entries of a folder sorted by name, except those whose name starts with a dot.
fn entries(folder: &Path) -> Result<Vec<PathBuf>> {
    let listing = fs::read_dir(folder).map_err(|error| unreadable(folder, &error))?;
    let mut paths = Vec::new();
    for entry in listing {
        let entry = entry.map_err(|error| unreadable(folder, &error))?;
        if !entry.file_name().to_string_lossy().starts_with('.') {
            paths.push(entry.path());
        }
    }
    paths.sort();
    Ok(paths)
}

fn unreadable(path: &Path, error: &std::io::Error) -> Error {
    Error::new(ErrorKind::Io, format!("{} cannot be read: {error}", path.display()))
}
