//! The command `check`.

use std::path::Path;

use poplarpaddle::check;
use poplarpaddle::error::Result;
use poplarpaddle::object::{Fault, Input};

use crate::console::Console;
use crate::files;
use crate::remote::Remote;

pub(crate) fn files(folder: &Path, console: &mut Console<'_>) -> Result<()> {
    report(&files::read(folder)?, console)
}

pub(crate) async fn store(remote: &Remote<'_>, console: &mut Console<'_>) -> Result<()> {
    report(&remote.objects().await?, console)
}

/// Returns an error that lists every fault of the objects.
pub(crate) fn accept(input: &Input) -> Result<()> {
    let faults = check::input(input);
    if faults.is_empty() { Ok(()) } else { Err(Fault::error(&faults)) }
}

fn report(input: &Input, console: &mut Console<'_>) -> Result<()> {
    accept(input)?;
    let set = &input.set;
    console.print(&format!(
        "no faults in {} zones, {} priorities, {} services, {} targets",
        set.zones.len(),
        set.priorities.len(),
        set.services.len(),
        set.targets.len()
    ))
}
