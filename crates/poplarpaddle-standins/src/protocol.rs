//! Request protocol between the stand-in callers and targets.
//!
//! Numbers are big-endian. A request is a 4-byte length of the rest, the id (8 bytes), flags (1 byte, bit 0:
//! idempotent), the answer size (4), the deadline in microseconds since the Unix epoch (8, 0 for none) and the service
//! name. An answer is a 4-byte length of the rest, the id (8) and the body, a pseudo-random sequence that follows from
//! id and service. An answer without a body says that the request was not run because its deadline had passed.

use std::collections::VecDeque;

use eyre::{Result, bail, eyre};

/// Longest request after its length field, in bytes.
pub const MAX_REQUEST: usize = 512;
/// Longest answer body, in bytes.
pub const MAX_RESPONSE: u32 = 1 << 20;

const LENGTH_BYTES: usize = 4;
const REQUEST_FIXED: usize = 21;
const ID_BYTES: usize = 8;
const IDEMPOTENT: u8 = 1;

/// A request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Unique over all callers of a run.
    pub id: u64,
    /// Service that the caller means.
    pub service: String,
    /// True when running it twice has the effect of running it once.
    pub idempotent: bool,
    /// Length of the answer body in bytes, at least 1.
    pub response_size: u32,
    /// Microseconds since the Unix epoch after which it shall not start, 0 for none.
    pub deadline: u64,
}

impl Request {
    /// Returns the bytes on the wire.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut rest = Vec::with_capacity(REQUEST_FIXED + self.service.len());
        rest.extend(self.id.to_be_bytes());
        rest.push(if self.idempotent { IDEMPOTENT } else { 0 });
        rest.extend(self.response_size.to_be_bytes());
        rest.extend(self.deadline.to_be_bytes());
        rest.extend(self.service.as_bytes());
        frame(&rest)
    }

    /// Takes the next whole request from `stream`, none when it is still incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a request.
    pub fn decode(stream: &mut VecDeque<u8>) -> Result<Option<Self>> {
        let Some(rest) = take_frame(stream, MAX_REQUEST)? else { return Ok(None) };
        let (Some((fixed, service)), true) = (rest.split_at_checked(REQUEST_FIXED), rest.len() > REQUEST_FIXED) else {
            bail!("request of {} bytes has no service name", rest.len());
        };
        let service = std::str::from_utf8(service).map_err(|error| eyre!("service name of a request: {error}"))?;
        let request = Self {
            id: decode_number(&fixed[..8]),
            service: service.to_owned(),
            idempotent: fixed[8] & IDEMPOTENT != 0,
            response_size: u32::try_from(decode_number(&fixed[9..13])).unwrap_or(u32::MAX),
            deadline: decode_number(&fixed[13..]),
        };
        if request.response_size == 0 || request.response_size > MAX_RESPONSE {
            bail!("answer size {} of request {} is not in 1..={MAX_RESPONSE}", request.response_size, request.id);
        }
        Ok(Some(request))
    }
}

/// What a caller finds when it checks an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Every byte is right.
    Correct,
    /// The target says that the request was not run.
    Expired,
    /// The answer belongs to another request or has a wrong byte or length.
    Wrong,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Id of the request.
    pub id: u64,
    /// Body, empty when the request was not run.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the correct answer to a request that ran.
    #[must_use]
    pub fn expected(request: &Request) -> Self {
        let mut body = vec![0; request.response_size as usize];
        let mut hasher = blake3::Hasher::new();
        hasher.update(&request.id.to_be_bytes()).update(request.service.as_bytes());
        hasher.finalize_xof().fill(&mut body);
        Self { id: request.id, body }
    }

    /// Returns the answer to a request that was not run.
    #[must_use]
    pub const fn expired(request: &Request) -> Self {
        Self { id: request.id, body: Vec::new() }
    }

    /// Returns the bytes on the wire.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut rest = Vec::with_capacity(ID_BYTES + self.body.len());
        rest.extend(self.id.to_be_bytes());
        rest.extend(&self.body);
        frame(&rest)
    }

    /// Takes the next whole answer from `stream`, none when it is still incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not an answer.
    pub fn decode(stream: &mut VecDeque<u8>) -> Result<Option<Self>> {
        let Some(rest) = take_frame(stream, ID_BYTES + MAX_RESPONSE as usize)? else { return Ok(None) };
        let Some((id, body)) = rest.split_at_checked(ID_BYTES) else {
            bail!("answer of {} bytes has no id", rest.len());
        };
        Ok(Some(Self { id: decode_number(id), body: body.to_vec() }))
    }

    /// Compares the answer byte by byte with what `request` asks for.
    #[must_use]
    pub fn check(&self, request: &Request) -> Verdict {
        if self.id != request.id {
            return Verdict::Wrong;
        }
        if self.body.is_empty() {
            return Verdict::Expired;
        }
        if *self == Self::expected(request) { Verdict::Correct } else { Verdict::Wrong }
    }
}

fn frame(rest: &[u8]) -> Vec<u8> {
    let length = u32::try_from(rest.len()).unwrap_or(u32::MAX);
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend(rest);
    bytes
}

fn take_frame(stream: &mut VecDeque<u8>, max_length: usize) -> Result<Option<Vec<u8>>> {
    if stream.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = stream.iter().take(LENGTH_BYTES).fold(0, |sum, &byte| (sum << 8) | usize::from(byte));
    if length > max_length {
        bail!("length field {length} is over {max_length}");
    }
    if stream.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    stream.drain(..LENGTH_BYTES);
    Ok(Some(stream.drain(..length).collect()))
}

fn decode_number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, &byte| (sum << 8) | u64::from(byte))
}
