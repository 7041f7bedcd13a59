//! Tests of objects, check, configuration and publishing.

mod check;
mod config;
mod support;
