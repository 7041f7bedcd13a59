//! Output of the commands: results, and notes for the operator.

use std::io::Write;

use poplarpaddle::error::{Error, Kind, Result};

/// Output of a command.
pub struct Console<'a> {
    out: &'a mut dyn Write,
    notes: &'a mut dyn Write,
}

impl std::fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Console").finish_non_exhaustive()
    }
}

impl<'a> Console<'a> {
    /// Returns a console that writes results to `out` and notes to `notes`.
    pub fn new(out: &'a mut dyn Write, notes: &'a mut dyn Write) -> Self {
        Self { out, notes }
    }

    /// Writes lines of a result.
    ///
    /// # Errors
    ///
    /// [`Kind::Io`] when they cannot be written.
    pub fn print(&mut self, text: &str) -> Result<()> {
        let end = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
        let written = write!(self.out, "{text}{end}").and_then(|()| self.out.flush());
        written.map_err(|error| Error::new(Kind::Io, format!("output cannot be written: {error}")))
    }

    /// Writes a note. A note that cannot be written is dropped, as there is no other output for it.
    pub fn note(&mut self, text: &str) {
        let _lost = writeln!(self.notes, "{text}");
    }
}
