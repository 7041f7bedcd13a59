//! Tests of the data path.

mod fleet;
mod flows;
mod gate;
mod machine;
mod world;
