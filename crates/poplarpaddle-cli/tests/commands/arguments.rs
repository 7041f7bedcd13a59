//! Tests of the command-line arguments and the help texts.

use poplarpaddle_cli::arguments::{Arguments, Command};
use poplarpaddle_cli::help;

/// Guards against ignoring invalid arguments, and against errors that omit the invalid or the allowed values.
#[test]
fn wrong_arguments_are_named() {
    let lines = [
        "",
        "publsh",
        "check --frm examples",
        "check --json",
        "publish --from a --from b",
        "publish --fleet",
        "put",
        "put a.json b.json --if-version 3",
        "put zone/a.json --if-version latest",
        "get",
        "get vm",
        "get zone a b",
        "delete zone",
        "status --balancers 127.0.0.1:7000,localhost",
        "status --json=yes",
        "timeline",
        "timeline --from 127.0.0.1:7000",
        "timeline --from http://127.0.0.1:7000/ --format xml",
        "get zone -x",
    ];
    let errors = lines.map(|line| {
        let error = Arguments::parse(line.split_whitespace()).unwrap_err();
        assert_eq!(error.kind().codes().exit, 2, "{line}");
        format!("{line}\n  {}", error.message())
    });
    insta::assert_snapshot!(errors.join("\n"));
}

/// Guards against commands without help, and options and exit codes that the help does not mention.
#[test]
fn help_covers_every_command() {
    insta::assert_snapshot!(help::text(None));
    for command in Command::ALL {
        let text = help::text(Some(command));
        for option in command.options() {
            assert!(
                text.contains(&format!("--{option} ")) || text.contains(&format!("--{option}\n")),
                "{command}: {option}"
            );
        }
        for line in [format!("{command} --help"), format!("--help {command}"), format!("{command} -V")] {
            Arguments::parse(line.split_whitespace()).unwrap();
        }
    }
}
