//! The command `check`: validates objects without publishing them.

use std::path::Path;

use poplarpaddle::check;
use poplarpaddle::error::Result;
use poplarpaddle::object::{Fault, Input};

use crate::console::Console;
use crate::files;
use crate::remote::Remote;

/// Checks the objects in the files below `folder`.
pub(crate) fn files(folder: &Path, console: &mut Console<'_>) -> Result<()> {
    report(&files::read(folder)?, console)
}

/// Checks the objects in the store.
pub(crate) async fn store(remote: &Remote<'_>, console: &mut Console<'_>) -> Result<()> {
    report(&remote.objects().await?, console)
}

/// Returns an error that lists every fault of the objects.
pub(crate) fn validate(input: &Input) -> Result<()> {
    let faults = check::input(input);
    if faults.is_empty() { Ok(()) } else { Err(Fault::error(&faults)) }
}

fn report(input: &Input, console: &mut Console<'_>) -> Result<()> {
    validate(input)?;
    let set = &input.set;
    console.print(&format!(
        "no faults in {} zones, {} priorities, {} services, {} targets",
        set.zones.len(),
        set.priorities.len(),
        set.services.len(),
        set.targets.len()
    ))
}
