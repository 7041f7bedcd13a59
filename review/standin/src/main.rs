//! Stand-ins for the cases of the review, one scenario for each case.
//!
//! Usage: `review-standin CASE ROOT RECORD`. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. With `TROUBLE=0` in the environment the disturbance is left out.

mod consumer;
mod edge;
mod host;
mod packet;
mod record;
mod scenario;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&folder)
        .and_then(|()| record::Record::create(record))
        .and_then(|record| scenario::run(case, Path::new(root), &folder, record, trouble));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match outcome {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
