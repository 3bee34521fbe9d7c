//! The RPC server that answers control calls of other daemons.

use std::sync::Arc;

use foldhaven_core::description::{SectionDigest, SectionManifest};
use foldhaven_wire::control::{ExchangeReply, ExchangeRequest, PeerControl, StateReply};
use tarpc::context::Context;

use super::ControlAddress;
use super::messages::{ReadSections, ReadState, ReceiveExchange};
use crate::shared::SharedState;

/// The server side of [`PeerControl`].
#[derive(Clone)]
pub(super) struct ControlServer {
    pub(super) actor: ControlAddress,
    pub(super) shared: Arc<SharedState>,
}

const ACTOR_ALIVE: &str = "the control actor runs as long as its thread";

impl PeerControl for ControlServer {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> ExchangeReply {
        self.actor.send(ReceiveExchange { request }).await.expect(ACTOR_ALIVE)
    }

    async fn state(self, _: Context) -> StateReply {
        let snapshot = self.actor.send(ReadState).await.expect(ACTOR_ALIVE);
        let data_centre = self.shared.settings.data_centre.clone();
        StateReply { stamp: snapshot.stamp, data_centre, upstreams: snapshot.list }
    }

    async fn manifest(self, _: Context) -> Option<SectionManifest> {
        self.actor.send(ReadState).await.expect(ACTOR_ALIVE).manifest
    }

    async fn sections(self, _: Context, digests: Vec<SectionDigest>) -> Vec<String> {
        self.actor.send(ReadSections { digests }).await.expect(ACTOR_ALIVE)
    }
}
