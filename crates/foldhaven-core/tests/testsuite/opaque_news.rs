//! A region whose readers get no answer from the platform. All its VMs know the same revision, none
//! is ahead of another, and all decide by state that is seconds old. The tests cover which VM
//! learns that there is a later revision, which VM requests it, which VMs read instead of the
//! readers, and how old each VM takes its state to be.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{OfferedRevision, PeerTable, RevisionAnnouncement, VmTag};
use foldhaven_core::opaque::view_staleness::{RevisionConfirmation, ViewStaleness};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::opaque_support::{at, heartbeat, region_table};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

fn confirmation(revision: u64, millis: u64) -> RevisionConfirmation {
    RevisionConfirmation { revision, at: at(millis) }
}

fn announcement(vm: &str, revision: u64) -> RevisionAnnouncement {
    let heartbeat = heartbeat(vm, "south", 1);
    let incarnation = heartbeat.incarnation;
    RevisionAnnouncement {
        vm: VmTag::of(&heartbeat.vm),
        incarnation,
        revision,
        age_ms: None,
        is_offer: false,
    }
}

/// Returns the tables of twelve VMs of the region `north` that know each other and twelve VMs of
/// the region `south`.
fn northern_tables() -> Vec<PeerTable> {
    let own = |number: usize| format!("north-{number}");
    let table = |number: usize| {
        let mut table = region_table(&own(number), 1, "north");
        for other in 0..12 {
            table.apply_heartbeat(heartbeat(&own(other), "north", 1), at(0));
            table.apply_heartbeat(heartbeat(&format!("south-{other}"), "south", 1), at(0));
        }
        table
    };
    (0..12).map(table).collect()
}

#[test]
fn a_confirmation_counts_once_its_revision_is_known() {
    let mut staleness = ViewStaleness::default();
    assert_eq!(staleness.age(at(100)), None, "nothing is confirmed");
    staleness.apply(confirmation(7, 100), 7);
    assert_eq!(staleness.age(at(300)), Some(MILLIS(200)));
    staleness.apply(confirmation(9, 400), 7);
    assert_eq!(
        staleness.age(at(500)),
        Some(MILLIS(400)),
        "the confirmed revision is not known here"
    );
    staleness.advance_to(8);
    assert_eq!(staleness.age(at(500)), Some(MILLIS(400)), "the known revision is still earlier");
    staleness.advance_to(9);
    assert_eq!(staleness.age(at(500)), Some(MILLIS(100)));
    staleness.apply(confirmation(9, 200), 9);
    assert_eq!(staleness.age(at(500)), Some(MILLIS(100)), "an earlier confirmation has no effect");
}

/// Whatever the VMs read and report to each other, none takes its state for fresher than it is: at
/// the time that it takes for confirmed, the platform had published nothing that the VM doesn't
/// know.
#[rstest]
fn staleness_is_never_underestimated(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    const VMS: usize = 6;
    let mut random = StdRng::seed_from_u64(seed);
    let mut published: BTreeMap<MonoTime, u64> = BTreeMap::from([(at(0), 1)]);
    let mut vms = vec![(ViewStaleness::default(), 0_u64); VMS];
    for millis in (1..20_000).step_by(7) {
        let now = at(millis);
        let newest = *published.values().next_back().expect("there is a first revision");
        let (own, other) = (random.random_range(0..VMS), random.random_range(0..VMS));
        match random.random_range(0..10) {
            0 => drop(published.insert(now, newest + 1)),
            1 => {
                let (staleness, known) = &mut vms[own];
                *known = newest;
                staleness.apply(RevisionConfirmation { revision: newest, at: now }, newest);
            }
            2 | 3 => {
                // A VM copies the state of another one without learning its age.
                let known = vms[own].1.max(vms[other].1);
                vms[own].1 = known;
                vms[own].0.advance_to(known);
            }
            _ => {
                let (reported, revision) = vms[other];
                let (staleness, known) = &mut vms[own];
                if let Some(age) = reported.age(now) {
                    staleness.apply(RevisionConfirmation { revision, at: now - age }, *known);
                }
            }
        }
        for (staleness, known) in &vms {
            let Some(confirmed_at) = staleness.confirmed_at() else { continue };
            let published_then =
                published.range(..confirmed_at).next_back().map_or(0, |(_, revision)| *revision);
            assert!(
                published_then <= *known,
                "seed {seed} at {now}: {published_then} was published, {known} is known"
            );
        }
    }
}

