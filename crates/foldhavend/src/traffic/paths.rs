//! URL paths at which callers and other VMs reach this daemon.

/// Path at which a peer accepts forwarded model requests.
pub const PEER_COMPLETIONS: &str = "/peer/v1/completions";
/// Path prefix at which a peer accepts forwarded service requests; the service name follows.
pub const PEER_SERVICE: &str = "/peer/v1/service/";
/// Path prefix at which the VM that issued a ticket accepts requests with that ticket from other
/// VMs; the service name follows.
pub const PEER_TICKETED: &str = "/peer/v1/ticketed/";
/// Path prefix at which callers reach services; the service name follows.
pub const CALLER_SERVICE: &str = "/service/";
