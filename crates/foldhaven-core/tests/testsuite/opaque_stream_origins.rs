//! Where streams began: which software versions serve, who holds the origin of a stream, and what
//! that costs.

use std::collections::{BTreeMap, BTreeSet};

use bincode::{DefaultOptions, Options};
use foldhaven_core::ids::{ServiceName, SoftwareVersion, UpstreamName};
use foldhaven_core::opaque::peer_table::{RegionTag, ServiceTag, VmTag};
use foldhaven_core::opaque::software::{SoftwareCensus, SoftwareTag};
use foldhaven_core::opaque::stream_origins::{
    AttemptTag, HolderPlanner, OriginNotice, StreamOrigin, StreamOriginTable,
};
use rstest::rstest;

use crate::opaque_support::at;

/// Maximum bytes that a VM sends per second for control, as the platform requires.
const MAX_BYTES_PER_S: usize = 9_000;
/// Streams that a VM begins per second: 72,000 requests on 2,000 VMs.
const STREAMS_PER_S: usize = 36;
/// Bytes of an Ethernet, IP and UDP header.
const DATAGRAM_HEADER: usize = 42;

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

fn version(text: &str) -> Option<SoftwareVersion> {
    Some(text.parse().unwrap())
}

fn tag(text: &str) -> SoftwareTag {
    SoftwareTag::of_version(&text.parse().unwrap())
}

fn attempt(number: usize) -> AttemptTag {
    AttemptTag::of(format!("attempt-{number}").as_bytes())
}

fn notice(number: usize, software: SoftwareTag, upstream_number: u8) -> OriginNotice {
    let service = ServiceTag::of(&service());
    let origin = StreamOrigin { service, software, upstream_number };
    OriginNotice { attempt: attempt(number), origin }
}

/// Returns the planner of the VM with a tag, in regions of equal size.
fn planner(own: VmTag, regions: u32, vms_per_region: u32) -> HolderPlanner {
    let vms = |region: u32| {
        let first = region * vms_per_region;
        let tags = (first..first + vms_per_region).map(|it| VmTag(0xA000_0000 + it));
        tags.filter(|it| *it != own).collect::<Vec<VmTag>>()
    };
    let own_region = (own.0 - 0xA000_0000) / vms_per_region;
    let others = (0..regions).filter(|it| *it != own_region);
    HolderPlanner {
        own_region: vms(own_region),
        other_regions: others.map(|it| (RegionTag(0xB000_0000 + it), vms(it))).collect(),
    }
}

/// Guards against concluding the software of a stream from the upstreams that serve now, although
/// those of another version left a moment ago or are about to leave.
#[test]
fn a_version_counts_until_its_streams_cannot_be_taken_up_any_more() {
    let mut census = SoftwareCensus::default();
    census.restart_span(1, at(0));
    assert_eq!(census.sole_software(&service(), at(60_000)), None);
    census.add(&service(), &version("v1"));
    census.add(&service(), &version("v1"));
    assert_eq!(census.sole_software(&service(), at(60_000)), Some(tag("v1")));
    census.add(&service(), &version("v2"));
    assert_eq!(census.sole_software(&service(), at(60_010)), None);
    assert_eq!(census.mixed_services(at(60_010)).count(), 1);
    census.remove(&service(), &version("v1"), at(60_020));
    census.remove(&service(), &version("v1"), at(60_030));
    assert_eq!(census.sole_software(&service(), at(90_000)), None, "v1 left 30 s ago");
    assert_eq!(census.sole_software(&service(), at(120_030)), Some(tag("v2")));
    assert_eq!(census.mixed_services(at(120_030)).count(), 0);
}

/// Guards against two upstreams that name no version and are taken for the same software.
#[test]
fn upstreams_without_a_version_have_software_of_their_own() {
    let names: [UpstreamName; 2] = ["a".parse().unwrap(), "b".parse().unwrap()];
    let [first, second] = names.map(|name| SoftwareTag::of(None, &name));
    assert_ne!(first, second);
    let mut census = SoftwareCensus::default();
    census.restart_span(1, at(0));
    census.add(&service(), &None);
    assert_eq!(census.sole_software(&service(), at(60_000)), None);
}

#[test]
fn software_tags_are_parsed_as_they_are_printed() {
    let tag = tag("v1.2");
    assert_eq!(tag.to_string().parse(), Ok(tag));
    assert!("v1".parse::<SoftwareTag>().is_err());
    assert!("+1234567".parse::<SoftwareTag>().is_err());
}

/// Guards against an upstream that brought no event but decides where the stream goes on, whatever
/// the order in which the notices arrive.
#[test]
fn the_last_upstream_of_an_attempt_counts() {
    for order in [[0, 1], [1, 0]] {
        let mut table = StreamOriginTable::default();
        let notices = [notice(1, tag("v1"), 1), notice(1, tag("v2"), 2)];
        for index in order {
            table.merge(notices[index], at(0));
        }
        assert_eq!(table.find(attempt(1), at(5)).map(|it| it.software), Some(tag("v2")));
    }
}

/// Guards against two streams under one id, of which one goes on at the software of the other.
#[test]
fn the_origin_of_an_id_that_was_used_twice_is_unknown() {
    for order in [[0, 1], [1, 0]] {
        let mut table = StreamOriginTable::default();
        let notices = [notice(1, tag("v1"), 1), notice(1, tag("v2"), 1)];
        for index in order {
            assert!(table.merge(notices[index], at(0)));
        }
        let found = table.find(attempt(1), at(5)).map(|it| it.software);
        assert_eq!(found, Some(SoftwareTag::UNKNOWN));
        assert!(!table.merge(notices[0], at(5)), "it stays so");
    }
}

