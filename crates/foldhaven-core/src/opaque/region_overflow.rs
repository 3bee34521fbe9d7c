//! Decides which part of the requests without a priority level goes to which other region.
//!
//! The load that it answers: for seconds, the callers of one region send it more than its few
//! upstreams can take, while those of other regions are idle. All VMs of the region see the same
//! reports, so a choice by the lowest cost alone would send all requests to the same upstreams until
//! the next report.

use crate::opaque::choice::RequestCost;

/// Returns the share of requests to send to another region, by the costs at home and there.
///
/// No request is sent at equal costs and all of them if the other region is cheaper by twice the
/// margin, so that half of them are sent at the margin itself.
pub fn share_sent_away(home: RequestCost, away: RequestCost, margin: RequestCost) -> f64 {
    let span = (2.0 * margin.0).max(f64::MIN_POSITIVE);
    ((home.0 - away.0) / span).clamp(0.0, 1.0)
}

/// Chooses the region that a request is sent to, by the costs at home and in the other regions.
/// Returns the index of the region, or `None` if the request stays at home. `draw` is a random
/// number, uniform in 0..1.
///
/// As many requests are sent away as the cheapest region alone would get. The regions share them in
/// proportion to what each would get alone.
pub fn draw_region(
    home: RequestCost,
    away: &[RequestCost],
    margin: RequestCost,
    draw: f64,
) -> Option<usize> {
    let shares = || away.iter().map(|cost| share_sent_away(home, *cost, margin));
    let sum: f64 = shares().sum();
    let largest = shares().fold(0.0, f64::max);
    if draw >= largest {
        return None;
    }
    let mut rest = draw / largest * sum;
    let drawn = shares().position(|share| {
        rest -= share;
        rest < 0.0
    });
    drawn.or_else(|| shares().position(|share| share == largest))
}
