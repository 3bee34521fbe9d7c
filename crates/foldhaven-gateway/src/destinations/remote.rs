//! Prices a request in the other regions, and chooses a VM of the cheapest one.

use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::admission::DestinationEstimate;
use foldhaven_core::opaque::choice::{
    CostBreakdown, RequestCost, decode_slowdown_cost, pause_cost, streaming_cost,
};
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::placement_queue::MIN_ANNOUNCED_TOKENS;
use foldhaven_core::opaque::prefix_use::PrefixUse;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::region_overflow::draw_region;
use foldhaven_core::opaque::remote_queue::RemoteService;
use foldhaven_core::opaque::remote_room::SendCost;

use super::{
    DestinationChoice, REGION_MARGIN, RequestDestination, TriedDestinations, choice_query,
};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::view::{GatewayView, PeerLink, RegionPeers, RegionWait};

/// The assumed round trip to a region before the first connection to it is established, which takes
/// some tenths of a second after a start.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(120);
/// The cost of a byte sent between regions, relative to a token of work. It is not part of the
/// description; traffic prices differ between deployments by a factor of four.
const REGION_BYTE_PRICE: f64 = 0.03;
/// The assumed share of a prompt's short shared segments that is not cached in another region.
const REMOTE_MISSING_SHARE: f64 = 0.4;

/// A VM of another region, with the price of the request there.
pub(super) struct RemoteChoice {
    pub(super) choice: DestinationChoice,
    pub(super) cost: RequestCost,
    pub(super) breakdown: CostBreakdown,
    pub(super) region: RegionName,
    /// Whether its upstreams probably decline further plain requests.
    is_full: bool,
    /// Whether the request is drawn to go there because its home has less room.
    pub(super) is_drawn: bool,
}

impl RemoteChoice {
    /// Returns the estimate for deciding whether the request is admitted.
    pub(super) fn estimate(&self) -> DestinationEstimate {
        let DestinationChoice { time_to_first: first, rank, queue, .. } = self.choice;
        DestinationEstimate {
            time_to_first: first,
            breakdown: self.breakdown,
            rank,
            queue,
            is_full: self.is_full,
        }
    }
}

/// Chooses the cheapest of the other regions where the request may run and its service exists.
pub(super) fn choose_remote(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
) -> Option<RemoteChoice> {
    let priced = price_remote(shared, view, job, tried).into_iter();
    priced.min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))
}

/// Chooses another region for a plain request, by its cost at home: one that it is drawn to be sent
/// to, or else the cheapest. One that another region has refused is not drawn again.
pub(super) fn choose_overflow(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
    home: RequestCost,
) -> Option<RemoteChoice> {
    let mut priced = price_remote(shared, view, job, tried);
    priced.retain(|remote| !has_tried(view, tried, &remote.region));
    let costs: Vec<RequestCost> = priced.iter().map(|remote| remote.cost).collect();
    let drawn = draw_region(home, &costs, REGION_MARGIN, rand::random());
    match drawn.filter(|_| tried.peers.is_empty()) {
        Some(index) => Some(RemoteChoice { is_drawn: true, ..priced.swap_remove(index) }),
        None => priced.into_iter().min_by(|left, right| left.cost.0.total_cmp(&right.cost.0)),
    }
}

/// Chooses the cheapest of the other regions to which a request with a priority level should go
/// rather than wait here, and takes the room there.
pub(super) fn choose_remote_with_room(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
) -> Option<RemoteChoice> {
    let level = job.level.filter(|_| has_remote_room(shared, view, job))?;
    let tag = ServiceTag::of(&job.service);
    let has_room = |remote: &RemoteChoice| has_remote_room_in(shared, view, job, &remote.region);
    let priced = price_remote(shared, view, job, tried).into_iter().filter(has_room);
    let chosen = priced.min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))?;
    shared.metrics.count_event("sent_away_for_room");
    log_sent_away(shared, job, level, &chosen);
    shared.remote_rooms.lock().take(&chosen.region, tag, level, shared.now());
    Some(chosen)
}

