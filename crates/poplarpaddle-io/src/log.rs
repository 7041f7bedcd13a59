//! Logging of JSON lines with `slog`.
//!
//! ```
//! let (logger, _guard) = poplarpaddle_io::log::stderr("balancer-1", slog::Level::Info);
//! slog::info!(logger, "started"; "zone" => "kitami");
//! ```
//!
//! A separate thread writes the lines, so a slow terminal does not delay the data path. If the queue of that thread is
//! full, lines are dropped and their number is logged.

use std::io::Write;

use slog::{Drain as _, FnValue, Logger, Record, o};
use slog_async::AsyncGuard;

use crate::clock::Clock;

/// Capacity of the queue of the writer thread, in lines.
const QUEUE_LINES: usize = 4096;

/// Capacity of the queue on a VM with little memory, in lines.
const SMALL_QUEUE_LINES: usize = 512;

/// Returns a logger that writes to standard error, and a guard that flushes the queue when it is dropped.
pub fn stderr(process: &str, level: slog::Level) -> (Logger, AsyncGuard) {
    start(std::io::stderr(), QUEUE_LINES, process, level)
}

/// Returns a logger that writes to standard output and has a short queue, and a guard that flushes the queue when it is
/// dropped.
pub fn stdout(process: &str, level: slog::Level) -> (Logger, AsyncGuard) {
    start(std::io::stdout(), SMALL_QUEUE_LINES, process, level)
}

fn start(output: impl Write + Send + 'static, queue: usize, process: &str, level: slog::Level) -> (Logger, AsyncGuard) {
    let clock = Clock::new();
    let json = slog_json::Json::new(output)
        .add_key_value(o!(
            "msg" => FnValue(move |record: &Record<'_>| record.msg().to_string()),
            "level" => FnValue(move |record: &Record<'_>| record.level().as_str().to_ascii_lowercase()),
            "time" => FnValue(move |_: &Record<'_>| clock.now().as_nanos()),
        ))
        .build();
    let drain = slog::LevelFilter::new(json, level).fuse();
    let (drain, guard) = slog_async::Async::new(drain).chan_size(queue).build_with_guard();
    let logger = Logger::root(drain.fuse(), o!("process" => process.to_owned()));
    (logger, guard)
}