#[test]
fn origins_expire_and_are_bounded() {
    let mut table = StreamOriginTable::default();
    table.merge(notice(0, tag("v1"), 1), at(0));
    assert!(table.find(attempt(0), at(59_000)).is_some());
    assert_eq!(table.find(attempt(0), at(60_000)), None);
    (0..100_000).for_each(|number| table.record(notice(number, tag("v1"), 1), at(61_000)));
    let known = (0..100_000).filter(|number| table.find(attempt(*number), at(61_000)).is_some());
    assert_eq!(known.count(), 32_768);
    assert!(table.take_unsent(ServiceTag::of(&service()), at(61_000)).len() <= 4_096);
}

/// Guards against origins that are sent again and again, and against ones that are lost while only
/// one version serves.
#[test]
fn origins_wait_until_they_are_needed_and_are_sent_once() {
    let mut table = StreamOriginTable::default();
    (0..3).for_each(|number| table.record(notice(number, tag("v1"), 1), at(0)));
    let other = ServiceTag::of(&"other".parse().unwrap());
    assert!(table.take_unsent(other, at(10)).is_empty());
    assert_eq!(table.take_unsent(ServiceTag::of(&service()), at(10)).len(), 3);
    assert!(table.take_unsent(ServiceTag::of(&service()), at(20)).is_empty());
    table.merge(notice(9, tag("v1"), 1), at(20));
    assert!(table.take_unsent(ServiceTag::of(&service()), at(30)).is_empty(), "of another VM");
}

/// Guards against VMs that look for an origin where it is not held: every VM asks a holder, also if
/// the VM that served the stream and one more of its region are lost.
#[rstest]
#[case::three_regions(3, 3)]
#[case::one_region(1, 9)]
#[case::two_vms(2, 1)]
#[case::target(27, 74)]
#[case::twice_the_target(27, 148)]
fn every_vm_asks_a_holder(#[case] regions: u32, #[case] vms_per_region: u32) {
    let all: Vec<VmTag> = (0..regions * vms_per_region).map(|it| VmTag(0xA000_0000 + it)).collect();
    let origin = all[0];
    for number in 0..40 {
        let holders = planner(origin, regions, vms_per_region).holders(attempt(number));
        assert!(holders.len() <= 3 && !holders.contains(&origin), "{holders:?}");
        let distinct: BTreeSet<VmTag> = holders.iter().copied().collect();
        assert_eq!(distinct.len(), holders.len());
        for asking in all.iter().skip(1).step_by(all.len() / 8 + 1) {
            let asked = planner(*asking, regions, vms_per_region).asked(attempt(number));
            let knows = |holder: &VmTag| asked.contains(holder) || holder == asking;
            assert_eq!(holders.iter().filter(|it| knows(it)).count(), holders.len());
        }
    }
}

/// Guards against an origin that counts as unknown to all because VMs have not answered that are cut
/// off with their regions, and against one that counts so although nobody can answer.
#[rstest]
#[case::the_own_region_answers(3, 3, 2)]
#[case::no_other_vm_of_the_region(3, 1, 2)]
#[case::no_other_vm(1, 1, 0)]
#[case::target(27, 74, 3)]
#[case::twice_the_target(27, 148, 3)]
fn voters_are_near_if_there_are_any(
    #[case] regions: u32,
    #[case] vms_per_region: u32,
    #[case] count: usize,
) {
    let planner = planner(VmTag(0xA000_0000), regions, vms_per_region);
    for number in 0..40 {
        let (voters, asked) = (planner.voters(attempt(number)), planner.asked(attempt(number)));
        assert_eq!(voters.len(), count);
        assert!(voters.iter().all(|voter| asked.contains(voter)), "{voters:?} of {asked:?}");
        let is_near = |voter: &VmTag| planner.own_region.contains(voter);
        assert!(voters.iter().all(is_near) || planner.own_region.is_empty(), "{voters:?}");
    }
}

/// Guards against a region that is lost with all holders.
#[test]
fn another_region_holds_each_origin() {
    for number in 0..100 {
        let planner = planner(VmTag(0xA000_0000), 3, 3);
        let holders = planner.holders(attempt(number));
        assert!(holders.iter().any(|it| !planner.own_region.contains(it)), "{holders:?}");
    }
}

/// Guards against costs that grow with the number of VMs: what a VM sends per second while several
/// versions serve, and the number of VMs asked for one origin, at the target and at twice its size.
#[rstest]
#[case::target(74)]
#[case::twice_the_target(148)]
fn origins_cost_little_at_the_target(#[case] vms_per_region: u32) {
    let planner = planner(VmTag(0xA000_0000), 27, vms_per_region);
    let mut datagrams: BTreeMap<VmTag, Vec<OriginNotice>> = BTreeMap::new();
    for number in 0..STREAMS_PER_S {
        for holder in planner.holders(attempt(number)) {
            datagrams.entry(holder).or_default().push(notice(number, tag("v1"), 1));
        }
    }
    // At this rate, hardly two streams with a common holder begin within the time for which notices
    // are gathered.
    let notices: Vec<&OriginNotice> = datagrams.values().flatten().collect();
    let bytes = |it: &&OriginNotice| {
        DATAGRAM_HEADER + DefaultOptions::new().serialized_size(*it).unwrap() as usize + 2
    };
    let sent: usize = notices.iter().map(bytes).sum();
    println!("{} notices, {sent} bytes a second", notices.len());
    assert!(sent < MAX_BYTES_PER_S, "{sent} bytes");
    assert_eq!(planner.asked(attempt(0)).len(), 27 * 3);
}
