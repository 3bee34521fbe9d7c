//! Recorded messages between VMs can still be read, and are still written in the same way.
//!
//! During a rolling upgrade, two versions of the daemon exchange messages. If a message kind or
//! field moved, messages would be misread or rejected, and VMs would consider each other dead.

use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::account_demand::{AccountTag, LocalDemand, RegionDemand, VmDemand};
use foldhaven_core::opaque::account_table::{
    AccountDescription, AccountLimit, ClientAccount, KeyFingerprint, LimitUnit,
};
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::brittle_services::BrittleNotice;
use foldhaven_core::opaque::level_loads::LevelShare;
use foldhaven_core::opaque::load_reports::{LevelReport, report_interval};
use foldhaven_core::opaque::peer_table::{
    HeartbeatMessage, KnownCounts, LivenessUpdate, PeerHeartbeat, PeerPhase, RegionTag,
    RequestedHeartbeats, RevisionAnnouncement, ServiceTag, ViewDigest, ViewList, VmIncarnation,
    VmTag,
};
use foldhaven_core::opaque::priority_level::PriorityLevel;
use foldhaven_core::opaque::region_reports::REGION_INTERVAL;
use foldhaven_core::opaque::region_room::LevelRoom;
use foldhaven_core::opaque::room_reports::LevelRoomReport;
use foldhaven_core::opaque::route_delta::RouteDelta;
use foldhaven_core::opaque::route_table::{CallerLimits, RouteDescription, RouteVersion};
use foldhaven_core::opaque::sender_agreement::{AgreementNotice, AgreementRound, ListDigest};
use foldhaven_core::opaque::speed_reports::{
    MAX_NOTICES_PER_REPORT, ReportedSums, SpeedNotice, SpeedReport,
};
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use foldhaven_core::units::CoreShare;
use foldhaven_gateway::feed::{ChangeSet, FeedChange, NumberedChange};
use foldhaven_gateway::peer_message::{PeerMessage, SuspectMessage};
use rstest::rstest;

fn beat() -> PeerMessage {
    let own = PeerHeartbeat {
        vm: "vm-1".parse().unwrap(),
        incarnation: IncarnationId(1_700_000_000_000),
        sequence: 300,
        data_centre: "hall-a".parse().unwrap(),
        region: "north".parse().unwrap(),
        cores: CoreShare::ONE,
        caller: "127.0.0.1:8144".parse().unwrap(),
        peer: "127.0.0.1:7660".parse().unwrap(),
        phase: PeerPhase::Serving,
        version: RouteVersion(7),
        revision: 9,
        is_turned_away: false,
    };
    let pulse = LivenessUpdate {
        vm: VmTag(5),
        incarnation: IncarnationId(6),
        sequence: 7,
        phase: PeerPhase::Leaving,
        revision: 8,
        is_turned_away: true,
    };
    let requests = RequestedHeartbeats::Of(vec![VmTag(3)]);
    PeerMessage::Beat(HeartbeatMessage { own, liveness: vec![pulse], others: Vec::new(), requests })
}

fn changes() -> PeerMessage {
    PeerMessage::Changes(ChangeSet { after: 4, revision: 5, changes: Vec::new() })
}

fn suspects() -> PeerMessage {
    let region = "north".parse().unwrap();
    PeerMessage::Suspects(SuspectMessage { region, records: Vec::new() })
}

fn view() -> PeerMessage {
    PeerMessage::View(ViewDigest {
        vm: VmTag(1),
        incarnation: IncarnationId(2),
        region: RegionTag(3),
        digest: 4,
        known: KnownCounts { local: 5, all: 6 },
    })
}

fn list() -> PeerMessage {
    let lives = vec![
        VmIncarnation { vm: VmTag(3), incarnation_bits: 4 },
        VmIncarnation { vm: VmTag(70_000), incarnation_bits: 300 },
    ];
    PeerMessage::ViewList(ViewList { vm: VmTag(1), region: RegionTag(2), incarnations: lives })
}

fn pact() -> PeerMessage {
    let round = |number| AgreementRound { incarnation: IncarnationId(2), number };
    PeerMessage::Pact(AgreementNotice {
        vm: VmTag(1),
        round: round(3),
        list: Some(ListDigest(4)),
        answers: Some(round(5)),
        requests_reply: true,
    })
}

fn news() -> PeerMessage {
    PeerMessage::News(RevisionAnnouncement {
        vm: VmTag(1),
        incarnation: IncarnationId(2),
        revision: 3,
        age_ms: Some(4),
        is_offer: true,
    })
}

fn region_demand() -> RegionDemand {
    RegionDemand {
        region: RegionTag(1),
        delegate: VmTag(2),
        incarnation: IncarnationId(3),
        sequence: 4,
        heard_regions: vec![RegionTag(5)],
        demands: vec![(AccountTag(6), 7.5)],
    }
}

