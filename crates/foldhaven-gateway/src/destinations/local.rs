//! Chooses the best upstream of this region.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::admission::DestinationEstimate;
use foldhaven_core::opaque::affinity::{PromptOutline, RingPosition, UpstreamTag};
use foldhaven_core::opaque::arrival_spread::choose_spread;
use foldhaven_core::opaque::choice::{
    CandidateSample, ChoiceQuery, RequestCost, UpstreamCandidate, UpstreamChoice,
};
use foldhaven_core::opaque::performance::{QueueState, ServicePerformance};
use foldhaven_core::opaque::prefix_use::PrefixUse;
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::request_class::RoomNeed;
use foldhaven_core::opaque::service_room::RoomLimits;
use foldhaven_core::opaque::slot_share::HolderLists;
use foldhaven_core::opaque::upstream_ring::{DrawQuery, DrawnUpstreams, MAX_HOLDER_CANDIDATES};
use foldhaven_core::time::MonoTime;

use super::room::max_backlog_of;
use super::{DestinationChoice, RequestDestination, RoomRule, TriedDestinations, choice_query};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::upstream_set::UpstreamGroup;
use crate::view::GatewayView;

/// The cost of a byte sent between data centres of a region, relative to a token of work. It is not
/// configurable in the description: doubling it changed nothing.
const CENTRE_BYTE_PRICE: f64 = 0.03;

/// The retry delay for callers if this VM has no share of a rate limit, since other VMs may have
/// one.
const NO_SHARE_WAIT: Duration = Duration::from_millis(500);

/// The retry delay for callers if this VM has used up its share of the slots of brittle upstreams.
const SLOT_WAIT: Duration = Duration::from_millis(100);

/// The maximum number of upstreams to look at for whether any of them can take a request. If one in
/// twenty can, one is found almost always.
pub(super) const MAX_EXAMINED: usize = 128;

/// The best upstream of this region.
pub(super) struct LocalChoice {
    upstream: Arc<Upstream>,
    pub(super) choice: UpstreamChoice,
    fetch_from: Option<SocketAddr>,
    level: Option<PriorityLevel>,
    is_plain: bool,
    pub(super) prefix: PrefixUse,
}

impl LocalChoice {
    /// Returns the estimate for deciding whether the request is admitted.
    pub(super) fn estimate(&self) -> DestinationEstimate {
        let UpstreamChoice { time_to_first, breakdown, rank, is_full, .. } = self.choice;
        let queue = self.upstream.queue();
        let queue = if self.is_plain { queue.in_order_of_arrival() } else { queue };
        let queue = self.level.map_or(queue, |level| queue.through(level));
        DestinationEstimate { time_to_first, breakdown, rank, queue, is_full }
    }

    /// Makes this the destination of the request. At an upstream that is cold or has announced a
    /// limit, takes one request from this VM's rate share, and fails if none is left now.
    pub(super) fn reserve(self, shared: &GatewayShared) -> Result<DestinationChoice, Refusal> {
        let now = shared.now();
        if let Some(rate) = self.upstream.allowed_rate(now) {
            if !self.upstream.pacer.lock().try_acquire(rate, now) {
                shared.metrics.count_event("bounded_place_lost");
                return Err(Refusal::NoUpstream);
            }
            self.upstream.count_rate_limited();
            let event = if self.upstream.is_cold(now) { "cold_sent" } else { "limited_sent" };
            shared.metrics.count_event(event);
        }
        let queue = self.upstream.queue();
        Ok(DestinationChoice {
            destination: RequestDestination::Upstream(self.upstream),
            time_to_first: self.choice.time_to_first,
            prefill_tokens: self.choice.prefill_tokens,
            queue,
            rank: self.choice.rank,
            prefill_before_answer: self.choice.prefill_before_answer,
            fetch_from: self.fetch_from,
            prefix: self.prefix,
        })
    }
}

/// Chooses among the upstreams of this region. Returns `None` if none of them can take the request.
pub(super) fn choose_local(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
    rule: RoomRule,
) -> Option<LocalChoice> {
    let group = local_group(shared, view, job)?;
    let drawn = draw_upstreams(group, shared, job);
    let performance = shared.performance_for(job, view);
    let query = choice_query(shared, view, job);
    let mut choice = match job.is_plain() {
        true => choose_plain(shared, view, job, tried, &drawn.upstreams, &query)?,
        false => {
            let choose = |rule| {
                let candidates = candidates_of(shared, view, &drawn.upstreams, job, tried, rule);
                let sample = CandidateSample { candidates: &candidates, keyed: drawn.keyed };
                sample.choose(&query, &performance)
            };
            let safe = match rule {
                RoomRule::FreeSlot => choose(RoomRule::SafeSlot),
                _ => None,
            };
            safe.filter(|it| it.has_room).or_else(|| choose(rule))?
        }
    };
    let mut fetch_from = choice.fetch_from.map(|at| drawn.upstreams[at].identity.address);
    if fetch_from.is_none()
        && let Some(source) = remote_source(shared, view, job, &performance, &choice)
    {
        choice.prefill_tokens -= source.tokens;
        fetch_from = Some(source.address);
    }
    let upstream = drawn.upstreams[choice.index].clone();
    let prefix = prefix_use(group, shared, job, &choice, fetch_from.is_some());
    let (level, is_plain) = (job.level, job.is_plain());
    Some(LocalChoice { upstream, choice, fetch_from, level, is_plain, prefix })
}

