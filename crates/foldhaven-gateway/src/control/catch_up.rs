//! Measures how long other VMs have known newer platform state than this one, and chooses a VM to
//! fetch it from.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{PeerHeartbeat, RevisionAnnouncement, VmTag};
use foldhaven_core::rank::rank_hash;
use foldhaven_core::time::MonoTime;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::shared::ObservedLag;

/// A VM of this region that has had a newer revision for this long is asked for the changes.
const LOCAL_REQUEST_DELAY: Duration = Duration::from_millis(350);
/// The same delay for a VM of another region, if no VM of this region has a newer revision. Traffic
/// between regions is charged.
const REMOTE_REQUEST_DELAY: Duration = Duration::from_millis(1_000);
/// The VM that is first in line to ask other regions waits this long, and each further VM
/// [`REMOTE_REQUEST_STEP`] longer. The first one forwards what it receives to the whole region, so
/// the others do not have to ask.
const FIRST_REMOTE_REQUEST_DELAY: Duration = Duration::from_millis(200);
const REMOTE_REQUEST_STEP: Duration = Duration::from_millis(150);
/// After this delay, the other VMs that may ask remote regions are told that a remote region has a
/// newer revision, since they can ask it as well.
const RELAY_DELAY: Duration = Duration::from_millis(100);
/// A lag of this length is logged.
const LAG_LOG_THRESHOLD: Duration = Duration::from_millis(1_000);

/// A period during which other VMs have known a newer revision than this one.
#[derive(Debug, Clone, Copy)]
pub struct LagState {
    since: MonoTime,
    /// The newer revision that was known when the lag began.
    revision: u64,
    /// Whether a VM of this region knew it.
    is_local: bool,
    /// Whether the lag was logged as too long.
    is_logged: bool,
}

/// Requests the next step to catch up with newer platform state.
pub struct FindNewerPeer {
    /// A VM that did not answer. It is chosen again only if no other VM has a newer revision.
    pub avoided: Option<SocketAddr>,
}

/// A VM with newer state, and the revision after which this VM needs the changes. Without one it
/// needs a snapshot.
pub struct NewerPeer {
    pub peer: SocketAddr,
    pub base_revision: Option<u64>,
}

/// The next step to catch up with other VMs.
pub enum CatchUpStep {
    /// Ask this VM for newer state.
    Ask(NewerPeer),
    /// Other VMs have newer state. Ask again after this delay.
    Wait(Duration),
    /// No known VM has newer state.
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
            // Changes that do not fit into a datagram arrive only when requested.
            true if self.offered.is_beyond(self.platform.revision()) => Duration::ZERO,
            true => LOCAL_REQUEST_DELAY,
            false => self.remote_request_delay(now),
        };
        let current = LagState { since: now, revision, is_local, is_logged: false };
        let lag = self.update_lag(current, peer);
        if !is_local && lag >= RELAY_DELAY {
            self.relay_notice(RevisionAnnouncement {
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
        let base_revision = self.platform.base_revision();
        if is_due {
            self.catch_up_attempts = self.catch_up_attempts.wrapping_add(1);
            return CatchUpStep::Ask(NewerPeer { peer, base_revision });
        }
        let next = if !is_local && lag < RELAY_DELAY { RELAY_DELAY } else { limit };
        CatchUpStep::Wait(next.saturating_sub(lag))
    }
}

impl ControlActor {
    /// Returns how long this VM waits for others before it asks another region itself.
    fn remote_request_delay(&self, now: MonoTime) -> Duration {
        let rank = self.peers.fetch_rank(now).and_then(|rank| u32::try_from(rank).ok());
        let limit =
            rank.map(|rank| FIRST_REMOTE_REQUEST_DELAY + REMOTE_REQUEST_STEP.saturating_mul(rank));
        limit.map_or(REMOTE_REQUEST_DELAY, |limit| limit.min(REMOTE_REQUEST_DELAY))
    }

    /// Returns whether newer state is known, but only to VMs of other regions.
    pub(super) fn is_behind_remote_only(&self) -> bool {
        self.lag.is_some_and(|lag_state| !lag_state.is_local)
    }

    /// Returns a VM with newer platform state than this one. VMs of this data centre are preferred,
    /// then those of this region. Two of the nearest ones are drawn, different ones for each VM and
    /// attempt, and the one with the newer revision is returned. If all VMs asked the same one, its
    /// link would carry all the traffic.
    fn newer_peer(&self, avoided: Option<SocketAddr>) -> Option<&PeerHeartbeat> {
        let now = self.now();
        let settings = &self.shared.settings;
        let is_ahead = |heartbeat: &&PeerHeartbeat| match self.platform.needs_snapshot() {
            true => heartbeat.revision >= self.platform.revision(),
            false => heartbeat.revision > self.platform.revision(),
        };
        let proximity = |heartbeat: &PeerHeartbeat| {
            let is_here = heartbeat.data_centre == settings.data_centre;
            (avoided != Some(heartbeat.peer), heartbeat.region == *settings.region(), is_here)
        };
        let mut ahead: Vec<&PeerHeartbeat> = self.peers.live(now).filter(is_ahead).collect();
        let nearest = ahead.iter().map(|heartbeat| proximity(heartbeat)).max()?;
        ahead.retain(|heartbeat| proximity(heartbeat) == nearest);
        let attempt = self.catch_up_attempts.to_string();
        let rank = |heartbeat: &&PeerHeartbeat| {
            rank_hash(&[settings.vm.as_str(), heartbeat.vm.as_str(), &attempt])
        };
        ahead.sort_by_cached_key(rank);
        ahead.into_iter().take(2).max_by_key(|heartbeat| heartbeat.revision)
    }

    /// Updates the lag after a VM with newer state was found. Returns the length of the lag.
    fn update_lag(&mut self, current: LagState, peer: SocketAddr) -> Duration {
        let held = self.lag.filter(|held| held.is_local || !current.is_local);
        let mut lag_state = held.unwrap_or(current);
        let lag = current.since.since(lag_state.since);
        if lag >= LAG_LOG_THRESHOLD && !std::mem::replace(&mut lag_state.is_logged, true) {
            let behind_ms = lag.as_millis() as u64;
            let (ahead, revision, version) =
                (current.revision, self.platform.revision(), self.version().0);
            let is_local = lag_state.is_local;
            tracing::warn!(
            peer = %peer,
            ahead,
            revision,
            version,
            is_near = is_local,
            behind_ms,
            "behind other VMs"
            );
        }
        self.lag = Some(lag_state);
        self.publish_lag();
        lag
    }

    /// Ends the lag if the newer revision is now known, or if no VM with newer state is left.
    pub(super) fn check_caught_up(&mut self) {
        let Some(lag_state) = self.lag else { return };
        let is_still_behind = self.platform.revision() < lag_state.revision;
        if is_still_behind && self.newer_peer(None).is_some() {
            return;
        }
        if is_still_behind {
            self.offered.forget();
        }
        self.lag = None;
        let lag = self.now().since(lag_state.since);
        self.shared.metrics.record_span("behind", lag);
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

    /// Returns for how long other VMs have known newer state. Zero if this VM is up to date.
    pub(super) fn lag_time(&self) -> Duration {
        self.lag.map_or(Duration::ZERO, |lag_state| self.now().since(lag_state.since))
    }

    fn publish_lag(&self) {
        let published = |lag_state: LagState| ObservedLag {
            since: lag_state.since,
            is_local: lag_state.is_local,
        };
        self.shared.set_lag(self.lag.map(published));
        self.shared.metrics.set_level("behind_ms", self.lag_time().as_millis() as u64);
    }
}
