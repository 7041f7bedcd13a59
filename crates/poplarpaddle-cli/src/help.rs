//! Help texts.

use std::fmt::Write as _;

use poplarpaddle::error::Kind;

use crate::arguments::Command;

/// Name and version of the program.
pub const VERSION: &str = concat!("poplarctl ", env!("CARGO_PKG_VERSION"));

const INTRODUCTION: &str = "\
Edits, checks and publishes the objects of a poplarpaddle fleet and reports its status.

usage: poplarctl COMMAND [OPTIONS]

Objects are zones, priorities, services and targets. As files they are DIR/KIND/NAME.json, one object each.
";

const COMMON: &str = "
  --store URL      object API, http://IP:port
  --fleet NAME     name of the fleet
  -h, --help       print this help; after a command, the help of the command
  -V, --version    print the version
";

/// Returns the help of a command, or of the whole program with the table of exit codes.
#[must_use]
pub fn text(command: Option<Command>) -> String {
    let mut text = String::new();
    if let Some(command) = command {
        text.push_str(usage(command));
    } else {
        text.push_str(INTRODUCTION);
        text.push_str("\ncommands:\n");
        for command in Command::ALL {
            let _infallible = writeln!(text, "  {:<10} {}", command.to_string(), summary(command));
        }
    }
    text.push_str(COMMON);
    text.push_str("\nexit codes:\n   0  success\n");
    for kind in Kind::ALL {
        let _infallible = writeln!(text, "  {:>2}  {kind}", kind.codes().exit);
    }
    text
}

fn summary(command: Command) -> &'static str {
    let text = usage(command);
    let line = text.lines().next().unwrap_or_default();
    line.trim_end_matches('.')
}

const fn usage(command: Command) -> &'static str {
    match command {
        Command::Check => {
            "\
Check the whole set of objects and print every fault.

usage: poplarctl check [--from DIR]

Without --from, the objects in the store are checked. Whether another service released an endpoint too recently is
checked only by `publish`. If there are faults, the exit code is that of `object`.

  --from DIR       check the files in DIR instead
"
        }
        Command::Diff => {
            "\
Compare files with the store, and the store with the published generation.

usage: poplarctl diff [--from DIR]

  --from DIR       files to compare with the store
"
        }
        Command::Put => {
            "\
Write objects from files KIND/NAME.json to the store.

usage: poplarctl put FILE... [--if-version N]

All files are read before the first object is written. Each write is conditional on the version read just before it. A
conflict prints the stored object and exits with the code of `conflict`.

  --if-version N   write one file only if the object is at version N, 0 when it must not exist
"
        }
        Command::Get => {
            "\
Print an object as JSON, or the names and versions of all objects of a kind.

usage: poplarctl get KIND [NAME]
"
        }
        Command::Delete => {
            "\
Delete an object from the store.

usage: poplarctl delete KIND NAME [--if-version N]

The delete is conditional on the version, like the writes of `put`.

  --if-version N   delete only if the object is at version N
"
        }
        Command::Publish => {
            "\
Check the whole set and publish it as a new generation.

usage: poplarctl publish [--from DIR] [--prune]

If another operator publishes at the same time, the command fails with a conflict: it publishes nothing and prints the
changes of the other publish. If the response to the write is lost, the manifest is read back. After an exit with the
code of `timeout`, the new generation may be in force; check with `poplarctl diff`.

  --from DIR       first check the files in DIR and write those that differ to the store
  --prune          with --from, also delete objects in the store that have no file
"
        }
        Command::Status => {
            "\
Print the status that the zones report.

usage: poplarctl status [--json] [--balancers IP:port,...]

  --json           print JSON instead of tables
  --balancers LIST also query these balancers at their peer HTTP addresses
"
        }
        Command::Timeline => {
            "\
Merge the events of several processes into one ordered timeline.

usage: poplarctl timeline --from http://IP:port,... [--format text|json|trace]

  --from LIST      processes to query
  --format FORMAT  text (default), json (JSON lines) or trace (Trace Event Format, for a browser's trace viewer)
"
        }
        Command::Explain => {
            "\
Show the decisions of balancers about a flow, and their beliefs around that time.

usage: poplarctl explain FLOW FILE...

FLOW is a substring of the flow's name CALLER>SERVICE, such as the caller's IP:port. FILE is a log of one or more
balancers. Beliefs are the logged changes of a balancer's view of hosts, zones, members, store and configuration.
"
        }
    }
}
