//! A digest that shows whether two VMs hold the same content for the same version of the
//! description.

use bincode::Options;
use foldhaven_core::opaque::route_table::{OpaqueRoute, RouteDescription};
use xxhash_rust::xxh3::Xxh3;

use crate::codec::peer_codec;

/// Returns the digest of a description's content. The order of its routes does not matter.
pub fn description_digest(description: &RouteDescription) -> bincode::Result<u64> {
    let mut routes: Vec<&OpaqueRoute> = description.routes.iter().map(AsRef::as_ref).collect();
    routes.sort_by(|left, right| left.name.cmp(&right.name));
    let mut hasher = Xxh3::new();
    for route in routes {
        hasher.update(&peer_codec().serialize(route)?);
    }
    let rest = (&description.services, &description.limits);
    hasher.update(&peer_codec().serialize(&rest)?);
    if let Some(accounts) = description.accounts.as_deref() {
        hasher.update(&peer_codec().serialize(accounts)?);
    }
    Ok(hasher.digest())
}
