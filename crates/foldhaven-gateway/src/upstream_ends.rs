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
/// How many fingerprints a log line names.
const LOGGED_PRINTS: usize = 8;

/// Finds out whether an upstream has ended, after a connection to it ended under a request. Several that end at once are
/// looked into once.
pub fn look_into_end(shared: &Arc<GatewayShared>, upstream: &Arc<Upstream>) {
    if !upstream.begin_probe() {
        return;
    }
    let (shared, upstream) = (shared.clone(), upstream.clone());
    tokio::spawn(async move {
        let broke = shared.now();
        if has_ended(&upstream, broke).await {
            note_ended(&shared, &upstream);
        }
        upstream.end_probe();
    });
}

/// Whether the process behind the address is gone: new connections are refused and nothing more is heard on old ones. One
/// that cannot be reached at all may live behind a cut, and one that is alive resets what goes beyond its limit.
async fn has_ended(upstream: &Upstream, broke: MonoTime) -> bool {
    let is_gone = match connect(upstream).await {
        Ok(connection) => {
            sleep(SECOND_LOOK).await;
            match connection.is_closed() {
                true => connect(upstream).await.is_err_and(is_refusal),
                false => {
                    upstream.pool.put(connection, None);
                    false
                }
            }
        }
        Err(error) => is_refusal(error),
    };
    is_gone && upstream.is_silent_since(broke)
}

async fn connect(upstream: &Upstream) -> io::Result<Connection> {
    upstream.pool.open(upstream.identity.address, NEAR_CONNECT_LIMIT).await
}

fn is_refusal(error: io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Blames the requests that this VM had at an upstream that has ended.
fn note_ended(shared: &GatewayShared, upstream: &Upstream) {
    let victims = upstream.take_victims(shared.now());
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
        shared.suspects.note_end(print, upstream.tag, &shared.change_context());
    }
}
