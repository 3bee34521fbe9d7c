//! Requests under which upstreams ended, so that one that ends whatever runs it is sent on no more.
//!
//! When an upstream ends, all requests that were there are victims, and at most a few of them are to blame. Each VM
//! notes the fingerprints of those that it had there, and all VMs put their notes together: a fingerprint that was
//! at several upstreams that ended, and has never been answered whole, is refused. Notes of several VMs are joined
//! in any order and any number of times with the same outcome, so no VM has to decide for the others.

mod in_flight;
mod record;
mod table;

pub use self::in_flight::{InFlightId, InFlightRequests};
pub use self::record::{MAX_EXITS, MAX_PROBES, RecordError, SuspectRecord};
pub use self::table::{
    MAX_RECORDS_PER_MESSAGE, PROBE_EXITS, REFUSE_EXITS, RecordSource, SuspectChange, SuspectTable,
    SuspectUpdate, SuspectVerdict, UpdateScope,
};
