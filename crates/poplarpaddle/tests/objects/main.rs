//! Tests of objects, check, configuration and publishing.

mod config;
mod support;
