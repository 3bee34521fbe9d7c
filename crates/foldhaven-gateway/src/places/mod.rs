//! Where a try of a request goes: an upstream of this region, or a VM of another region.

mod far;
mod near;
mod overview;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{ServiceName, UpstreamName, VmName};
use foldhaven_core::opaque::admission::{PlaceOffer, TimeLimits, admit, come_back_after};
use foldhaven_core::opaque::choice::{ChoiceQuery, RequestCost};
use foldhaven_core::opaque::pace::QueueFacts;
use foldhaven_core::opaque::queue_rank::QueueRank;

use self::far::{FarChoice, choose_far};
pub use self::near::expected_wait;
use self::near::{NearChoice, choose_near, has_open, signalled_wait};
pub use self::overview::{describe_places, price_places};
use crate::answer::Refusal;
use crate::call::{CallTarget, HeadListener};
use crate::clock::BootInstant;
use crate::connection::{ConnectionPool, FAR_CONNECT_LIMIT, NEAR_CONNECT_LIMIT};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::upstream::{LoadSeat, Upstream};
use crate::view::{GatewayView, PeerLink};

/// How much better another region must be, since what is known of it is up to a second old.
pub const REGION_MARGIN: RequestCost = RequestCost(0.04);
/// After so many upstreams of this region that failed a request, another region is trusted more: they may
/// have been lost together, and stay listed for some seconds.
const FAULTS_TO_LEAVE: usize = 2;
/// Other VMs are told of prompts whose shared parts have at least so many tokens; for shorter ones
/// the common ranking is good enough.
pub const TOLD_TOKENS: u32 = 512;

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

    /// Where calls go. Those to another region may take longer to connect.
    pub fn call_target<'a>(&'a self, listener: &'a dyn HeadListener) -> CallTarget<'a> {
        let (address, connect_limit) = match self {
            Self::Upstream(upstream) => (upstream.identity.address, NEAR_CONNECT_LIMIT),
            Self::Peer(peer) => (peer.address, FAR_CONNECT_LIMIT),
        };
        CallTarget { address, pool: self.pool(), connect_limit, listener }
    }

    /// Counts a request of a service there.
    pub fn enter(&self, service: &ServiceName, tokens: u32, rank: QueueRank) -> LoadSeat {
        match self {
            Self::Upstream(upstream) => upstream.load.enter(tokens, rank),
            Self::Peer(peer) => peer.enter(service, tokens, rank),
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
    /// The requests that the place has.
    pub queue: QueueFacts,
    /// Its rank there.
    pub rank: QueueRank,
    /// The prompt tokens that the place reads until it can answer, where nothing but reading takes time.
    pub until_answer: Option<u32>,
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

    /// How many places were tried, those included that could not be reached.
    pub fn count(&self) -> usize {
        self.upstreams.len() + self.peers.len()
    }
}

/// Chooses a place: the best upstream here, unless another region is better by more than the way there costs, or
/// has room and there is none here.
pub fn choose_place(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedPlaces,
) -> Result<PlaceChoice, Refusal> {
    let is_here = job.permits(shared.settings.region());
    let near = if is_here { choose_near(shared, view, job, tried) } else { None };
    if job.is_forwarded {
        let near = near.ok_or_else(|| match is_here {
            true => without_place(shared, view, job),
            false => Refusal::NotPermitted,
        })?;
        check_offer(job, &near.offer())?;
        return near.take(shared);
    }
    let far = choose_far(shared, view, job, tried);
    match (near, far) {
        (Some(near), Some(far)) if prefers_far(&near, &far, tried) => {
            check_offer(job, &far.offer())?;
            Ok(far.choice)
        }
        (Some(near), far) => match (check_offer(job, &near.offer()), far) {
            (Ok(()), _) => near.take(shared),
            (Err(_), Some(far)) if has_room(job, &far) => Ok(far.choice),
            (Err(refusal), _) => Err(refusal),
        },
        (None, Some(far)) => Ok(far.choice),
        (None, None) if has_no_home(shared, job) => Err(Refusal::NoHome),
        (None, None) => Err(without_place(shared, view, job)),
    }
}

/// When a request that an upstream turned away could be sent to one, where all that may run it want nothing for now.
pub fn held_back_wait(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
) -> Option<Duration> {
    let own_region = shared.settings.region();
    let is_elsewhere = view.waits.keys().any(|(region, service)| {
        *service == job.service && region != own_region && job.permits(region)
    });
    let is_open = is_elsewhere || has_open(shared, view, job);
    if is_open { None } else { signalled_wait(shared, view, job) }
}

/// Why no place takes a request.
fn without_place(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> Refusal {
    match signalled_wait(shared, view, job).filter(|_| job.permits(shared.settings.region())) {
        Some(wait) => Refusal::HeldBack { wait },
        None => Refusal::NoUpstream,
    }
}

/// Whether the homes of a request's route and account have no region in common that there is.
fn has_no_home(shared: &GatewayShared, job: &GatewayJob) -> bool {
    !shared.settings.regions.values().any(|region| job.permits(region))
}

/// Whether another region is better: cheaper by more than the margin, or the only place that can be trusted.
fn prefers_far(near: &NearChoice, far: &FarChoice, tried: &TriedPlaces) -> bool {
    let is_near_sound = near.choice.is_trusted && tried.upstreams.len() < FAULTS_TO_LEAVE;
    !is_near_sound || far.cost + REGION_MARGIN < near.choice.cost
}

/// Whether a region can answer in time what is better not sent to the best upstream here: by its last report its
/// upstreams have places left.
fn has_room(job: &GatewayJob, far: &FarChoice) -> bool {
    let PlaceOffer { rank, queue, .. } = far.offer();
    let is_free = rank == QueueRank::Timely && queue.in_flight < queue.slots;
    is_free && check_offer(job, &far.offer()).is_ok()
}

/// Refuses a request that is better not sent to its best place. One whose answer has begun is sent on.
fn check_offer(job: &GatewayJob, offer: &PlaceOffer) -> Result<(), Refusal> {
    if job.is_begun {
        return Ok(());
    }
    let limits = TimeLimits {
        target: job.route.target,
        waited: job.waited(),
        remaining: job.deadline.saturating_duration_since(BootInstant::now()),
    };
    admit(offer, limits)
        .map_err(|cause| Refusal::Overloaded { cause, wait: come_back_after(offer, limits) })
}

/// What the choice weighs of a request.
fn query_of(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> ChoiceQuery {
    let outline = job.outline.as_ref();
    ChoiceQuery {
        target: job.route.target,
        waited: job.waited(),
        event_gap: job.route.event_gap,
        events: shared.route_history(&job.route.name).usual_event_count(),
        size: job.size(),
        shared_tokens: outline.map_or(0, |outline| outline.shared_tokens()),
        own_tokens: outline.map_or(0, |outline| outline.own_tokens),
        meeting_key: outline.and_then(|outline| outline.meeting_key()),
        news_age: view.news_age(),
        draw: rand::random(),
    }
}
