//! Sends and receives the UDP messages between VMs. UDP is used so that an unresponsive VM cannot
//! delay the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::opaque::account_demand::{
    DEMAND_INTERVAL, LocalDemand, MAX_ACCOUNTS_PER_MESSAGE,
};
use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::load_reports::LoadReport;
use foldhaven_core::opaque::peer_table::{
    LEARNING_INTERVAL, PlannedHeartbeats, RequestedHeartbeats, ViewAnswer,
};
use foldhaven_core::opaque::report_planner::{ReportBatch, ReportUpdates};
use foldhaven_core::opaque::sender_agreement::AGREEMENT_INTERVAL;
use foldhaven_core::opaque::speed_reports::SPEED_INTERVAL;
use foldhaven_core::opaque::suspects::RecordSource;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::clock::BootInstant;
use crate::control::{
    ControlAddress, OutgoingChanges, OutgoingUpdate, PlanAgreementRound, PlanDemandReports,
    PlanHeartbeats, PlanLoadReport, PlanSpeedReport, PlannedLoadReport, ReceiveAgreement,
    ReceiveBrittleNotices, ReceiveChanges, ReceiveEarlyChanges, ReceiveHeartbeat,
    ReceiveLeavingNotices, ReceiveLevelReport, ReceiveLoadReport, ReceiveLocalDemand,
    ReceivePathNotices, ReceivePlacements, ReceiveRegionDemand, ReceiveRegionReport,
    ReceiveRevisionNotice, ReceiveRoomReport, ReceiveSoftwareHistory, ReceiveSpeedReport,
    ReceiveUpstreamRateLimits, ReceiveView, ReceiveViewList,
};
use crate::feed::NumberedChange;
use crate::peer_message::{MAX_DATAGRAM, PeerMessage, SuspectMessage};
use crate::peer_socket::PeerSocket;
use crate::platform_state::EarlyChanges;
use crate::shared::GatewayShared;
use crate::suspect_sender::suspect_message;
use crate::suspects::SuspectKind;

/// Maximum number of prompt segments in one datagram. A segment is a hash and a token count of at
/// most 14 bytes together, so that half of the datagram is left for other content.
const MAX_PROMPT_SEGMENTS: usize = 580;
/// A VM without requests sends a report only every this many rounds.
const IDLE_REPORT_EVERY: u32 = 4;

/// Forwards platform changes to VMs that do not read the platform themselves, and sends
/// announcements of revisions. Changes that do not fit into a datagram have to be requested by the
/// receivers; urgent ones among them are sent ahead.
pub async fn send_updates(
    socket: Arc<PeerSocket>,
    mut updates: mpsc::UnboundedReceiver<OutgoingUpdate>,
    shared: Arc<GatewayShared>,
) {
    while let Some(update) = updates.recv().await {
        match update {
            OutgoingUpdate::Changes(update) => send_changes(&socket, update, &shared).await,
            OutgoingUpdate::Notice { targets, notice } => {
                socket.send_to(&targets, &PeerMessage::News(notice)).await;
            }
        }
    }
}

async fn send_changes(socket: &PeerSocket, update: OutgoingChanges, shared: &GatewayShared) {
    let OutgoingChanges { targets, changes, offer } = update;
    let (revision, count) = (changes.revision, changes.changes.len());
    let urgent = changes.changes.iter().filter(|it| EarlyChanges::may_apply_early(&it.change));
    let urgent: Vec<NumberedChange> = urgent.cloned().collect();
    let mut is_offered = false;
    let bytes = PeerMessage::Changes(changes).bytes().or_else(|error| {
        is_offered = true;
        shared.metrics.count_event("changes_too_large");
        let early = urgent.len();
        tracing::warn!(
            revision,
            count,
            early,
            error = %error,
            "changes do not fit into a datagram and have to be requested"
        );
        PeerMessage::Early(urgent).bytes()
    });
    match bytes {
        Ok(bytes) => {
            let sum = (bytes.len() * targets.len()) as u64;
            shared.metrics.count_event("changes_told");
            shared.metrics.add_events("changes_told_bytes", sum);
            socket.send_bytes(&targets, &bytes, PeerMessage::CHANGES_METRIC).await;
        }
        Err(error) => tracing::warn!(revision, error = %error, "sending changes failed"),
    }
    if is_offered {
        socket.send_to(&targets, &PeerMessage::News(offer)).await;
    }
}

