//! Memory of a node's configuration. The only test of its process, since it reads the memory of the whole process.

use poplarpaddle_bench::slope::memory;

/// Guards against a configuration change that holds two whole configurations at once: at 73,000 targets it may not
/// exceed the 32 MB that a node may spend on control.
#[test]
fn a_change_stays_within_the_memory_of_a_node() {
    let lines = memory::measure().unwrap();
    let peak = lines.iter().find(|line| line.slope == "memory.peak").unwrap();
    let highest = peak.values.last().copied().unwrap();
    assert!(highest > 5_000_000.0, "nothing was measured: {peak:?}");
    assert!(highest < 32_000_000.0, "{peak:?}");
}
