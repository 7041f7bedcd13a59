//! Guards against size limits that are too small for the responses of peers.
#![allow(missing_docs, clippy::pedantic, reason = "tests name their failures in their names and comments")]

use std::time::Duration;

use poplarpaddle_io::clock::Clock;
use poplarpaddle_io::peer::{Client, TRANSFER_LIMIT};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Size of the encoded state of 73,000 hosts and 11,000 routes, in bytes.
const TRANSFER_BYTES: usize = 4_806_503;

/// Guards against a size limit for state transfers that is too small. With the limit for values of the store, a member
/// could not get more than 15,000 hosts from a peer while the store refused its calls.
#[tokio::test]
async fn a_state_transfer_of_the_supported_size_is_fetched() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _length = stream.read(&mut request).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {TRANSFER_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![7; TRANSFER_BYTES]).await.unwrap();
    });
    let deadline = Clock::new().now() + Duration::from_secs(30);
    let bytes =
        Client::new(None).unwrap().fetch_up_to(TRANSFER_LIMIT, address, "/peer/parcel", deadline).await.unwrap();
    assert_eq!(bytes.len(), TRANSFER_BYTES);
    server.await.unwrap();
}

/// A server that sends a second copy of a response late, when its connection is in use again, must not make the client
/// take that copy for the response to the later call.
#[tokio::test]
async fn a_late_copy_of_a_response_is_not_taken_for_the_next_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let mut count = 0;
        while count < 2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut previous = Vec::new();
            let mut request = [0; 1024];
            while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
                count += 1;
                let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{count}").into_bytes();
                stream.write_all(&[std::mem::take(&mut previous), response.clone()].concat()).await.unwrap();
                previous = response;
            }
        }
    });
    let client = Client::new(None).unwrap();
    for expected in ["1", "2"] {
        let deadline = Clock::new().now() + Duration::from_secs(30);
        let bytes = client.fetch(address, "/peer/manifest", deadline).await.unwrap();
        assert_eq!(String::from_utf8(bytes).unwrap(), expected);
    }
    server.await.unwrap();
}

/// Fetches from a server that sends `head` and half of a body of 100 bytes, and then closes the connection.
async fn fetch_broken(head: &'static str) -> poplarpaddle::error::Result<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _length = stream.read(&mut request).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[7; 50]).await.unwrap();
    });
    let deadline = Clock::new().now() + Duration::from_secs(30);
    let fetched = Client::new(None).unwrap().fetch(address, "/peer/parcel", deadline).await;
    server.await.unwrap();
    fetched
}

/// A response that breaks off must not be taken for a complete one.
#[tokio::test]
async fn a_response_that_breaks_off_is_an_error() {
    for head in [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n",
        // A chunk of 100 bytes.
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n64\r\n",
        // A complete chunk of 50 bytes, but not the last one.
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n32\r\n",
    ] {
        let fetched = fetch_broken(head).await;
        assert!(fetched.is_err(), "{head:?} gave {fetched:?}");
    }
}
