//! Chooses the destination of each attempt of a request: an upstream of this region, or a VM of
//! another region.

mod local;
mod overview;
mod relay;
mod remote;
mod room;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{ServiceName, UpstreamName, VmName};
use foldhaven_core::opaque::admission::{
    AdmissionError, DestinationEstimate, TimeLimits, admit, queue_wait, retry_after,
};
use foldhaven_core::opaque::choice::{ChoiceQuery, RequestCost};
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::prefix_use::PrefixUse;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::refusal::Refusal;

use self::local::{LocalChoice, choose_local, has_available, signalled_wait};
pub use self::local::{expected_wait, slot_share};
pub use self::overview::{describe_candidates, price_destinations};
use self::relay::{RelayChoice, pick_relay};
pub use self::remote::has_remote_room;
use self::remote::{RemoteChoice, choose_overflow, choose_remote, choose_remote_with_room};
pub use self::room::{own_room, region_turnover, view_room};
use crate::call::{CallListener, CallTarget};
use crate::clock::BootInstant;
use crate::connection::{ConnectionPool, LOCAL_CONNECT_TIMEOUT, REMOTE_CONNECT_TIMEOUT};
use crate::job::GatewayJob;
use crate::load_counter::{LoadGuard, RequestLoad};
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::{GatewayView, PeerLink};

/// How much cheaper another region must be to be preferred, since reports of it are up to a second
/// old.
pub const REGION_MARGIN: RequestCost = RequestCost(0.04);
/// After a request was tried at this many upstreams of this region, another region is preferred.
/// The local upstreams may have been lost together, and stay listed for some seconds.
const MAX_LOCAL_FAULTS: usize = 2;

/// The destination of one attempt.
#[derive(Clone)]
pub enum RequestDestination {
    /// An upstream that this VM can reach itself.
    Upstream(Arc<Upstream>),
    /// A VM of another region, which chooses among the upstreams there.
    Peer(Arc<PeerLink>),
}

impl RequestDestination {
    /// Returns the name for log lines.
    pub fn name(&self) -> &str {
        match self {
            Self::Upstream(upstream) => upstream.name().as_str(),
            Self::Peer(peer) => peer.vm.as_str(),
        }
    }

    /// Returns the software version for log lines, `-` if it is not known.
    pub fn software_label(&self) -> &str {
        match self {
            Self::Upstream(upstream) => upstream.software_label(),
            Self::Peer(_) => "-",
        }
    }

    /// Returns the connection pool of the destination.
    pub fn pool(&self) -> &ConnectionPool {
        match self {
            Self::Upstream(upstream) => &upstream.pool,
            Self::Peer(peer) => &peer.pool,
        }
    }

    /// Returns the target of calls. Connecting to another region may take longer.
    pub fn call_target<'a>(&'a self, listener: &'a dyn CallListener) -> CallTarget<'a> {
        let (address, connect_limit) = match self {
            Self::Upstream(upstream) => (upstream.identity.address, LOCAL_CONNECT_TIMEOUT),
            Self::Peer(peer) => (peer.address, REMOTE_CONNECT_TIMEOUT),
        };
        CallTarget { address, pool: self.pool(), connect_limit, listener }
    }

    /// Counts a request of a service at the destination until the returned guard is dropped.
    pub fn enter(
        &self,
        shared: &GatewayShared,
        service: &ServiceName,
        load: RequestLoad,
    ) -> LoadGuard {
        match self {
            Self::Upstream(upstream) => {
                let guard = upstream.load.enter(load);
                shared.busy_upstreams.insert(upstream);
                guard
            }
            Self::Peer(peer) => peer.enter(service, RequestLoad { level: None, ..load }),
        }
    }
}

/// A chosen destination, with the estimates for the request there.
pub struct DestinationChoice {
    pub destination: RequestDestination,
    /// The expected time to the answer, or to its first event.
    pub time_to_first: Duration,
    /// The prompt tokens that the destination has to prefill.
    pub prefill_tokens: u32,
    /// The requests that the destination already has.
    pub queue: QueueState,
    /// The rank of the request in the queue of the destination.
    pub rank: QueueRank,
    /// The prompt tokens that the destination has to prefill before it can answer. `None` if other
    /// work takes time as well.
    pub prefill_before_answer: Option<u32>,
    /// The upstream from which the destination fetches the part of the prompt that it has not
    /// cached.
    pub fetch_from: Option<SocketAddr>,
    /// The shared segments of the prompt at the destination.
    pub prefix: PrefixUse,
}

/// What a request with a priority level requires of an upstream before it is sent there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomRule {
    /// A free slot that is not reserved for more urgent requests.
    FreeSlot,
    /// A free slot that is not reserved, also where other prompts wait for prefill.
    AnySlot,
    /// A free slot that is left also if other VMs have started requests there unseen.
    SafeSlot,
    /// A free slot in another region: in this one, others go before the request.
    OtherRegion,
    /// Nothing.
    Any,
}

/// Where a request goes now.
pub enum Placement {
    /// To this destination.
    Chosen(Box<DestinationChoice>),
    /// Nowhere yet: no upstream that it may be sent to has room.
    NoRoom,
}

