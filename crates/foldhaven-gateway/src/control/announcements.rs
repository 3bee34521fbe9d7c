//! Announces this VM's platform revision to other VMs, and tracks the staleness of its platform
//! state.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{PeerTable, RevisionAnnouncement, VmTag};
use foldhaven_core::opaque::view_staleness::RevisionConfirmation;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::feed::ChangeSet;
use crate::shared::STALE_AFTER;

/// Minimum interval between two announcements to other regions. Changes in between are part of the
/// next one.
const REMOTE_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two announcements of other regions' revisions that this VM relays to
/// its own region.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// Stale state counts as fresh again once it was confirmed within this time.
const FRESH_WITHIN: Duration = Duration::from_millis(2_500);

/// An update that is sent to other VMs immediately.
pub enum OutgoingUpdate {
    /// Changes of the platform.
    Changes(OutgoingChanges),
    /// The announcement of a VM's revision.
    Notice { targets: Vec<SocketAddr>, notice: RevisionAnnouncement },
}

/// Platform changes to send to other VMs.
pub struct OutgoingChanges {
    pub targets: Vec<SocketAddr>,
    pub changes: ChangeSet,
    /// The announcement that is sent if the changes do not fit into a datagram.
    pub offer: RevisionAnnouncement,
}

/// The revisions announced outside of heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnnouncedRevisions {
    /// When other regions last got an announcement, and of which revision.
    remote: Option<(MonoTime, u64)>,
    /// When this region last got an announcement of another region's revision, and of which one.
    relayed: Option<(MonoTime, u64)>,
}

/// A received announcement of another VM's revision.
pub struct ReceiveRevisionNotice {
    pub notice: RevisionAnnouncement,
}

impl Handler<ReceiveRevisionNotice> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveRevisionNotice, _: &mut Context<Self>) {
        let notice = message.notice;
        if !self.peers.apply_announcement(&notice) {
            return;
        }
        let now = self.now();
        if let Some(age) = notice.age() {
            self.confirm(RevisionConfirmation { revision: notice.revision, at: now - age });
        }
        if notice.revision > self.platform.revision() {
            self.offered.record(&notice);
            self.shared.newer_revision_notify.notify_one();
        }
    }
}

impl ControlActor {
    /// Records that the platform has just confirmed the current revision.
    pub(super) fn confirm_revision(&mut self) {
        self.confirm(RevisionConfirmation { revision: self.platform.revision(), at: self.now() });
    }

    fn confirm(&mut self, confirmation: RevisionConfirmation) {
        self.staleness.apply(confirmation, self.platform.revision());
        self.shared.set_confirmed_at(self.staleness.confirmed_at());
    }

    /// Returns the time since the platform state was last confirmed as current, or since the start
    /// of the process if it never was.
    pub(super) fn staleness(&self) -> Duration {
        self.staleness.age(self.now()).unwrap_or_else(|| self.shared.uptime())
    }

    /// Forwards changes to the VMs of this region, unless the region is so small that all of them
    /// read the platform themselves, and announces the revision to other regions.
    pub(super) fn announce_changes(&mut self, changes: ChangeSet) {
        if changes.changes.is_empty() {
            return;
        }
        if self.local_peers().len() >= PeerTable::ALL_READ_BELOW {
            self.forward_changes(self.forwarding.for_read.clone(), changes);
        }
        self.announce_remotely();
    }

    /// Forwards changes that another reader of the region sent to this VM.
    pub(super) fn relay_changes(&self, changes: ChangeSet) {
        let targets = &self.forwarding.for_received;
        if !changes.changes.is_empty() && !targets.is_empty() {
            self.forward_changes(targets.clone(), changes);
        }
    }

    /// Forwards changes to VMs of this region.
    pub(super) fn forward_changes(&self, targets: Vec<SocketAddr>, changes: ChangeSet) {
        let offer = RevisionAnnouncement { is_offer: true, ..self.own_revision_notice() };
        self.send_update(OutgoingUpdate::Changes(OutgoingChanges { targets, changes, offer }));
    }

    /// Announces this VM's revision to a few VMs of each other region, unless it was announced
    /// already or the last announcement is too recent. A region whose own readers get no answer
    /// from the platform learns of changes only in this way.
    pub(super) fn announce_remotely(&mut self) {
        let (now, revision) = (self.now(), self.platform.revision());
        let is_suppressed = |(at, sent): (MonoTime, u64)| {
            sent >= revision || now.since(at) < REMOTE_ANNOUNCE_INTERVAL
        };
        if self.announced.remote.is_some_and(is_suppressed) {
            return;
        }
        self.announced.remote = Some((now, revision));
        let targets = self.peers.remote_announcement_targets(now);
        self.send_update(OutgoingUpdate::Notice { targets, notice: self.own_revision_notice() });
    }

    /// Relays the announcement of a remote VM to the VMs of this region that may ask other regions.
    pub(super) fn relay_notice(&mut self, notice: RevisionAnnouncement) {
        let (now, revision) = (self.now(), notice.revision);
        // Compares for equality, not by order: one announcement of a revision that does not exist
        // would suppress all later announcements of real ones.
        let is_suppressed =
            |(at, sent): (MonoTime, u64)| sent == revision || now.since(at) < RELAY_INTERVAL;
        if self.announced.relayed.is_some_and(is_suppressed) {
            return;
        }
        self.announced.relayed = Some((now, revision));
        let targets = self.peers.baseline_addresses(now);
        self.send_update(OutgoingUpdate::Notice { targets, notice });
    }

    fn send_update(&self, outgoing: OutgoingUpdate) {
        // Sending fails only when the process ends.
        let _ = self.outgoing.send(outgoing);
    }

    /// Returns the announcement of this VM's revision.
    pub(super) fn own_revision_notice(&self) -> RevisionAnnouncement {
        let age = self.staleness.age(self.now());
        RevisionAnnouncement {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            revision: self.platform.revision(),
            age_ms: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
            is_offer: false,
        }
    }

    /// Updates the metric for staleness, and logs once when the state becomes stale and once when
    /// it is fresh again.
    pub(super) fn report_staleness(&mut self) {
        self.staleness.advance_to(self.platform.revision());
        let age = self.staleness();
        let age_ms = age.as_millis() as u64;
        self.shared.set_confirmed_at(self.staleness.confirmed_at());
        self.shared.metrics.set_level("belief_age_ms", age_ms);
        let (revision, version) = (self.platform.revision(), self.version().0);
        let is_platform_unreachable = self.is_platform_unreachable;
        if !self.is_staleness_logged && age >= STALE_AFTER {
            self.is_staleness_logged = true;
            tracing::warn!(
                age_ms,
                revision,
                version,
                is_disturbed = is_platform_unreachable,
                "platform state is stale"
            );
        } else if self.is_staleness_logged && age < FRESH_WITHIN {
            self.is_staleness_logged = false;
            tracing::info!(age_ms, revision, version, "platform state is fresh again");
        }
    }
}
