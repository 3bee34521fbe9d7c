//! Distinguishes the exit of an upstream from the end of a single connection to it, and reports the
//! requests that were in flight as suspects.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::affinity::RingPosition;
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::SuspectKeys;
use foldhaven_core::time::MonoTime;
use tokio::time::sleep;

use crate::connection::{Connection, LOCAL_CONNECT_TIMEOUT};
use crate::shared::GatewayShared;
use crate::upstream::{Upstream, UpstreamRequestGuard};

/// Delay between checks. An upstream that exits may close its connections shortly before its
/// listening port, so a new connection is checked again after this time.
const RECHECK_DELAY: Duration = Duration::from_millis(200);
/// Time for which data that an upstream sent before its exit may still be read.
const LATE_DATA_TIME: Duration = Duration::from_millis(50);
/// Maximum number of checks of an upstream that refuses new connections but still sends data on old
/// ones.
const MAX_CHECKS: u32 = 5;
/// Maximum number of other upstreams to which a connection is opened for comparison.
const MAX_CONTROLS: usize = 3;
/// Maximum number of fingerprints in a log line.
const MAX_LOGGED_FINGERPRINTS: usize = 8;

/// Starts a check whether an upstream has exited, after a connection to it broke during a request.
/// Only one check per upstream runs at a time.
pub fn start_exit_check(shared: &Arc<GatewayShared>, upstream: &Arc<Upstream>) {
    if !upstream.begin_exit_check() {
        return;
    }
    let (shared, upstream) = (shared.clone(), upstream.clone());
    let broken_at = shared.now();
    tokio::spawn(async move {
        if has_exited(&shared, &upstream, broken_at).await {
            report_exit(&shared, &upstream, broken_at);
        }
        upstream.end_exit_check();
    });
}

/// A request whose answer has ended with its connection.
pub struct EndedAnswer {
    pub keys: SuspectKeys,
    pub request_guard: UpstreamRequestGuard,
    /// Whether the answer was written on the prompt of the request.
    pub is_written: bool,
}

/// Records the success of a request whose answer ended with its connection, unless its upstream has
/// exited. In that case, the request is one of those that may have caused the exit.
pub fn confirm_answer(shared: &Arc<GatewayShared>, answer: EndedAnswer) {
    let shared = shared.clone();
    let ended_at = shared.now();
    tokio::spawn(async move {
        let EndedAnswer { keys, mut request_guard, is_written } = answer;
        let upstream = request_guard.upstream().clone();
        sleep(RECHECK_DELAY).await;
        let is_silent = || upstream.is_unresponsive_since(ended_at + LATE_DATA_TIME);
        if is_silent() {
            start_exit_check(&shared, &upstream);
        }
        while upstream.is_exit_check_running() {
            sleep(RECHECK_DELAY).await;
        }
        // A new connection may lead to a process that was started after an exit.
        if !is_silent() && request_guard.is_registered() {
            request_guard.mark_harmless();
            shared.suspects.record_success(&keys, is_written, &shared.change_context());
        }
    });
}

/// Whether the process has exited whose answer has just ended with its connection. A leaving upstream
/// may close its port before the last of its answers.
pub async fn has_exited_with_answer(shared: Arc<GatewayShared>, upstream: Arc<Upstream>) -> bool {
    let ended_at = shared.now();
    sleep(LATE_DATA_TIME).await;
    // The connections of a process that has exited are closed by now.
    if !is_in_use(&shared, &upstream) || upstream.pool.has_usable_connection() {
        return false;
    }
    match connect(&upstream).await {
        Ok(connection) => {
            upstream.pool.put(connection, None);
            false
        }
        Err(error) => {
            is_refusal(error)
                && upstream.is_unresponsive_since(ended_at + LATE_DATA_TIME)
                && reaches_others(&shared, &upstream, ended_at).await
        }
    }
}

