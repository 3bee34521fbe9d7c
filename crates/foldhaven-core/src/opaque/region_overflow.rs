//! Decides which part of the requests without a priority level goes to another region.
//!
//! The load that it answers: for seconds, the callers of one region send it more than its few
//! upstreams can take, while those of other regions are idle. All VMs of the region see the same
//! reports, so a choice by the lower cost alone would move all requests at once, and back again.

use crate::opaque::choice::RequestCost;

/// Returns the share of requests to send to another region, by the costs at home and there.
///
/// No request is sent at equal costs and all of them if the other region is cheaper by twice the
/// margin, so that half of them are sent at the margin itself.
pub fn share_sent_away(home: RequestCost, away: RequestCost, margin: RequestCost) -> f64 {
    let span = (2.0 * margin.0).max(f64::MIN_POSITIVE);
    ((home.0 - away.0) / span).clamp(0.0, 1.0)
}
