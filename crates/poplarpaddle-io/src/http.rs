//! Settings that all HTTP clients of the product share.

use reqwest::ClientBuilder;

/// Returns the builder of a client that uses no proxy and opens a connection for each call.
///
/// A server may send a second copy of a response late. On a connection that is used again, the copy would be taken for
/// the response to the next call.
pub fn client() -> ClientBuilder {
    reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0)
}