fn demand() -> PeerMessage {
    let demands = vec![(AccountTag(6), 7.5)];
    let own = VmDemand { vm: VmTag(2), incarnation: IncarnationId(3), sequence: 4, demands };
    PeerMessage::Demand(LocalDemand { own: Some(own), regions: vec![region_demand()] })
}

fn limits() -> PeerMessage {
    let notice =
        |upstream, per_s| LimitNotice { upstream: UpstreamTag(upstream), per_s, age_ms: 3 };
    PeerMessage::Limits(vec![notice(1, Some(2.5)), notice(2, None)])
}

fn leavers() -> PeerMessage {
    let notice = |upstream| LeavingNotice { upstream: UpstreamTag(upstream), age_ms: 3 };
    PeerMessage::Leavers(vec![notice(1), notice(300)])
}

fn brittle() -> PeerMessage {
    let notice = |service, per_s| BrittleNotice {
        service: ServiceTag(service),
        max_declined_per_s: NonZeroU32::new(per_s),
        age_ms: 3,
    };
    PeerMessage::Brittle(vec![notice(1, 2), notice(300, 0)])
}

/// Returns a description with an account, and the delta that removes the account.
fn keyed_changes() -> PeerMessage {
    let account = ClientAccount {
        name: "one".parse().unwrap(),
        keys: [KeyFingerprint::of(b"key")].into(),
        priority: Some(1),
        homes: vec!["north".parse().unwrap()],
        limit: Some(AccountLimit { unit: LimitUnit::Requests, per_s: 2.0, burst: 3.0 }),
    };
    let described = AccountDescription {
        accounts: [(account.name.clone(), Arc::new(account))].into(),
        open_routes: ["open".parse().unwrap()].into(),
    };
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    let before = RouteDescription {
        version: RouteVersion(1),
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        accounts: Some(Arc::new(described)),
    };
    let after = RouteDescription { version: RouteVersion(2), accounts: None, ..before.clone() };
    let delta = RouteDelta::between(&before, &after).unwrap();
    let changes =
        [FeedChange::Description(Box::new(before)), FeedChange::DescriptionDelta(Box::new(delta))];
    let numbered = changes.into_iter().map(|change| NumberedChange { revision: 5, change });
    PeerMessage::Changes(ChangeSet { after: 4, revision: 5, changes: numbered.collect() })
}

fn speeds(upstreams: u32) -> PeerMessage {
    let sums = ReportedSums { expected_s: 1.5, measured_s: 2.5 };
    let notice = |number| SpeedNotice {
        upstream: UpstreamTag(u32::MAX - number),
        prefill: sums,
        decode: ReportedSums::default(),
    };
    let notices = (0..upstreams).map(notice).collect();
    PeerMessage::Speeds(SpeedReport {
        vm: VmTag(1),
        incarnation: IncarnationId(2),
        sequence: 3,
        notices,
    })
}

// Guards against reports that fill the links of small VMs: in a region of 48 VMs each receives 47
// in a second, which may use 5 % of a link of 10 Mbit/s.
#[test]
fn a_full_speed_report_is_small() {
    let bytes = speeds(MAX_NOTICES_PER_REPORT as u32).bytes().unwrap();
    assert!(47 * bytes.len() <= 62_500, "{} bytes", bytes.len());
}

/// Returns the levels of requests at as many upstreams.
fn levels(requests: usize) -> PeerMessage {
    let share = |number| LevelShare {
        level: PriorityLevel::new(number),
        in_flight: 1,
        prefill_backlog: 12_000,
        memory_tokens: 30_000,
    };
    PeerMessage::Levels(LevelReport {
        vm: VmTag(1),
        incarnation: IncarnationId(2),
        sequence: 3,
        levels: vec![vec![share(3)]; requests],
        waiting: vec![(ServiceTag(9), vec![(PriorityLevel::new(5), 40)])],
    })
}

// Guards against reports of levels that take a tenth of the link of a small VM, 10 Mbit/s, while all
// slots are taken: each VM receives one from each other VM of its region in a report interval.
#[rstest]
#[case::size(72, 147)]
#[case::twice_the_size(144, 300)]
fn levels_of_a_whole_region_are_small(#[case] vms: usize, #[case] upstreams: usize) {
    let (slots, regions) = (16, 3);
    let bytes = levels(upstreams * slots / vms).bytes().unwrap().len();
    let others = vms / regions - 1;
    let received = bytes as f64 * others as f64 / report_interval(others).as_secs_f64();
    assert!(received < 125_000.0, "{bytes} bytes, {received} bytes/s");
}

/// Returns the room of a region for all levels of some services.
fn level_rooms(services: u32) -> PeerMessage {
    let room = |level| LevelRoom { level, surplus: -300, capacity: 1_120, is_sent_away: true };
    let of_service = |service| (ServiceTag(service), PriorityLevel::all().map(room).collect());
    PeerMessage::LevelRooms(LevelRoomReport {
        region: "north".parse().unwrap(),
        delegate: VmTag(1),
        incarnation: IncarnationId(2),
        sequence: 3,
        is_relayed: false,
        rooms: (0..services).map(of_service).collect(),
    })
}

