//! Tests of the data path.

mod accounts;
mod fleet;
mod flows;
mod gate;
mod hedging;
mod machine;
mod ownership;
mod recovery;
mod tcp;
mod world;
