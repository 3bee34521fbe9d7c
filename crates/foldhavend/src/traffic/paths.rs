//! The paths under which callers and other VMs reach this daemon.

/// The path under which peers take forwarded model requests.
pub const PEER_COMPLETIONS: &str = "/peer/v1/completions";
/// The path under which peers take forwarded service requests.
pub const PEER_SERVICE: &str = "/peer/v1/service/";
/// The path under which an owner takes requests with its tickets from other VMs.
pub const PEER_TICKETED: &str = "/peer/v1/ticketed/";
/// The path under which callers reach services.
pub const CALLER_SERVICE: &str = "/service/";