/// Logs why a request is sent to another region for room, at a limited rate.
fn log_sent_away(
    shared: &GatewayShared,
    job: &GatewayJob,
    level: PriorityLevel,
    chosen: &RemoteChoice,
) {
    if !shared.quota.take(true) {
        return;
    }
    let tag = ServiceTag::of(&job.service);
    let told = shared.remote_rooms.lock().reported(tag, level, shared.now());
    let rooms: Vec<String> = told.iter().map(ToString::to_string).collect();
    let (request, region, vm) = (job.id(), &chosen.region, chosen.choice.destination.name());
    let time_to_first_ms = chosen.choice.time_to_first.as_millis() as u64;
    tracing::info!(request, %level, %region, vm, ?rooms, time_to_first_ms, "request sent away for room");
}

/// Returns whether a request should go to any other region rather than wait here.
pub fn has_remote_room(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> bool {
    if job.is_forwarded || job.has_partial_answer {
        return false;
    }
    let mut others = view.members.regions.keys().filter(|it| *it != shared.settings.region());
    others.any(|region| has_remote_room_in(shared, view, job, region))
}

/// Returns whether a request with a priority level should go to a region rather than wait here.
pub(super) fn has_remote_room_in(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    region: &RegionName,
) -> bool {
    let Some(class) = job.class().filter(|_| job.permits(region)) else { return false };
    let peers = view.members.regions.get(region);
    let round_trip = peers.and_then(|peers| peers.traffic.round_trip());
    let cost = SendCost {
        round_trip: round_trip.unwrap_or(DEFAULT_ROUND_TRIP),
        slot_time: shared.measured_performance(&job.service).slot_time,
        bytes: RequestCost::of_bytes(job.body.len(), REGION_BYTE_PRICE, job.size()).0,
    };
    let tag = ServiceTag::of(&job.service);
    shared.remote_rooms.lock().may_send(region, tag, &class, cost, shared.now())
}

/// Prices the other regions that can take a request, with one VM of each.
pub(super) fn price_remote(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
) -> Vec<RemoteChoice> {
    let own_region = shared.settings.region();
    let regions = view.expected_waits.iter().filter(|((region, service), _)| {
        *service == job.service && region != own_region && job.permits(region)
    });
    let priced = regions.filter_map(|((region, _), wait)| {
        if !has_fitting_upstream(view, job, region) {
            return None;
        }
        let peers = view.members.regions.get(region)?;
        let is_usable = |peer: &PeerLink| !shared.paths.is_lost_at(peer.tag, &job.service);
        let peer = pick_peer(peers, tried, is_usable)?;
        Some(RemotePricer { shared, view, job, region, peers, wait: *wait }.price(peer))
    });
    priced.collect()
}

/// Whether a request was sent to any VM of a region.
fn has_tried(view: &GatewayView, tried: &TriedDestinations, region: &RegionName) -> bool {
    let peers = view.members.regions.get(region);
    peers.is_some_and(|peers| peers.links.iter().any(|peer| tried.peers.contains(&peer.vm)))
}

/// Whether a region has an upstream at which the stream of a request may go on.
fn has_fitting_upstream(view: &GatewayView, job: &GatewayJob, region: &RegionName) -> bool {
    let group = view.group(&job.service, region);
    job.software.is_none() || group.is_some_and(|group| group.iter().any(|it| job.fits(it)))
}

/// Prices one remote region for a request.
struct RemotePricer<'a> {
    shared: &'a GatewayShared,
    view: &'a GatewayView,
    job: &'a GatewayJob,
    region: &'a RegionName,
    peers: &'a RegionPeers,
    wait: RegionWait,
}

