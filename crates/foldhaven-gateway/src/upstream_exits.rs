//! Distinguishes the exit of an upstream from the end of a single connection to it, and reports the
//! requests that were in flight as suspects.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::time::MonoTime;
use tokio::time::sleep;

use crate::connection::{Connection, LOCAL_CONNECT_TIMEOUT};
use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// Delay between checks. An upstream that exits may close its connections shortly before its
/// listening port, so a new connection is checked again after this time.
const SECOND_LOOK: Duration = Duration::from_millis(200);
/// Maximum number of checks of an upstream that refuses new connections but still sends data on old
/// ones.
const LOOKS: u32 = 5;
/// Maximum number of fingerprints in a log line.
const LOGGED_PRINTS: usize = 8;

/// Starts a check whether an upstream has exited, after a connection to it broke during a request.
/// Only one check per upstream runs at a time.
pub fn look_into_end(shared: &Arc<GatewayShared>, upstream: &Arc<Upstream>) {
    if !upstream.begin_probe() {
        return;
    }
    let (shared, upstream) = (shared.clone(), upstream.clone());
    let broke = shared.now();
    tokio::spawn(async move {
        if has_ended(&shared, &upstream, broke).await {
            note_ended(&shared, &upstream, broke);
        }
        upstream.end_probe();
    });
}

/// Whether the process has exited: it refuses new connections and no more data arrives on old ones.
/// An unreachable upstream may be alive behind a network partition, and a live one may reset
/// connections beyond its limit.
///
/// Data that is read after the first connection broke may have been sent before the exit, and a
/// leaving upstream may continue to serve its old connections. The check is repeated until no data
/// arrived between two checks.
async fn has_ended(shared: &GatewayShared, upstream: &Upstream, broke: MonoTime) -> bool {
    let mut looked = broke;
    for _ in 0..LOOKS {
        if !refuses_connections(upstream).await {
            return false;
        }
        if upstream.is_silent_since(looked) {
            return true;
        }
        looked = shared.now();
        sleep(SECOND_LOOK).await;
    }
    false
}

/// Whether no process listens at the address of the upstream.
async fn refuses_connections(upstream: &Upstream) -> bool {
    let connection = match connect(upstream).await {
        Ok(connection) => connection,
        Err(error) => return is_refusal(error),
    };
    sleep(SECOND_LOOK).await;
    if connection.is_closed() {
        return connect(upstream).await.is_err_and(is_refusal);
    }
    upstream.pool.put(connection, None);
    false
}

async fn connect(upstream: &Upstream) -> io::Result<Connection> {
    upstream.pool.open(upstream.identity.address, LOCAL_CONNECT_TIMEOUT).await
}

fn is_refusal(error: io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Reports the requests that this VM had at an upstream when its first connection broke as
/// suspects.
fn note_ended(shared: &GatewayShared, upstream: &Upstream, broke: MonoTime) {
    let victims = upstream.take_victims(broke);
    shared.metrics.count_event("upstream_ended");
    if !victims.is_empty() && shared.quota.take(false) {
        let prints: Vec<String> =
            victims.iter().take(LOGGED_PRINTS).map(ToString::to_string).collect();
        tracing::info!(
            upstream = %upstream.name(),
            birth = upstream.identity.birth.0,
            requests = victims.len(),
            prints = prints.join(" "),
            "an upstream exited during requests"
        );
    }
    for print in victims {
        shared.suspects.note_end(print, upstream.tag, &shared.change_context());
    }
}