/// Returns the room of a region for one level of a service.
fn level_rooms_of_one_level() -> PeerMessage {
    let PeerMessage::LevelRooms(mut report) = level_rooms(1) else { unreachable!() };
    report.rooms[0].1.truncate(1);
    PeerMessage::LevelRooms(report)
}

// Guards against rooms that take a part of the link of a small VM, 10 Mbit/s, that grows with the
// number of upstreams, or that take more than a hundredth of it to relay to a whole region.
#[rstest]
#[case::size(72, 147)]
#[case::twice_the_size(144, 300)]
fn reported_rooms_are_small(#[case] vms: usize, #[case] upstreams: usize) {
    let (regions, delegates, services) = (3, 3, 2);
    let bytes = level_rooms(services).bytes().unwrap().len();
    assert!(bytes < 2 * upstreams, "{bytes} bytes for {upstreams} upstreams");
    let reports_per_s = (regions - 1) * delegates * 1_000 / REGION_INTERVAL.as_millis() as usize;
    let received = bytes * reports_per_s;
    assert!(received < 12_500, "{received} bytes/s at each VM");
    // Delegates choose the receivers by turns, so that all VMs relay in the mean equally often.
    let relayed = received * (vms / regions - 1) / (vms / regions);
    assert!(relayed < 12_500, "{relayed} bytes/s relayed by each VM");
}

/// The bytes of each message kind as this version writes them.
#[rstest]
#[case::beat(
    beat(),
    "0004766d2d31fd0068e5cf8b010000fb2c010668616c6c2d61056e6f727468000000000000f03f007f000001fbd01f007f000001fbec1d010709000105060702080100000103"
)]
#[case::changes(changes(), "03040500")]
#[case::suspects(suspects(), "06056e6f72746800")]
#[case::view(view(), "07010203040506")]
#[case::list(list(), "080102020304fc70110100fb2c01")]
#[case::pact(pact(), "09010203010401020501")]
#[case::news(news(), "0a010203010401")]
#[case::demand(demand(), "0b0102030401060000f0400101020304010501060000f040")]
#[case::region_demand(PeerMessage::RegionDemand(region_demand()), "0c01020304010501060000f040")]
#[case::limits(limits(), "0d020101000000000000044003020003")]
#[case::leavers(leavers(), "0e020103fb2c0103")]
#[case::brittle(brittle(), "180201010203fb2c010003")]
#[case::speeds(speeds(1), "1401020301fcffffffff0000c03f000020400000000000000000")]
#[case::level_rooms(level_rooms_of_one_level(), "17056e6f7274680102030001000100fb5702fb600401")]
#[case::keyed_changes(
    keyed_changes(),
    "03040502050701000001010000000001036f6e65036f6e65019584d52f48e0eb0e4eac57c18668befb010101056e6f72746801000000000000000040000000000000084001046f70656e05080102000000000001"
)]
fn recorded_messages_are_read_and_written_as_before(
    #[case] message: PeerMessage,
    #[case] hex: &str,
) {
    let bytes = message.bytes().unwrap();
    assert_eq!(hex_of(&bytes), hex);
    let read = PeerMessage::read(&bytes).unwrap();
    assert_eq!(read.bytes().unwrap(), bytes);
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Unknown kinds from later versions, truncated messages and messages with trailing bytes are
/// rejected.
#[test]
fn malformed_messages_are_rejected() {
    for kind in 10..=250u8 {
        assert!(PeerMessage::read(&[kind, 1, 2, 3, 4, 5, 6, 7, 8]).is_err(), "kind {kind}");
    }
    let messages = [
        beat(),
        changes(),
        suspects(),
        view(),
        list(),
        pact(),
        demand(),
        PeerMessage::RegionDemand(region_demand()),
        limits(),
        leavers(),
        brittle(),
        speeds(2),
        levels(2),
        level_rooms(2),
        keyed_changes(),
    ];
    for message in messages {
        let bytes = message.bytes().unwrap();
        for length in 0..bytes.len() {
            assert!(PeerMessage::read(&bytes[..length]).is_err(), "{message:?} cut to {length}");
        }
        let longer = [bytes.as_slice(), &[0]].concat();
        assert!(PeerMessage::read(&longer).is_err(), "{message:?} with more");
    }
    let long = ViewList {
        vm: VmTag(1),
        region: RegionTag(2),
        incarnations: vec![
            VmIncarnation { vm: VmTag(u32::MAX), incarnation_bits: u16::MAX };
            3_000
        ],
    };
    assert!(PeerMessage::ViewList(long).bytes().is_err(), "it fits no datagram");
}
