//! What is believed of loads and waits, from reports that come late, twice or not at all.

use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::load_share::{LoadBook, LoadReport, UpstreamShare, share_interval};
use foldhaven_core::opaque::peer_table::{ServiceTag, ServiceWait, VmTag};
use foldhaven_core::opaque::queue_rank::UnreadTokens;
use foldhaven_core::opaque::region_book::{RegionBook, RegionReport};
use foldhaven_core::units::CoreShare;

use crate::opaque_support::at;

fn report(vm: &str, sequence: u32, in_flight: u16) -> LoadReport {
    let share = UpstreamShare { in_flight, whole: 0, behind: 0, unread: UnreadTokens::default() };
    LoadReport {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        shares: vec![(UpstreamTag(1), share)],
        placements: Vec::new(),
        regions: Vec::new(),
        busy: CoreShare::default(),
    }
}

#[test]
fn loads_add_up_and_old_reports_do_not_count() {
    let interval = share_interval(2);
    let after = |intervals: u32| at(0) + interval * intervals;
    let mut book = LoadBook::default();
    assert!(book.hear(report("a", 2, 3), after(0)));
    assert!(!book.hear(report("a", 1, 9), after(1)), "overtaken");
    assert!(book.hear(report("b", 1, 4), after(5)));
    let total = |book: &mut LoadBook, now| {
        book.totals(interval, now).get(&UpstreamTag(1)).map_or(0, |share| share.in_flight)
    };
    assert_eq!(total(&mut book, after(6)), 7);
    assert_eq!(total(&mut book, after(12)), 4, "a is silent");
}

fn region_report(teller: &str, sequence: u32, wait_ms: u16) -> RegionReport {
    RegionReport {
        region: "south".parse().unwrap(),
        teller: VmTag::of(&teller.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        waits: vec![ServiceWait {
            service: ServiceTag::of(&"desk".parse().unwrap()),
            wait_ms,
            load: 0,
            long_pauses: 0,
        }],
        lives: Vec::new(),
    }
}

#[test]
fn the_newest_delegate_is_believed_and_an_old_wait_is_not() {
    let mut book = RegionBook::default();
    assert!(book.hear(&region_report("a", 2, 30), at(0)));
    assert!(!book.hear(&region_report("a", 1, 90), at(10)), "overtaken");
    assert!(!book.hear(&region_report("a", 2, 30), at(10)), "relayed by another VM too");
    assert!(book.hear(&region_report("b", 1, 50), at(500)));
    let wait = |book: &RegionBook, region: &str, now| {
        let told = book.wait(&region.parse().unwrap(), &"desk".parse().unwrap(), now);
        told.map(|told| Duration::from_millis(told.wait_ms.into()))
    };
    assert_eq!(wait(&book, "south", at(600)), Some(Duration::from_millis(50)));
    assert_eq!(wait(&book, "east", at(600)), None);
    assert_eq!(wait(&book, "south", at(5_000)), None);
    book.forget(at(5_000));
    assert!(book.hear(&region_report("b", 1, 50), at(5_000)), "it is forgotten");
}

/// Found in a recorded day: a region whose upstreams had all crashed told no wait, and was taken for one of
/// which nothing is known.
#[test]
fn a_region_that_tells_no_wait_for_a_service_is_closed() {
    let mut book = RegionBook::default();
    let south = "south".parse().unwrap();
    let (desk, other) = ("desk".parse().unwrap(), "other".parse().unwrap());
    assert!(!book.is_closed(&south, &desk, at(0)), "nothing is known of it");
    book.hear(&region_report("a", 1, 30), at(0));
    assert!(!book.is_closed(&south, &desk, at(10)));
    assert!(book.is_closed(&south, &other, at(10)));
    assert!(!book.is_closed(&south, &other, at(5_000)), "the report is old");
}
