//! Tests of nodes that read hosts and routes from a store and replicate them among each other.
#![allow(missing_docs, clippy::pedantic, reason = "tests name their failures in their names and comments")]

mod drains;
mod former;
mod ledger;
mod load;
mod malformed;
mod outliers;
mod random;
mod restored;
mod spread;
mod world;
