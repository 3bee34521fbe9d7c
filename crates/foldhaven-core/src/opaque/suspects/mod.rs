//! Suspected requests: finds requests that crash upstreams (poison requests), so that they are no
//! longer forwarded.
//!
//! When an upstream exits, any request that was there may be the cause, but at most a few of them
//! are. Each VM records the fingerprints of its own requests at the upstream, and all VMs merge
//! their records. A request is refused once its fingerprint was at several upstreams that exited
//! and was never answered completely. Merging is commutative and idempotent, so all VMs reach the
//! same result without a coordinator.

mod in_flight;
mod keys;
mod record;
mod table;

pub use self::in_flight::{InFlightId, InFlightRequests};
pub use self::keys::SuspectKeys;
pub use self::record::{MAX_EXITS, MAX_PROBES, RecordError, SuspectRecord};
pub use self::table::{
    MAX_RECORDS_PER_MESSAGE, PROBE_EXITS, REFUSE_EXITS, RecordSource, SuspectChange, SuspectTable,
    SuspectUpdate, SuspectVerdict, UpdateScope,
};