#[test]
fn an_announcement_shows_at_once_that_another_region_is_ahead() {
    let mut table = northern_tables().remove(0);
    let ahead = |table: &PeerTable| -> Vec<String> {
        let live = table.live(at(200));
        live.filter(|heartbeat| heartbeat.revision > 1)
            .map(|heartbeat| heartbeat.vm.to_string())
            .collect()
    };
    assert!(ahead(&table).is_empty());
    assert!(table.apply_announcement(&announcement("south-3", 5)));
    assert_eq!(ahead(&table), ["south-3"]);
    // A heartbeat sent before the announcement arrives after it.
    table.apply_heartbeat(heartbeat("south-3", "south", 2), at(100));
    assert_eq!(ahead(&table), ["south-3"], "it knows no less than it announced");
    let of_another_incarnation =
        RevisionAnnouncement { incarnation: Default::default(), ..announcement("south-4", 9) };
    assert!(!table.apply_announcement(&of_another_incarnation));
    assert!(!table.apply_announcement(&announcement("stranger", 9)));
    assert_eq!(ahead(&table), ["south-3"]);
}

#[test]
fn an_announced_revision_is_capped_by_what_the_vm_delivers() {
    let mut table = northern_tables().remove(0);
    table.apply_announcement(&announcement("south-3", u64::MAX));
    let peer = heartbeat("south-3", "south", 1).peer;
    table.record_delivered_revision(peer, 4);
    assert!(table.live(at(100)).all(|heartbeat| heartbeat.revision <= 4));
}

#[test]
fn two_vms_of_each_other_region_get_announcements() {
    let mut table = region_table("own", 1, "north");
    for number in 0..12 {
        table.apply_heartbeat(heartbeat(&format!("south-{number}"), "south", 1), at(0));
        table.apply_heartbeat(heartbeat(&format!("east-{number}"), "east", 1), at(0));
        table.apply_heartbeat(heartbeat(&format!("north-{number}"), "north", 1), at(0));
    }
    let targets: BTreeSet<_> = table.remote_announcement_targets(at(100)).into_iter().collect();
    let receivers = |region: &str| {
        let peers = (0..12).map(|number| heartbeat(&format!("{region}-{number}"), region, 1).peer);
        peers.filter(|peer| targets.contains(peer)).count()
    };
    assert_eq!([receivers("south"), receivers("east"), receivers("north")], [2, 2, 0]);
}

/// Guards against all VMs requesting changes from another region at once, which would transfer the
/// same bytes over the same link once for each VM.
#[test]
fn vms_fetch_from_other_regions_in_distinct_ranks() {
    let ranks: Vec<Option<usize>> =
        northern_tables().iter().map(|table| table.fetch_rank(at(100))).collect();
    let fetching: BTreeSet<usize> = ranks.iter().flatten().copied().collect();
    assert_eq!(fetching.len(), ranks.iter().flatten().count(), "ranks are distinct: {ranks:?}");
    assert!(fetching.contains(&0) && fetching.len() >= 3, "{ranks:?}");
}

/// Guards against two readers that get no answer and remain the only ones until their long poll
/// ends.
#[rstest]
#[case::fresh(0, 2)]
#[case::normal_age(2_400, 2)]
#[case::old(2_600, 4)]
#[case::older(3_400, 6)]
#[case::in_an_outage(60_000, 6)]
fn more_vms_read_the_platform_the_staler_its_state(#[case] age_ms: u64, #[case] readers: usize) {
    let tables = northern_tables();
    let reads = |table: &&PeerTable| table.is_reader(false, MILLIS(age_ms), at(100));
    assert_eq!(tables.iter().filter(reads).count(), readers);
}

/// Guards against dropping an offer of changes up to a revision when the VM reaches an earlier
/// revision: the changes were then requested 0.35 s later.
#[test]
fn an_offer_remains_until_its_revision_is_known() {
    let mut offered = OfferedRevision::default();
    assert!(!offered.is_beyond(0));
    offered.record(&RevisionAnnouncement { is_offer: true, ..announcement("vm-1", 100) });
    offered.record(&RevisionAnnouncement { is_offer: true, ..announcement("vm-2", 98) });
    offered.record(&announcement("vm-3", 200));
    assert!(offered.is_beyond(98), "changes up to 98 do not satisfy the offer of 100");
    assert!(!offered.is_beyond(100));
    offered.forget();
    assert!(!offered.is_beyond(98));
}
