//! The border to the platform: who tells this daemon of descriptions, upstreams and evacuations.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use foldhaven_core::ids::{DataCentreName, UpstreamName};
use foldhaven_core::opaque::account_table::AccountDescription;
use foldhaven_core::opaque::route_delta::{DeltaError, RouteDelta};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteVersion};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::sync::watch::error::RecvError;

use crate::clock::timeout;
use crate::keeper::KeeperAddress;
use crate::told_change::ToldChange;

/// Everything that the platform publishes, at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedSnapshot {
    /// The platform's count of changes.
    pub revision: u64,
    /// The description; nothing while none is published.
    pub description: Option<RouteDescription>,
    /// The upstreams of all data centres.
    pub upstreams: Vec<UpstreamRecord>,
    /// Upstreams whose records are of no form that names one.
    pub unusable: BTreeSet<UpstreamName>,
    /// The data centres whose upstreams are to get nothing.
    pub evacuated: BTreeSet<DataCentreName>,
}

impl FeedSnapshot {
    /// The same with the accounts of its description, which are told beside it.
    pub fn with_accounts(mut self, accounts: Arc<AccountDescription>) -> Self {
        if let Some(description) = &mut self.description {
            description.accounts = Some(accounts);
        }
        self
    }
}

/// One change.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "ToldChange", into = "ToldChange")]
pub enum FeedChange {
    /// A description was published.
    Description(Box<RouteDescription>),
    /// The same, as VMs tell each other of it: what differs from the description before.
    DescriptionDelta(Box<RouteDelta>),
    /// An upstream wrote its record.
    UpstreamWritten(UpstreamRecord),
    /// The record of an upstream was removed.
    UpstreamRemoved(UpstreamName),
    /// The record of an upstream was written in a form that names none, whatever it was before.
    UpstreamUnusable(UpstreamName),
    /// A data centre is to be evacuated.
    EvacuationStarted(DataCentreName),
    /// The evacuation of a data centre was withdrawn.
    EvacuationEnded(DataCentreName),
}

/// What a change is about. Of two changes about the same, the later one is all that counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeSubject<'a> {
    /// The description.
    Description,
    /// The record of an upstream.
    Upstream(&'a UpstreamName),
    /// The evacuation of a data centre.
    Evacuation(&'a DataCentreName),
}

impl FeedChange {
    /// What it is about.
    pub fn subject(&self) -> ChangeSubject<'_> {
        match self {
            Self::Description(_) | Self::DescriptionDelta(_) => ChangeSubject::Description,
            Self::UpstreamWritten(record) => ChangeSubject::Upstream(&record.name),
            Self::UpstreamRemoved(name) | Self::UpstreamUnusable(name) => {
                ChangeSubject::Upstream(name)
            }
            Self::EvacuationStarted(centre) | Self::EvacuationEnded(centre) => {
                ChangeSubject::Evacuation(centre)
            }
        }
    }

    /// One change in place of this one and a later one about the same.
    fn followed_by(&self, next: &Self) -> Result<Self, DeltaError> {
        match (self, next) {
            (Self::Description(held), Self::DescriptionDelta(delta)) => {
                Ok(Self::Description(Box::new(delta.apply(held)?)))
            }
            (Self::DescriptionDelta(delta), Self::DescriptionDelta(next)) => {
                Ok(Self::DescriptionDelta(Box::new(delta.followed_by(next)?)))
            }
            _ => Ok(next.clone()),
        }
    }

    /// Whether requests may be sent wrongly until it is in force. An upstream more can wait a little.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::UpstreamWritten(record) => record.leaving || !record.cold_for.is_zero(),
            _ => true,
        }
    }
}

/// A change with the platform's count of changes when it was made.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CountedChange {
    /// The count.
    pub revision: u64,
    /// The change.
    pub change: FeedChange,
}

/// Drops what later changes supersede, so that what is told is bounded by how much there is to know, and
/// not by how often it changed.
///
/// # Errors
///
/// When a version between two descriptions is missing.
pub fn drop_superseded<'a>(
    changes: impl IntoIterator<Item = &'a CountedChange>,
) -> Result<Vec<CountedChange>, DeltaError> {
    let mut last: BTreeMap<ChangeSubject<'a>, Cow<'a, CountedChange>> = BTreeMap::new();
    for counted in changes {
        let subject = counted.change.subject();
        let kept = match last.get(&subject) {
            Some(held) => {
                let change = held.change.followed_by(&counted.change)?;
                Cow::Owned(CountedChange { revision: counted.revision, change })
            }
            None => Cow::Borrowed(counted),
        };
        last.insert(subject, kept);
    }
    let mut kept: Vec<CountedChange> = last.into_values().map(Cow::into_owned).collect();
    kept.sort_by_key(|counted| counted.revision);
    Ok(kept)
}

