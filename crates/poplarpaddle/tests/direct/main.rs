//! Tests of the data path for direct server return.
#![allow(missing_docs, clippy::pedantic, reason = "tests name their failures in their names and comments")]

mod drains;
mod openings;
mod outliers;
mod pinned;
mod random;
mod routing;
mod start;
mod support;
mod unreachable;
mod waiting;
mod warmup;
mod zones;
