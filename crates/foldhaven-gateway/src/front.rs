//! Listens at an address and serves HTTP connections, until a planned stop.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::answer::{Answer, close_after};
use crate::connection::prepare;
use crate::shared::StopStage;

/// How long a connection may rest and a head may take to come, where nothing else is described.
const HEAD_LIMIT: Duration = Duration::from_secs(20);
/// The largest head that is read, in bytes; smaller limits are checked by the handlers.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// The pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles the requests of one front.
#[async_trait]
pub trait FrontHandler: Send + Sync + 'static {
    /// Answers a request.
    async fn handle(&self, request: Request<Incoming>) -> Answer;

    /// How long a new connection may rest and the head of a request may take to come, together.
    fn head_limit(&self) -> Duration {
        HEAD_LIMIT
    }
}

/// Serves connections until the daemon closes; those that are open then finish what is under way.
pub async fn serve_front(
    listener: TcpListener,
    handler: Arc<dyn FrontHandler>,
    mut stage: watch::Receiver<StopStage>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage == StopStage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, handler.clone(), stage.clone()));
            }
            Err(error) => {
                tracing::warn!(error = %error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    handler: Arc<dyn FrontHandler>,
    mut stage: watch::Receiver<StopStage>,
) {
    if prepare(&stream).is_err() {
        // The peer has gone already.
        return;
    }
    let head_limit = handler.head_limit();
    let stages = stage.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        let is_serving = *stages.borrow() == StopStage::Serving;
        async move {
            let mut answer = handler.handle(request).await;
            if !is_serving {
                close_after(&mut answer);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_limit)
        .max_buf_size(MAX_HEAD_BYTES)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // How a connection ends shows in the requests that were made on it.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stage.wait_for(|stage| *stage == StopStage::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
