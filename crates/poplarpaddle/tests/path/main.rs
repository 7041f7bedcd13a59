//! Tests of the data path.

mod fleet;
mod flows;
