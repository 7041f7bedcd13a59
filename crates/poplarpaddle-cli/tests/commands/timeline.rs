//! `timeline`, and the commands that query balancers.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};

use poplarpaddle_cli::arguments::Format;
use poplarpaddle_cli::timeline::{Source, merge, render};

use crate::fake::Fake;
use crate::support::run;

const FIRST_EVENTS: &str = r#"{"process":"b1","time":2000000000,"name":"member.dead","subject":"b3","detail":"no answer"}
{"process":"b1","time":2000000000,"name":"shard.taken","subject":"bookings/0","detail":""}
{"process":"b1","time":3500000001,"name":"config.applied","subject":"7","detail":"a\u001b[2Jb"}
"#;
const SECOND_EVENTS: &str = r#"{"process":"a1","time":2000000000,"name":"member.dead","subject":"b3","detail":"told by b1"}

{"process":"a1","time":1000000500,"name":"config.applied","subject":"6","detail":""}
"#;

/// Guards against events that are out of order or attributed to the wrong process, and traces that viewers cannot open.
#[test]
fn events_are_merged_in_one_order() {
    let sources = [Source { label: "b1", text: FIRST_EVENTS }, Source { label: "a1", text: SECOND_EVENTS }];
    let entries = merge(&sources).unwrap();
    let text = [Format::Text, Format::Json, Format::Trace].map(|format| render(&entries, format).unwrap()).join("\n");
    insta::assert_snapshot!(text);
    let error = merge(&[Source { label: "127.0.0.1:7000", text: "\n{\"process\":\"b1\"}" }]).unwrap_err();
    assert!(error.message().starts_with("events of 127.0.0.1:7000, line 2: missing field"), "{error}");
    let error = merge(&[Source { label: "b2", text: "\u{fffd}{" }]).unwrap_err();
    assert!(error.message().starts_with("events of b2, line 1: "), "{error}");
}

/// Starts an HTTP server that responds to one request with `body`, as a balancer would.
fn serve(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _caller) = listener.accept().unwrap();
        let mut request = [0; 1024];
        let _length = stream.read(&mut request).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", body.len());
        stream.write_all((head + body).as_bytes()).unwrap();
    });
    address
}

/// Guards against one unreachable process that hides the responses of the others.
#[test]
fn an_unreachable_process_does_not_hide_the_others() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (first, second) = (serve(FIRST_EVENTS), serve(SECOND_EVENTS));
    let text = run(&Fake::default(), &format!("timeline --from http://{first},http://{closed},http://{second}"));
    assert_eq!(text.matches("member.dead").count(), 2, "{text}");
    assert!(text.contains("1 of 3 processes returned no events") && text.ends_with("(exit 12)\n"), "{text}");
    let balancer = serve(r#"{"me":{"name":"b1","state":"Alive"},"generation":0,"ready":true,"members":[{}]}"#);
    let status = run(&Fake::default(), &format!("status --fleet kitami --balancers {balancer},{closed}"));
    assert!(status.contains("b1    Alive  true   0           1"), "{status}");
    assert!(status.contains("1 of 2 balancers did not report"), "{status}");
}
