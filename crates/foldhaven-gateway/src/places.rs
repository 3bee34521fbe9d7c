//! Where a try of a request goes: an upstream of this region, or a VM of another region.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{RegionName, UpstreamName, VmName};
use foldhaven_core::opaque::choice::{
    ChoiceQuery, RequestCost, UpstreamChoice, UpstreamFacts, choose_upstream,
};
use foldhaven_core::opaque::pace::{QueueFacts, ServicePace};
use foldhaven_core::time::MonoTime;

use crate::answer::Refusal;
use crate::connection::ConnectionPool;
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::upstream::{LoadSeat, Upstream};
use crate::view::{GatewayView, PeerLink, RegionWait};

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
            Self::Upstream(upstream) => upstream.name().as_str(),
            Self::Peer(peer) => peer.vm.as_str(),
        }
    }

    /// Its connections.
    pub fn pool(&self) -> &ConnectionPool {
        match self {
            Self::Upstream(upstream) => &upstream.pool,
            Self::Peer(peer) => &peer.pool,
        }
    }

    /// Counts a request there.
    pub fn enter(&self, tokens: u32) -> LoadSeat {
        match self {
            Self::Upstream(upstream) => upstream.load.enter(tokens),
            Self::Peer(peer) => peer.load.enter(tokens),
        }
    }
}

/// A place with what is expected of it.
pub struct PlaceChoice {
    pub place: RequestPlace,
    /// The expected time to the answer, or to its first event.
    pub first: Duration,
    /// The prompt tokens that are to be read.
    pub read_tokens: u32,
    /// The upstream from which the chosen one takes over what it does not hold of the prompt.
    pub fetch_from: Option<SocketAddr>,
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
            RequestPlace::Upstream(upstream) => self.upstreams.push(upstream.name().clone()),
            RequestPlace::Peer(peer) => self.peers.push(peer.vm.clone()),
        }
    }
}

/// The way to another region and back, twice: from here, and for the answer. Regions of today's
/// deployments are 55 ms apart one way.
const REGION_ROUND_TRIP: Duration = Duration::from_millis(115);
/// How much better another region must be, since what is known of it is up to a second old.
const REGION_MARGIN: RequestCost = RequestCost(0.04);
/// What a byte between regions costs against a token of work, by the prices of two deployments.
const REGION_BYTE_PRICE: f64 = 0.014;
/// The same between data centres of a region, where these prices are 0.0035 and 0.0145.
const CENTRE_BYTE_PRICE: f64 = 0.007;
/// The share of a prompt's short shared parts that another region probably has to read.
const FAR_MISSING_SHARE: f64 = 0.4;
/// Other VMs are told of prompts whose shared parts have at least so many tokens; for shorter ones
/// the common ranking is good enough.
pub const TOLD_TOKENS: u32 = 512;

/// Chooses a place: the best upstream here, unless another region is better by more than the way
/// there costs.
pub fn choose_place(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Result<PlaceChoice, Refusal> {
    let is_here = job.route.permits(shared.settings.region());
    let near = if is_here { choose_near(shared, view, job, tried) } else { None };
    if job.is_forwarded {
        let refusal = if is_here { Refusal::NoUpstream } else { Refusal::NotPermitted };
        return near.map(|near| near.take(shared)).ok_or(refusal);
    }
    let far = choose_far(shared, view, job, tried);
    match (near, far) {
        (Some(near), Some(far)) if far.cost + REGION_MARGIN < near.choice.cost => Ok(far.choice),
        (Some(near), _) => Ok(near.take(shared)),
        (None, Some(far)) => Ok(far.choice),
        (None, None) => Err(Refusal::NoUpstream),
    }
}

/// The best upstream of this region.
struct NearChoice {
    upstream: Arc<Upstream>,
    choice: UpstreamChoice,
    fetch_from: Option<SocketAddr>,
}

impl NearChoice {
    /// Takes the place of a cold upstream, which is counted by the second.
    fn take(self, shared: &GatewayShared) -> PlaceChoice {
        let now = shared.now();
        if let Some(rate) = self.upstream.cold_rate(now) {
            self.upstream.pacer.lock().take(rate, now);
        }
        PlaceChoice {
            place: RequestPlace::Upstream(self.upstream),
            first: self.choice.first,
            read_tokens: self.choice.read_tokens,
            fetch_from: self.fetch_from,
        }
    }
}

fn choose_near(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Option<NearChoice> {
    let now = shared.now();
    let own_region = shared.settings.region();
    let all = view.upstreams_of(&job.service).iter();
    let near: Vec<&Arc<Upstream>> = all.filter(|it| it.identity.region == *own_region).collect();
    let candidates: Vec<UpstreamFacts<'_>> =
        near.iter().map(|upstream| facts_of(shared, upstream, job, tried, now)).collect();
    let pace = shared.pace(&job.service, view);
    let choice = choose_upstream(&candidates, &query_of(job), &pace)?;
    let fetch_from = choice.fetch_from.map(|at| near[at].identity.address);
    Some(NearChoice { upstream: near[choice.at].clone(), choice, fetch_from })
}

fn query_of(job: &GatewayJob) -> ChoiceQuery {
    let outline = job.outline.as_ref();
    ChoiceQuery {
        target: job.route.target,
        size: job.size(),
        shared_tokens: outline.map_or(0, |outline| outline.shared_tokens()),
        own_tokens: outline.map_or(0, |outline| outline.own_tokens),
        meeting_key: outline.and_then(|outline| outline.meeting_key()),
        draw: rand::random(),
    }
}

fn facts_of<'a>(
    shared: &GatewayShared,
    upstream: &'a Upstream,
    job: &GatewayJob,
    tried: &TriedPlaces,
    now: MonoTime,
) -> UpstreamFacts<'a> {
    let cold_rate = upstream.cold_rate(now);
    let pace = *upstream.pace.lock();
    let move_cost = match upstream.identity.data_centre == shared.settings.data_centre {
        true => 0.0,
        false => RequestCost::of_bytes(job.body.len(), CENTRE_BYTE_PRICE, job.size()).0,
    };
    let held_tokens = match job.shared_parts() {
        [] => 0,
        parts => {
            shared.hints.lock().held_tokens(upstream.tag, parts, upstream.identity.prompt_memory)
        }
    };
    UpstreamFacts {
        name: upstream.name(),
        queue: upstream.queue(),
        factor: pace.factor(now),
        failures: pace.failure_share(now),
        move_cost,
        held_tokens,
        is_suspect: upstream.health.lock().is_ejected(now),
        is_held_back: cold_rate.is_some_and(|rate| !upstream.pacer.lock().is_free(rate, now)),
        is_tried: tried.upstreams.contains(upstream.name()),
    }
}

