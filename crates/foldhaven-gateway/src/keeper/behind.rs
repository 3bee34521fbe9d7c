//! Knows for how long other VMs have known more of the platform's changes, and which one to ask.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{NewsNotice, PeerBeat, VmTag};
use foldhaven_core::rank::rank_hash;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::shared::BehindBelief;

/// A VM of this region that has read more of the platform's changes than this one for so long is asked
/// for them.
const BEHIND_LIMIT: Duration = Duration::from_millis(350);
/// The same for a VM of another region, when no near one knows more: bytes between regions are paid for.
const FAR_BEHIND_LIMIT: Duration = Duration::from_millis(1_000);
/// The VM that is first to ask other regions waits so long, and each one after it [`ASKING_STEP`] longer: what one of them
/// brings is told to all of the region, and nobody else has to ask.
const FIRST_FAR_LIMIT: Duration = Duration::from_millis(200);
const ASKING_STEP: Duration = Duration::from_millis(150);
/// After so long the others that may ask are told that another region knows more: the way to it is theirs too.
const RELAY_AFTER: Duration = Duration::from_millis(100);
/// From when on being behind is logged.
const LONG_BEHIND: Duration = Duration::from_millis(1_000);

/// That others know a revision that this VM does not.
#[derive(Debug, Clone, Copy)]
pub struct LagState {
    since: MonoTime,
    /// The revision that others knew then.
    revision: u64,
    /// Whether a VM of this region was among them.
    is_near: bool,
    /// Whether it has lasted so long that it was logged.
    is_logged: bool,
}

/// Asks which VM knows more of the platform's changes.
pub struct FindNewerPeer {
    /// A VM that did not answer, and is asked again only when no other knows more.
    pub avoided: Option<SocketAddr>,
}

/// A VM that knows more, and the revision that this one knows.
pub struct NewerPeer {
    pub peer: SocketAddr,
    pub known: Option<u64>,
}

/// What a VM does next about changes that others know.
pub enum CatchUpStep {
    /// It asks a VM that knows more.
    Ask(NewerPeer),
    /// Others know more, and are to be asked after this time.
    Wait(Duration),
    /// It knows of none that knows more.
    UpToDate,
}

impl Handler<FindNewerPeer> for ControlActor {
    type Return = CatchUpStep;

    async fn handle(&mut self, find: FindNewerPeer, _: &mut Context<Self>) -> CatchUpStep {
        let now = self.now();
        self.note_progress();
        let Some(ahead) = self.ahead_peer(find.avoided) else { return CatchUpStep::UpToDate };
        let (peer, revision) = (ahead.peer, ahead.revision);
        let is_near = ahead.region == *self.shared.settings.region();
        let (vm, incarnation) = (VmTag::of(&ahead.vm), ahead.incarnation);
        let limit = match is_near {
            // What does not fit a datagram will not come by itself.
            true if self.offered.is_beyond(self.known.revision()) => Duration::ZERO,
            true => BEHIND_LIMIT,
            false => self.far_limit(now),
        };
        let fresh = LagState { since: now, revision, is_near, is_logged: false };
        let behind = self.note_behind(fresh, peer);
        if !is_near && behind >= RELAY_AFTER {
            self.relay(NewsNotice { vm, incarnation, revision, age_ms: None, is_offer: false });
        }
        self.set_turn();
        let is_due = self.known.routes().is_none() || self.known.needs_all() || behind >= limit;
        let known = self.known.known();
        if is_due {
            self.askings = self.askings.wrapping_add(1);
            return CatchUpStep::Ask(NewerPeer { peer, known });
        }
        let next = if !is_near && behind < RELAY_AFTER { RELAY_AFTER } else { limit };
        CatchUpStep::Wait(next.saturating_sub(behind))
    }
}

