//! Tests of `publish`, `diff`, `check` and `status`.

use poplarpaddle::store::Call;
use serde_json::json;

use crate::fake::{Behavior, Fake};
use crate::support::{Scripted, example, is_write, run};

/// Replaces the random publish ids by `ID`, so that the text is reproducible.
fn redact_ids(text: &str) -> String {
    let is_id = |word: &str| word.len() == 32 && word.chars().all(|c| c.is_ascii_hexdigit());
    let line =
        |line: &str| line.split(' ').map(|word| if is_id(word) { "ID" } else { word }).collect::<Vec<_>>().join(" ");
    text.split('\n').map(line).collect::<Vec<_>>().join("\n")
}

/// Guards against a publish from files that omits objects, publishes an unchanged set again, or deletes objects of other
/// operators without `--prune`.
#[test]
fn files_become_a_generation() {
    let fake = Fake::default();
    let from = format!("--fleet kitami --from {}", example("kitami").display());
    let plan = run(&fake, &format!("diff {from}"));
    let plan = plan.lines().filter(|line| !line.starts_with("  ")).collect::<Vec<_>>().join("\n");
    let first = run(&fake, &format!("publish {from}"));
    assert_eq!(first.lines().count(), 28 + 2 + 28, "28 objects written, then published: {first}");
    let again = run(&fake, &format!("publish {from}"));
    fake.put("zone", "shari", json!({"name": "shari", "region": "okhotsk"}));
    fake.put(
        "service",
        "catalogue",
        json!({"name": "catalogue", "address": "10.30.0.2", "shards": 3,
        "ports": [{"port": 7301, "priority": "normal"}]}),
    );
    let steps = ["diff", "publish", "publish-from", "prune", "diff"].map(|step| match step {
        "diff" => run(&fake, &format!("diff {from}")),
        "publish" => run(&fake, "publish --fleet kitami"),
        "publish-from" => run(&fake, &format!("publish {from}")),
        _ => run(&fake, &format!("publish {from} --prune")),
    });
    insta::assert_snapshot!(redact_ids(&[vec![plan, again], steps.to_vec()].concat().join("\n--\n")));
    let kinds: Vec<usize> =
        ["zone", "priority", "service", "target"].map(|kind| run(&fake, &format!("get {kind}")).lines().count()).into();
    assert_eq!(kinds, [3, 3, 2, 20]);
}

/// Guards against concurrent publishes that overwrite each other without an error.
#[test]
fn a_racing_publish_is_a_conflict() {
    let fake = Fake::default();
    run(&fake, &format!("publish --fleet kitami --from {}", example("kitami").display()));
    let drain = |name: &str| {
        let mut value = fake.get("target", name).unwrap().value;
        value["draining"] = json!(true);
        fake.put("target", name, value);
    };
    drain("pour-slot-01");
    let mut raced = false;
    let racing = Scripted::new(&fake, |fake, call| {
        if is_write(call, "manifest") && !std::mem::replace(&mut raced, true) {
            drain("pour-slot-02");
            // Runs on another thread, since a Tokio runtime cannot be started within a runtime.
            let other = std::thread::scope(|scope| scope.spawn(|| run(fake, "publish --fleet kitami")).join().unwrap());
            assert!(other.starts_with("published generation 2"), "{other}");
        }
        Behavior::Answer
    });
    let text = run(&racing, "publish --fleet kitami");
    insta::assert_snapshot!(redact_ids(&text));
    let manifest = fake.get("manifest", "kitami").unwrap().value;
    assert_eq!(manifest["generation"], 2);
    assert!(run(&fake, "publish --fleet kitami").starts_with("nothing changed since generation 2"));
}

/// Guards against exit codes that do not distinguish an outage, an invalid set of objects and a missing option.
#[test]
fn failures_have_distinct_exit_codes() {
    let fake = Fake::default();
    fake.put("target", "t1", json!({"name": "t1"}));
    let text = run(&fake, "publish --fleet kitami");
    assert!(text.contains("target \"t1\": service is missing") && text.ends_with("(exit 4)\n"), "{text}");
    assert!(run(&fake, "check").ends_with("(exit 4)\n"));
    assert!(run(&fake, "publish").ends_with("option --fleet is missing, allowed: the name of a fleet (exit 2)\n"));
    let down = Scripted::new(&fake, |_fake, _call: &Call| Behavior::Refuse);
    let text = run(&down, "get zone");
    assert!(text.ends_with("connection refused (exit 12)\n"), "{text}");
}

/// Guards against a status table that does not mark zones and members with an old generation.
#[test]
fn status_shows_who_is_behind() {
    let fake = Fake::default();
    run(&fake, &format!("publish --fleet kitami --from {}", example("kitami").display()));
    let member =
        |name: &str, generation: u64| json!({"id": "1f", "name": name, "state": "Alive", "generation": generation});
    let status = |zone: &str, generation: u64, members: serde_json::Value| {
        let digest = "1f".repeat(32);
        json!({"zone": zone, "generation": generation, "epochs": {"n-0": 4}, "digest": digest, "members": members})
    };
    fake.put("status", "kitami", status("kitami", 1, json!([member("b1", 1), member("b2", 0)])));
    fake.put("status", "abashiri", status("abashiri", 0, json!([])));
    fake.put("status", "monbetsu", json!("not an object"));
    insta::assert_snapshot!(
        [run(&fake, "status --fleet kitami"), run(&fake, "status --fleet kitami --json")].join("\n")
    );
}
