//! Tests of `explain`.

use std::io::Write as _;

use poplarpaddle_cli::explain::{Log, explain};

use crate::fake::Fake;
use crate::support::run;

const FIRST_LOG: &str = r#"{"time":9000000000,"msg":"belief","process":"e1","event":"hosts.changed","subject":"1","detail":"revision 7: i-8"}
{"time":10000000000,"msg":"decision","process":"e1","flow":"100.64.0.7:1024>198.18.0.1:443","verdict":"placed","host":"i-8","reason":null}
{"time":10060000000,"msg":"decision","process":"e1","flow":"100.64.0.7:1024>198.18.0.1:443","verdict":"moved","host":"i-9","reason":"unanswered"}
{"time":10061000000,"msg":"decision","process":"e1","flow":"100.64.0.8:1024>198.18.0.1:443","verdict":"placed","host":"i-8","reason":null}
{"time":10070000000,"msg":"belief","process":"e1","event":"host.silent","subject":"i-8","detail":"two openings"}
{"time":10080000000,"msg":"belief","process":"e1","event":"host.silent","subject":"i-5","detail":"two openings"}
{"time":30000000000,"msg":"belief","process":"e1","event":"zone.lost","subject":"a","detail":"too late"}
{"time":30000000000,"msg":"half a li"#;
const SECOND_LOG: &str = r#" 10.01 e2 {"time":10010000000,"msg":"belief","process":"e2","event":"zone.lost","subject":"a","detail":"another process"}
 10.02 e2 {"time":10900000000,"msg":"decision","process":"e2","flow":"100.64.0.7:1024>198.18.0.1:443","verdict":"reset","host":null,"reason":"unknown_route"}
"#;

/// Checks that the decisions of all processes about one flow and the beliefs related to them are returned in order of
/// time, without those of other flows and times. Engineers who investigate a flow have only the logs.
#[test]
fn decisions_come_with_related_beliefs() {
    let found =
        explain("100.64.0.7:1024", &[Log { label: "a", text: FIRST_LOG }, Log { label: "b", text: SECOND_LOG }]);
    assert_eq!(found.skipped, 1, "the incomplete last line of the first log");
    let summaries: Vec<String> = found
        .lines
        .iter()
        .map(|line| {
            let text = |field: &str| line.fields[field].as_str().unwrap_or_default().to_owned();
            format!("{} {}{}", line.process, text("verdict"), text("event"))
        })
        .collect();
    assert_eq!(summaries, ["e1 hosts.changed", "e1 placed", "e2 zone.lost", "e1 moved", "e1 host.silent", "e2 reset"]);
}

/// Checks that a flow without decisions, a missing file and a missing argument each give an error that names it.
#[test]
fn missing_inputs_are_named() {
    let mut file = std::env::temp_dir();
    file.push(format!("poplarctl-explain-{}.jsonl", std::process::id()));
    std::fs::File::create(&file).unwrap().write_all(FIRST_LOG.as_bytes()).unwrap();
    let fake = Fake::default();
    let output = run(&fake, &format!("explain 100.64.0.8:1024 {}", file.display()));
    assert!(output.contains("verdict=placed") && output.contains("host=i-8"), "{output}");
    assert!(output.contains("1 line is not a log line and was skipped"), "{output}");
    assert!(run(&fake, &format!("explain 1.2.3.4:5 {}", file.display())).contains("no decision about a flow"));
    std::fs::remove_file(&file).unwrap();
    assert!(run(&fake, &format!("explain 1.2.3.4:5 {}", file.display())).contains("cannot read log"));
    assert!(run(&fake, "explain").contains("FLOW is missing"));
    assert!(run(&fake, "explain 1.2.3.4:5").contains("FILE is missing"));
}
