//! Tells the end of an upstream from the end of one connection to it, and blames the requests that were there.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::time::MonoTime;
use tokio::time::sleep;

use crate::connection::{Connection, NEAR_CONNECT_LIMIT};
use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// An upstream may close connections a moment before its port is closed. A new one that has come up is looked at again
/// after this time.
const SECOND_LOOK: Duration = Duration::from_millis(200);
/// How often an upstream that takes no new connections is looked at, while something is still heard on old ones.
const LOOKS: u32 = 5;
/// How many fingerprints a log line names.
const LOGGED_PRINTS: usize = 8;

/// Finds out whether an upstream has ended, after a connection to it ended under a request. Several that end at once are
/// looked into once.
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

/// Whether the process behind the address is gone: new connections are refused and nothing more is heard on old ones. One
/// that cannot be reached at all may live behind a cut, and one that is alive resets what goes beyond its limit.
///
/// What is read after the first connection broke may have been sent before the end, and one that leaves may serve its old
/// connections on. So it is looked again until nothing was heard between two looks.
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

/// Whether nothing listens at its address.
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
    upstream.pool.open(upstream.identity.address, NEAR_CONNECT_LIMIT).await
}

fn is_refusal(error: io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Blames the requests that this VM had at an upstream when its end began to show.
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
            "an upstream ended under requests"
        );
    }
    for print in victims {
        shared.suspects.record_exit(print, upstream.tag, &shared.change_context());
    }
}
