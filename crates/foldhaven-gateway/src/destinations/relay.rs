//! Chooses another VM of this region to send a request to the region's upstreams, if this VM cannot
//! reach them itself.

use std::sync::Arc;

use super::local::LocalChoice;
use super::{DestinationChoice, RequestDestination, TriedDestinations};
use crate::job::GatewayJob;
use crate::shared::GatewayShared;
use crate::view::{GatewayView, PeerLink};

/// A VM of this region, with the estimate for the upstream that this VM would choose.
pub(super) struct RelayChoice {
    pub(super) peer: Arc<PeerLink>,
    pub(super) local: LocalChoice,
}

impl RelayChoice {
    /// Makes the VM the destination of the request. It chooses the upstream itself.
    pub(super) fn into_choice(self) -> DestinationChoice {
        let choice = self.local.choice;
        DestinationChoice {
            destination: RequestDestination::Peer(self.peer),
            time_to_first: choice.time_to_first,
            prefill_tokens: choice.prefill_tokens,
            queue: self.local.estimate().queue,
            rank: choice.rank,
            prefill_before_answer: None,
            fetch_from: None,
            prefix: self.local.prefix,
        }
    }
}

/// Returns a random VM of this region that has paths to the upstreams of the service and that the
/// request was not sent to yet. VMs of this data centre are preferred. `needs_share`: it has to have
/// a share of the slots of brittle upstreams.
pub(super) fn pick_relay(
    shared: &GatewayShared,
    view: &GatewayView,
    job: &GatewayJob,
    tried: &TriedDestinations,
    needs_share: bool,
) -> Option<Arc<PeerLink>> {
    let settings = &shared.settings;
    let peers = view.members.regions.get(settings.region())?;
    let holders = view.slot_holders.newest();
    let is_usable = |peer: &&Arc<PeerLink>| {
        !tried.peers.contains(&peer.vm)
            && !shared.paths.is_lost_at(peer.tag, &job.service)
            && (!needs_share || holders.contains(&peer.tag))
    };
    let usable: Vec<&Arc<PeerLink>> = peers.links.iter().filter(is_usable).collect();
    let is_near = |peer: &&Arc<PeerLink>| peer.data_centre == settings.data_centre;
    let near: Vec<&Arc<PeerLink>> = usable.iter().copied().filter(is_near).collect();
    let open = if near.is_empty() { usable } else { near };
    let at = (rand::random::<f64>() * open.len() as f64) as usize;
    open.get(at).map(|peer| Arc::clone(peer))
}