impl Placement {
    fn chosen(choice: DestinationChoice) -> Self {
        Self::Chosen(Box::new(choice))
    }
}

/// The destinations already tried for a request.
#[derive(Debug, Default)]
pub struct TriedDestinations {
    pub upstreams: Vec<UpstreamName>,
    pub peers: Vec<VmName>,
    /// The number of upstreams to which no connection could be opened.
    pub unreached: usize,
}

impl TriedDestinations {
    pub fn record(&mut self, destination: &RequestDestination) {
        match destination {
            RequestDestination::Upstream(upstream) => self.upstreams.push(upstream.name().clone()),
            RequestDestination::Peer(peer) => self.peers.push(peer.vm.clone()),
        }
    }

    /// Whether an upstream was tried. Another VM may choose a different upstream each time.
    pub fn has_upstream(&self, destination: &RequestDestination) -> bool {
        match destination {
            RequestDestination::Upstream(upstream) => self.upstreams.contains(upstream.name()),
            RequestDestination::Peer(_) => false,
        }
    }

    /// Returns the number of tried destinations, including those that could not be reached.
    pub fn count(&self) -> usize {
        self.upstreams.len() + self.peers.len()
    }
}

/// Chooses a destination. Prefers the best upstream of this region, unless another region is
/// cheaper by more than [`REGION_MARGIN`], or has free capacity while this one has none. A request with a
/// priority level goes where regions compared their room for it first. If this VM
/// cannot reach the upstreams of its region, or has no share of the slots of brittle ones, another VM
/// of the region takes their place. `rule` says
/// what a request with a priority level requires of an upstream of this region.
pub fn choose_destination(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
    rule: RoomRule,
) -> Result<Placement, Refusal> {
    let is_here = job.permits(shared.settings.region());
    let local = if is_here { choose_local(shared, view, job, tried, rule) } else { None };
    let is_lost = shared.paths.is_lost();
    if job.is_forwarded {
        let local = local.filter(|local| local.choice.is_trusted || !is_lost);
        let local = local.ok_or_else(|| match is_here {
            true => no_destination_refusal(shared, view, job),
            false => Refusal::NotPermitted,
        })?;
        if !local.choice.has_room {
            return Ok(Placement::NoRoom);
        }
        return match admit_choice(job, &local.estimate()) {
            Ok(()) => local.reserve(shared).map(Placement::chosen),
            Err(refusal) => wait_or_refuse(job, refusal),
        };
    }
    let lacks_share = local
        .as_ref()
        .is_some_and(|local| !local.choice.has_room && slot_share(shared, view, job) == Some(0));
    let remote = match &local {
        Some(local) if job.is_plain() => {
            choose_overflow(shared, view, job, tried, local.choice.cost)
        }
        _ => choose_remote(shared, view, job, tried),
    };
    let local = match local {
        Some(local) if lacks_share || needs_relay(&local, tried, is_lost) => {
            match pick_relay(shared, view, job, tried, lacks_share) {
                Some(peer) => {
                    let relay = RelayChoice { peer, local };
                    return prefer_relay(job, relay, remote).map(Placement::chosen);
                }
                None => Some(local).filter(|_| !is_lost),
            }
        }
        local => local,
    };
    if let Some(remote) = choose_remote_with_room(shared, view, job, tried) {
        return Ok(Placement::chosen(remote.choice));
    }
    match (local, remote) {
        (Some(local), Some(remote)) if prefers_remote(job, &local, &remote, tried) => {
            match admit_choice(job, &remote.estimate()) {
                Ok(()) => Ok(Placement::chosen(remote.choice)),
                Err(_) if job.is_plain() && admit_choice(job, &local.estimate()).is_ok() => {
                    local.reserve(shared).map(Placement::chosen)
                }
                Err(refusal) => Err(refusal),
            }
        }
        // Regions compared their room for requests with a priority level before.
        (Some(local), Some(remote))
            if !local.choice.has_room && job.level.is_none() && has_free_capacity(job, &remote) =>
        {
            Ok(Placement::chosen(remote.choice))
        }
        (Some(local), _) if !local.choice.has_room => Ok(Placement::NoRoom),
        (Some(local), remote) => match (admit_choice(job, &local.estimate()), remote) {
            (Ok(()), _) => local.reserve(shared).map(Placement::chosen),
            (Err(_), Some(remote)) if has_free_capacity(job, &remote) => {
                Ok(Placement::chosen(remote.choice))
            }
            (Err(refusal), _) => wait_or_refuse(job, refusal),
        },
        (None, Some(remote)) => Ok(Placement::chosen(remote.choice)),
        (None, None) if has_no_permitted_region(shared, job) => Err(Refusal::NoPermittedRegion),
        (None, None) => Err(no_destination_refusal(shared, view, job)),
    }
}

/// Returns whether another VM of this region should send the request, because this VM has probably
/// lost its paths to the upstreams (`is_lost`), or could not connect to some of them.
fn needs_relay(local: &LocalChoice, tried: &TriedDestinations, is_lost: bool) -> bool {
    is_lost && !local.choice.is_trusted || tried.unreached >= MAX_LOCAL_FAULTS
}