/// An upstream of another region from which shared segments are fetched.
struct RemoteSource {
    address: SocketAddr,
    /// The number of tokens that the chosen upstream lacks and this one has.
    tokens: u32,
}

/// Returns the upstream of another region that probably has most of the shared segments that the
/// chosen one lacks; `None` if fetching them is not worth it.
fn remote_source(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    performance: &ServicePerformance,
    choice: &UpstreamChoice,
) -> Option<RemoteSource> {
    let outline = job.outline.as_ref()?;
    let missing = choice.prefill_tokens.saturating_sub(outline.unshared_tokens);
    performance.fetch_time(missing)?;
    let present = outline.shared_tokens().saturating_sub(missing);
    let own_region = shared.settings.region();
    let regions: BTreeSet<&RegionName> = shared.settings.regions.values().collect();
    let permitted = regions.into_iter().filter(|it| *it != own_region && job.permits(it));
    let groups: Vec<&UpstreamGroup> =
        permitted.filter_map(|region| view.group(&job.service, region)).collect();
    let find = |tag| groups.iter().find_map(|group| group.find(tag));
    let capacity_of = |tag| find(tag).map(|upstream| upstream.identity.prompt_memory);
    let prefix_caches = shared.prefix_caches.lock();
    let (tag, tokens) = prefix_caches.best_source(&outline.shared, present, capacity_of)?;
    performance.fetch_time(tokens)?;
    Some(RemoteSource { address: find(tag)?.identity.address, tokens })
}

/// Returns what becomes of the shared segments of a prompt at the chosen upstream.
fn prefix_use(
    group: &UpstreamGroup,
    shared: &GatewayShared,
    job: &GatewayJob,
    choice: &UpstreamChoice,
    is_fetched: bool,
) -> PrefixUse {
    let Some(outline) = &job.outline else { return PrefixUse::default() };
    let missing = choice.prefill_tokens.saturating_sub(outline.unshared_tokens);
    let capacity_of = |tag| Some(group.find(tag)?.identity.prompt_memory);
    let prefix_caches = shared.prefix_caches.lock();
    PrefixUse::of(&prefix_caches, &outline.shared, missing, is_fetched, capacity_of)
}

/// Returns for how much longer this VM sends nothing to an upstream, because the upstream asked it
/// to back off, or this VM has used up its share of the upstream's rate or slots. `None` if it may
/// send now.
pub(super) fn throttled_for(
    shared: &GatewayShared,
    holders: &HolderLists,
    upstream: &Upstream,
    now: MonoTime,
) -> Option<Duration> {
    let slot_wait = match has_free_slot(shared, holders, upstream, now) {
        true => Duration::ZERO,
        false => SLOT_WAIT,
    };
    let wait = paced_for(upstream, now).unwrap_or_default().max(slot_wait);
    Some(wait).filter(|wait| !wait.is_zero())
}

/// Returns for how much longer this VM sends nothing to an upstream, because the upstream asked it
/// to back off, or this VM has used up its share of the upstream's rate. `None` if it may send now.
pub(super) fn paced_for(upstream: &Upstream, now: MonoTime) -> Option<Duration> {
    let backoff = upstream.remaining_backoff(now);
    let share_wait = upstream.allowed_rate(now).map_or(Duration::ZERO, |rate| {
        let pacer = *upstream.pacer.lock();
        pacer.wait(rate, now).unwrap_or(NO_SHARE_WAIT)
    });
    Some(backoff.max(share_wait)).filter(|wait| !wait.is_zero())
}

/// Whether an upstream is not brittle, or this VM has not used up its share of the slots.
fn has_free_slot(
    shared: &GatewayShared,
    holders: &HolderLists,
    upstream: &Upstream,
    now: MonoTime,
) -> bool {
    if upstream.max_declined_per_s().is_none() {
        return true;
    }
    let share = upstream.slot_share(shared.vm_tag, holders);
    let work_time = shared.measured_performance(&upstream.identity.service).slot_time;
    share > 0 && upstream.used_slots(work_time, now) < share
}

