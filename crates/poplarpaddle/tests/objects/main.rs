//! Tests of objects, their check, the configuration and publishing.

mod check;
mod config;
mod fake;
mod history;
mod mutation;
mod publish;
mod routes;
mod size;
mod support;
