//! Steps and ends of a publish.

use crate::config::PublishId;
use crate::error::{Error, Kind};
use crate::object::{Change, Fault};
use crate::store::Call;
use crate::time::Time;

/// What the caller of a publish does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Performs a call and hands its outcome over.
    Call {
        /// The call.
        call: Call,
        /// When it is given up.
        deadline: Time,
    },
    /// Does nothing until this time.
    Wait(Time),
    /// The publish ended.
    End(End),
}

/// How a publish ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A new generation is in the store.
    Published(Published),
    /// The objects are those of this generation; nothing was written.
    Unchanged {
        /// The generation in the store.
        generation: u64,
    },
    /// The set has faults; nothing was written.
    Rejected(Vec<Fault>),
    /// Another publish came first; the manifest was not written.
    Conflict(Conflict),
    /// The answer to the manifest write was lost and the manifest could not be read back in time.
    Unconfirmed {
        /// Id to look for in the manifest.
        publish: PublishId,
        /// Why it could not be read back.
        error: Error,
    },
    /// The manifest was not written.
    Failed(Error),
}

/// What a publish wrote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The new generation.
    pub generation: u64,
    /// Id of the publish.
    pub publish: PublishId,
    /// Parts that differ from the generation before.
    pub parts: usize,
    /// Bytes of these parts.
    pub part_bytes: usize,
    /// Bytes of the manifest.
    pub manifest_bytes: usize,
    /// Objects that differ from the generation before.
    pub changes: Vec<Change>,
}

/// A publish that came first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Its generation.
    pub generation: u64,
    /// Its id.
    pub publish: PublishId,
    /// Objects that differ between the generation that this publish started from and that one.
    pub changes: Vec<Change>,
}

impl End {
    /// Returns the error that this end stands for, none when the objects are published.
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
