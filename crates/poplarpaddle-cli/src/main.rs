//! The binary `poplarctl`; the library implements the commands.

use std::process::ExitCode;

use poplarpaddle_cli::console::Console;

fn main() -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("poplarctl: cannot start the runtime: {error}");
            return ExitCode::from(poplarpaddle::error::Kind::Io.codes().exit);
        }
    };
    let (mut out, mut notes) = (std::io::stdout(), std::io::stderr());
    let mut console = Console::new(&mut out, &mut notes);
    ExitCode::from(runtime.block_on(poplarpaddle_cli::run(std::env::args_os().skip(1), &mut console)))
}
