//! Requests and answers on the wire.

#![allow(missing_docs, reason = "test code")]

use std::collections::VecDeque;

use poplarpaddle_standins::protocol::{Answer, Request, Verdict};

fn request(id: u64, service: &str) -> Request {
    Request { id, service: service.into(), idempotent: true, answer_size: 300, deadline: 99 }
}

/// Guards against callers that accept damaged, shortened or exchanged answers.
#[test]
fn every_changed_byte_is_detected() {
    let asked = request(7, "bookings");
    let right = Answer::expected(&asked);
    assert_eq!(right.check(&asked), Verdict::Correct);
    for place in 0..right.body.len() {
        let mut changed = right.clone();
        changed.body[place] ^= 1;
        assert_eq!(changed.check(&asked), Verdict::Wrong, "byte {place}");
    }
    let mut short = right;
    short.body.pop();
    let others = [short, Answer::expected(&request(8, "bookings")), Answer::expected(&request(7, "crewdocs"))];
    assert!(others.iter().all(|answer| answer.check(&asked) == Verdict::Wrong));
}

/// Guards against requests that are torn apart by segment borders, and against a panic on bad bytes.
#[test]
fn requests_survive_any_segment_border() {
    let (first, second) = (request(1, "bookings"), request(2, "crewdocs"));
    let bytes = [first.encode(), second.encode()].concat();
    for border in 0..=bytes.len() {
        let (mut stream, mut found) = (VecDeque::new(), Vec::new());
        for part in [&bytes[..border], &bytes[border..]] {
            stream.extend(part);
            while let Some(request) = Request::decode(&mut stream).unwrap() {
                found.push(request);
            }
        }
        assert_eq!(found, [first.clone(), second.clone()], "border {border}");
    }
    for bad in [&[255; 8][..], &[0, 0, 0, 0], &[0, 0, 0, 1, 1], &[0; 64]] {
        assert!(Request::decode(&mut VecDeque::from(bad.to_vec())).is_err(), "{bad:?}");
    }
}
