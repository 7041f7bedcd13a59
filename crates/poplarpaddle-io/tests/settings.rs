//! Tests of settings files. One pass finds every fault, with the file, line, key, value and allowed values.

use poplarpaddle_io::settings::{Advertise, Settings};

const GOOD: &str = include_str!("../../../settings/balancer.ini");

/// Guards against an example file that the daemon rejects.
#[test]
fn example_file_is_accepted() {
    let settings = Settings::parse("balancer.ini", GOOD).unwrap();
    assert_eq!(settings.node.zone, "kitami");
    assert_eq!(settings.members.seeds.len(), 2);
}

/// Guards against a fault that hides another one, and against faults without a line number.
#[test]
fn every_fault_is_reported() {
    let text = "
[node]
name = entry 1
zone = kitami
region = okhotsk
colour = red
[listen]
data = 127.0.0.1
data = 127.0.0.1:1
relay = 127.0.0.1:7001
peer = 127.0.0.1:7002
nonsense
[members]
ping_ms = 5
[memmbers]
ping_ms = 100
[store]
url = https://127.0.0.1:1
[log
";
    let faults = Settings::parse("bad.ini", text).unwrap_err();
    insta::assert_snapshot!(faults.to_string());
}

/// Guards against a panic on any text.
#[test]
fn arbitrary_text_does_not_panic() {
    let pieces = ["[", "]", "=", "node", "\n", "\r", ";", " ", "name", "é", "\0", "listen", "127.0.0.1:1", ","];
    let mut state = 7_u64;
    for _ in 0..2000 {
        let mut text = String::new();
        for _ in 0..40 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            text.push_str(pieces[usize::try_from(state >> 33).unwrap() % pieces.len()]);
        }
        let _faults = Settings::parse("any.ini", &text).unwrap_err();
    }
}

/// Guards against an `[advertise]` section that is required or whose two addresses are confused.
#[test]
fn advertised_addresses_are_optional() {
    let plain = Settings::parse("balancer.ini", GOOD).unwrap();
    assert_eq!(plain.advertise, Advertise::default());
    let text = format!("{GOOD}\n[advertise]\npeer = 127.0.9.1:7002\n");
    let advertised = Settings::parse("balancer.ini", &text).unwrap().advertise;
    assert_eq!(advertised, Advertise { peer: Some("127.0.9.1:7002".parse().unwrap()), relay: None });
}

/// Guards against line 0 for a fault in a last line that has no newline.
#[test]
fn the_last_line_needs_no_newline() {
    let faults = Settings::parse("bad.ini", "nonsense").unwrap_err();
    assert!(faults.to_string().contains("bad.ini:1: \"nonsense\""), "{faults}");
    let faults = Settings::parse("bad.ini", "[node]\nname = entry-1\ncolour = red").unwrap_err();
    assert!(faults.to_string().contains("bad.ini:3: [node] colour"), "{faults}");
    let faults = Settings::parse("bad.ini", "[node]\nname = entry-1\ncolour = red\n").unwrap_err();
    assert!(faults.to_string().contains("bad.ini:3: [node] colour"), "{faults}");
}

/// Guards against hedging that is on without its setting, and against a limit that the file does not state.
#[test]
fn hedging_is_off_without_its_setting() {
    let (plain, _) = GOOD.split_once("[hedge]").unwrap();
    assert_eq!(Settings::parse("balancer.ini", plain).unwrap().hedge.percent, 0);
    let with = |percent: &str| Settings::parse("bad.ini", &format!("{plain}[hedge]\npercent = {percent}\n"));
    assert_eq!(with("5").unwrap().hedge.percent, 5);
    for percent in ["101", "-1", "5%", "5.5"] {
        let faults = with(percent).unwrap_err().to_string();
        let expected = format!("[hedge] percent = {percent:?} is not allowed; allowed: a number from 0 to 100");
        assert!(faults.ends_with(&expected), "{faults}");
    }
}
