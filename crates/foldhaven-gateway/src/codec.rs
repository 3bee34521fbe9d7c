//! The binary encoding of messages between VMs.

use bincode::Options;

/// Returns the codec of datagrams and platform state. It encodes integers with variable length,
/// since traffic between data centres is billed by the byte.
pub fn peer_codec() -> impl Options {
    bincode::DefaultOptions::new()
}
