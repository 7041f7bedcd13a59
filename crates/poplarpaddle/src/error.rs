//! The closed list of error kinds, and the exit code, HTTP status code and retry rule of each kind.
//!
//! ```
//! use poplarpaddle::error::{Error, Kind};
//!
//! let error = Error::new(Kind::Conflict, "manifest \"kauri\" is at version 9, expected 8");
//! assert_eq!(error.kind().codes().status, 409);
//! ```
//!
//! A single list for all programs keeps exit codes, HTTP status codes and retry rules in one place. In return, a module
//! cannot add a kind of its own without an entry in [`Kind::codes`].

use std::borrow::Cow;

/// A [`Result`](std::result::Result) whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Category of an error, as fine-grained as callers need to react to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Kind {
    /// A command-line argument is invalid.
    #[display("argument")]
    Argument,
    /// A setting is unknown, missing or out of range.
    #[display("setting")]
    Setting,
    /// An object is malformed or refers to a missing object.
    #[display("object")]
    Object,
    /// Another writer changed the same value first.
    #[display("conflict")]
    Conflict,
    /// The requested item does not exist.
    #[display("not found")]
    Missing,
    /// A packet cannot be parsed or rewritten.
    #[display("packet")]
    Packet,
    /// A received message, such as gossip or a load report, cannot be decoded or has a value out of range.
    #[display("message")]
    Message,
    /// Content does not match its digest.
    #[display("digest")]
    Digest,
    /// A generation, epoch or incarnation is older than the one in force.
    #[display("stale")]
    Stale,
    /// A limit on memory or on a number of items is reached.
    #[display("limit")]
    Limit,
    /// The remote side does not answer or refuses connections.
    #[display("unavailable")]
    Unavailable,
    /// The deadline passed.
    #[display("timeout")]
    Timeout,
    /// A system call failed.
    #[display("i/o")]
    Io,
    /// An invariant of this program does not hold.
    #[display("internal")]
    Internal,
}

/// Exit code, HTTP status code and retry rule of an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Codes {
    /// Exit code of a process.
    pub exit: u8,
    /// HTTP status code.
    pub status: u16,
    /// True if the same call may succeed later without changes.
    pub retry: bool,
}

impl Kind {
    /// All kinds, in the order of the table in the operator documentation.
    pub const ALL: [Self; 14] = [
        Self::Argument,
        Self::Setting,
        Self::Object,
        Self::Conflict,
        Self::Missing,
        Self::Packet,
        Self::Message,
        Self::Digest,
        Self::Stale,
        Self::Limit,
        Self::Unavailable,
        Self::Timeout,
        Self::Io,
        Self::Internal,
    ];

    /// Returns the exit code, HTTP status code and retry rule of this kind.
    #[must_use]
    pub const fn codes(self) -> Codes {
        let (exit, status, retry) = match self {
            Self::Argument => (2, 400, false),
            Self::Setting => (3, 400, false),
            Self::Object => (4, 422, false),
            Self::Conflict => (5, 409, false),
            Self::Missing => (6, 404, false),
            Self::Packet => (7, 400, false),
            Self::Message => (8, 400, false),
            Self::Digest => (9, 502, true),
            Self::Stale => (10, 410, false),
            Self::Limit => (11, 429, true),
            Self::Unavailable => (12, 503, true),
            Self::Timeout => (13, 504, true),
            Self::Io => (14, 500, true),
            Self::Internal => (15, 500, false),
        };
        Codes { exit, status, retry }
    }
}

/// An error with its kind and a message that names the affected item and the value.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
#[display("{kind} error: {message}")]
pub struct Error {
    kind: Kind,
    message: Cow<'static, str>,
}

impl Error {
    /// Returns an error of `kind`.
    #[must_use]
    pub fn new(kind: Kind, message: impl Into<Cow<'static, str>>) -> Self {
        Self { kind, message: message.into() }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the message without the kind.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl std::error::Error for Error {}
