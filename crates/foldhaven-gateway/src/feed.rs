//! The interface to the platform, which publishes descriptions, upstreams and evacuations.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use foldhaven_core::ids::{DataCentreName, SoftwareVersion, UpstreamName};
use foldhaven_core::opaque::account_table::AccountDescription;
use foldhaven_core::opaque::route_delta::{DeltaError, RouteDelta};
use foldhaven_core::opaque::route_table::{RouteDescription, RouteVersion};
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use serde::{Deserialize, Serialize};
use tokio::sync::watch::error::RecvError;
use tokio::sync::{Notify, watch};

use crate::clock::{BootInstant, timeout};
use crate::control::ControlAddress;
use crate::told_change::ToldChange;

/// Everything that the platform publishes, at one revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FeedSnapshot {
    /// The revision: the platform's count of changes.
    pub revision: u64,
    /// The description. `None` if none is published.
    pub description: Option<RouteDescription>,
    /// The upstreams of all data centres.
    pub upstreams: Vec<UpstreamRecord>,
    /// The upstreams whose records are invalid.
    pub unusable: BTreeSet<UpstreamName>,
    /// The data centres whose upstreams are to get no requests.
    pub evacuated: BTreeSet<DataCentreName>,
}

impl FeedSnapshot {
    /// Returns the snapshot with the accounts of its description, which are sent separately.
    pub fn with_accounts(mut self, accounts: Arc<AccountDescription>) -> Self {
        if let Some(description) = &mut self.description {
            description.accounts = Some(accounts);
        }
        self
    }
}

/// A change of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "ToldChange", into = "ToldChange")]
pub enum FeedChange {
    /// A description was published.
    Description(Box<RouteDescription>),
    /// A description was published, given as the delta to the one before. VMs send descriptions to
    /// each other in this form.
    DescriptionDelta(Box<RouteDelta>),
    /// An upstream wrote its record.
    UpstreamWritten(UpstreamRecord),
    /// The record of an upstream was removed.
    UpstreamRemoved(UpstreamName),
    /// The record of an upstream was replaced by an invalid one.
    UpstreamUnusable(UpstreamName),
    /// The evacuation of a data centre was started.
    EvacuationStarted(DataCentreName),
    /// The evacuation of a data centre was ended.
    EvacuationEnded(DataCentreName),
}

/// What a change is about. Of several changes of one subject, only the last one matters.
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
    /// Returns the subject of the change.
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

    /// Combines this change and a later one of the same subject into one.
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

    /// Returns whether requests may be sent to wrong destinations until the change is applied. A
    /// new upstream can wait a little.
    pub fn is_urgent(&self) -> bool {
        match self {
            Self::UpstreamWritten(record) => record.leaving || !record.cold_for.is_zero(),
            _ => true,
        }
    }
}

/// A change with its revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NumberedChange {
    /// The revision.
    pub revision: u64,
    /// The change.
    pub change: FeedChange,
}

/// Drops changes that are superseded by later ones. The result is thus bounded by the size of the
/// state, and not by the number of changes.
///
/// # Errors
///
/// If a version between two descriptions is missing.
pub fn drop_superseded<'a>(
    changes: impl IntoIterator<Item = &'a NumberedChange>,
) -> Result<Vec<NumberedChange>, DeltaError> {
    let mut last: BTreeMap<ChangeSubject<'a>, Cow<'a, NumberedChange>> = BTreeMap::new();
    for numbered in changes {
        let subject = numbered.change.subject();
        let kept = match last.get(&subject) {
            Some(held) => {
                let change = held.change.followed_by(&numbered.change)?;
                Cow::Owned(NumberedChange { revision: numbered.revision, change })
            }
            None => Cow::Borrowed(numbered),
        };
        last.insert(subject, kept);
    }
    let mut kept: Vec<NumberedChange> = last.into_values().map(Cow::into_owned).collect();
    kept.sort_by_key(|numbered| numbered.revision);
    Ok(kept)
}

/// All changes after one revision up to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The revision after which the changes were made.
    pub after: u64,
    /// The revision up to which the set is complete.
    pub revision: u64,
    /// The changes in order. Only the last one of each subject is included.
    pub changes: Vec<NumberedChange>,
}

impl ChangeSet {
    /// Returns the versions that the description deltas of the set span.
    pub fn spanned_versions(&self) -> Vec<RouteVersion> {
        let deltas = self.changes.iter().filter_map(|numbered| match &numbered.change {
            FeedChange::DescriptionDelta(delta) => Some(delta.through()),
            _ => None,
        });
        deltas.flatten().copied().collect()
    }

    /// Returns the same changes, with the description delta marked as spanning these versions.
    pub fn with_spanned_versions(mut self, versions: &[RouteVersion]) -> Self {
        for numbered in &mut self.changes {
            if let FeedChange::DescriptionDelta(delta) = &mut numbered.change {
                **delta = (**delta).clone().with_through(versions.to_vec());
            }
        }
        self
    }
}

/// The platform state that one VM sends to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerState {
    /// The whole state, if its description has no accounts.
    Snapshot(FeedSnapshot),
    /// The changes after the revision that the requesting VM knows.
    Changes(ChangeSet),
    /// The same, with a description delta that spans these versions. Sent only to VMs that announce
    /// that they understand it.
    SpanningChanges(ChangeSet, Vec<RouteVersion>),
    /// The whole state, and the accounts of its description, which are serialized separately.
    KeyedSnapshot(FeedSnapshot, Arc<AccountDescription>),
    /// The whole state with the software versions of upstreams. Sent only to VMs that announce that
    /// they read them.
    VersionedSnapshot(VersionedSnapshot),
}

