//! Tests the encoding of requests and the checks of responses.

#![allow(missing_docs, reason = "test code")]

use std::collections::VecDeque;

use poplarpaddle_standins::protocol::{Request, Response, Verdict};

fn request(id: u64, service: &str) -> Request {
    Request { id, service: service.into(), idempotent: true, response_size: 300, deadline: 99 }
}

/// Guards against callers that accept corrupted, truncated or swapped responses.
#[test]
fn every_changed_byte_is_detected() {
    let original = request(7, "bookings");
    let expected = Response::expected(&original);
    assert_eq!(expected.check(&original), Verdict::Correct);
    for index in 0..expected.body.len() {
        let mut changed = expected.clone();
        changed.body[index] ^= 1;
        assert_eq!(changed.check(&original), Verdict::Wrong, "byte {index}");
    }
    let mut short = expected;
    short.body.pop();
    let others = [short, Response::expected(&request(8, "bookings")), Response::expected(&request(7, "crewdocs"))];
    assert!(others.iter().all(|response| response.check(&original) == Verdict::Wrong));
}

/// Guards against requests that fail to decode when they span two segments, and against a panic on invalid bytes.
#[test]
fn requests_decode_across_any_segment_boundary() {
    let (first, second) = (request(1, "bookings"), request(2, "crewdocs"));
    let bytes = [first.encode(), second.encode()].concat();
    for split in 0..=bytes.len() {
        let (mut stream, mut decoded) = (VecDeque::new(), Vec::new());
        for chunk in [&bytes[..split], &bytes[split..]] {
            stream.extend(chunk);
            while let Some(request) = Request::decode(&mut stream).unwrap() {
                decoded.push(request);
            }
        }
        assert_eq!(decoded, [first.clone(), second.clone()], "split at byte {split}");
    }
    for bad in [&[255; 8][..], &[0, 0, 0, 0], &[0, 0, 0, 1, 1], &[0; 64]] {
        assert!(Request::decode(&mut VecDeque::from(bad.to_vec())).is_err(), "{bad:?}");
    }
}
