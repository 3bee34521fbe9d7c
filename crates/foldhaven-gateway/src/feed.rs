//! The border to the platform: who tells this daemon of descriptions, upstreams and evacuations.

use std::collections::BTreeSet;

use async_trait::async_trait;
use foldhaven_core::ids::{DataCentreName, UpstreamName};
use foldhaven_core::opaque::route_table::RouteDescription;
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use serde::{Deserialize, Serialize};

use crate::keeper::KeeperAddress;

/// Everything that the platform publishes, at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedSnapshot {
    /// The platform's count of changes.
    pub revision: u64,
    /// The description; nothing while none is published.
    pub description: Option<RouteDescription>,
    /// The upstreams of all data centres.
    pub upstreams: Vec<UpstreamRecord>,
    /// The data centres whose upstreams are to get nothing.
    pub evacuated: BTreeSet<DataCentreName>,
}

/// One change.
#[derive(Debug, Clone)]
pub enum FeedChange {
    /// A description was published.
    Description(Box<RouteDescription>),
    /// An upstream wrote its record.
    UpstreamWritten(UpstreamRecord),
    /// The record of an upstream was removed.
    UpstreamRemoved(UpstreamName),
    /// A data centre is to be evacuated.
    EvacuationStarted(DataCentreName),
    /// The evacuation of a data centre was withdrawn.
    EvacuationEnded(DataCentreName),
}

/// What a feed tells.
#[derive(Debug, Clone)]
pub enum FeedNews {
    /// All that is published.
    Snapshot(FeedSnapshot),
    /// What changed up to a revision.
    Changes {
        /// The platform's count of changes after these.
        revision: u64,
        /// The changes in their order.
        changes: Vec<FeedChange>,
    },
    /// Nothing could be read.
    Disturbed {
        /// What was tried and what went wrong.
        cause: String,
    },
}

/// Where a feed puts its news.
#[derive(Clone)]
pub struct FeedSink {
    keeper: KeeperAddress,
}

impl FeedSink {
    pub(crate) fn new(keeper: KeeperAddress) -> Self {
        Self { keeper }
    }

    /// Tells news. Returns whether anybody still listens.
    pub async fn tell(&self, news: FeedNews) -> bool {
        self.keeper.send(news).await.is_ok()
    }
}

/// Reads what the platform publishes. Nothing is ever written.
#[async_trait]
pub trait PlatformFeed: Send + Sync {
    /// Tells news until nobody listens any more.
    async fn run(&self, sink: FeedSink);
}
