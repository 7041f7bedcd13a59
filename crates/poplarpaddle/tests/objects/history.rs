//! Linearizability test of concurrent publishers.

use poplarpaddle::config::PublishId;
use poplarpaddle::object::Set;
use poplarpaddle::publish::End;
use poplarpaddle::store::Call;
use poplarpaddle::time::Time;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::fake::{Behavior, Fake};
use crate::support::{Operator, add_target, fill, manifest, set};

/// A publish as observed by its operator.
#[derive(Debug, Clone, Copy)]
enum Operation {
    Begin,
    /// Published this generation.
    Accepted(u64),
    /// Failed because another publish wrote this generation first.
    Conflict(u64),
    /// Wrote nothing.
    Nothing,
}

/// Specification: each accepted publish increases the generation by one.
struct Generations;

impl Specification for Generations {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(op: &Operation, state: &u64) -> (bool, u64) {
        match *op {
            Operation::Accepted(generation) if generation == state + 1 => (true, generation),
            Operation::Begin | Operation::Accepted(_) => (false, *state),
            Operation::Conflict(generation) => (*state >= generation, *state),
            Operation::Nothing => (true, *state),
        }
    }
}

fn written(store: &Fake) -> Vec<(u64, PublishId)> {
    let mut history = Vec::new();
    for call in store.log.lock().unwrap().iter() {
        if let Call::Put { kind, value, .. } = call
            && kind == "manifest"
        {
            let publish = value["publish"].as_str().unwrap().parse().unwrap();
            history.push((value["generation"].as_u64().unwrap(), publish));
        }
    }
    history
}

fn behavior(random: &mut Pcg64) -> Behavior {
    match random.random_range(0..20) {
        0 => Behavior::LoseAnswer,
        1 => Behavior::DropRequest,
        2 => Behavior::Refuse,
        _ => Behavior::Answer,
    }
}

/// Runs `publishers` operators, whose calls are interleaved. Each one adds a target and publishes it, `rounds` times.
/// Returns the numbers of accepted publishes and of conflicts.
fn run(seed: u64, publishers: usize, rounds: u32) -> (usize, usize) {
    let mut random = Pcg64::seed_from_u64(seed);
    let store = Fake::default();
    fill(&store, &set(3, 2));
    let start = Time::from_millis(1);
    let mut operators: Vec<Option<Operator>> = (0..publishers).map(|_| None).collect();
    let mut remaining = vec![rounds; publishers];
    let mut actions = Vec::new();
    let mut accepted: Vec<(u64, PublishId)> = Vec::new();
    let mut conflicts = 0;
    while remaining.iter().any(|count| *count > 0) {
        let index = random.random_range(0..publishers);
        if remaining[index] == 0 {
            continue;
        }
        let Some(operator) = &mut operators[index] else {
            let mut extra = Set::default();
            let number = 100 + u32::try_from(index).unwrap() * 100 + remaining[index];
            add_target(&mut extra, 1, number);
            fill(&store, &extra);
            operators[index] = Some(Operator::new(random.random(), start));
            actions.push((index, Action::Call(Operation::Begin)));
            continue;
        };
        let id = operator.publish.id();
        if let Some(end) = operator.step(&store, behavior(&mut random)) {
            let operation = match end {
                End::Published(result) => {
                    accepted.push((result.generation, result.publish));
                    Operation::Accepted(result.generation)
                }
                End::Conflict(conflict) => {
                    conflicts += 1;
                    assert_ne!(conflict.publish, id);
                    Operation::Conflict(conflict.generation)
                }
                End::Unchanged { .. } => Operation::Nothing,
                other => panic!("seed {seed}: {other:?}"),
            };
            actions.push((index, Action::Response(operation)));
            operators[index] = None;
            remaining[index] -= 1;
        }
    }
    let attempts = written(&store);
    assert!(accepted.iter().all(|accepted| attempts.contains(accepted)), "seed {seed}");
    accepted.sort_unstable();
    let generations: Vec<u64> = accepted.iter().map(|(generation, _)| *generation).collect();
    let expected: Vec<u64> = (1..=manifest(&store).generation).collect();
    assert_eq!(
        generations, expected,
        "seed {seed}: each accepted publish must have its own generation, and none may be lost"
    );
    assert_eq!(store.get("manifest", "kauri").unwrap().version, manifest(&store).generation, "seed {seed}");
    assert!(WGLChecker::<Generations>::is_linearizable(History::from_actions(actions)), "seed {seed}");
    (accepted.len(), conflicts)
}

/// Guards against two publishes that share a generation, a lost publish, and a conflict without another accepted
/// publish.
#[test]
fn concurrent_publishers_are_linearizable() {
    let mut total = (0, 0);
    for seed in 0..40 {
        let (accepted, conflicts) = run(seed, 3, 4);
        total = (total.0 + accepted, total.1 + conflicts);
    }
    // Both results must occur often for the histories to be meaningful.
    assert!(total.0 > 100 && total.1 > 100, "accepted and conflicts: {total:?}");
    let accepted =
        |index: usize| [(index, Action::Call(Operation::Begin)), (index, Action::Response(Operation::Accepted(1)))];
    let shared = History::from_actions([accepted(0), accepted(1)].concat());
    assert!(!WGLChecker::<Generations>::is_linearizable(shared), "the checker must reject a shared generation");
}