/// Reports this VM's load at the upstreams to the other VMs of the region.
pub async fn send_reports(socket: Arc<PeerSocket>, control: ControlAddress) {
    let mut idle_rounds = 0;
    let mut timer_delay = Duration::ZERO;
    loop {
        let Ok(planned) = control.send(PlanLoadReport { timer_delay }).await else { return };
        let PlannedLoadReport {
            report,
            levels,
            batches,
            remote_targets,
            remote_placements,
            region,
            rooms,
            relayed_rooms,
            interval,
        } = planned;
        let is_idle = !report.is_active() && batches.iter().all(|batch| batch.updates.is_empty());
        // The first idle report says that the earlier requests have ended; later ones say that this
        // VM is live.
        if !is_idle || idle_rounds % IDLE_REPORT_EVERY == 0 {
            for ReportBatch { targets, updates } in batches {
                let ReportUpdates { placements, regions } = updates;
                let report = LoadReport { placements, regions, ..report.clone() };
                send_report(&socket, &targets, report).await;
                if let Some(levels) = &levels {
                    socket.send_to(&targets, &PeerMessage::Levels(levels.clone())).await;
                }
                for room in &relayed_rooms {
                    socket.send_to(&targets, &PeerMessage::LevelRooms(room.clone())).await;
                }
            }
        }
        for placements in datagram_chunks(remote_placements) {
            socket.send_to(&remote_targets, &PeerMessage::Placements(placements)).await;
        }
        if let Some(region) = region {
            socket.send_to(&remote_targets, &PeerMessage::Region(region)).await;
        }
        if let Some(rooms) = rooms {
            socket.send_to(&remote_targets, &PeerMessage::LevelRooms(rooms)).await;
        }
        idle_rounds = if is_idle { idle_rounds + 1 } else { 0 };
        let slept = BootInstant::now();
        sleep(interval).await;
        timer_delay = slept.elapsed().saturating_sub(interval);
    }
}

/// Sends a load report. Since it also shows that this VM is live, it has to fit into a datagram:
/// excess prompt placements are left out, as they only make requests faster.
async fn send_report(socket: &PeerSocket, targets: &[SocketAddr], mut report: LoadReport) {
    let mut chunks = datagram_chunks(std::mem::take(&mut report.placements)).into_iter();
    report.placements = chunks.next().unwrap_or_default();
    let left_out: usize = chunks.map(|chunk| chunk.len()).sum();
    if left_out > 0 {
        tracing::warn!(
            placements = report.placements.len(),
            left_out,
            "prompt placements were left out of a load report"
        );
    }
    socket.send_to(targets, &PeerMessage::Load(report)).await;
}

/// Splits prompt placements into chunks that fit into a datagram with other content.
fn datagram_chunks(placements: Vec<PromptPlacement>) -> Vec<Vec<PromptPlacement>> {
    let mut chunks: Vec<Vec<PromptPlacement>> = Vec::new();
    let mut segments = MAX_PROMPT_SEGMENTS;
    for mut placement in placements {
        // The beginning of the prompt is kept, since prompts share their beginnings.
        placement.shared.truncate(MAX_PROMPT_SEGMENTS - 1);
        let size = placement.shared.len() + 1;
        match chunks.last_mut() {
            Some(chunk) if segments + size <= MAX_PROMPT_SEGMENTS => chunk.push(placement),
            _ => {
                segments = 0;
                chunks.push(vec![placement]);
            }
        }
        segments += size;
    }
    chunks
}

/// Receives datagrams and dispatches them to the control actor.
pub async fn receive_datagrams(
    socket: Arc<PeerSocket>,
    control: ControlAddress,
    shared: Arc<GatewayShared>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram was sent to a closed port. The socket stays usable.
                tracing::debug!(error = %error, "receiving a datagram failed");
                continue;
            }
        };
        let message = match PeerMessage::read(&buffer[..length]) {
            Ok(message) => message,
            Err(error) => {
                shared.metrics.count_event("datagram_unreadable");
                if shared.quota.take(true) {
                    tracing::warn!(peer = %sender, error = %error, "a message could not be read");
                }
                continue;
            }
        };
        if let Some(starting_peer_address) = starting_peer(&message) {
            send_suspects_to_starting_peer(&socket, &shared, starting_peer_address).await;
        }
        let message = match message {
            PeerMessage::Suspects(suspects) => {
                apply_suspects(&shared, SuspectKind::Requests, &suspects);
                continue;
            }
            PeerMessage::SuspectSegments(suspects) => {
                apply_suspects(&shared, SuspectKind::Segments, &suspects);
                continue;
            }
            PeerMessage::Origins(notices) => {
                shared.origins.merge(&notices, shared.now());
                continue;
            }
            PeerMessage::SoftwareQuestion => {
                send_software_history(&socket, &shared, sender).await;
                continue;
            }
            PeerMessage::OriginQuestions(attempts) => {
                if has_mixed_service(&shared) {
                    send_software_history(&socket, &shared, sender).await;
                }
                let answers = shared.origins.answer(&attempts, shared.now());
                socket.send_to(&[sender], &PeerMessage::OriginAnswers(answers)).await;
                continue;
            }
            PeerMessage::OriginAnswers(answers) => {
                shared.origins.apply_answers(&answers, sender, shared.now());
                continue;
            }
            message => message,
        };
        match dispatch(&control, message).await {
            Ok(replies) => send_all(&socket, replies).await,
            Err(_) => return,
        }
    }
}

