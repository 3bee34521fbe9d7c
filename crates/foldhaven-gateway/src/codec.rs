//! How VMs write what they tell each other.

use bincode::Options;

/// The codec of datagrams and of the platform's state: numbers take as many bytes as they need, since bytes
/// between data centres are paid for.
pub fn peer_codec() -> impl Options {
    bincode::DefaultOptions::new()
}
