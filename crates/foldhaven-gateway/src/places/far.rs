//! Prices the other regions, and chooses the best VM among them.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::admission::PlaceOffer;
use foldhaven_core::opaque::choice::{
    CostParts, RequestCost, pause_cost, slowing_cost, streaming_cost,
};
use foldhaven_core::opaque::far_queue::FarService;
use foldhaven_core::opaque::load_reports::UpstreamShare;
use foldhaven_core::opaque::pace::QueueFacts;
use foldhaven_core::opaque::queue_rank::QueueRank;

use super::{PlaceChoice, RequestPlace, TOLD_TOKENS, TriedPlaces, query_of};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::view::{GatewayView, PeerLink, RegionWait};

/// The way to a region and back before any connection there came up, which takes some tenths of a second
/// after a start.
const UNMEASURED_ROUND_TRIP: Duration = Duration::from_millis(120);
/// What a byte between regions costs against a token of work. Not described; the users' prices differ
/// between deployments by a factor of four.
const REGION_BYTE_PRICE: f64 = 0.03;
/// The share of a prompt's short shared parts that another region probably has to read.
const FAR_MISSING_SHARE: f64 = 0.4;

/// The best VM of another region.
pub(super) struct FarChoice {
    pub(super) choice: PlaceChoice,
    pub(super) cost: RequestCost,
    pub(super) parts: CostParts,
    pub(super) region: RegionName,
}

impl FarChoice {
    /// The place, for the decision whether the request is sent there.
    pub(super) fn offer(&self) -> PlaceOffer {
        let PlaceChoice { first, rank, queue, .. } = self.choice;
        PlaceOffer { first, parts: self.parts, rank, queue, is_full: false }
    }
}

/// Chooses among the other regions that the route permits and that have upstreams of the service.
pub(super) fn choose_far(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Option<FarChoice> {
    let priced = price_far(shared, view, job, tried).into_iter();
    priced.min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))
}

/// Prices the other regions that can take a request, by a VM of each.
pub(super) fn price_far(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Vec<FarChoice> {
    let own_region = shared.settings.region();
    let regions = view.waits.iter().filter(|((region, service), _)| {
        *service == job.service && region != own_region && job.permits(region)
    });
    let priced = regions.filter_map(|((region, _), wait)| {
        let peer = pick_peer(view, region, tried)?;
        Some(FarPricer { shared, view, job, region, wait: *wait }.price(peer))
    });
    priced.collect()
}

/// Prices one other region for a request.
struct FarPricer<'a> {
    shared: &'a GatewayShared,
    view: &'a GatewayView,
    job: &'a GatewayJob,
    region: &'a RegionName,
    wait: RegionWait,
}

impl FarPricer<'_> {
    /// What the request is expected to take and to cost when it is forwarded to a VM there.
    fn price(&self, peer: Arc<PeerLink>) -> FarChoice {
        let job = self.job;
        let query = query_of(self.shared, self.view, job);
        let missing = self.missing_tokens(query.shared_tokens);
        let read_tokens = query.own_tokens + missing;
        let pace = self.shared.measured_pace(&job.service);
        let way = self.way(&peer);
        let sent = self.sent_since(pace.hold, way);
        let there = pace.first(sent, QueueRank::Timely, read_tokens);
        let first = way + self.wait.wait + there;
        // What was told counts most requests that were sent since, too.
        let queue = QueueFacts { in_flight: sent.in_flight.max(self.wait.load), ..sent };
        let parts = CostParts {
            time: RequestCost::of_time(query.waited + first, query.target).0,
            rereading: RequestCost::of_rereading(missing, query.size).0,
            moving: RequestCost::of_bytes(job.body.len(), REGION_BYTE_PRICE, query.size).0,
            pauses: pause_cost(&query, self.wait.long_pauses).0,
            streaming: streaming_cost(&query, &pace, queue).0,
            slowing: slowing_cost(&query, &pace, queue, read_tokens).0,
            ..CostParts::default()
        };
        let place = RequestPlace::Peer(peer);
        let choice = PlaceChoice {
            place,
            first,
            read_tokens,
            queue,
            rank: query.rank(first),
            until_answer: None,
            fetch_from: None,
        };
        FarChoice { choice, cost: parts.total(), parts, region: self.region.clone() }
    }

    /// The way there and back, twice where no connection is open.
    fn way(&self, peer: &PeerLink) -> Duration {
        let round_trip = self.view.round_trip(self.region).unwrap_or(UNMEASURED_ROUND_TRIP);
        match peer.pool.has_open() {
            true => round_trip,
            false => round_trip * 2,
        }
    }

    /// What this region's VMs have sent there since its VMs told their waits, as far as it can be
    /// guessed from what this one has sent.
    fn sent_since(&self, hold: Duration, way: Duration) -> QueueFacts {
        let links = self.view.peers.iter().filter(|peer| peer.region == *self.region);
        let sent = links.map(|peer| peer.share(&self.job.service));
        let own = sent.fold(UpstreamShare::default(), |sum, share| UpstreamShare {
            in_flight: sum.in_flight.saturating_add(share.in_flight),
            prefill_backlog: sum.prefill_backlog.plus(share.prefill_backlog),
            ..sum
        });
        let RegionWait { upstreams, slots, .. } = self.wait;
        FarService { upstreams, slots, hold, way }.queue(own, self.view.senders)
    }

    /// The tokens of the shared parts that would have to be read there.
    fn missing_tokens(&self, shared_tokens: u32) -> u32 {
        if shared_tokens < TOLD_TOKENS {
            return (f64::from(shared_tokens) * FAR_MISSING_SHARE) as u32;
        }
        let parts = self.job.shared_parts();
        let hints = self.shared.hints.lock();
        let upstreams = self.view.upstreams_of(&self.job.service).iter();
        let there = upstreams.filter(|upstream| upstream.identity.region == *self.region);
        let held = there.map(|upstream| {
            hints.held_tokens(upstream.tag, parts, upstream.identity.prompt_memory)
        });
        shared_tokens - held.max().unwrap_or_default().min(shared_tokens)
    }
}

/// A VM of a region that was not tried yet: one in service there if there is one, and one to which a connection is
/// open.
fn pick_peer(
    view: &GatewayView,
    region: &RegionName,
    tried: &TriedPlaces,
) -> Option<Arc<PeerLink>> {
    let is_untried = |peer: &&Arc<PeerLink>| !tried.peers.contains(&peer.vm);
    let in_service = view.far_service.get(region).into_iter().flatten();
    let mut open: Vec<&Arc<PeerLink>> = in_service.filter(is_untried).collect();
    if open.is_empty() {
        let there = view.peers.iter().filter(|peer| peer.region == *region);
        open = there.filter(is_untried).collect();
    }
    let warm: Vec<&Arc<PeerLink>> =
        open.iter().copied().filter(|peer| peer.pool.has_open()).collect();
    let open = if warm.is_empty() { open } else { warm };
    let at = (rand::random::<f64>() * open.len() as f64) as usize;
    open.get(at).map(|peer| Arc::clone(peer))
}
