//! Memory of a node's configuration. This is the only test of the file, because it reads the memory of its whole
//! process.

use poplarpaddle_bench::slope::memory;

/// Guards against a configuration change that holds two complete configurations at once: at 73,000 targets it must not
/// exceed the 32 MB that a node may use for control. Also guards against health checks that keep a record of every
/// host.
#[test]
fn a_change_stays_within_the_memory_limit_of_a_node() {
    let lines = memory::measure().unwrap();
    let last = |name: &str| {
        let line = lines.iter().find(|line| line.slope == name).unwrap();
        line.values.last().copied().unwrap()
    };
    assert!(last("memory.peak") > 5_000_000.0, "nothing was measured: {lines:?}");
    assert!(last("memory.peak") + last("memory.health") < 32_000_000.0, "{lines:?}");
}
