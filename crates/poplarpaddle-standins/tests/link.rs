//! Guards against a link that passes traffic while it is cut, or that stays cut after it is restored.

use std::net::SocketAddr;
use std::time::Duration;

use poplarpaddle_standins::link::{self, Faults, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const LOOPBACK: &str = "127.0.0.1:0";

async fn post_admin(address: SocketAddr, body: &str) -> u16 {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let request = http.post(format!("http://{address}/admin")).header("content-type", "application/json");
    request.body(body.to_owned()).send().await.unwrap().status().as_u16()
}

/// Returns an address that was free just now. Routes need a fixed listen address.
async fn free_address() -> SocketAddr {
    TcpListener::bind(LOOPBACK).await.unwrap().local_addr().unwrap()
}

/// Guards against a cut that affects one direction only, ignores the listen address, or affects other links.
#[test]
fn cut_matches_either_direction() {
    let text = r#"{"cut": [["127.0.1.0/24", "127.0.2.0/24"], ["127.0.1.0/24", "127.0.0.1/32"]]}"#;
    let faults: Faults = serde_json::from_str(text).unwrap();
    let route =
        |listen: &str, to: &str| Route { listen: listen.parse().unwrap(), to: format!("{to}:1").parse().unwrap() };
    let cases = [
        ("127.0.1.1", "127.0.9.1:1", "127.0.2.1", true),
        ("127.0.2.1", "127.0.9.1:1", "127.0.1.1", true),
        ("127.0.3.1", "127.0.9.1:1", "127.0.1.1", false),
        ("127.0.1.2", "127.0.9.1:1", "127.0.1.1", false),
        ("127.0.0.1", "127.0.1.1:1", "127.0.0.1", true),
        ("127.0.0.1", "127.0.2.1:1", "127.0.0.1", false),
    ];
    for (sender, listen, to, cut) in cases {
        assert_eq!(faults.is_cut(sender.parse().unwrap(), &route(listen, to)), cut, "{sender} via {listen} to {to}");
    }
}

/// Guards against a cut link that passes bytes or datagrams, loses the bytes of a connection, or does not recover.
#[tokio::test]
async fn a_cut_link_passes_nothing_until_it_is_restored() {
    let tcp = TcpListener::bind(LOOPBACK).await.unwrap();
    let udp = UdpSocket::bind(LOOPBACK).await.unwrap();
    let tcp_route = Route { listen: free_address().await, to: tcp.local_addr().unwrap() };
    let udp_route = Route { listen: free_address().await, to: udp.local_addr().unwrap() };
    let control = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = control.local_addr().unwrap();
    tokio::spawn(async move { link::serve(control, &[tcp_route], &[udp_route], 1).await });
    assert_eq!(post_admin(address, r#"{"cut": []}"#).await, 200);

    let mut client = TcpStream::connect(tcp_route.listen).await.unwrap();
    let (mut server, _) = tcp.accept().await.unwrap();
    let sender = UdpSocket::bind(LOOPBACK).await.unwrap();
    let mut buffer = [0; 16];

    assert_eq!(post_admin(address, r#"{"cut": [["127.0.0.1", "127.0.0.1"]]}"#).await, 200);
    client.write_all(b"held").await.unwrap();
    sender.send_to(b"lost", udp_route.listen).await.unwrap();
    let pause = Duration::from_millis(300);
    assert!(tokio::time::timeout(pause, server.read(&mut buffer)).await.is_err(), "a cut link passed bytes");

    assert_eq!(post_admin(address, "{}").await, 200);
    assert_eq!(server.read(&mut buffer).await.unwrap(), 4);
    assert_eq!(&buffer[..4], b"held");
    sender.send_to(b"next", udp_route.listen).await.unwrap();
    let (length, _) = udp.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"next", "the cut link passed a datagram");

    assert_eq!(post_admin(address, r#"{"loss": 2}"#).await, 400);
    assert_eq!(post_admin(address, r#"{"nonsense": 2}"#).await, 400);
}
