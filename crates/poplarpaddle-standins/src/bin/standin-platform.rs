//! Runs the platform: the object API and the VM list.

use eyre::Result;
use poplarpaddle_standins::args::{Flag, Options, flag};
use poplarpaddle_standins::http;
use poplarpaddle_standins::platform::Switches;
use poplarpaddle_standins::platform::http::Platform;

const FLAGS: &[Flag] = &[
    flag("listen", "IP:PORT: HTTP address to listen on"),
    flag("vm-lag-ms", "MS: lag of the VM list (0)"),
    flag("slow-ms", "MS: delay of every call (0)"),
];

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let Some(options) = Options::from_env("standin-platform", FLAGS)? else { return Ok(()) };
    let switches = Switches {
        vm_lag_ms: options.value("vm-lag-ms", 0)?,
        slow_ms: options.value("slow-ms", 0)?,
        ..Default::default()
    };
    let listener = http::listen(options.required("listen")?).await?;
    tokio::select! {
        result = Platform::new(switches).serve(listener) => result,
        result = http::terminated() => result,
    }
}
