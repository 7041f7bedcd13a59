//! Tests of `put`, `get` and `delete`, and of reading objects from files.

use std::fs;

use poplarpaddle_cli::files;
use serde_json::json;

use crate::fake::{Behavior, Fake};
use crate::support::{Scripted, example, is_write, run};

/// Guards against example sets that fail the check or contain target addresses outside the loopback range.
#[test]
fn examples_are_valid() {
    for (user, services) in [("kauri-crease", ["bookings", "crewdocs"]), ("kitami", ["pour-slot", "catalogue"])] {
        let input = files::read(&example(user)).unwrap();
        assert_eq!(poplarpaddle::check::input(&input), []);
        let set = input.set;
        assert_eq!((set.zones.len(), set.targets.len()), (3, 20));
        assert!(set.targets.values().all(|target| target.address.is_loopback()));
        assert!(services.iter().all(|service| set.services.contains_key(*service)));
        let line = format!("check --from {}", example(user).display());
        assert_eq!(run(&Fake::default(), &line), "no faults in 3 zones, 3 priorities, 2 services, 20 targets\n");
    }
}

/// Guards against writing any file when one of them has a fault, and against faults that do not name the file.
#[test]
fn faults_of_files_are_reported_together() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("faults");
    for (path, text) in [
        ("zone/a.json", r#"{"name": "b", "region": "south"}"#),
        ("zone/c.json", r#"{"name": "c", "region": 1}"#),
        ("zone/d.txt", ""),
        ("zone/e.json", r#"{"name": "e", "region": "south"}"#),
    ] {
        let path = folder.join(path);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
    let store = Fake::default();
    let displayed = folder.display().to_string();
    let files = ["a.json", "c.json", "d.txt", "e.json"].map(|name| format!("{displayed}/zone/{name}")).join(" ");
    let put = run(&store, &format!("put {files}"));
    let check = run(&store, &format!("check --from {displayed}"));
    fs::create_dir_all(folder.join("zoen")).unwrap();
    let folder_name = run(&store, &format!("check --from {displayed}"));
    fs::remove_dir_all(&folder).unwrap();
    let absent = run(&store, &format!("check --from {displayed}"));
    insta::assert_snapshot!([put, check, folder_name, absent].join("--\n").replace(&displayed, "DIR"));
    assert!(store.get("zone", "e").is_none());
}

/// Guards against overwriting an object that another operator changed, and against conflict errors that omit the stored
/// object.
#[test]
fn conflicts_show_the_other_side() {
    let fake = Fake::default();
    let file = example("kitami").join("zone/kitami.json");
    let put = format!("put {}", file.display());
    let mut text = run(&fake, &put);
    text += &run(&fake, &put);
    text += &run(&fake, &format!("{put} --if-version 0"));
    text += &run(&fake, "get zone");
    text += &run(&fake, "get zone kitami");
    text += &run(&fake, "get zone abashiri");
    text += &run(&fake, "delete zone kitami --if-version 7");
    let other = json!({"name": "kitami", "region": "elsewhere"});
    fake.put("zone", "kitami", other.clone());
    let mut raced = false;
    let racing = Scripted::new(&fake, |fake, call| {
        if is_write(call, "zone") && !std::mem::replace(&mut raced, true) {
            fake.put("zone", "kitami", json!({"name": "kitami", "region": "third"}));
        }
        Behavior::Answer
    });
    text += &run(&racing, &put);
    text += &run(&fake, "delete zone kitami");
    text += &run(&fake, "delete zone kitami");
    insta::assert_snapshot!(text);
}

/// Guards against `put` or `delete` reporting the wrong result when the response of the store is lost.
#[test]
fn lost_responses_are_read_back() {
    for behavior in [Behavior::LoseAnswer, Behavior::DropRequest] {
        let fake = Fake::default();
        let file = example("kitami").join("zone/kitami.json");
        let script = || {
            let mut lost = false;
            Scripted::new(&fake, move |_fake, call| {
                if is_write(call, "zone") && !std::mem::replace(&mut lost, true) { behavior } else { Behavior::Answer }
            })
        };
        assert_eq!(run(&script(), &format!("put {}", file.display())), "added zone \"kitami\"\n", "{behavior:?}");
        assert_eq!(fake.get("zone", "kitami").unwrap().version, 1, "{behavior:?}");
        assert_eq!(run(&script(), "delete zone kitami"), "removed zone \"kitami\"\n", "{behavior:?}");
        assert!(fake.get("zone", "kitami").is_none(), "{behavior:?}");
    }
}