/// Whether this VM knows a service of which the software of a stream is in doubt.
fn has_mixed_service(shared: &GatewayShared) -> bool {
    let now = shared.now();
    shared.view().is_some_and(|view| view.software.mixed_services(now).next().is_some())
}

/// Tells another VM which software versions this one knows.
async fn send_software_history(socket: &PeerSocket, shared: &GatewayShared, target: SocketAddr) {
    let Some(view) = shared.view() else { return };
    if let Some(history) = view.software.history(view.offer.revision, shared.now()) {
        socket.send_to(&[target], &PeerMessage::Software(history)).await;
    }
}

/// Messages with their targets.
type OutgoingMessages = Vec<(SocketAddr, PeerMessage)>;

fn heartbeat_messages(replies: PlannedHeartbeats) -> OutgoingMessages {
    replies.into_iter().map(|(target, heartbeat)| (target, PeerMessage::Beat(heartbeat))).collect()
}

/// Dispatches a message to the control actor. Returns the messages to send in reply.
async fn dispatch(
    control: &ControlAddress,
    message: PeerMessage,
) -> Result<OutgoingMessages, xtra::Error> {
    match message {
        PeerMessage::Beat(message) => {
            let replies = control.send(ReceiveHeartbeat { message }).await?;
            return Ok(heartbeat_messages(replies));
        }
        PeerMessage::View(notice) => {
            let answer = control.send(ReceiveView { notice }).await?;
            return Ok(match answer {
                ViewAnswer::Nothing => Vec::new(),
                ViewAnswer::List(target, list) => vec![(target, PeerMessage::ViewList(list))],
            });
        }
        PeerMessage::ViewList(list) => {
            let replies = control.send(ReceiveViewList { list }).await?;
            return Ok(heartbeat_messages(replies));
        }
        PeerMessage::Pact(notice) => {
            let answer = control.send(ReceiveAgreement { notice }).await?;
            let answer = answer.map(|(target, notice)| (target, PeerMessage::Pact(notice)));
            return Ok(answer.into_iter().collect());
        }
        PeerMessage::Changes(changes) => control.send(ReceiveChanges { changes }).await?,
        PeerMessage::Early(changes) => control.send(ReceiveEarlyChanges { changes }).await?,
        PeerMessage::Placements(placements) => {
            control.send(ReceivePlacements { placements }).await?
        }
        PeerMessage::Region(report) => control.send(ReceiveRegionReport { report }).await?,
        PeerMessage::Load(report) => control.send(ReceiveLoadReport { report }).await?,
        PeerMessage::Rooms(report) => {
            control.send(ReceiveRoomReport { report: report.into() }).await?
        }
        PeerMessage::LevelRooms(report) => control.send(ReceiveRoomReport { report }).await?,
        PeerMessage::Levels(report) => control.send(ReceiveLevelReport { report }).await?,
        PeerMessage::News(notice) => control.send(ReceiveRevisionNotice { notice }).await?,
        PeerMessage::Demand(demand) => control.send(ReceiveLocalDemand { demand }).await?,
        PeerMessage::RegionDemand(demand) => control.send(ReceiveRegionDemand { demand }).await?,
        PeerMessage::Limits(limits) => control.send(ReceiveUpstreamRateLimits { limits }).await?,
        PeerMessage::Brittle(notices) => control.send(ReceiveBrittleNotices { notices }).await?,
        PeerMessage::Leavers(leavers) => control.send(ReceiveLeavingNotices { leavers }).await?,
        PeerMessage::Speeds(report) => control.send(ReceiveSpeedReport { report }).await?,
        PeerMessage::Paths(message) => control.send(ReceivePathNotices { message }).await?,
        PeerMessage::Software(history) => control.send(ReceiveSoftwareHistory { history }).await?,
        PeerMessage::Suspects(_)
        | PeerMessage::SuspectSegments(_)
        | PeerMessage::SoftwareQuestion
        | PeerMessage::Origins(_)
        | PeerMessage::OriginQuestions(_)
        | PeerMessage::OriginAnswers(_) => {}
    }
    Ok(OutgoingMessages::new())
}

/// Returns the address of the sender if the message requests all heartbeats, as VMs do after their
/// start.
fn starting_peer(message: &PeerMessage) -> Option<SocketAddr> {
    match message {
        PeerMessage::Beat(heartbeat) if heartbeat.requests == RequestedHeartbeats::All => {
            Some(heartbeat.own.peer)
        }
        _ => None,
    }
}

