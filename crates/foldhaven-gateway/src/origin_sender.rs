//! Sends the origins of streams to the VMs that hold them, and asks these VMs for origins.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::peer_table::{RegionTag, ServiceTag, VmTag};
use foldhaven_core::opaque::stream_origins::{AttemptTag, HolderPlanner, OriginNotice};
use tokio::time::sleep;

use crate::origin_tracker::AskedVms;
use crate::peer_message::PeerMessage;
use crate::peer_socket::PeerSocket;
use crate::shared::GatewayShared;
use crate::view::{GatewayView, MemberView, PeerLink};

/// Time for which origins are gathered before they are sent. It is below the time from the head of
/// an answer to its first event.
const GATHERING_TIME: Duration = Duration::from_millis(15);
/// Interval at which it is checked whether a service has got a second software version, so that the
/// origins of its running streams have to be sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which other VMs are asked which software versions served, while that is not known.
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of origins or questions in one datagram.
const MAX_PER_DATAGRAM: usize = 512;

/// The other VMs that serve, by their tags.
struct HolderDirectory {
    planner: HolderPlanner,
    addresses: HashMap<VmTag, SocketAddr>,
}

impl HolderDirectory {
    fn of(members: &MemberView, shared: &GatewayShared) -> Self {
        let own_region = shared.settings.region();
        let mut planner = HolderPlanner::default();
        let mut addresses = HashMap::new();
        for (region, peers) in &members.regions {
            let tags: Vec<VmTag> = peers.links.iter().map(|link| link.tag).collect();
            let address = |link: &Arc<PeerLink>| (link.tag, link.address);
            addresses.extend(peers.links.iter().map(address));
            match region == own_region {
                true => planner.own_region = tags,
                false => planner.other_regions.push((RegionTag::of(region), tags)),
            }
        }
        Self { planner, addresses }
    }

    fn addresses(&self, vms: Vec<VmTag>) -> Vec<SocketAddr> {
        vms.into_iter().filter_map(|vm| self.addresses.get(&vm).copied()).collect()
    }
}

/// Sends origins and questions.
pub struct OriginSender {
    pub socket: Arc<PeerSocket>,
    pub shared: Arc<GatewayShared>,
}

impl OriginSender {
    /// Sends what there is to send, for as long as the process runs.
    pub async fn run(self) {
        // The directory is built again only after the members have changed.
        let mut known: Option<(Arc<MemberView>, HolderDirectory)> = None;
        let mut next_history = self.shared.now();
        loop {
            tokio::select! {
                () = self.shared.origins.wait_for_updates() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
            let Some(view) = self.shared.view() else { continue };
            let current = known.take().filter(|(members, _)| Arc::ptr_eq(members, &view.members));
            let (members, directory) = current.unwrap_or_else(|| {
                (view.members.clone(), HolderDirectory::of(&view.members, &self.shared))
            });
            if self.lacks_history(&view) && self.shared.now() >= next_history {
                next_history = self.shared.now() + HISTORY_INTERVAL;
                // Other VMs each time, since some may know no more than this one.
                let targets = directory.planner.holders(AttemptTag(rand::random()));
                self.ask_for_history(&directory.addresses(targets)).await;
            }
            self.send_questions(&view, &directory).await;
            if !self.mixed_services(&view).is_empty() {
                sleep(GATHERING_TIME).await;
                self.send_notices(&view, &directory).await;
                self.send_questions(&view, &directory).await;
            }
            known = Some((members, directory));
        }
    }

    /// Whether versions may have served of which this VM does not know.
    fn lacks_history(&self, view: &GatewayView) -> bool {
        !view.software.is_complete(self.shared.now())
    }

    async fn ask_for_history(&self, targets: &[SocketAddr]) {
        self.socket.send_to(targets, &PeerMessage::SoftwareQuestion).await;
    }

    /// Returns the services whose streams may have begun at different software. They are all
    /// services while this VM may lack news, and all of a route with several ones.
    fn mixed_services<'a>(&self, view: &'a GatewayView) -> BTreeSet<&'a ServiceName> {
        if self.shared.is_possibly_outdated() {
            return view.software.services().collect();
        }
        let routes = view.routes.description().routes.iter();
        let split = routes.filter(|route| route.services.len() > 1);
        let split = split.flat_map(|route| route.services.iter().map(|it| &it.service));
        view.software.mixed_services(self.shared.now()).chain(split).collect()
    }

    /// Sends the origins of the streams of services with several software versions.
    async fn send_notices(&self, view: &GatewayView, directory: &HolderDirectory) {
        if directory.addresses.is_empty() {
            return;
        }
        let now = self.shared.now();
        let mut by_holder: HashMap<SocketAddr, Vec<OriginNotice>> = HashMap::new();
        for service in self.mixed_services(view) {
            for notice in self.shared.origins.take_unsent(ServiceTag::of(service), now) {
                let holders = directory.planner.holders(notice.attempt);
                for holder in directory.addresses(holders) {
                    by_holder.entry(holder).or_default().push(notice);
                }
            }
        }
        for (holder, notices) in by_holder {
            for chunk in notices.chunks(MAX_PER_DATAGRAM) {
                self.socket.send_to(&[holder], &PeerMessage::Origins(chunk.to_vec())).await;
            }
        }
    }

    async fn send_questions(&self, view: &GatewayView, directory: &HolderDirectory) {
        let asked = |attempt: AttemptTag| AskedVms {
            all: directory.addresses(directory.planner.asked(attempt)).into_iter().collect(),
            voters: directory.addresses(directory.planner.voters(attempt)).into_iter().collect(),
        };
        for (target, attempts) in self.shared.origins.take_questions(asked) {
            if self.lacks_history(view) {
                self.ask_for_history(&[target]).await;
            }
            for chunk in attempts.chunks(MAX_PER_DATAGRAM) {
                let message = PeerMessage::OriginQuestions(chunk.to_vec());
                self.socket.send_to(&[target], &message).await;
            }
        }
    }
}
