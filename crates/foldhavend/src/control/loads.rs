//! The loop that polls engines for their load and their cache events.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::load::EngineLoad;
use foldhaven_wire::engine::{CacheChange, CacheEventPage};

use super::KeeperAddress;
use super::messages::{NoteCachePosition, NoteLoad, NoteLoadFailure, PlanPolls, PollTarget};
use crate::shared::SharedState;

const POLL_LIMIT: Duration = Duration::from_millis(800);

/// Polls the engines that this daemon is the poller of.
pub(super) async fn poll_loop(shared: Arc<SharedState>, keeper: KeeperAddress) {
    let client = reqwest::Client::builder().timeout(POLL_LIMIT).build();
    let Ok(client) = client else {
        return tracing::error!(step = "making the poll client", "no engine can be polled");
    };
    let mut interval = tokio::time::interval(shared.settings.times.load_poll.0);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let Ok(targets) = keeper.send(PlanPolls).await else { return };
        let polls =
            targets.into_iter().map(|target| poll_engine(&shared, &client, &keeper, target));
        futures::future::join_all(polls).await;
    }
}

async fn poll_engine(
    shared: &SharedState,
    client: &reqwest::Client,
    keeper: &KeeperAddress,
    target: PollTarget,
) {
    let (load, events) =
        tokio::join!(read_load(client, &target), read_cache_events(client, &target));
    match load {
        Ok(load) if load.engine == target.engine => {
            // The actor ends only with the process.
            let _ = keeper.send(NoteLoad { load }).await;
        }
        Ok(load) => tracing::warn!(
            step = "reading a load report",
            peer = %target.engine,
            got = %load.engine,
            "the report names another engine"
        ),
        Err(error) => {
            let peer = &target.engine;
            tracing::debug!(step = "reading a load report", %peer, %error, "not answered");
            let _ = keeper.send(NoteLoadFailure { engine: target.engine.clone() }).await;
        }
    }
    if let Ok(page) = events {
        note_cache_events(shared, keeper, &target, page).await;
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

/// Takes events in as hints. After a gap nothing is known any more of what the engine holds.
async fn note_cache_events(
    shared: &SharedState,
    keeper: &KeeperAddress,
    target: &PollTarget,
    page: CacheEventPage,
) {
    let mut expected = target.cache_after + 1;
    for (number, change) in &page.events {
        if *number != expected {
            shared.facts.clear_cache(&target.engine);
        }
        expected = number + 1;
        match change {
            CacheChange::Stored(blocks) => {
                shared.facts.record_cache_stored(&target.engine, blocks, shared.now());
            }
            CacheChange::Evicted(blocks) => {
                shared.facts.record_cache_evicted(&target.engine, blocks);
            }
        }
    }
    let engine = target.engine.clone();
    let _ = keeper.send(NoteCachePosition { engine, last: page.last }).await;
}
