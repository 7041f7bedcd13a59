//! Tests of the commands against a store in memory.

mod arguments;
mod edit;
mod explain;
#[path = "../../../poplarpaddle/tests/objects/fake.rs"]
mod fake;
mod publish;
mod support;
mod timeline;