impl RemotePricer<'_> {
    /// Returns the expected time and cost of the request if it is forwarded to a VM of the region.
    fn price(&self, peer: Arc<PeerLink>) -> RemoteChoice {
        let job = self.job;
        let query = choice_query(self.shared, self.view, job);
        let missing = self.missing_tokens(query.shared_tokens);
        let prefill_tokens = query.unshared_tokens + missing;
        let performance = self.shared.performance_for(job, self.view);
        let network_time = self.network_time(&peer);
        let senders = match job.is_plain() {
            true => performance.traffic_share.equal_senders(self.view.senders),
            false => self.view.senders,
        };
        let sent = self.sent_since(performance.slot_time, network_time, senders);
        let there = performance.time_to_first(sent, QueueRank::Timely, prefill_tokens);
        let time_to_first = network_time + self.wait.wait + there;
        // The reported load already contains most of the requests sent since.
        let queue = QueueState { in_flight: sent.in_flight.max(self.wait.load), ..sent };
        let breakdown = CostBreakdown {
            time: RequestCost::of_time(query.waited + time_to_first, query.target).0,
            repeated_prefill: RequestCost::of_repeated_prefill(missing, query.size).0,
            transfer: RequestCost::of_bytes(job.body.len(), REGION_BYTE_PRICE, query.size).0,
            long_pauses: pause_cost(&query, self.wait.long_pauses).0,
            streaming: streaming_cost(&query, &performance, queue).0,
            decode_slowdown: decode_slowdown_cost(&query, &performance, queue, prefill_tokens).0,
            overflow: performance.overflow_risk(queue),
            ..CostBreakdown::default()
        };
        let destination = RequestDestination::Peer(peer);
        let choice = DestinationChoice {
            destination,
            time_to_first,
            prefill_tokens,
            queue,
            rank: query.rank(time_to_first),
            prefill_before_answer: None,
            fetch_from: None,
            prefix: PrefixUse::default(),
        };
        RemoteChoice {
            choice,
            cost: breakdown.total(),
            breakdown,
            region: self.region.clone(),
            is_full: job.is_plain() && performance.queue_capacity.is_full(queue),
            is_drawn: false,
        }
    }

    /// Returns the round trip to the region, doubled if a connection has to be opened first.
    fn network_time(&self, peer: &PeerLink) -> Duration {
        let round_trip = self.peers.traffic.round_trip().unwrap_or(DEFAULT_ROUND_TRIP);
        match peer.pool.has_usable_connection() {
            true => round_trip,
            false => round_trip * 2,
        }
    }

    /// Estimates the requests that the VMs of this region have sent there since the last report,
    /// from those that this VM has sent: `senders` VMs send as many.
    fn sent_since(
        &self,
        slot_time: Duration,
        network_time: Duration,
        senders: usize,
    ) -> QueueState {
        let own = self.peers.traffic.share(&self.job.service);
        let RegionWait { upstreams, slots, .. } = self.wait;
        RemoteService { upstreams, slots, slot_time, round_trip: network_time }.queue(own, senders)
    }

    /// Returns the tokens of the shared segments that would have to be prefilled in the region.
    fn missing_tokens(&self, shared_tokens: u32) -> u32 {
        if shared_tokens < MIN_ANNOUNCED_TOKENS {
            return (f64::from(shared_tokens) * REMOTE_MISSING_SHARE) as u32;
        }
        let segments = self.job.shared_segments();
        let prefix_caches = self.shared.prefix_caches.lock();
        let there = self.view.group(&self.job.service, self.region);
        let find = |tag| there.and_then(|group| group.find(tag));
        let held = prefix_caches.holders(segments).filter_map(find).map(|upstream| {
            prefix_caches.cached_tokens(upstream.tag, segments, upstream.identity.prompt_memory)
        });
        shared_tokens - held.max().unwrap_or_default().min(shared_tokens)
    }
}

/// Returns a random usable VM of a region that the request was not sent to yet. VMs in service
/// there and VMs with an open connection are preferred.
fn pick_peer(
    peers: &RegionPeers,
    tried: &TriedDestinations,
    is_usable: impl Fn(&PeerLink) -> bool,
) -> Option<Arc<PeerLink>> {
    let is_open = |peer: &&Arc<PeerLink>| !tried.peers.contains(&peer.vm) && is_usable(peer);
    let mut open: Vec<&Arc<PeerLink>> = peers.in_service.iter().filter(is_open).collect();
    if open.is_empty() {
        open = peers.links.iter().filter(is_open).collect();
    }
    let warm: Vec<&Arc<PeerLink>> =
        open.iter().copied().filter(|peer| peer.pool.has_usable_connection()).collect();
    let open = if warm.is_empty() { open } else { warm };
    let at = (rand::random::<f64>() * open.len() as f64) as usize;
    open.get(at).map(|peer| Arc::clone(peer))
}
