//! Tests of membership: heartbeats, one-way partitions, incarnations, delegates, summaries and
//! exchange partners.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, IncarnationId, RegionName};
use foldhaven_core::membership::{
    CentreSummary, MemberState, MemberTable, MembershipTimes, VmAddresses, VmHeartbeat,
    exchange_partners,
};
use foldhaven_core::time::MonoTime;

use crate::support::now;

fn table(own: &str) -> MemberTable {
    let centre = "north-1".parse().unwrap();
    MemberTable::new(own.parse().unwrap(), centre, MembershipTimes::default())
}

fn heartbeat(vm: &str, incarnation: u64, sequence: u64) -> VmHeartbeat {
    let address = "127.0.0.1:1".parse().unwrap();
    VmHeartbeat {
        vm: vm.parse().unwrap(),
        data_centre: "north-1".parse().unwrap(),
        incarnation: IncarnationId(incarnation),
        sequence,
        leaving: false,
        stamp: None,
        in_flight: 0,
        addresses: VmAddresses { caller: address, peer: address, control: address },
        loads: Vec::new(),
        leaving_upstreams: Vec::new(),
        lent_requests: Vec::new(),
        list_revision: 0,
    }
}

fn summary(centre: &str, author: &str, version: u64, age_ms: u32) -> CentreSummary {
    CentreSummary {
        data_centre: centre.parse().unwrap(),
        author: author.parse().unwrap(),
        version: (IncarnationId(1), version),
        age_ms,
        stamps: None,
        vms: Vec::new(),
        serving: 1,
        models: Vec::new(),
        services: Vec::new(),
        offers: Vec::new(),
    }
}

fn later(millis: u64) -> MonoTime {
    now() + Duration::from_millis(millis)
}

#[test]
fn a_member_whose_heartbeats_arrive_but_that_cannot_be_reached_is_suspect() {
    let mut table = table("a");
    let b = "b".parse().unwrap();
    table.apply_heartbeat(heartbeat("b", 1, 1), now());
    assert_eq!(table.state(&b, later(100)), Some(MemberState::Live));
    table.apply_heartbeat(heartbeat("b", 1, 2), later(2_500));
    assert_eq!(table.state(&b, later(2_600)), Some(MemberState::Suspect));
    table.record_reached(&b, later(2_600));
    assert_eq!(table.state(&b, later(2_600)), Some(MemberState::Live));
}

#[test]
fn an_ended_incarnation_does_not_come_back() {
    let mut table = table("a");
    let b = "b".parse().unwrap();
    table.apply_heartbeat(heartbeat("b", 5, 9), now());
    table.record_ended(&b, IncarnationId(5));
    assert!(!table.apply_heartbeat(heartbeat("b", 5, 10), now()));
    assert_eq!(table.state(&b, now()), None);
    assert!(table.apply_heartbeat(heartbeat("b", 6, 1), now()));
    assert!(
        !table.apply_heartbeat(heartbeat("b", 5, 99), now()),
        "heartbeat of an older incarnation"
    );
}

#[test]
fn delegates_are_the_lowest_serving_members_and_views_may_differ() {
    let mut a = table("a");
    a.apply_heartbeat(heartbeat("b", 1, 1), now());
    a.apply_heartbeat(heartbeat("c", 1, 1), now());
    assert!(a.is_delegate(true, now()));
    let mut c = table("c");
    assert!(c.is_delegate(true, now()), "the only known member is a delegate");
    c.apply_heartbeat(heartbeat("a", 1, 1), now());
    c.apply_heartbeat(VmHeartbeat { leaving: true, ..heartbeat("b", 1, 1) }, now());
    assert!(c.is_delegate(true, now()), "a leaving member is no delegate");
}

#[test]
fn summaries_age_over_every_hop_and_only_newer_ones_are_applied() {
    let mut table = table("a");
    assert!(table.apply_summary(summary("south-1", "s", 2, 300), now()));
    assert!(!table.apply_summary(summary("south-1", "s", 1, 0), now()));
    assert!(!table.apply_summary(summary("south-1", "t", 9, 60_000), now()), "too old");
    assert_eq!(table.summaries(later(100))[0].age, Duration::from_millis(400));
    let relayed = table.summaries_newer_than(&[], later(100));
    assert_eq!(relayed[0].age_ms, 400);
    assert!(table.summaries_newer_than(&table.summary_versions(), later(100)).is_empty());
    assert!(table.summaries(later(6_000)).is_empty(), "too old to be used");
}

#[test]
fn exchange_partners_are_few_and_connect_all_data_centres_in_few_hops() {
    for regions in [1usize, 3, 27, 100] {
        let centres: Vec<(DataCentreName, RegionName)> = (0..regions * 3)
            .map(|at| {
                let region = at / 3;
                let centre = format!("r{region}-{}", at % 3);
                (centre.parse().unwrap(), format!("r{region}").parse().unwrap())
            })
            .collect();
        let mut links = BTreeSet::new();
        for (own, _) in &centres {
            let partners = exchange_partners(own, &centres);
            assert!(partners.len() <= 6, "{} partners", partners.len());
            for partner in partners {
                links.insert((own.clone(), partner.clone()));
                links.insert((partner, own.clone()));
            }
        }
        let mut reached = BTreeSet::from([centres[0].0.clone()]);
        let mut hops = 0;
        while reached.len() < centres.len() {
            let next: Vec<_> = links
                .iter()
                .filter(|(from, _)| reached.contains(from))
                .map(|it| it.1.clone())
                .collect();
            let before = reached.len();
            reached.extend(next);
            assert!(reached.len() > before, "not connected");
            hops += 1;
        }
        assert!(hops <= 6, "{hops} hops for {} data centres", centres.len());
    }
}