/// The wait at an upstream as this VM expects it.
pub fn expected_wait(upstream: &Upstream, pace: &ServicePace, now: MonoTime) -> Duration {
    pace.wait(upstream.queue()).mul_f64(upstream.pace.lock().factor(now))
}

/// The best VM of another region.
struct FarChoice {
    choice: PlaceChoice,
    cost: RequestCost,
}

fn choose_far(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Option<FarChoice> {
    let own_region = shared.settings.region();
    let regions = view.waits.iter().filter(|((region, service), _)| {
        *service == job.service && region != own_region && job.route.permits(region)
    });
    let priced = regions.filter_map(|((region, _), wait)| {
        let peer = pick_peer(view, region, tried)?;
        Some(FarPricer { shared, view, job, region, wait: *wait }.price(peer))
    });
    priced.min_by(|left, right| left.cost.0.total_cmp(&right.cost.0))
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
    fn price(&self, peer: Arc<PeerLink>) -> FarChoice {
        let job = self.job;
        let query = query_of(job);
        let missing = self.missing_tokens(query.shared_tokens);
        let read_tokens = query.own_tokens + missing;
        let pace = self.shared.measured_pace(&job.service);
        let first = REGION_ROUND_TRIP + self.wait.wait + pace.first(self.sent_since(), read_tokens);
        let moving = RequestCost::of_bytes(job.body.len(), REGION_BYTE_PRICE, query.size);
        let rereading = RequestCost::of_rereading(missing, query.size);
        let cost = RequestCost::of_time(first, job.route.target) + moving + rereading;
        let place = RequestPlace::Peer(peer);
        FarChoice { choice: PlaceChoice { place, first, read_tokens, fetch_from: None }, cost }
    }

    /// What this region's VMs have sent there since its VMs told their waits, as far as it can be
    /// guessed from what this one has sent.
    fn sent_since(&self) -> QueueFacts {
        let view = self.view;
        let links = view.peers.iter().filter(|peer| peer.region == *self.region);
        let sent = links.map(|peer| peer.load.share());
        let (in_flight, tokens) = sent.fold((0, 0), |(in_flight, tokens), share| {
            (in_flight + u32::from(share.in_flight), tokens + share.pending_tokens)
        });
        let own_region = self.shared.settings.region();
        let near_vms = view.beats.iter().filter(|beat| beat.region == *own_region).count();
        let factor = near_vms.max(1) as f64 / self.wait.upstreams.max(1) as f64;
        QueueFacts {
            slots: self.wait.slots,
            in_flight: (f64::from(in_flight) * factor) as u32,
            pending_tokens: (f64::from(tokens) * factor) as u32,
        }
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

fn pick_peer(
    view: &GatewayView,
    region: &RegionName,
    tried: &TriedPlaces,
) -> Option<Arc<PeerLink>> {
    let open: Vec<&Arc<PeerLink>> = view
        .peers
        .iter()
        .filter(|peer| peer.region == *region && !tried.peers.contains(&peer.vm))
        .collect();
    let at = (rand::random::<f64>() * open.len() as f64) as usize;
    open.get(at).map(|peer| Arc::clone(peer))
}
