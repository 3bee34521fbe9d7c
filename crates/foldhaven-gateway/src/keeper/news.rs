//! Tells other VMs how far this one knows the platform's changes, and how old what is believed is.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{NewsNotice, PeerTable, VmTag};
use foldhaven_core::opaque::view_staleness::RevisionConfirmation;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlKeeper;
use crate::feed::ChangeSet;
use crate::shared::OLD_BELIEF;

/// Between two notices to other regions. What changes meanwhile goes with the next one.
const FAR_PAUSE: Duration = Duration::from_millis(200);
/// Between two notices to this region of what another one knows.
const RELAY_PAUSE: Duration = Duration::from_millis(200);
/// What was old is young again when it was proven within this time.
const YOUNG_WITHIN: Duration = Duration::from_millis(2_500);

/// What other VMs are told at once.
pub enum ToldNews {
    /// Changes of the platform.
    Changes(ToldChanges),
    /// How far a VM knows them.
    Notice { targets: Vec<SocketAddr>, notice: NewsNotice },
}

/// Changes that other VMs are to be told of.
pub struct ToldChanges {
    pub targets: Vec<SocketAddr>,
    pub changes: ChangeSet,
    /// What they are told where the changes do not fit a datagram.
    pub offer: NewsNotice,
}

/// Of which revisions others were told without waiting for heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub struct ToldRevisions {
    /// When other regions were told last, and of which revision.
    far: Option<(MonoTime, u64)>,
    /// When the VMs of this region were told last of a revision of another one, and of which.
    relayed: Option<(MonoTime, u64)>,
}

/// Another VM told how far it knows the platform's changes.
pub struct HearNews {
    pub notice: NewsNotice,
}

impl Handler<HearNews> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearNews, _: &mut Context<Self>) {
        let notice = message.notice;
        if !self.peers.take_news(&notice) {
            return;
        }
        let now = self.now();
        if let Some(age) = notice.age() {
            let proof = RevisionConfirmation { revision: notice.revision, at: now - age };
            self.belief.apply(proof, self.known.revision());
        }
        if notice.revision > self.known.revision() {
            self.offered.note(&notice);
            self.shared.ahead_news.notify_one();
        }
    }
}

impl ControlKeeper {
    /// Notes that an answer of the platform proved what is held now.
    pub(super) fn note_answer(&mut self) {
        let proof = RevisionConfirmation { revision: self.known.revision(), at: self.now() };
        self.belief.apply(proof, self.known.revision());
    }

    /// For how long what is believed has not been proven; since the start when it never was.
    pub(super) fn belief_age(&self) -> Duration {
        self.belief.age(self.now()).unwrap_or_else(|| self.shared.uptime())
    }

    /// Passes changes on to the VMs of this region that do not read the platform themselves, and tells other regions that
    /// there are some.
    pub(super) fn tell_near(&mut self, changes: ChangeSet) {
        if changes.changes.is_empty() {
            return;
        }
        if self.near_peers().len() >= PeerTable::ALL_READ {
            self.pass_on(changes);
        }
        self.tell_far();
    }

    /// Passes changes on to the VMs of this region.
    pub(super) fn pass_on(&self, changes: ChangeSet) {
        let targets = self.near_peers();
        let offer = NewsNotice { is_offer: true, ..self.own_news() };
        self.send_news(ToldNews::Changes(ToldChanges { targets, changes, offer }));
    }

    /// Tells a few VMs of each other region how far the changes are known here, unless that was told a moment ago: a region
    /// whose own readers get no answer learns of a change in no other way.
    pub(super) fn tell_far(&mut self) {
        let (now, revision) = (self.now(), self.known.revision());
        let is_told = |(at, told): (MonoTime, u64)| told >= revision || now.since(at) < FAR_PAUSE;
        if self.told.far.is_some_and(is_told) {
            return;
        }
        self.told.far = Some((now, revision));
        let targets = self.peers.far_news_targets(now);
        self.send_news(ToldNews::Notice { targets, notice: self.own_news() });
    }

    /// Tells those of this region that may ask other regions how far a VM there knows the changes.
    pub(super) fn relay(&mut self, notice: NewsNotice) {
        let (now, revision) = (self.now(), notice.revision);
        // Not by the larger one: a revision that there is not would keep all true ones from being told.
        let is_told = |(at, told): (MonoTime, u64)| told == revision || now.since(at) < RELAY_PAUSE;
        if self.told.relayed.is_some_and(is_told) {
            return;
        }
        self.told.relayed = Some((now, revision));
        let targets = self.peers.standing_addresses(now);
        self.send_news(ToldNews::Notice { targets, notice });
    }

    fn send_news(&self, news: ToldNews) {
        // Nobody takes them only when the process ends.
        let _ = self.news.send(news);
    }

    /// How far this VM knows the platform's changes.
    pub(super) fn own_news(&self) -> NewsNotice {
        let age = self.belief.age(self.now());
        NewsNotice {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            revision: self.known.revision(),
            age_ms: age.and_then(|age| u32::try_from(age.as_millis()).ok()),
            is_offer: false,
        }
    }

    /// Shows how old what is believed is, and says so once when it is old and when it is young again.
    pub(super) fn note_belief_age(&mut self) {
        self.belief.advance_to(self.known.revision());
        let age = self.belief_age();
        let age_ms = age.as_millis() as u64;
        self.shared.set_proven(self.belief.confirmed_at());
        self.shared.metrics.set_level("belief_age_ms", age_ms);
        let (revision, version) = (self.known.revision(), self.version().0);
        let is_disturbed = self.is_disturbed;
        if !self.is_belief_old && age >= OLD_BELIEF {
            self.is_belief_old = true;
            tracing::warn!(
                age_ms,
                revision,
                version,
                is_disturbed,
                "what is believed of the platform is old"
            );
        } else if self.is_belief_old && age < YOUNG_WITHIN {
            self.is_belief_old = false;
            tracing::info!(
                age_ms,
                revision,
                version,
                "what is believed of the platform is young again"
            );
        }
    }
}
