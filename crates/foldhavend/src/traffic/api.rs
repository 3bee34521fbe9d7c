//! Shared parts of the caller and the peer API: the HTTP server, request parsing and graceful
//! shutdown.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::{Buf, Bytes};
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{HeaderMap, Method};
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::Filter;
use warp::reply::Response;

use super::reply::refusal_reply;
use super::request::read_body;
use crate::shared::SharedState;

/// An incoming request whose body has not been read yet.
pub struct ApiRequest {
    pub method: Method,
    pub path: String,
    /// The raw query; empty if there is none.
    pub query: String,
    pub headers: HeaderMap,
    pub body: BoxStream<'static, Result<Bytes, warp::Error>>,
}

impl ApiRequest {
    /// Returns the path with its query.
    pub fn path_and_query(&self) -> String {
        match self.query.as_str() {
            "" => self.path.clone(),
            query => format!("{}?{query}", self.path),
        }
    }

    /// Returns the fields of the query. A field without a value has an empty one.
    pub fn query_fields(&self) -> BTreeMap<String, String> {
        let pairs = self.query.split('&').filter(|pair| !pair.is_empty());
        pairs
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect()
    }

    /// Reads the body within the size and time limits of the adopted description.
    pub async fn read_body(self, shared: &SharedState) -> Result<Bytes, RefusalAnswer> {
        let limits = shared.view()?.route.index.description.limits.clone();
        read_body(self.body, limits.body.0, limits.body_pause.0).await
    }

    /// Returns the refusal of an unknown path.
    pub fn unknown_path(&self) -> Response {
        let detail = format!("nothing answers {} {}", self.method, self.path);
        let reason = RefusalReason::UnknownPath;
        refusal_reply(&RefusalAnswer::not_run("finding the path", reason, detail))
    }
}

/// Handles all requests at one address.
#[async_trait]
pub trait ApiHandler: Send + Sync {
    async fn answer(&self, request: ApiRequest) -> Response;
}

/// Serves an API until `stop` becomes true or its sender is dropped, then finishes the requests in
/// flight.
pub async fn serve_api(
    listener: TcpListener,
    handler: Arc<dyn ApiHandler>,
    mut stop: watch::Receiver<bool>,
) {
    let stopped = async move {
        // An error means that the sender was dropped, which also stops the server.
        let _ = stop.wait_for(|stop| *stop).await;
    };
    warp::serve(routes(handler)).incoming(listener).graceful(stopped).run().await;
}

fn raw_query() -> impl Filter<Extract = (String,), Error = Infallible> + Clone {
    warp::query::raw().or(warp::any().map(String::new)).unify()
}

fn routes(
    handler: Arc<dyn ApiHandler>,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    warp::method()
        .and(warp::path::full())
        .and(raw_query())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query: String, headers, body| {
            let handler = handler.clone();
            let path = path.as_str().to_owned();
            let body = box_body(body);
            async move { handler.answer(ApiRequest { method, path, query, headers, body }).await }
        })
}

fn box_body<S, B>(body: S) -> BoxStream<'static, Result<Bytes, warp::Error>>
where
    S: futures::Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf,
{
    body.map(|part| part.map(|mut part| part.copy_to_bytes(part.remaining()))).boxed()
}
