//! Output of the commands: results on one stream, notes for the operator on another.

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

    /// Writes `text` to the results, with a final newline if it lacks one.
    ///
    /// # Errors
    ///
    /// [`Kind::Io`] when the text cannot be written.
    pub fn print(&mut self, text: &str) -> Result<()> {
        let end = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
        let written = write!(self.out, "{text}{end}").and_then(|()| self.out.flush());
        written.map_err(|error| Error::new(Kind::Io, format!("output cannot be written: {error}")))
    }

    /// Writes a line to the notes. A note that cannot be written is dropped, since no other output is left to report it.
    pub fn note(&mut self, text: &str) {
        let _ignored = writeln!(self.notes, "{text}");
    }
}
