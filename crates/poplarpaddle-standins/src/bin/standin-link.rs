//! Runs links between machines that can be cut, delayed or made to lose datagrams.

use std::net::SocketAddr;

use eyre::Result;
use poplarpaddle_standins::args::{Flag, Options, Pair, flag};
use poplarpaddle_standins::http;
use poplarpaddle_standins::link::{self, Route};

const FLAGS: &[Flag] = &[
    flag("http", "IP:PORT: HTTP address of /admin"),
    flag("tcp", "IP:PORT=IP:PORT: forward TCP connections from the first to the second; may be repeated"),
    flag("udp", "IP:PORT=IP:PORT: forward UDP datagrams from the first to the second; may be repeated"),
    flag("seed", "N: random seed of datagram loss (1)"),
];

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let Some(options) = Options::from_env("standin-link", FLAGS)? else { return Ok(()) };
    let listener = http::listen(options.required("http")?).await?;
    link::serve(listener, &routes(&options, "tcp")?, &routes(&options, "udp")?, options.value("seed", 1)?).await
}

fn routes(options: &Options, name: &str) -> Result<Vec<Route>> {
    let pairs = options.all::<Pair<SocketAddr, SocketAddr>>(name)?;
    Ok(pairs.into_iter().map(|pair| Route { listen: pair.key, to: pair.value }).collect())
}
