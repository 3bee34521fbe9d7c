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
const LOCAL_REQUEST_DELAY: Duration = Duration::from_millis(350);
/// The same for a VM of another region, when no near one knows more: bytes between regions are paid for.
const REMOTE_REQUEST_DELAY: Duration = Duration::from_millis(1_000);
/// The VM that is first to ask other regions waits so long, and each one after it [`REMOTE_REQUEST_STEP`] longer: what one of them
/// brings is told to all of the region, and nobody else has to ask.
const FIRST_REMOTE_REQUEST_DELAY: Duration = Duration::from_millis(200);
const REMOTE_REQUEST_STEP: Duration = Duration::from_millis(150);
/// After so long the others that may ask are told that another region knows more: the way to it is theirs too.
const RELAY_DELAY: Duration = Duration::from_millis(100);
/// From when on being behind is logged.
const LAG_LOG_THRESHOLD: Duration = Duration::from_millis(1_000);

/// That others know a revision that this VM does not.
#[derive(Debug, Clone, Copy)]
pub struct LagState {
    since: MonoTime,
    /// The revision that others knew then.
    revision: u64,
    /// Whether a VM of this region was among them.
    is_local: bool,
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
        self.check_caught_up();
        let Some(ahead) = self.newer_peer(find.avoided) else { return CatchUpStep::UpToDate };
        let (peer, revision) = (ahead.peer, ahead.revision);
        let is_local = ahead.region == *self.shared.settings.region();
        let (vm, incarnation) = (VmTag::of(&ahead.vm), ahead.incarnation);
        let limit = match is_local {
            // What does not fit a datagram will not come by itself.
            true if self.offered.is_beyond(self.platform.revision()) => Duration::ZERO,
            true => LOCAL_REQUEST_DELAY,
            false => self.remote_request_delay(now),
        };
        let fresh = LagState { since: now, revision, is_local, is_logged: false };
        let lag = self.update_lag(fresh, peer);
        if !is_local && lag >= RELAY_DELAY {
            self.relay_notice(NewsNotice {
                vm,
                incarnation,
                revision,
                age_ms: None,
                is_offer: false,
            });
        }
        self.update_read_assignment();
        let is_due =
            self.platform.routes().is_none() || self.platform.needs_snapshot() || lag >= limit;
        let known = self.platform.base_revision();
        if is_due {
            self.catch_up_attempts = self.catch_up_attempts.wrapping_add(1);
            return CatchUpStep::Ask(NewerPeer { peer, known });
        }
        let next = if !is_local && lag < RELAY_DELAY { RELAY_DELAY } else { limit };
        CatchUpStep::Wait(next.saturating_sub(lag))
    }
}

impl ControlActor {
    /// For how long this VM leaves it to others to ask other regions.
    fn remote_request_delay(&self, now: MonoTime) -> Duration {
        let place = self.peers.asking_place(now).and_then(|place| u32::try_from(place).ok());
        let limit = place
            .map(|place| FIRST_REMOTE_REQUEST_DELAY + REMOTE_REQUEST_STEP.saturating_mul(place));
        limit.map_or(REMOTE_REQUEST_DELAY, |limit| limit.min(REMOTE_REQUEST_DELAY))
    }

    /// Whether others know more, and none of them is of this region.
    pub(super) fn is_behind_remote_only(&self) -> bool {
        self.lag.is_some_and(|lag_state| !lag_state.is_local)
    }

    /// A VM that knows more of the platform's changes than this one. Those of this data centre go first,
    /// then those of this region. Of these, two are drawn, other ones by each VM and at each asking, and the
    /// one that knows more is taken: if all asked the same one, its link would carry everything.
    fn newer_peer(&self, avoided: Option<SocketAddr>) -> Option<&PeerBeat> {
        let now = self.now();
        let settings = &self.shared.settings;
        let is_ahead = |beat: &&PeerBeat| match self.platform.needs_snapshot() {
            true => beat.revision >= self.platform.revision(),
            false => beat.revision > self.platform.revision(),
        };
        let nearness = |beat: &PeerBeat| {
            let is_here = beat.data_centre == settings.data_centre;
            (avoided != Some(beat.peer), beat.region == *settings.region(), is_here)
        };
        let mut ahead: Vec<&PeerBeat> = self.peers.live(now).filter(is_ahead).collect();
        let nearest = ahead.iter().map(|beat| nearness(beat)).max()?;
        ahead.retain(|beat| nearness(beat) == nearest);
        let attempt = self.catch_up_attempts.to_string();
        let rank =
            |beat: &&PeerBeat| rank_hash(&[settings.vm.as_str(), beat.vm.as_str(), &attempt]);
        ahead.sort_by_cached_key(rank);
        ahead.into_iter().take(2).max_by_key(|beat| beat.revision)
    }

    /// Notes that a VM knows more. Returns for how long this one has not known what others did.
    fn update_lag(&mut self, fresh: LagState, peer: SocketAddr) -> Duration {
        let held = self.lag.filter(|held| held.is_local || !fresh.is_local);
        let mut lag_state = held.unwrap_or(fresh);
        let lag = fresh.since.since(lag_state.since);
        if lag >= LAG_LOG_THRESHOLD && !std::mem::replace(&mut lag_state.is_logged, true) {
            let behind_ms = lag.as_millis() as u64;
            let (ahead, revision, version) =
                (fresh.revision, self.platform.revision(), self.version().0);
            let is_local = lag_state.is_local;
            tracing::warn!(peer = %peer, ahead, revision, version, is_near = is_local, behind_ms, "behind other VMs");
        }
        self.lag = Some(lag_state);
        self.publish_lag();
        lag
    }

    /// Notes whether what others knew is known now, or nobody is left who knew it.
    pub(super) fn check_caught_up(&mut self) {
        let Some(lag_state) = self.lag else { return };
        let is_left = self.platform.revision() < lag_state.revision;
        if is_left && self.newer_peer(None).is_some() {
            return;
        }
        if is_left {
            self.offered.forget();
        }
        self.lag = None;
        let lag = self.now().since(lag_state.since);
        self.shared.metrics.note_span("behind", lag);
        if lag_state.is_logged {
            let behind_ms = lag.as_millis() as u64;
            tracing::info!(
                revision = self.platform.revision(),
                behind_ms,
                "caught up with other VMs"
            );
        }
        self.publish_lag();
        self.update_read_assignment();
    }

    /// For how long this VM has not known what others did.
    pub(super) fn lag_time(&self) -> Duration {
        self.lag.map_or(Duration::ZERO, |lag_state| self.now().since(lag_state.since))
    }

    fn publish_lag(&self) {
        let belief = |lag_state: LagState| BehindBelief {
            since: lag_state.since,
            is_near: lag_state.is_local,
        };
        self.shared.set_behind(self.lag.map(belief));
        self.shared.metrics.set_level("behind_ms", self.lag_time().as_millis() as u64);
    }
}
