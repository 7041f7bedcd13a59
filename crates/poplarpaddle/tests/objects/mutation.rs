//! Property tests with randomly damaged manifests and parts.

use std::cell::RefCell;

use poplarpaddle::config::{Digest, Manifest, Offer, Part, State};
use poplarpaddle::object::{Item, Kind};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::support::{generation, set};

/// Generates replacements of bytes. Their positions are taken modulo the length of the input.
fn damage() -> impl Strategy<Value = Vec<(usize, Vec<u8>)>> {
    let tokens = ["0", "-1", "\"", "null", "}", "[", "18446744073709551616", "\u{0}", "e9", "\"\\ud800\"", ",", "255"];
    let token = prop_oneof![
        prop::collection::vec(any::<u8>(), 1..4),
        prop::sample::select(tokens.map(|text| text.as_bytes().to_vec()).to_vec()),
    ];
    prop::collection::vec((any::<usize>(), token), 1..4)
}

fn apply(bytes: &[u8], damage: &[(usize, Vec<u8>)]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (position, token) in damage {
        let position = position % bytes.len();
        let end = (position + token.len() / 2).min(bytes.len());
        bytes.splice(position..end, token.iter().copied());
    }
    bytes
}

fn active_state(number: u64) -> State {
    let (manifest, parts) = generation(&set(4, 3), number);
    let mut state = State::new("kauri");
    state.offer(&manifest.encode().unwrap()).unwrap();
    for part in parts.iter().filter(|part| manifest.digests().any(|digest| digest == Digest::of(part))) {
        state.supply(part).unwrap();
    }
    assert_eq!(state.generation(), number);
    state
}

/// Guards against a panic on damaged input, and against damaged input that puts an older generation in force.
#[test]
fn damaged_input_never_panics_or_lowers_the_generation() {
    let seed = [7; 32];
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
    let (manifest, parts) = generation(&set(4, 3), 6);
    let manifest = manifest.encode().unwrap();
    let part = parts.iter().find(|part| part.len() > 100).unwrap();
    let state = RefCell::new(active_state(5));
    let result = runner.run(&(damage(), damage()), |(first, second)| {
        let mut state = state.borrow_mut();
        let (manifest, part) = (apply(&manifest, &first), apply(part, &second));
        if let Ok(Offer::Missing(missing)) = state.offer(&manifest) {
            prop_assert!(!missing.is_empty());
            prop_assert!(state.supply(&part).is_err() || missing.contains(&Digest::of(&part)));
        }
        prop_assert!(state.generation() >= 5);
        prop_assert!(Part::decode(&part).map_or(true, |part| part.services.len() <= 4));
        // A damaged part whose digest is listed in the manifest is compiled.
        if let Ok(mut named) = Manifest::decode(&manifest) {
            named.generation = 7;
            named.parts.iter_mut().flatten().for_each(|digest| *digest = Digest::of(&part));
            let mut fresh = active_state(1);
            if let Ok(bytes) = named.encode() {
                let _offer = fresh.offer(&bytes);
                let _supply = fresh.supply(&part);
                prop_assert!(matches!(fresh.generation(), 1 | 7));
            }
        }
        for kind in Kind::ALL {
            prop_assert!(Item::from_json("file", kind, &part).is_err());
        }
        Ok(())
    });
    result.unwrap();
}
