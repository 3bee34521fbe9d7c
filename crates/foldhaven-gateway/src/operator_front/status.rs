//! The status of this daemon, and of the others as it sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use foldhaven_core::ids::{DataCentreName, IncarnationId};
use foldhaven_core::opaque::peer_table::{PeerHeartbeat, PeerPhase};
use foldhaven_wire::operator::{
    CentreStatus, DaemonState, MemberStatus, StatusAnswer, UpstreamStatus,
};

use super::OperatorHandler;
use crate::upstream::Upstream;
use crate::view::GatewayView;

impl OperatorHandler {
    /// What this daemon is and sees.
    pub(super) fn status(&self) -> StatusAnswer {
        let settings = &self.shared.settings;
        let view = self.shared.view();
        let state = match (self.shared.is_leaving(), &view) {
            (true, _) => DaemonState::Leaving,
            (false, None) => DaemonState::NoDescription,
            (false, Some(_)) => DaemonState::Serving,
        };
        let view = view.as_deref();
        StatusAnswer {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: view.and_then(|view| self.own_lifetime(view)).unwrap_or(IncarnationId(0)),
            state,
            stamp: view.map(|view| view.routes.version().to_string()),
            content: view.map(|view| format!("{:016x}", view.offer.digest)),
            view_staleness_ms: u64::try_from(self.shared.belief_age().as_millis()).ok(),
            refused: None,
            in_flight: self.shared.in_flight(),
            members: view.map(|view| self.members(view)).unwrap_or_default(),
            upstreams: view.map(|view| self.upstreams(view)).unwrap_or_default(),
            centres: view.map(|view| self.centres(view)).unwrap_or_default(),
        }
    }

    /// The lifetime of this process; not known before the first description.
    fn own_lifetime(&self, view: &GatewayView) -> Option<IncarnationId> {
        let own = view.heartbeats.iter().find(|beat| beat.vm == self.shared.settings.vm);
        own.map(|beat| beat.incarnation)
    }

    /// The other VMs of this data centre.
    fn members(&self, view: &GatewayView) -> Vec<MemberStatus> {
        let settings = &self.shared.settings;
        let others = view.heartbeats.iter().filter(|beat| beat.vm != settings.vm);
        let near = others.filter(|beat| beat.data_centre == settings.data_centre);
        let member = |beat: &PeerHeartbeat| MemberStatus {
            vm: beat.vm.clone(),
            state: phase_name(beat.phase).to_owned(),
            stamp: Some(beat.version.to_string()),
            peer: self.operator_address(beat).to_string(),
        };
        near.map(member).collect()
    }

    /// The upstreams of this data centre that may get requests.
    fn upstreams(&self, view: &GatewayView) -> Vec<UpstreamStatus> {
        let own = &self.shared.settings.data_centre;
        let all = view.upstreams.values().flatten();
        let near = all.filter(|upstream| upstream.identity.data_centre == *own);
        let status = |upstream: &Arc<Upstream>| UpstreamStatus {
            name: upstream.name().to_string(),
            holds: vec![upstream.identity.service.to_string()],
            busy: upstream.queue().in_flight,
            slots: upstream.identity.slots,
            leaving: upstream.is_leaving(),
            limit: self.shared.limits.limit(upstream).map(|limit| limit.to_string()),
        };
        near.map(status).collect()
    }

    /// The other data centres with VMs that live.
    fn centres(&self, view: &GatewayView) -> Vec<CentreStatus> {
        let own = &self.shared.settings.data_centre;
        let mut by_centre: BTreeMap<&DataCentreName, Vec<&PeerHeartbeat>> = BTreeMap::new();
        for beat in view.heartbeats.iter().filter(|beat| beat.data_centre != *own) {
            by_centre.entry(&beat.data_centre).or_default().push(beat);
        }
        let centres = by_centre.into_iter();
        centres.map(|(name, beats)| self.centre(view, name, &beats)).collect()
    }

    /// One other data centre, by the heartbeats of its VMs.
    fn centre(
        &self,
        view: &GatewayView,
        data_centre: &DataCentreName,
        beats: &[&PeerHeartbeat],
    ) -> CentreStatus {
        let now = self.shared.now();
        let heard = view.last_seen.get(data_centre);
        let serving = beats.iter().filter(|beat| beat.phase == PeerPhase::Serving).count();
        let versions = beats.iter().map(|beat| beat.version);
        let stamps = versions.clone().min().zip(versions.max());
        CentreStatus {
            data_centre: data_centre.clone(),
            age_ms: heard.map_or(0, |heard| now.since(*heard).as_millis() as u64),
            serving: u32::try_from(serving).unwrap_or(u32::MAX),
            stamps: stamps.map(|(low, high)| (low.to_string(), high.to_string())),
            peers: beats.iter().map(|beat| self.operator_address(beat).to_string()).collect(),
        }
    }

    /// Where operators reach another VM: at the same port as this one.
    fn operator_address(&self, beat: &PeerHeartbeat) -> SocketAddr {
        SocketAddr::new(beat.peer.ip(), self.shared.settings.addresses.operator.port())
    }
}

/// The word for a phase in statuses.
fn phase_name(phase: PeerPhase) -> &'static str {
    match phase {
        PeerPhase::Starting => "suspect",
        PeerPhase::Serving => "live",
        PeerPhase::Leaving => "leaving",
    }
}
