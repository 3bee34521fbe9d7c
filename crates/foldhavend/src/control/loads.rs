//! The task that polls engines for their load and their cache events.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::load::EngineLoad;
use foldhaven_wire::engine::{CacheChange, CacheEventPage};

use super::ControlAddress;
use super::messages::{PlanPolls, PollTarget, RecordCachePosition, RecordLoad, RecordLoadFailure};
use crate::shared::SharedState;

/// Timeout of one load poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Polls the engines that are assigned to this daemon.
pub(super) async fn poll_loop(shared: Arc<SharedState>, actor: ControlAddress) {
    let client = reqwest::Client::builder().timeout(POLL_TIMEOUT).build();
    let Ok(client) = client else {
        return tracing::error!(step = "making the poll client", "no engines can be polled");
    };
    let mut interval = tokio::time::interval(shared.settings.times.load_poll.0);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Ok(targets) = actor.send(PlanPolls).await else { return };
        let polls = targets.into_iter().map(|target| poll_engine(&shared, &client, &actor, target));
        futures::future::join_all(polls).await;
    }
}

async fn poll_engine(
    shared: &SharedState,
    client: &reqwest::Client,
    actor: &ControlAddress,
    target: PollTarget,
) {
    let (load, events) =
        tokio::join!(read_load(client, &target), read_cache_events(client, &target));
    match load {
        Ok(load) if load.engine == target.engine => {
            // Sending fails only when the process ends.
            let _ = actor.send(RecordLoad { load }).await;
        }
        Ok(load) => tracing::warn!(
        step = "reading a load report",
        peer = %target.engine,
        got = %load.engine,
        "load report names another engine"
        ),
        Err(error) => {
            let peer = &target.engine;
            tracing::debug!(step = "reading a load report", %peer, %error, "load poll failed");
            let _ = actor.send(RecordLoadFailure { engine: target.engine.clone() }).await;
        }
    }
    if let Ok(page) = events {
        apply_cache_events(shared, actor, &target, page).await;
    }
}

async fn read_load(client: &reqwest::Client, target: &PollTarget) -> reqwest::Result<EngineLoad> {
    let url = format!("http://{}/load", target.address);
    client.get(url).send().await?.error_for_status()?.json().await
}

async fn read_cache_events(
    client: &reqwest::Client,
    target: &PollTarget,
) -> reqwest::Result<CacheEventPage> {
    let url = format!("http://{}/cache-events?after={}", target.address, target.cache_after);
    client.get(url).send().await?.error_for_status()?.json().await
}

/// Applies cache events to the estimate of an engine's cache. A gap in the event numbers clears the
/// estimate, since missed events may have changed any part of the cache.
async fn apply_cache_events(
    shared: &SharedState,
    actor: &ControlAddress,
    target: &PollTarget,
    page: CacheEventPage,
) {
    let mut expected = target.cache_after + 1;
    for (number, change) in &page.events {
        if *number != expected {
            shared.traffic_state.clear_cache(&target.engine);
        }
        expected = number + 1;
        match change {
            CacheChange::Stored(blocks) => {
                shared.traffic_state.record_cache_stored(&target.engine, blocks, shared.now());
            }
            CacheChange::Evicted(blocks) => {
                shared.traffic_state.record_cache_evicted(&target.engine, blocks);
            }
        }
    }
    let engine = target.engine.clone();
    let _ = actor.send(RecordCachePosition { engine, last: page.last }).await;
}
