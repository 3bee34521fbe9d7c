//! The number of idle connections that one VM may keep to an upstream with a connection limit over
//! all VMs.

/// The fraction of the limit that idle connections may use. The rest is for requests in flight.
const IDLE_SHARE: f64 = 0.5;
/// The maximum number of idle connections if the limit is high or there is none.
const MAX_IDLE: usize = 24;

/// Returns how many idle connections this VM may keep to one upstream.
///
/// `limit` is the number of connections that the upstream accepts from all VMs together, 0 for no
/// limit; `vms` is the number of VMs that reach it. The result is at least 1: opening a connection
/// for each request would use as many.
pub fn max_idle_connections(limit: u32, vms: usize) -> usize {
    if limit == 0 {
        return MAX_IDLE;
    }
    let share = f64::from(limit) * IDLE_SHARE / vms.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE)
}
