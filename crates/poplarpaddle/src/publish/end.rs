//! Steps and results of a publish.

use crate::config::PublishId;
use crate::error::{Error, Kind};
use crate::object::{Change, Fault};
use crate::store::Call;
use crate::time::Time;

/// Next step of a publish, which its caller performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Performs a call and passes its outcome to the publish.
    Call {
        /// The call.
        call: Call,
        /// Time at which the call is abandoned.
        deadline: Time,
    },
    /// Waits until this time.
    Wait(Time),
    /// The publish has ended.
    End(End),
}

/// Result of a publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A new generation was written to the store.
    Published(Published),
    /// The objects are the same as those of this generation; nothing was written.
    Unchanged {
        /// The generation in the store.
        generation: u64,
    },
    /// The objects have faults; nothing was written.
    Rejected(Vec<Fault>),
    /// Another publish wrote its manifest first; the manifest of this one was not written.
    Conflict(Conflict),
    /// The response to the manifest write was lost, and the manifest could not be read back in time.
    Unconfirmed {
        /// Publish id, which the manifest lists if the write took effect.
        publish: PublishId,
        /// Reason why the manifest could not be read back.
        error: Error,
    },
    /// The manifest was not written.
    Failed(Error),
}

/// Summary of what a publish wrote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The new generation.
    pub generation: u64,
    /// Id of the publish.
    pub publish: PublishId,
    /// Number of parts that differ from the previous generation.
    pub parts: usize,
    /// Total size of these parts in bytes.
    pub part_bytes: usize,
    /// Size of the manifest in bytes.
    pub manifest_bytes: usize,
    /// Objects that differ from the previous generation.
    pub changes: Vec<Change>,
}

/// Another publish that wrote its manifest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Generation that it wrote.
    pub generation: u64,
    /// Id of that publish.
    pub publish: PublishId,
    /// Objects that differ between the base of this publish and the generation that the other one wrote.
    pub changes: Vec<Change>,
}

impl End {
    /// Returns the error of an unsuccessful publish, `None` when the objects are published.
    #[must_use]
    pub fn error(&self) -> Option<Error> {
        match self {
            Self::Published(_) | Self::Unchanged { .. } => None,
            Self::Rejected(faults) => Some(Fault::error(faults)),
            Self::Conflict(conflict) => Some(conflict.error()),
            Self::Unconfirmed { publish, error } => {
                let message =
                    format!("publish {publish} may have taken effect; the manifest cannot be read back: {error}");
                Some(Error::new(Kind::Timeout, message))
            }
            Self::Failed(error) => Some(error.clone()),
        }
    }
}

impl Conflict {
    fn error(&self) -> Error {
        let Self { generation, publish, changes } = self;
        let mut message = format!("publish {publish} made generation {generation} first; it has");
        for change in changes {
            message.push('\n');
            message.push_str(&change.to_string());
        }
        if changes.is_empty() {
            message.push_str(" no other objects");
        }
        Error::new(Kind::Conflict, message)
    }
}
