//! Tells other VMs how far this one knows the platform's changes, and how old what is believed is.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::belief_age::RevisionProof;
use foldhaven_core::opaque::peer_table::{NewsNotice, PeerTable, VmTag};
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::feed::ChangeSet;
use crate::shared::OLD_BELIEF;

/// Between two notices to other regions. What changes meanwhile goes with the next one.
const REMOTE_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Between two notices to this region of what another one knows.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);
/// What was old is young again when it was proven within this time.
const FRESH_WITHIN: Duration = Duration::from_millis(2_500);

/// What other VMs are told at once.
pub enum OutgoingUpdate {
    /// Changes of the platform.
    Changes(OutgoingChanges),
    /// How far a VM knows them.
    Notice { targets: Vec<SocketAddr>, notice: NewsNotice },
}

/// Changes that other VMs are to be told of.
pub struct OutgoingChanges {
    pub targets: Vec<SocketAddr>,
    pub changes: ChangeSet,
    /// What they are told where the changes do not fit a datagram.
    pub offer: NewsNotice,
}

/// Of which revisions others were told without waiting for heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnnouncedRevisions {
    /// When other regions were told last, and of which revision.
    remote: Option<(MonoTime, u64)>,
    /// When the VMs of this region were told last of a revision of another one, and of which.
    relayed: Option<(MonoTime, u64)>,
}

/// Another VM told how far it knows the platform's changes.
pub struct ReceiveRevisionNotice {
    pub notice: NewsNotice,
}

impl Handler<ReceiveRevisionNotice> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveRevisionNotice, _: &mut Context<Self>) {
        let notice = message.notice;
        if !self.peers.take_news(&notice) {
            return;
        }
        let now = self.now();
        if let Some(age) = notice.age() {
            let proof = RevisionProof { revision: notice.revision, at: now - age };
            self.staleness.hear(proof, self.platform.revision());
        }
        if notice.revision > self.platform.revision() {
            self.offered.note(&notice);
            self.shared.ahead_news.notify_one();
        }
    }
}

impl ControlActor {
    /// Notes that an answer of the platform proved what is held now.
    pub(super) fn confirm_revision(&mut self) {
        let proof = RevisionProof { revision: self.platform.revision(), at: self.now() };
        self.staleness.hear(proof, self.platform.revision());
    }

    /// For how long what is believed has not been proven; since the start when it never was.
    pub(super) fn staleness(&self) -> Duration {
        self.staleness.age(self.now()).unwrap_or_else(|| self.shared.uptime())
    }

    /// Passes changes on to the VMs of this region that do not read the platform themselves, and tells other regions that
    /// there are some.
    pub(super) fn announce_changes(&mut self, changes: ChangeSet) {
        if changes.changes.is_empty() {
            return;
        }
        if self.local_peers().len() >= PeerTable::ALL_READ {
            self.forward_changes(changes);
        }
        self.announce_remotely();
    }

    /// Passes changes on to the VMs of this region.
    pub(super) fn forward_changes(&self, changes: ChangeSet) {
        let targets = self.local_peers();
        let offer = NewsNotice { is_offer: true, ..self.own_revision_notice() };
        self.send_update(OutgoingUpdate::Changes(OutgoingChanges { targets, changes, offer }));
    }

    /// Tells a few VMs of each other region how far the changes are known here, unless that was told a moment ago: a region
    /// whose own readers get no answer learns of a change in no other way.
    pub(super) fn announce_remotely(&mut self) {
        let (now, revision) = (self.now(), self.platform.revision());
        let is_told = |(at, told): (MonoTime, u64)| {
            told >= revision || now.since(at) < REMOTE_ANNOUNCE_INTERVAL
        };
        if self.announced.remote.is_some_and(is_told) {
            return;
        }
        self.announced.remote = Some((now, revision));
        let targets = self.peers.far_news_targets(now);
        self.send_update(OutgoingUpdate::Notice { targets, notice: self.own_revision_notice() });
    }

    /// Tells those of this region that may ask other regions how far a VM there knows the changes.
    pub(super) fn relay_notice(&mut self, notice: NewsNotice) {
        let (now, revision) = (self.now(), notice.revision);
        // Not by the larger one: a revision that there is not would keep all true ones from being told.
        let is_told =
            |(at, told): (MonoTime, u64)| told == revision || now.since(at) < RELAY_INTERVAL;
        if self.announced.relayed.is_some_and(is_told) {
            return;
        }
        self.announced.relayed = Some((now, revision));
        let targets = self.peers.standing_addresses(now);
        self.send_update(OutgoingUpdate::Notice { targets, notice });
    }

    fn send_update(&self, outgoing: OutgoingUpdate) {
        // Nobody takes them only when the process ends.
        let _ = self.outgoing.send(outgoing);
    }

    /// How far this VM knows the platform's changes.
    pub(super) fn own_revision_notice(&self) -> NewsNotice {
        let age = self.staleness.age(self.now());
        NewsNotice {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            revision: self.platform.revision(),
            age_ms: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
            is_offer: false,
        }
    }

    /// Shows how old what is believed is, and says so once when it is old and when it is young again.
    pub(super) fn report_staleness(&mut self) {
        self.staleness.note_held(self.platform.revision());
        let age = self.staleness();
        let age_ms = age.as_millis() as u64;
        self.shared.set_proven(self.staleness.proven());
        self.shared.metrics.set_level("belief_age_ms", age_ms);
        let (revision, version) = (self.platform.revision(), self.version().0);
        let is_platform_unreachable = self.is_platform_unreachable;
        if !self.is_staleness_logged && age >= OLD_BELIEF {
            self.is_staleness_logged = true;
            tracing::warn!(
                age_ms,
                revision,
                version,
                is_disturbed = is_platform_unreachable,
                "what is believed of the platform is old"
            );
        } else if self.is_staleness_logged && age < FRESH_WITHIN {
            self.is_staleness_logged = false;
            tracing::info!(
                age_ms,
                revision,
                version,
                "what is believed of the platform is young again"
            );
        }
    }
}