/// Returns how many slots of brittle upstreams of this region this VM may use for a request. `None`
/// if one of the upstreams is not brittle, so that all its slots may be used.
pub fn slot_share(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> Option<u32> {
    let group = local_group(shared, view, job);
    let examined = group.into_iter().flat_map(|group| examined_upstreams(group, job));
    let share = |it: &Arc<Upstream>| {
        it.max_declined_per_s()?;
        Some(it.slot_share(shared.vm_tag, &view.slot_holders))
    };
    examined.map(share).sum()
}

/// Returns whether an upstream of this region can get a request now.
pub(super) fn has_available(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> bool {
    let now = shared.now();
    let group = local_group(shared, view, job);
    let mut examined = group.into_iter().flat_map(|group| examined_upstreams(group, job));
    examined.any(|upstream| throttled_for(shared, &view.slot_holders, upstream, now).is_none())
}

/// Returns the shortest time until this VM may send to an upstream of this region that asked it to
/// back off, has announced a limit or is brittle. `None` if there is no such upstream.
pub(super) fn signalled_wait(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
) -> Option<Duration> {
    let now = shared.now();
    let group = local_group(shared, view, job);
    let examined = group.into_iter().flat_map(|group| examined_upstreams(group, job));
    let has_said = |it: &&Arc<Upstream>| {
        let is_brittle = it.max_declined_per_s().is_some();
        is_brittle || it.is_limited() || !it.remaining_backoff(now).is_zero()
    };
    let wait =
        |it: &Arc<Upstream>| throttled_for(shared, &view.slot_holders, it, now).unwrap_or_default();
    examined.filter(has_said).map(wait).min()
}

/// Prices the candidate upstreams of this region.
pub(super) fn price_local(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
) -> Vec<(Arc<Upstream>, UpstreamChoice)> {
    let Some(group) = local_group(shared, view, job) else { return Vec::new() };
    let DrawnUpstreams { upstreams, keyed } = draw_upstreams(group, shared, job);
    let tried = TriedDestinations::default();
    let candidates = candidates_of(shared, view, &upstreams, job, &tried, RoomRule::FreeSlot);
    let sample = CandidateSample { candidates: &candidates, keyed };
    let performance = shared.performance_for(job, view);
    let priced = sample.price(&choice_query(shared, view, job), &performance);
    priced.into_iter().map(|choice| (upstreams[choice.index].clone(), choice)).collect()
}

fn local_group<'a>(
    shared: &GatewayShared,
    view: &'a GatewayView,
    job: &GatewayJob,
) -> Option<&'a UpstreamGroup> {
    view.group(&job.service, shared.settings.region())
}

/// Returns the upstreams to look at for whether any of them can take a request.
fn examined_upstreams<'a>(
    group: &'a UpstreamGroup,
    job: &'a GatewayJob,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    let examined = group.iter_from(RingPosition(rand::random()));
    examined.filter(|upstream| !upstream.is_leaving() && job.fits(upstream)).take(MAX_EXAMINED)
}

/// Chooses an upstream for a plain request, spread over those that are nearly as good.
fn choose_plain(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
    upstreams: &[&Arc<Upstream>],
    query: &ChoiceQuery,
) -> Option<UpstreamChoice> {
    let own = upstreams.iter().map(|it| u32::from(it.load.share().in_flight)).sum();
    let all = upstreams.iter().map(|it| it.queue().in_flight).sum();
    shared.record_traffic(&job.service, own, all);
    let candidates = candidates_of(shared, view, upstreams, job, tried, RoomRule::Any);
    choose_spread(&candidates, query, &shared.performance_for(job, view), rand::random())
}

/// Draws the upstreams that a request may be sent to.
fn draw_upstreams<'a>(
    group: &'a UpstreamGroup,
    shared: &GatewayShared,
    job: &GatewayJob,
) -> DrawnUpstreams<'a, Arc<Upstream>> {
    let segments = job.shared_segments();
    let holders: Vec<UpstreamTag> = match segments {
        [] => Vec::new(),
        _ => shared.prefix_caches.lock().holders(segments).take(MAX_HOLDER_CANDIDATES).collect(),
    };
    let key = job.outline.as_ref().and_then(PromptOutline::affinity_key);
    let query = DrawQuery { key, holders: &holders, random: RingPosition(rand::random()) };
    group.draw(&query, |upstream| !upstream.is_leaving() && job.fits(upstream))
}

