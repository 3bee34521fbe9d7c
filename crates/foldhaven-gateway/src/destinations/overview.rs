//! Describes the possible destinations of a request to operators and in logs.

use std::fmt::Write;

use foldhaven_wire::operator::DestinationPrice;

use super::TriedDestinations;
use super::local::price_local;
use super::remote::{has_remote_room_in, price_remote};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::view::GatewayView;

/// Maximum number of upstreams of a region that are checked for ejection.
const MAX_COUNTED: usize = 64;

/// Prices all possible destinations of a request.
pub fn price_destinations(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
) -> Vec<DestinationPrice> {
    let is_here = job.permits(shared.settings.region());
    let local = if is_here { price_local(shared, view, job) } else { Vec::new() };
    let local = local.into_iter().map(|(upstream, choice)| DestinationPrice {
        name: upstream.name().to_string(),
        is_remote: false,
        time_to_first_ms: choice.time_to_first.as_millis() as u64,
        prefill_tokens: choice.prefill_tokens,
        has_room: choice.has_room,
        breakdown: choice.breakdown,
    });
    let remote = price_remote(shared, view, job, &TriedDestinations::default());
    let remote = remote.into_iter().map(|remote| DestinationPrice {
        name: remote.region.to_string(),
        is_remote: true,
        time_to_first_ms: remote.choice.time_to_first.as_millis() as u64,
        prefill_tokens: remote.choice.prefill_tokens,
        has_room: has_remote_room_in(shared, view, job, &remote.region),
        breakdown: remote.breakdown,
    });
    local.chain(remote).collect()
}

/// Describes the regions and upstreams of a request that found no destination, for the log.
pub fn describe_candidates(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> String {
    let own_region = shared.settings.region();
    let now = shared.now();
    let mut text = String::new();
    let by_region = view.upstreams_of(&job.service).into_iter().flatten();
    for (region, group) in by_region {
        let upstreams = group.len();
        let vms = view.members.regions.get(region).map_or(0, |peers| peers.links.len());
        let is_own = region == own_region;
        let permitted = job.permits(region);
        let counted = group.iter().take(MAX_COUNTED);
        let ejected = counted.filter(|it| it.is_ejected(now)).count();
        let is_open = view.expected_waits.contains_key(&(region.clone(), job.service.clone()));
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{region}: {upstreams} upstreams, {vms} other VMs, own {is_own}, permitted {permitted}, \
             {ejected} ejected, open {is_open}; "
        );
    }
    text
}
