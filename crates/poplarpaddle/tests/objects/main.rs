//! Tests of objects, check, configuration and publishing.

mod check;
mod config;
mod fake;
mod history;
mod mutation;
mod publish;
mod size;
mod support;
