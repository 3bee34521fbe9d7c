//! Suspected requests: finds requests that crash upstreams (poison requests), so that they are no
//! longer forwarded.
//!
//! When an upstream exits, any request that was there may be the cause, but at most a few of them
//! are. Each VM records the fingerprints of its own requests at the upstream, and all VMs merge
//! their records. A request is refused once its fingerprint was at several upstreams that exited
//! and was never answered completely. Merging is commutative and idempotent, so all VMs reach the
//! same result without a coordinator.
//!
//! The cause may also be a segment of prompts that many requests share, of which no two are alike.
//! Segments are suspected in a table of their own. The segment that crashes upstreams is at each
//! exit, but so are those that all requests share: a refused segment explains its exits, which then
//! count against no other suspect.

mod entry;
mod in_flight;
mod keys;
mod policy;
mod record;
mod table;
mod updates;

pub use self::in_flight::{InFlightId, InFlightRequests};
pub use self::keys::SuspectKeys;
pub use self::policy::{PROBE_EXITS, REFUSE_EXITS, SuspectPolicy};
pub use self::record::{MAX_PROBES, RecordError, SuspectRecord};
pub use self::table::{
    MAX_RECORDS_PER_MESSAGE, RecordSource, SuspectChange, SuspectTable, SuspectVerdict,
};
pub use self::updates::{SuspectUpdate, UpdateScope};
