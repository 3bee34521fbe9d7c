//! Requests under which upstreams ended, so that one that ends whatever runs it is sent on no more.
//!
//! When an upstream ends, all requests that were there are victims, and at most a few of them are to blame. Each VM
//! notes the fingerprints of those that it had there, and all VMs put their notes together: a fingerprint that was
//! at several upstreams that ended, and has never been answered whole, is refused. Notes of several VMs are joined
//! in any order and any number of times with the same outcome, so no VM has to decide for the others.

mod guests;
mod record;
mod table;

pub use self::guests::{GuestBook, GuestId};
pub use self::record::{MAX_ENDS, MAX_TRIALS, RecordFault, SuspectRecord};
pub use self::table::{
    MAX_TOLD, NewsReach, REFUSED_ENDS, RecordSource, SuspectChange, SuspectNews, SuspectTable,
    SuspectVerdict, TRIED_ENDS,
};
