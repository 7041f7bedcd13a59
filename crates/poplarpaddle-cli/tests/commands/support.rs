//! Helpers that run commands against a store and collect their output.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Mutex;

use poplarpaddle::store::{Call, Pending, Store};
use poplarpaddle::time::Time;
use poplarpaddle_cli::arguments::Arguments;
use poplarpaddle_cli::console::Console;
use poplarpaddle_cli::perform;

use crate::fake::{Behavior, Fake};

/// Runs a command and returns its output, notes and error as one text.
pub fn run(store: &dyn Store, line: &str) -> String {
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut console = Console::new(&mut out, &mut notes);
    let result = Arguments::parse(line.split_whitespace())
        .and_then(|arguments| runtime.block_on(perform(&arguments, Some(store), &mut console)));
    let mut text = String::from_utf8([out, notes].concat()).unwrap();
    if let Err(error) = result {
        writeln!(text, "{error} (exit {})", error.kind().codes().exit).unwrap();
    }
    text
}

/// A store whose behavior a test scripts for each call; the script may also change objects between calls.
pub struct Scripted<'a, F> {
    pub fake: &'a Fake,
    script: Mutex<F>,
}

impl<'a, F: FnMut(&Fake, &Call) -> Behavior + Send> Scripted<'a, F> {
    pub fn new(fake: &'a Fake, script: F) -> Self {
        Self { fake, script: Mutex::new(script) }
    }
}

impl<F: FnMut(&Fake, &Call) -> Behavior + Send> Store for Scripted<'_, F> {
    fn call<'a>(&'a self, call: &'a Call, _deadline: Time) -> Pending<'a> {
        let behavior = (self.script.lock().unwrap())(self.fake, call);
        Box::pin(async move { self.fake.perform(call, behavior) })
    }
}

/// Returns the folder of the example objects of `user`.
pub fn example(user: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(user)
}

/// Returns true if `call` writes or deletes an object of `kind`.
pub fn is_write(call: &Call, kind: &str) -> bool {
    match call {
        Call::Put { kind: of, .. } | Call::Delete { kind: of, .. } => of == kind,
        _ => false,
    }
}