/// Whether an upstream may get new requests.
fn is_in_use(shared: &GatewayShared, upstream: &Upstream) -> bool {
    let Some(view) = shared.view() else { return false };
    let group = view.group(&upstream.identity.service, &upstream.identity.region);
    !upstream.is_leaving() && group.is_some_and(|group| group.find(upstream.tag).is_some())
}

/// Whether the process has exited: it refuses new connections and no more data arrives on old ones.
/// An unreachable upstream may be alive behind a network partition, and a live one may reset
/// connections beyond its limit.
///
/// Data that is read after the first connection broke may have been sent before the exit, and a
/// leaving upstream may continue to serve its old connections. The check is repeated, at most
/// [`MAX_CHECKS`] times, until no data arrived between two checks.
async fn has_exited(shared: &GatewayShared, upstream: &Upstream, broken_at: MonoTime) -> bool {
    let mut last_check = broken_at;
    for _ in 0..MAX_CHECKS {
        if !refuses_connections(upstream).await {
            return false;
        }
        if upstream.is_unresponsive_since(last_check) {
            return reaches_others(shared, upstream, broken_at).await;
        }
        last_check = shared.now();
        sleep(RECHECK_DELAY).await;
    }
    false
}

/// Whether this VM still reaches other upstreams, or there are none. If it reaches none, it has
/// probably lost its own paths, and nothing is known of this upstream.
async fn reaches_others(shared: &GatewayShared, upstream: &Upstream, broken_at: MonoTime) -> bool {
    let Some(view) = shared.view() else { return true };
    let groups =
        view.upstreams.values().filter_map(|regions| regions.get(&upstream.identity.region));
    let all =
        groups.flat_map(|group| group.iter_from(RingPosition(rand::random())).take(MAX_CONTROLS));
    let others: Vec<&Arc<Upstream>> = all.filter(|other| other.tag != upstream.tag).collect();
    if others.is_empty() || others.iter().any(|other| !other.is_unresponsive_since(broken_at)) {
        return true;
    }
    for other in others.into_iter().take(MAX_CONTROLS) {
        if connect(other).await.is_ok_and(|connection| !connection.is_closed()) {
            return true;
        }
    }
    shared.metrics.count_event("exit_unclear");
    false
}

/// Whether no process listens at the address of the upstream.
async fn refuses_connections(upstream: &Upstream) -> bool {
    let connection = match connect(upstream).await {
        Ok(connection) => connection,
        Err(error) => return is_refusal(error),
    };
    sleep(RECHECK_DELAY).await;
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
fn report_exit(shared: &GatewayShared, upstream: &Upstream, broken_at: MonoTime) {
    let affected = upstream.take_affected(broken_at);
    shared.metrics.count_event("upstream_ended");
    if !affected.is_empty() && shared.quota.take(false) {
        let fingerprints = affected.iter().take(MAX_LOGGED_FINGERPRINTS);
        let fingerprints: Vec<String> = fingerprints.map(|keys| keys.request.to_string()).collect();
        tracing::info!(
        upstream = %upstream.name(),
        birth = upstream.identity.birth.0,
        requests = affected.len(),
        prints = fingerprints.join(" "),
        segments = describe_segments(&affected),
        "an upstream exited during requests"
        );
    }
    shared.suspects.record_exit(&affected, upstream.tag, &shared.change_context());
}

/// Returns the segments that occur in the most requests, each with the number of these, for the
/// log.
fn describe_segments(affected: &[SuspectKeys]) -> String {
    let mut counts: BTreeMap<RequestFingerprint, usize> = BTreeMap::new();
    for segment in affected.iter().flat_map(|keys| keys.segments.iter()) {
        *counts.entry(*segment).or_default() += 1;
    }
    let mut counts: Vec<(RequestFingerprint, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let counts = counts.iter().take(MAX_LOGGED_FINGERPRINTS);
    let described: Vec<String> =
        counts.map(|(segment, count)| format!("{segment}:{count}")).collect();
    described.join(" ")
}
