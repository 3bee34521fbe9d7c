//! Where a try of a request goes: an upstream of this region, or a VM of another region.

use std::sync::Arc;

use foldhaven_core::ids::{RegionName, UpstreamName, VmName};
use foldhaven_core::opaque::choice::{UpstreamFacts, choose_upstream};
use foldhaven_core::time::MonoTime;

use crate::answer::Refusal;
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::{GatewayView, PeerLink};

/// A place for one try.
#[derive(Clone)]
pub enum RequestPlace {
    /// An upstream that this VM can reach itself.
    Upstream(Arc<Upstream>),
    /// A VM of another region, which chooses among the upstreams there.
    Peer(Arc<PeerLink>),
}

impl RequestPlace {
    /// The name in logs.
    pub fn name(&self) -> &str {
        match self {
            Self::Upstream(upstream) => upstream.name.as_str(),
            Self::Peer(peer) => peer.vm.as_str(),
        }
    }
}

/// What was tried for a request.
#[derive(Debug, Default)]
pub struct TriedPlaces {
    pub upstreams: Vec<UpstreamName>,
    pub peers: Vec<VmName>,
}

impl TriedPlaces {
    pub fn note(&mut self, place: &RequestPlace) {
        match place {
            RequestPlace::Upstream(upstream) => self.upstreams.push(upstream.name.clone()),
            RequestPlace::Peer(peer) => self.peers.push(peer.vm.clone()),
        }
    }
}

/// Chooses a place: here where that is permitted and possible, else in another region.
pub fn choose_place(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Result<RequestPlace, Refusal> {
    let own_region = shared.settings.region();
    let is_here = job.route.permits(own_region);
    if is_here && let Some(upstream) = choose_local(shared, view, job, tried) {
        return Ok(RequestPlace::Upstream(upstream));
    }
    if job.is_forwarded {
        return Err(if is_here { Refusal::NoUpstream } else { Refusal::NotPermitted });
    }
    choose_peer(own_region, view, job, tried).map(RequestPlace::Peer).ok_or(Refusal::NoUpstream)
}

fn choose_local(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Option<Arc<Upstream>> {
    let now = shared.now();
    let own_region = shared.settings.region();
    let all = view.upstreams_of(&job.service);
    let near: Vec<&Arc<Upstream>> = all.iter().filter(|it| it.region == *own_region).collect();
    let candidates: Vec<UpstreamFacts<'_>> =
        near.iter().map(|upstream| facts_of(upstream, tried, now)).collect();
    let affinity = job.outline.map(|outline| outline.shared_key);
    let chosen = near[choose_upstream(&candidates, affinity, rand::random())?];
    if let Some(rate) = chosen.cold_rate(now) {
        // Another request of this thread cannot come in between: the place was free just now.
        chosen.pacer.lock().take(rate, now);
    }
    Some(chosen.clone())
}

fn facts_of<'a>(upstream: &'a Upstream, tried: &TriedPlaces, now: MonoTime) -> UpstreamFacts<'a> {
    let cold_rate = upstream.cold_rate(now);
    UpstreamFacts {
        name: &upstream.name,
        slots: upstream.slots,
        in_flight: upstream.in_flight(),
        slowness: 1.0,
        is_suspect: upstream.health.lock().is_ejected(now),
        is_held_back: cold_rate.is_some_and(|rate| !upstream.pacer.lock().is_free(rate, now)),
        is_tried: tried.upstreams.contains(&upstream.name),
    }
}

/// A VM of a permitted region that has upstreams of the service; regions by their slots.
fn choose_peer(
    own_region: &RegionName,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Option<Arc<PeerLink>> {
    let slots_in = |region: &RegionName| -> u32 {
        let upstreams = view.upstreams_of(&job.service).iter();
        upstreams.filter(|it| it.region == *region).map(|it| it.slots).sum()
    };
    let open: Vec<&Arc<PeerLink>> = view
        .peers
        .iter()
        .filter(|peer| peer.region != *own_region && job.route.permits(&peer.region))
        .filter(|peer| !tried.peers.contains(&peer.vm))
        .collect();
    let weights: Vec<u32> = open.iter().map(|peer| slots_in(&peer.region)).collect();
    let sum: u32 = weights.iter().sum();
    let mut rest = (rand::random::<f64>() * f64::from(sum)) as u32;
    for (peer, weight) in open.into_iter().zip(weights) {
        if rest < weight {
            return Some(peer.clone());
        }
        rest -= weight;
    }
    None
}