/// Chooses between another VM of this region and a VM of another region.
fn prefer_relay(
    job: &GatewayJob,
    relay: RelayChoice,
    remote: Option<RemoteChoice>,
) -> Result<DestinationChoice, Refusal> {
    let local = &relay.local;
    let remote = match remote {
        Some(remote) if remote.cost + REGION_MARGIN < local.choice.cost => {
            admit_choice(job, &remote.estimate())?;
            return Ok(remote.choice);
        }
        remote => remote,
    };
    match (admit_choice(job, &local.estimate()), remote) {
        (Ok(()), _) => Ok(relay.into_choice()),
        (Err(_), Some(remote)) if has_free_capacity(job, &remote) => Ok(remote.choice),
        (Err(refusal), _) => Err(refusal),
    }
}

/// Returns how long a request has to wait while all local upstreams that may run it are throttled.
/// `None` if one of them is available, if another region offers the service, or if no upstream
/// asked to back off or announced a limit.
pub fn throttled_wait(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
) -> Option<Duration> {
    let own_region = shared.settings.region();
    let is_elsewhere = view.expected_waits.keys().any(|(region, service)| {
        *service == job.service && region != own_region && job.permits(region)
    });
    let is_open = is_elsewhere || has_available(shared, view, job);
    if is_open { None } else { signalled_wait(shared, view, job) }
}

/// Returns the reason why a request has no destination.
fn no_destination_refusal(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> Refusal {
    match signalled_wait(shared, view, job).filter(|_| job.permits(shared.settings.region())) {
        Some(wait) => Refusal::Throttled { wait },
        None => Refusal::NoUpstream,
    }
}

/// Returns whether no existing region is permitted by the homes of both the route and the account.
fn has_no_permitted_region(shared: &GatewayShared, job: &GatewayJob) -> bool {
    !shared.settings.regions.values().any(|region| job.permits(region))
}

/// Returns whether a remote region is better than the local choice: it is cheaper by more than the
/// margin, or the local upstreams cannot be trusted.
fn prefers_remote(
    job: &GatewayJob,
    local: &LocalChoice,
    remote: &RemoteChoice,
    tried: &TriedDestinations,
) -> bool {
    let is_local_trusted = local.choice.is_trusted && tried.upstreams.len() < MAX_LOCAL_FAULTS;
    let is_cheaper = match job.is_plain() {
        true => remote.is_drawn,
        false => remote.cost + REGION_MARGIN < local.choice.cost,
    };
    !is_local_trusted || is_cheaper && local.choice.has_room
}

/// Returns whether a remote region can answer in time a request that was not admitted locally. Its
/// last report has to show free slots, or room in the queues of plain requests.
fn has_free_capacity(job: &GatewayJob, remote: &RemoteChoice) -> bool {
    let DestinationEstimate { rank, queue, .. } = remote.estimate();
    let has_slot = job.is_plain() || queue.in_flight < queue.slots;
    let is_free = rank == QueueRank::Timely && has_slot;
    is_free && admit_choice(job, &remote.estimate()).is_ok()
}

/// Lets a request with a priority level wait if it would delay others too much now.
fn wait_or_refuse(job: &GatewayJob, refusal: Refusal) -> Result<Placement, Refusal> {
    match refusal {
        Refusal::Overloaded { cause: AdmissionError::TooMuchInterference, .. }
            if job.level.is_some() =>
        {
            Ok(Placement::NoRoom)
        }
        refusal => Err(refusal),
    }
}

/// Refuses a request that should not be sent even to its best destination. A request whose answer
/// has begun is always admitted.
fn admit_choice(job: &GatewayJob, estimate: &DestinationEstimate) -> Result<(), Refusal> {
    if job.has_partial_answer {
        return Ok(());
    }
    let limits = TimeLimits {
        target: job.route.target,
        waited: job.spent(),
        remaining: job.deadline.saturating_duration_since(BootInstant::now()),
    };
    admit(estimate, limits).map_err(|cause| match cause {
        AdmissionError::Full if job.is_plain() => {
            Refusal::QueueFull { wait: queue_wait(estimate.time_to_first) }
        }
        cause => Refusal::Overloaded { cause, wait: retry_after(estimate, limits) },
    })
}

/// Returns the properties of a request that the choice depends on.
fn choice_query(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> ChoiceQuery {
    let outline = job.outline.as_ref();
    ChoiceQuery {
        target: job.route.target,
        waited: job.spent(),
        level: job.level,
        event_gap: job.route.event_gap,
        events: shared.route_history(&job.route.name).usual_event_count(),
        size: job.size(),
        shared_tokens: outline.map_or(0, |outline| outline.shared_tokens()),
        unshared_tokens: outline.map_or(0, |outline| outline.unshared_tokens),
        affinity_key: outline.and_then(|outline| outline.affinity_key()),
        report_age: view.report_age(),
        draw: rand::random(),
    }
}
