//! The file `record.txt`: what was sent, answered and run, each line with the milliseconds since the start.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::time::Instant;

pub struct Record {
    file: BufWriter<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { file: BufWriter::new(File::create(path)?), start: Instant::now() })
    }

    pub fn note(&mut self, text: &str) {
        let ms = self.start.elapsed().as_micros() as f64 / 1000.0;
        let _ = writeln!(self.file, "{ms:10.1} {text}");
    }

    /// Notes a line and prints it too.
    pub fn say(&mut self, text: &str) {
        println!("{text}");
        self.note(text);
        let _ = self.file.flush();
    }
}