/// Returns the properties of some upstreams that the choice depends on.
fn candidates_of<'a>(
    shared: &GatewayShared,
    view: &GatewayView,
    local: &[&'a Arc<Upstream>],
    job: &GatewayJob,
    tried: &TriedDestinations,
    rule: RoomRule,
) -> Vec<UpstreamCandidate<'a>> {
    let queues: Vec<QueueState> = local.iter().map(|upstream| upstream.queue()).collect();
    let max_backlog = max_backlog_of(shared, view, &job.service);
    let slot_time = shared.measured_performance(&job.service).slot_time;
    let limits = job.level.map(|level| {
        RoomLimits::new(level, &queues, max_backlog).with_report_age(view.report_age(), slot_time)
    });
    let room = RoomCheck { limits, need: job.need(), rule };
    let context = CandidateContext {
        shared,
        holders: &view.slot_holders,
        job,
        tried,
        slot_time: shared.performance_for(job, view).slot_time,
        is_lost: shared.paths.is_lost(),
        room,
        now: shared.now(),
    };
    local.iter().map(|upstream| context.candidate(upstream)).collect()
}

/// What the properties of all candidates of one choice depend on.
struct CandidateContext<'a> {
    shared: &'a GatewayShared,
    /// The VMs that share the slots of brittle upstreams.
    holders: &'a HolderLists,
    job: &'a GatewayJob,
    tried: &'a TriedDestinations,
    slot_time: Duration,
    /// Whether this VM has lost its paths to the upstreams.
    is_lost: bool,
    room: RoomCheck,
    now: MonoTime,
}

/// Checks whether upstreams have room for a request.
struct RoomCheck {
    /// What its level requires; `None` if it has no level.
    limits: Option<RoomLimits>,
    need: RoomNeed,
    rule: RoomRule,
}

impl RoomCheck {
    fn has_room(&self, queue: QueueState) -> bool {
        let Some(limits) = &self.limits else { return true };
        match self.rule {
            RoomRule::Any => true,
            RoomRule::OtherRegion => false,
            RoomRule::FreeSlot => limits.has_room(queue, self.need),
            RoomRule::AnySlot => limits.has_slot(queue, self.need),
            RoomRule::SafeSlot => limits.has_safe_room(queue, self.need),
        }
    }
}

impl CandidateContext<'_> {
    /// Returns the properties of an upstream that the choice depends on.
    fn candidate<'a>(&self, upstream: &'a Upstream) -> UpstreamCandidate<'a> {
        let Self { shared, now, .. } = *self;
        let performance = *upstream.performance.lock();
        let speed = performance.speed.factors(now);
        let slot_time = self.slot_time.mul_f64(speed.decode);
        let queue = performance.queue_after_refusal(upstream.queue(), slot_time, now);
        let queue = performance.reported_load.queue(queue, slot_time, now);
        let slowdown =
            performance.reported_load.slowdown(&performance.slowdown, upstream.stream_count(), now);
        UpstreamCandidate {
            name: upstream.name(),
            queue,
            speed,
            slowdown,
            latency_factor: performance.latency_factor(now),
            failure_share: performance.failure_share(now),
            long_pause_share: performance.long_pause_share(now),
            transfer_cost: self.transfer_cost(upstream),
            cached_tokens: self.cached_tokens(upstream),
            is_ejected: upstream.is_ejected(now) || self.is_lost && is_unreachable(upstream),
            is_throttled: paced_for(upstream, now).is_some(),
            is_tried: self.tried.upstreams.contains(upstream.name()),
            has_room: self.room.has_room(queue)
                && has_free_slot(shared, self.holders, upstream, now),
        }
    }

    fn transfer_cost(&self, upstream: &Upstream) -> f64 {
        if upstream.identity.data_centre == self.shared.settings.data_centre {
            return 0.0;
        }
        RequestCost::of_bytes(self.job.body.len(), CENTRE_BYTE_PRICE, self.job.size()).0
    }

    fn cached_tokens(&self, upstream: &Upstream) -> u32 {
        let segments = self.job.shared_segments();
        if segments.is_empty() {
            return 0;
        }
        let prefix_caches = self.shared.prefix_caches.lock();
        prefix_caches.cached_tokens(upstream.tag, segments, upstream.identity.prompt_memory)
    }
}

/// Whether no connection to an upstream is left, and none could be opened at the last attempt.
fn is_unreachable(upstream: &Upstream) -> bool {
    upstream.pool.is_failing_to_open() && !upstream.pool.has_usable_connection()
}

/// Returns the queueing time that this VM expects for a request of timely rank at an upstream.
pub fn expected_wait(
    upstream: &Upstream,
    performance: &ServicePerformance,
    now: MonoTime,
) -> Duration {
    let measured = *upstream.performance.lock();
    let performance = performance.at_speed(measured.speed.factors(now));
    let queue = match performance.work_time {
        Some(_) => upstream.queue().in_order_of_arrival(),
        None => upstream.queue(),
    };
    let wait = performance.wait(queue, QueueRank::Timely);
    wait.mul_f64(measured.latency_factor(now))
}