/// A snapshot with the parts that earlier daemons do not know.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionedSnapshot {
    snapshot: FeedSnapshot,
    accounts: Option<Arc<AccountDescription>>,
    /// Each software version with the indices of its upstreams in the snapshot.
    software: Vec<(SoftwareVersion, Vec<u32>)>,
}

impl VersionedSnapshot {
    fn of(snapshot: FeedSnapshot) -> Self {
        let mut software: BTreeMap<SoftwareVersion, Vec<u32>> = BTreeMap::new();
        for (index, record) in (0..).zip(&snapshot.upstreams) {
            if let Some(version) = &record.software {
                software.entry(version.clone()).or_default().push(index);
            }
        }
        let accounts = snapshot.description.as_ref().and_then(|it| it.accounts.clone());
        Self { snapshot, accounts, software: software.into_iter().collect() }
    }

    /// Returns the snapshot with all its parts.
    pub fn into_snapshot(self) -> FeedSnapshot {
        let Self { mut snapshot, accounts, software } = self;
        for (version, indices) in software {
            for index in indices {
                if let Some(record) = snapshot.upstreams.get_mut(index as usize) {
                    record.software = Some(version.clone());
                }
            }
        }
        match accounts {
            Some(accounts) => snapshot.with_accounts(accounts),
            None => snapshot,
        }
    }
}

impl PeerState {
    /// Returns the whole state. Without accounts, it has the form that daemons without account
    /// support can read.
    pub fn of_snapshot(snapshot: FeedSnapshot) -> Self {
        let accounts = snapshot.description.as_ref().and_then(|it| it.accounts.clone());
        match accounts {
            Some(accounts) => Self::KeyedSnapshot(snapshot, accounts),
            None => Self::Snapshot(snapshot),
        }
    }

    /// Returns the whole state with the software versions of upstreams, in the form for VMs that
    /// read them.
    pub fn of_versioned_snapshot(snapshot: FeedSnapshot) -> Self {
        Self::VersionedSnapshot(VersionedSnapshot::of(snapshot))
    }
}

/// Whether this daemon reads the platform now, and the revision that it already knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadAssignment {
    /// Whether it reads the platform.
    pub is_reader: bool,
    /// The revision known from the platform or from other VMs. `None` before the first snapshot.
    pub known_revision: Option<u64>,
    /// Whether other VMs have known a newer revision for a short time, so that a pending call for
    /// changes should already have been answered.
    pub is_superseded: bool,
}

/// An update from a feed.
#[derive(Debug, Clone)]
pub enum FeedUpdate {
    /// The whole state.
    Snapshot {
        /// The state.
        snapshot: FeedSnapshot,
        /// Whether it was read without a pause, so that it is as recent as an answer.
        is_recent: bool,
    },
    /// The changes up to a revision.
    Changes(ChangeSet),
    /// The platform has answered a call that was made at this time, and the state was updated.
    Probed {
        /// When the call was made.
        asked_at: BootInstant,
    },
    /// The platform could not be read.
    Failed {
        /// The failed operation and its error.
        cause: String,
    },
}

/// Receives the updates of a feed, and tells the feed when to read.
#[derive(Clone)]
pub struct FeedSink {
    control: ControlAddress,
    assignment: watch::Receiver<ReadAssignment>,
    probe_request: Arc<Notify>,
}

impl FeedSink {
    pub(crate) fn new(
        control: ControlAddress,
        assignment: watch::Receiver<ReadAssignment>,
        probe_request: Arc<Notify>,
    ) -> Self {
        Self { control, assignment, probe_request }
    }

    /// Waits until the platform is to be called at once, since a request depends on whether its state
    /// is still current.
    pub async fn await_probe_request(&self) {
        self.probe_request.notified().await;
    }

    /// Sends an update. Returns `false` if the control actor has stopped.
    pub async fn send(&self, update: FeedUpdate) -> bool {
        self.control.send(update).await.is_ok()
    }

    /// Waits until this daemon has to read the platform. Returns the revision from which to
    /// continue, or `None` if the whole state has to be read. Fails if the control actor has
    /// stopped.
    pub async fn await_assignment(&mut self) -> Result<Option<u64>, RecvError> {
        self.assignment
            .wait_for(|assignment| assignment.is_reader)
            .await
            .map(|assignment| assignment.known_revision)
    }

    /// Waits until [`ReadAssignment::is_superseded`] has been set for the duration `lasting`, so
    /// that a call without an answer by then will not get one.
    pub async fn await_superseded(&self, lasting: Duration) {
        let mut assignment = self.assignment.clone();
        loop {
            if assignment.wait_for(|assignment| assignment.is_superseded).await.is_err() {
                return std::future::pending().await;
            }
            let caught_up = assignment.wait_for(|assignment| !assignment.is_superseded);
            if timeout(lasting, caught_up).await.is_err() {
                return;
            }
        }
    }
}

/// Reads what the platform publishes. A feed never writes to the platform.
#[async_trait]
pub trait PlatformFeed: Send + Sync {
    /// Sends updates until the control actor has stopped.
    async fn run(&self, sink: FeedSink);
}
