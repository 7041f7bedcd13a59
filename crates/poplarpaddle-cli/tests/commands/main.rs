//! Tests of the commands against an in-memory store.

mod arguments;
mod edit;
mod explain;
#[path = "../../../poplarpaddle/tests/objects/fake.rs"]
mod fake;
mod publish;
mod support;
mod timeline;