impl ControlActor {
    /// For how long this VM leaves it to others to ask other regions.
    fn far_limit(&self, now: MonoTime) -> Duration {
        let place = self.peers.asking_place(now).and_then(|place| u32::try_from(place).ok());
        let limit = place.map(|place| FIRST_FAR_LIMIT + ASKING_STEP.saturating_mul(place));
        limit.map_or(FAR_BEHIND_LIMIT, |limit| limit.min(FAR_BEHIND_LIMIT))
    }

    /// Whether others know more, and none of them is of this region.
    pub(super) fn is_behind_far_only(&self) -> bool {
        self.behind.is_some_and(|mark| !mark.is_near)
    }

    /// A VM that knows more of the platform's changes than this one. Those of this data centre go first,
    /// then those of this region. Of these, two are drawn, other ones by each VM and at each asking, and the
    /// one that knows more is taken: if all asked the same one, its link would carry everything.
    fn ahead_peer(&self, avoided: Option<SocketAddr>) -> Option<&PeerBeat> {
        let now = self.now();
        let settings = &self.shared.settings;
        let is_ahead = |beat: &&PeerBeat| match self.known.needs_all() {
            true => beat.revision >= self.known.revision(),
            false => beat.revision > self.known.revision(),
        };
        let nearness = |beat: &PeerBeat| {
            let is_here = beat.data_centre == settings.data_centre;
            (avoided != Some(beat.peer), beat.region == *settings.region(), is_here)
        };
        let mut ahead: Vec<&PeerBeat> = self.peers.live(now).filter(is_ahead).collect();
        let nearest = ahead.iter().map(|beat| nearness(beat)).max()?;
        ahead.retain(|beat| nearness(beat) == nearest);
        let turn = self.askings.to_string();
        let rank = |beat: &&PeerBeat| rank_hash(&[settings.vm.as_str(), beat.vm.as_str(), &turn]);
        ahead.sort_by_cached_key(rank);
        ahead.into_iter().take(2).max_by_key(|beat| beat.revision)
    }

    /// Notes that a VM knows more. Returns for how long this one has not known what others did.
    fn note_behind(&mut self, fresh: LagState, peer: SocketAddr) -> Duration {
        let held = self.behind.filter(|held| held.is_near || !fresh.is_near);
        let mut mark = held.unwrap_or(fresh);
        let behind = fresh.since.since(mark.since);
        if behind >= LONG_BEHIND && !std::mem::replace(&mut mark.is_logged, true) {
            let behind_ms = behind.as_millis() as u64;
            let (ahead, revision, version) =
                (fresh.revision, self.known.revision(), self.version().0);
            let is_near = mark.is_near;
            tracing::warn!(peer = %peer, ahead, revision, version, is_near, behind_ms, "behind other VMs");
        }
        self.behind = Some(mark);
        self.show_behind();
        behind
    }

    /// Notes whether what others knew is known now, or nobody is left who knew it.
    pub(super) fn note_progress(&mut self) {
        let Some(mark) = self.behind else { return };
        let is_left = self.known.revision() < mark.revision;
        if is_left && self.ahead_peer(None).is_some() {
            return;
        }
        if is_left {
            self.offered.forget();
        }
        self.behind = None;
        let behind = self.now().since(mark.since);
        self.shared.metrics.note_span("behind", behind);
        if mark.is_logged {
            let behind_ms = behind.as_millis() as u64;
            tracing::info!(revision = self.known.revision(), behind_ms, "caught up with other VMs");
        }
        self.show_behind();
        self.set_turn();
    }

    /// For how long this VM has not known what others did.
    pub(super) fn behind_for(&self) -> Duration {
        self.behind.map_or(Duration::ZERO, |mark| self.now().since(mark.since))
    }

    fn show_behind(&self) {
        let belief = |mark: LagState| BehindBelief { since: mark.since, is_near: mark.is_near };
        self.shared.set_behind(self.behind.map(belief));
        self.shared.metrics.set_level("behind_ms", self.behind_for().as_millis() as u64);
    }
}
