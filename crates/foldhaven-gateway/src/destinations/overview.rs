//! Describes the possible destinations of a request to operators and in logs.

use std::collections::BTreeMap;
use std::fmt::Write;

use foldhaven_core::ids::RegionName;
use foldhaven_wire::operator::DestinationPrice;

use super::TriedDestinations;
use super::local::price_local;
use super::remote::price_remote;
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::view::GatewayView;

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
        breakdown: choice.breakdown,
    });
    let remote = price_remote(shared, view, job, &TriedDestinations::default());
    let remote = remote.into_iter().map(|remote| DestinationPrice {
        name: remote.region.to_string(),
        is_remote: true,
        time_to_first_ms: remote.choice.time_to_first.as_millis() as u64,
        prefill_tokens: remote.choice.prefill_tokens,
        breakdown: remote.breakdown,
    });
    local.chain(remote).collect()
}

/// Describes the regions and upstreams of a request that found no destination, for the log.
pub fn describe_candidates(shared: &GatewayShared, view: &GatewayView, job: &GatewayJob) -> String {
    let own_region = shared.settings.region();
    let mut text = String::new();
    let listed = view.upstreams_of(&job.service).iter();
    let mut by_region: BTreeMap<&RegionName, usize> = BTreeMap::new();
    for upstream in listed {
        *by_region.entry(&upstream.identity.region).or_default() += 1;
    }
    for (region, upstreams) in by_region {
        let vms = view.peers.iter().filter(|peer| peer.region == *region).count();
        let is_own = region == own_region;
        let permitted = job.permits(region);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "{region}: {upstreams} upstreams, {vms} other VMs, own {is_own}, permitted {permitted}; "
        );
    }
    text
}
