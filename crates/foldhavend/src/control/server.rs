//! Answers the control calls of other daemons.

use std::sync::Arc;

use foldhaven_core::description::{SectionDigest, SectionManifest};
use foldhaven_wire::control::{ExchangeReply, ExchangeRequest, PeerControl, StateReply};
use tarpc::context::Context;

use super::KeeperAddress;
use super::messages::{HearExchange, ReadSections, ReadState};
use crate::shared::SharedState;

/// The server side of [`PeerControl`].
#[derive(Clone)]
pub(super) struct ControlServer {
    pub(super) keeper: KeeperAddress,
    pub(super) shared: Arc<SharedState>,
}

/// The actor lives as long as the process.
const ALIVE: &str = "the control actor runs as long as its thread";

impl PeerControl for ControlServer {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> ExchangeReply {
        self.keeper.send(HearExchange { request }).await.expect(ALIVE)
    }

    async fn state(self, _: Context) -> StateReply {
        let held = self.keeper.send(ReadState).await.expect(ALIVE);
        let data_centre = self.shared.settings.data_centre.clone();
        StateReply { stamp: held.stamp, data_centre, upstreams: held.list }
    }

    async fn manifest(self, _: Context) -> Option<SectionManifest> {
        self.keeper.send(ReadState).await.expect(ALIVE).manifest
    }

    async fn sections(self, _: Context, digests: Vec<SectionDigest>) -> Vec<String> {
        self.keeper.send(ReadSections { digests }).await.expect(ALIVE)
    }
}
