//! Common types, for a glob import.

pub use crate::error::{Error, Kind as ErrorKind, Result};
pub use crate::event::Event;
pub use crate::map::{Map, Set};
pub use crate::packet::{Direction, Flow, View as Packet};
pub use crate::path::{Hop, MemberId, Outlet, Reason, Source};
pub use crate::time::Time;
