//! Tells operators how this daemon fares: metrics, its view of the others, and service-level burn.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use foldhaven_core::ids::{DataCentreName, IncarnationId};
use foldhaven_core::opaque::peer_table::{PeerBeat, PeerPhase};
use foldhaven_wire::operator::{
    BurnAnswer, CentreStatus, DaemonState, MemberStatus, StatusAnswer, UpstreamStatus,
};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;

use crate::answer::{Answer, Refusal, body_answer};
use crate::explain::explain;
use crate::front::FrontHandler;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::GatewayView;

/// The share of requests that is to be served on time. Routes name no share of their own.
const TARGET_SHARE: f64 = 0.99;

/// Answers operators.
pub struct OperatorHandler {
    pub shared: Arc<GatewayShared>,
}

#[async_trait]
impl FrontHandler for OperatorHandler {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/metrics" => body_answer(StatusCode::OK, "text/plain", self.shared.metrics.page()),
            "/operator/v1/status" => json_answer(&self.status()),
            "/operator/v1/burn" => json_answer(&self.burn()),
            "/operator/v1/explain-route" => {
                let query = request.uri().query().unwrap_or_default();
                match explain(&self.shared, query) {
                    Ok(explanation) => json_answer(&explanation),
                    Err(refusal) => refusal.answer(),
                }
            }
            _ => Refusal::NoRoute.answer(),
        }
    }
}

fn json_answer(answer: &impl Serialize) -> Answer {
    match serde_json::to_vec(answer) {
        Ok(body) => body_answer(StatusCode::OK, "application/json", body),
        Err(error) => {
            tracing::error!(error = %error, "writing an answer to operators failed");
            Refusal::NoDescription.answer()
        }
    }
}

impl OperatorHandler {
    /// What this daemon is and sees.
    fn status(&self) -> StatusAnswer {
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
            refused: None,
            in_flight: self.shared.in_flight(),
            members: view.map(|view| self.members(view)).unwrap_or_default(),
            upstreams: view.map(|view| self.upstreams(view)).unwrap_or_default(),
            centres: view.map(|view| self.centres(view)).unwrap_or_default(),
        }
    }

    /// The lifetime of this process; not known before the first description.
    fn own_lifetime(&self, view: &GatewayView) -> Option<IncarnationId> {
        let own = view.beats.iter().find(|beat| beat.vm == self.shared.settings.vm);
        own.map(|beat| beat.incarnation)
    }

    /// The other VMs of this data centre.
    fn members(&self, view: &GatewayView) -> Vec<MemberStatus> {
        let settings = &self.shared.settings;
        let others = view.beats.iter().filter(|beat| beat.vm != settings.vm);
        let near = others.filter(|beat| beat.data_centre == settings.data_centre);
        let member = |beat: &PeerBeat| MemberStatus {
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
            leaving: false,
        };
        near.map(status).collect()
    }

    /// The other data centres with VMs that live.
    fn centres(&self, view: &GatewayView) -> Vec<CentreStatus> {
        let own = &self.shared.settings.data_centre;
        let mut by_centre: BTreeMap<&DataCentreName, Vec<&PeerBeat>> = BTreeMap::new();
        for beat in view.beats.iter().filter(|beat| beat.data_centre != *own) {
            by_centre.entry(&beat.data_centre).or_default().push(beat);
        }
        let now = self.shared.now();
        let status = |(data_centre, beats): (&DataCentreName, Vec<&PeerBeat>)| {
            let serving = beats.iter().filter(|beat| beat.phase == PeerPhase::Serving).count();
            let versions = beats.iter().map(|beat| beat.version);
            let stamps = versions.clone().min().zip(versions.max());
            CentreStatus {
                data_centre: data_centre.clone(),
                age_ms: view
                    .heard
                    .get(data_centre)
                    .map_or(0, |at| now.since(*at).as_millis() as u64),
                serving: u32::try_from(serving).unwrap_or(u32::MAX),
                stamps: stamps.map(|(low, high)| (low.to_string(), high.to_string())),
                peers: beats.iter().map(|beat| self.operator_address(beat).to_string()).collect(),
            }
        };
        by_centre.into_iter().map(status).collect()
    }

    /// Where operators reach another VM: at the same port as this one.
    fn operator_address(&self, beat: &PeerBeat) -> SocketAddr {
        SocketAddr::new(beat.peer.ip(), self.shared.settings.addresses.operator.port())
    }

    /// How fast the routes use up their error budgets, by the requests that this VM took.
    fn burn(&self) -> BurnAnswer {
        let settings = &self.shared.settings;
        let rows = self.shared.metrics.burn_rows(&settings.data_centre, self.shared.now());
        let targets = rows.iter().map(|row| (row.class.to_string(), TARGET_SHARE)).collect();
        BurnAnswer {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            rows,
            targets,
        }
    }
}

fn phase_name(phase: PeerPhase) -> &'static str {
    match phase {
        PeerPhase::Starting => "suspect",
        PeerPhase::Serving => "live",
        PeerPhase::Leaving => "leaving",
    }
}