/// All changes after one revision up to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The revision after which they were made.
    pub after: u64,
    /// The revision up to which there are no others.
    pub revision: u64,
    /// The changes in their order; of several about the same only the last.
    pub changes: Vec<CountedChange>,
}

impl ChangeSet {
    /// The versions that its difference between descriptions was put together over.
    pub fn through(&self) -> Vec<RouteVersion> {
        let deltas = self.changes.iter().filter_map(|counted| match &counted.change {
            FeedChange::DescriptionDelta(delta) => Some(delta.through()),
            _ => None,
        });
        deltas.flatten().copied().collect()
    }

    /// The same changes, whose difference between descriptions is told to be put together over these versions.
    pub fn told_through(mut self, through: &[RouteVersion]) -> Self {
        for counted in &mut self.changes {
            if let FeedChange::DescriptionDelta(delta) = &mut counted.change {
                **delta = (**delta).clone().with_through(through.to_vec());
            }
        }
        self
    }
}

/// What one VM tells another of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerState {
    /// All that is published.
    Snapshot(FeedSnapshot),
    /// What changed after the revision that the asker knows.
    Changes(ChangeSet),
    /// The same, with a difference between descriptions that was put together over these versions. Only VMs that say that they
    /// understand it are told so.
    SpanningChanges(ChangeSet, Vec<RouteVersion>),
    /// All that is published, with the accounts of its description.
    KeyedSnapshot(FeedSnapshot, Arc<AccountDescription>),
}

impl PeerState {
    /// All that is published, in the form that daemons without accounts read where it has none.
    pub fn of_snapshot(snapshot: FeedSnapshot) -> Self {
        let accounts = snapshot.description.as_ref().and_then(|it| it.accounts.clone());
        match accounts {
            Some(accounts) => Self::KeyedSnapshot(snapshot, accounts),
            None => Self::Snapshot(snapshot),
        }
    }
}

/// Whether this daemon is to read the platform now, and what it knows already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedTurn {
    /// Whether it is to read.
    pub reads: bool,
    /// The revision that it knows, from its own reading or from other VMs; nothing yet when absent.
    pub known: Option<u64>,
    /// Whether others know more, and did a moment ago: a call that waits for changes would have been answered.
    pub is_overtaken: bool,
}

/// What a feed tells.
#[derive(Debug, Clone)]
pub enum FeedNews {
    /// All that is published.
    Snapshot(FeedSnapshot),
    /// What changed up to a revision.
    Changes(ChangeSet),
    /// Nothing could be read.
    Disturbed {
        /// What was tried and what went wrong.
        cause: String,
    },
}

/// Where a feed puts its news, and learns when it is to read.
#[derive(Clone)]
pub struct FeedSink {
    keeper: KeeperAddress,
    turn: watch::Receiver<FeedTurn>,
}

impl FeedSink {
    pub(crate) fn new(keeper: KeeperAddress, turn: watch::Receiver<FeedTurn>) -> Self {
        Self { keeper, turn }
    }

    /// Tells news. Returns whether anybody still listens.
    pub async fn tell(&self, news: FeedNews) -> bool {
        self.keeper.send(news).await.is_ok()
    }

    /// Waits until this daemon is to read, and gives the revision from which to go on; nothing when
    /// everything is to be read. Returns an error when nobody listens any more.
    pub async fn await_turn(&mut self) -> Result<Option<u64>, RecvError> {
        self.turn.wait_for(|turn| turn.reads).await.map(|turn| turn.known)
    }

    /// Waits until others have known more for a while, so that a call without an answer will get none.
    pub async fn await_overtaken(&self, lasting: Duration) {
        let mut turn = self.turn.clone();
        loop {
            if turn.wait_for(|turn| turn.is_overtaken).await.is_err() {
                return std::future::pending().await;
            }
            let caught_up = turn.wait_for(|turn| !turn.is_overtaken);
            if timeout(lasting, caught_up).await.is_err() {
                return;
            }
        }
    }
}

/// Reads what the platform publishes. Nothing is ever written.
#[async_trait]
pub trait PlatformFeed: Send + Sync {
    /// Tells news until nobody listens any more.
    async fn run(&self, sink: FeedSink);
}
