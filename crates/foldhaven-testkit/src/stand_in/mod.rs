//! Stand-ins for the systems around foldhaven. Each runs as its own process, speaks the published
//! protocol and records what it did. Upstreams write their records to a ledger file.

pub mod engine;
pub mod engine_state;
pub mod ledger;
pub mod platform;
pub mod service;

use std::net::SocketAddr;

use warp::Filter;
use warp::reply::Response;

/// Serves a filter until the process ends.
pub async fn serve<F>(address: SocketAddr, routes: F) -> std::io::Result<()>
where
    F: Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
{
    let listener = foldhaven_wire::listen::listen_at(address)?;
    warp::serve(routes).incoming(listener).run().await;
    Ok(())
}

/// Returns a response with the given status and `value` as its JSON body.
pub fn json_response(status: u16, value: &impl serde::Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("a typed answer can be serialized");
    let mut response = Response::new(bytes::Bytes::from(body).into());
    *response.status_mut() = http::StatusCode::from_u16(status).expect("a valid status");
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
