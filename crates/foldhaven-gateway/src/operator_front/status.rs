//! Reports the status of this daemon, and of the others as seen by it.

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
use crate::upstream_set::UpstreamGroup;
use crate::view::GatewayView;

impl OperatorHandler {
    /// Returns the status of this daemon.
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
            incarnation: view
                .and_then(|view| self.own_incarnation(view))
                .unwrap_or(IncarnationId(0)),
            state,
            stamp: view.map(|view| view.routes.version().to_string()),
            content: view.map(|view| format!("{:016x}", view.offer.digest)),
            view_staleness_ms: u64::try_from(self.shared.staleness().as_millis()).ok(),
            refused: None,
            in_flight: self.shared.in_flight(),
            members: view.map(|view| self.members(view)).unwrap_or_default(),
            upstreams: view.map(|view| self.upstreams(view)).unwrap_or_default(),
            centres: view.map(|view| self.centres(view)).unwrap_or_default(),
        }
    }

    /// Returns the incarnation of this process. `None` before the first description.
    fn own_incarnation(&self, view: &GatewayView) -> Option<IncarnationId> {
        let own = view
            .members
            .heartbeats
            .iter()
            .find(|heartbeat| heartbeat.vm == self.shared.settings.vm);
        own.map(|heartbeat| heartbeat.incarnation)
    }

    /// Returns the other VMs of this data centre.
    fn members(&self, view: &GatewayView) -> Vec<MemberStatus> {
        let settings = &self.shared.settings;
        let others = view.members.heartbeats.iter().filter(|heartbeat| heartbeat.vm != settings.vm);
        let local = others.filter(|heartbeat| heartbeat.data_centre == settings.data_centre);
        let member = |heartbeat: &PeerHeartbeat| MemberStatus {
            vm: heartbeat.vm.clone(),
            state: phase_name(heartbeat.phase).to_owned(),
            stamp: Some(heartbeat.version.to_string()),
            peer: self.operator_address(heartbeat).to_string(),
        };
        local.map(member).collect()
    }

    /// Returns the upstreams of this data centre that may get requests.
    fn upstreams(&self, view: &GatewayView) -> Vec<UpstreamStatus> {
        let own = &self.shared.settings.data_centre;
        let groups = view.upstreams.values().flat_map(|regions| regions.values());
        let all = groups.flat_map(UpstreamGroup::iter);
        let local = all.filter(|upstream| upstream.identity.data_centre == *own);
        let now = self.shared.now();
        let status = |upstream: &Arc<Upstream>| UpstreamStatus {
            name: upstream.name().to_string(),
            holds: vec![upstream.identity.service.to_string()],
            busy: upstream.queue().in_flight,
            slots: upstream.identity.slots,
            leaving: upstream.is_leaving(),
            limit: self.shared.upstream_limits.limit(upstream).map(|limit| limit.to_string()),
            speed: Some(upstream.speed(now).to_string()),
        };
        local.map(status).collect()
    }

    /// Returns the other data centres that have live VMs.
    fn centres(&self, view: &GatewayView) -> Vec<CentreStatus> {
        let own = &self.shared.settings.data_centre;
        let mut by_centre: BTreeMap<&DataCentreName, Vec<&PeerHeartbeat>> = BTreeMap::new();
        for heartbeat in
            view.members.heartbeats.iter().filter(|heartbeat| heartbeat.data_centre != *own)
        {
            by_centre.entry(&heartbeat.data_centre).or_default().push(heartbeat);
        }
        let centres = by_centre.into_iter();
        centres.map(|(name, heartbeats)| self.centre(view, name, &heartbeats)).collect()
    }

    /// Returns the status of another data centre, based on the heartbeats of its VMs.
    fn centre(
        &self,
        view: &GatewayView,
        data_centre: &DataCentreName,
        heartbeats: &[&PeerHeartbeat],
    ) -> CentreStatus {
        let now = self.shared.now();
        let last_seen = view.members.last_seen.get(data_centre);
        let serving =
            heartbeats.iter().filter(|heartbeat| heartbeat.phase == PeerPhase::Serving).count();
        let versions = heartbeats.iter().map(|heartbeat| heartbeat.version);
        let stamps = versions.clone().min().zip(versions.max());
        CentreStatus {
            data_centre: data_centre.clone(),
            age_ms: last_seen.map_or(0, |last_seen| now.since(*last_seen).as_millis() as u64),
            serving: u32::try_from(serving).unwrap_or(u32::MAX),
            stamps: stamps.map(|(low, high)| (low.to_string(), high.to_string())),
            peers: heartbeats
                .iter()
                .map(|heartbeat| self.operator_address(heartbeat).to_string())
                .collect(),
        }
    }

    /// Returns the operators' address of another VM. All VMs use the same port for it.
    fn operator_address(&self, heartbeat: &PeerHeartbeat) -> SocketAddr {
        SocketAddr::new(heartbeat.peer.ip(), self.shared.settings.addresses.operator.port())
    }
}

/// Returns the name of a phase in status reports.
fn phase_name(phase: PeerPhase) -> &'static str {
    match phase {
        PeerPhase::Starting => "suspect",
        PeerPhase::Serving => "live",
        PeerPhase::Leaving => "leaving",
    }
}
