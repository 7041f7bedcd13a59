//! Request protocol between the stand-in callers and targets.
//!
//! All numbers are big-endian. A request consists of a 4-byte length of the remaining bytes, the id (8 bytes), flags
//! (1 byte, bit 0: idempotent), the response size (4 bytes), the deadline in microseconds since the Unix epoch
//! (8 bytes, 0 for no deadline) and the service name.
//!
//! A response consists of a 4-byte length of the remaining bytes, the id (8 bytes) and the body, a pseudo-random byte
//! sequence derived from the id and the service name. A response with an empty body says that the target did not run
//! the request because its deadline had passed.

use std::collections::VecDeque;

use eyre::{Result, bail, eyre};

/// Maximum length of a request without its length field, in bytes.
pub const MAX_REQUEST: usize = 512;
/// Maximum length of a response body, in bytes.
pub const MAX_RESPONSE: u32 = 1 << 20;

/// Length of the length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// Length of the fields of a request between the length field and the service name, in bytes.
const REQUEST_FIXED: usize = 21;
/// Length of an id, in bytes.
const ID_BYTES: usize = 8;
/// Flag of an idempotent request.
const IDEMPOTENT: u8 = 1;

/// A request of a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Id, unique among all callers of a run.
    pub id: u64,
    /// Name of the called service.
    pub service: String,
    /// True if running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Length of the response body in bytes, at least 1.
    pub response_size: u32,
    /// Time after which the request must not start, in microseconds since the Unix epoch; 0 for no deadline.
    pub deadline: u64,
}

impl Request {
    /// Encodes the request for the wire, with its length field.
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

    /// Removes the next request from the front of `stream`. Returns `None` if it is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid request.
    pub fn decode(stream: &mut VecDeque<u8>) -> Result<Option<Self>> {
        let Some(rest) = take_frame(stream, MAX_REQUEST)? else { return Ok(None) };
        let (Some((fixed, service)), true) = (rest.split_at_checked(REQUEST_FIXED), rest.len() > REQUEST_FIXED) else {
            bail!("request of {} bytes is too short to contain a service name", rest.len());
        };
        let service = std::str::from_utf8(service)
            .map_err(|error| eyre!("service name of a request is not valid UTF-8: {error}"))?;
        let request = Self {
            id: decode_number(&fixed[..8]),
            service: service.to_owned(),
            idempotent: fixed[8] & IDEMPOTENT != 0,
            response_size: u32::try_from(decode_number(&fixed[9..13])).unwrap_or(u32::MAX),
            deadline: decode_number(&fixed[13..]),
        };
        if request.response_size == 0 || request.response_size > MAX_RESPONSE {
            bail!("response size {} of request {} is not in 1..={MAX_RESPONSE}", request.response_size, request.id);
        }
        Ok(Some(request))
    }
}

/// Result of checking a response against its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Every byte is correct.
    Correct,
    /// The target did not run the request because its deadline had passed.
    Expired,
    /// The response belongs to another request, or its length or a byte is wrong.
    Wrong,
}

/// A response of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Id of the request.
    pub id: u64,
    /// Body, empty if the request was not run.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the correct response to a request that ran.
    #[must_use]
    pub fn expected(request: &Request) -> Self {
        let mut body = vec![0; request.response_size as usize];
        let mut hasher = blake3::Hasher::new();
        hasher.update(&request.id.to_be_bytes()).update(request.service.as_bytes());
        hasher.finalize_xof().fill(&mut body);
        Self { id: request.id, body }
    }

    /// Returns the response to a request that was not run because its deadline had passed.
    #[must_use]
    pub const fn expired(request: &Request) -> Self {
        Self { id: request.id, body: Vec::new() }
    }

    /// Encodes the response for the wire, with its length field.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut rest = Vec::with_capacity(ID_BYTES + self.body.len());
        rest.extend(self.id.to_be_bytes());
        rest.extend(&self.body);
        frame(&rest)
    }

    /// Removes the next response from the front of `stream`. Returns `None` if it is still incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid response.
    pub fn decode(stream: &mut VecDeque<u8>) -> Result<Option<Self>> {
        let Some(rest) = take_frame(stream, ID_BYTES + MAX_RESPONSE as usize)? else { return Ok(None) };
        let Some((id, body)) = rest.split_at_checked(ID_BYTES) else {
            bail!("response of {} bytes is too short to contain an id", rest.len());
        };
        Ok(Some(Self { id: decode_number(id), body: body.to_vec() }))
    }

    /// Compares the response byte by byte with the one expected for `request`.
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
        bail!("length field {length} is greater than the maximum of {max_length}");
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
