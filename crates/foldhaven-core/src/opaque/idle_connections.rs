//! How many unused connections one VM may keep to an upstream that takes a limited number from all.

/// The part of the limit that unused connections may take up; the rest is for requests under way.
const IDLE_SHARE: f64 = 0.5;
/// The most that are kept where no limit is described, or a high one.
const MAX_IDLE: usize = 24;

/// How many unused connections this VM may keep to one upstream.
///
/// `limit` is how many the upstream takes from all VMs together, 0 for no limit; `vms` how many VMs reach
/// it. One is kept at least: opening one for each request would take up as many.
pub fn max_idle_connections(limit: u32, vms: usize) -> usize {
    if limit == 0 {
        return MAX_IDLE;
    }
    let share = f64::from(limit) * IDLE_SHARE / vms.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE)
}
