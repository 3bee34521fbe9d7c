//! Adopts descriptions and answers queries about the adopted one.

use foldhaven_core::description::DescriptionIndex;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::control::messages::*;

impl Handler<RecordStamp> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: RecordStamp, context: &mut Context<Self>) {
        if Some(message.stamp) > self.stamp() {
            let actor = context.mailbox().address().try_upgrade().expect("the actor is running");
            self.fetch_from(message.source, &actor);
        }
    }
}

impl Handler<EndFetch> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: EndFetch, _: &mut Context<Self>) {
        self.is_fetching = false;
    }
}

impl Handler<OfferDescription> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, message: OfferDescription, _: &mut Context<Self>) -> bool {
        let offered = message.manifest.stamp();
        if Some(offered) <= self.stamp() {
            return false;
        }
        match DescriptionIndex::from_sections(message.manifest, message.sections) {
            Ok(index) => {
                tracing::info!(stamp = %offered, peer = message.source, "description adopted");
                self.index = Some(index);
                self.adopted_at = self.now();
                self.last_refusal = None;
                self.publish();
                self.shared.exchange_wakeup.notify_one();
                true
            }
            Err(error) => {
                let refused = format!("{offered} from {}: {error}", message.source);
                tracing::warn!(
                    step = "adopting a description",
                    peer = message.source,
                    stamp = %offered,
                    error = %error,
                    "description refused"
                );
                self.last_refusal = Some(refused);
                false
            }
        }
    }
}

impl ControlActor {
    /// Logs once for each description when it is in force: no waiting request was routed by an
    /// older one.
    pub(super) fn log_in_force(&mut self) {
        let in_force = self.stamp_in_force();
        if in_force.is_none() || in_force == self.logged_in_force || in_force != self.stamp() {
            return;
        }
        self.logged_in_force = in_force;
        tracing::info!(
            stamp = in_force.map(|stamp| stamp.to_string()),
            adopted_ms = self.now().since(self.adopted_at).as_millis() as u64,
            "description in force"
        );
    }
}

impl Handler<ReadState> for ControlActor {
    type Return = ControlSnapshot;

    async fn handle(&mut self, _: ReadState, _: &mut Context<Self>) -> ControlSnapshot {
        let index = self.index.as_ref();
        ControlSnapshot {
            stamp: self.stamp(),
            manifest: index.map(|index| index.manifest.clone()),
            sections: index.map(|index| index.sections.clone()).unwrap_or_default(),
            list: self.list.clone(),
            is_reader: self.is_reader(),
            peers: self.peer_addresses(),
        }
    }
}

impl Handler<ReadSections> for ControlActor {
    type Return = Vec<String>;

    async fn handle(&mut self, message: ReadSections, _: &mut Context<Self>) -> Vec<String> {
        let Some(index) = &self.index else { return Vec::new() };
        let held = message.digests.iter().filter_map(|digest| index.sections.get(digest));
        held.map(|content| content.to_string()).collect()
    }
}