/// Sends the suspected requests to a VM that has just started. An empty message is sent as well,
/// because that VM waits for it.
async fn send_suspects_to_starting_peer(
    socket: &PeerSocket,
    shared: &GatewayShared,
    target: SocketAddr,
) {
    // The segments come first, since that VM waits for the requests only.
    for kind in [SuspectKind::Segments, SuspectKind::Requests] {
        let records = shared.suspects.startup_records(kind);
        let region = shared.settings.region().clone();
        let message = suspect_message(kind, SuspectMessage { region, records });
        socket.send_to(&[target], &message).await;
    }
}

/// Applies the suspected requests that another VM sent.
fn apply_suspects(shared: &GatewayShared, kind: SuspectKind, suspects: &SuspectMessage) {
    let source = match suspects.region == *shared.settings.region() {
        true => RecordSource::Local,
        false => RecordSource::Remote,
    };
    shared.suspects.merge_records(kind, &suspects.records, source, &shared.change_context());
}

/// Sends heartbeats in rounds, and immediately when this daemon starts to leave or finds that it
/// was suspended.
pub async fn send_heartbeats(
    socket: Arc<PeerSocket>,
    control: ControlAddress,
    shared: Arc<GatewayShared>,
) {
    let mut stage = shared.stage.subscribe();
    let mut pause = LEARNING_INTERVAL;
    loop {
        let to_all = tokio::select! {
        () = sleep(pause) => false,
        Ok(()) = stage.changed() => true,
        () = shared.wake.wait_for_suspension() => false,
        };
        let Ok(round) = control.send(PlanHeartbeats { to_all }).await else { return };
        pause = round.next_in;
        let targets: Vec<SocketAddr> = round.heartbeats.iter().map(|(target, _)| *target).collect();
        send_all(&socket, heartbeat_messages(round.heartbeats)).await;
        socket.send_to(&round.view_targets, &PeerMessage::View(round.view)).await;
        if let Some(notice) = round.notice {
            socket.send_to(&targets, &PeerMessage::News(notice)).await;
        }
    }
}

/// Sends this VM's list of senders to the VMs that share the region's rate limits, while a rate
/// limit of an upstream is in use.
pub async fn send_agreements(
    socket: Arc<PeerSocket>,
    control: ControlAddress,
    mut is_used: watch::Receiver<bool>,
) {
    loop {
        if is_used.wait_for(|is_used| *is_used).await.is_err() {
            return;
        }
        let Ok(planned) = control.send(PlanAgreementRound).await else { return };
        for (target, notice) in planned {
            socket.send_to(&[target], &PeerMessage::Pact(notice)).await;
        }
        sleep(AGREEMENT_INTERVAL).await;
    }
}

/// Sends the demand of callers with account limits to other VMs.
pub async fn send_demands(socket: Arc<PeerSocket>, control: ControlAddress) {
    loop {
        let Ok(planned) = control.send(PlanDemandReports).await else { return };
        if let Some(local) = planned.local {
            send_local_demand(&socket, &planned.local_targets, local).await;
        }
        if let Some(remote) = planned.remote {
            socket.send_to(&planned.remote_targets, &PeerMessage::RegionDemand(remote)).await;
        }
        sleep(DEMAND_INTERVAL).await;
    }
}

/// Sends the demand to the VMs of this region. If it may not fit into a datagram, it is split into
/// one message for this VM's own demand and one for each other region.
async fn send_local_demand(socket: &PeerSocket, targets: &[SocketAddr], demand: LocalDemand) {
    let own = demand.own.as_ref().map_or(0, |own| own.demands.len());
    let entries: usize = own + demand.regions.iter().map(|it| it.demands.len()).sum::<usize>();
    if entries <= MAX_ACCOUNTS_PER_MESSAGE {
        socket.send_to(targets, &PeerMessage::Demand(demand)).await;
        return;
    }
    let LocalDemand { own, regions } = demand;
    let own = own.map(|own| LocalDemand { own: Some(own), regions: Vec::new() });
    let regions = regions.into_iter().map(|it| LocalDemand { own: None, regions: vec![it] });
    for part in own.into_iter().chain(regions) {
        socket.send_to(targets, &PeerMessage::Demand(part)).await;
    }
}

/// Sends the speeds of upstreams that this VM has measured to the other VMs of its region.
pub async fn send_speeds(socket: Arc<PeerSocket>, control: ControlAddress) {
    loop {
        let Ok(planned) = control.send(PlanSpeedReport).await else { return };
        if let Some(planned) = planned {
            socket.send_to(&planned.targets, &PeerMessage::Speeds(planned.report)).await;
        }
        sleep(SPEED_INTERVAL).await;
    }
}

async fn send_all(socket: &PeerSocket, planned: OutgoingMessages) {
    for (target, message) in planned {
        socket.send_to(&[target], &message).await;
    }
}
