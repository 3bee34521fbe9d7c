//! The pattern: a region whose readers of the platform get no answer. All its VMs hold the same revision, nobody is ahead of
//! anybody, and all decide by what is seconds old. Who learns that there is more, who asks for it, who reads in place of the
//! readers, and how old each knows its belief to be.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use foldhaven_core::opaque::peer_table::{NewsNotice, OfferedRevision, PeerTable, VmTag};
use foldhaven_core::opaque::view_staleness::{RevisionConfirmation, ViewStaleness};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::opaque_support::{at, beat, region_table};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

fn proof(revision: u64, millis: u64) -> RevisionConfirmation {
    RevisionConfirmation { revision, at: at(millis) }
}

fn notice(vm: &str, revision: u64) -> NewsNotice {
    let beat = beat(vm, "south", 1);
    let incarnation = beat.incarnation;
    NewsNotice { vm: VmTag::of(&beat.vm), incarnation, revision, age_ms: None, is_offer: false }
}

/// The tables of twelve VMs of the north that know each other and twelve of the south.
fn tables_of_the_north() -> Vec<PeerTable> {
    let own = |number: usize| format!("north-{number}");
    let table = |number: usize| {
        let mut table = region_table(&own(number), 1, "north");
        for other in 0..12 {
            table.hear(beat(&own(other), "north", 1), at(0));
            table.hear(beat(&format!("south-{other}"), "south", 1), at(0));
        }
        table
    };
    (0..12).map(table).collect()
}

#[test]
fn a_proof_counts_for_whoever_holds_its_revision() {
    let mut belief = ViewStaleness::default();
    assert_eq!(belief.age(at(100)), None, "nothing was proven");
    belief.apply(proof(7, 100), 7);
    assert_eq!(belief.age(at(300)), Some(MILLIS(200)));
    belief.apply(proof(9, 400), 7);
    assert_eq!(belief.age(at(500)), Some(MILLIS(400)), "it is of what is not known here");
    belief.advance_to(8);
    assert_eq!(belief.age(at(500)), Some(MILLIS(400)), "still not");
    belief.advance_to(9);
    assert_eq!(belief.age(at(500)), Some(MILLIS(100)));
    belief.apply(proof(9, 200), 9);
    assert_eq!(belief.age(at(500)), Some(MILLIS(100)), "an earlier proof takes nothing away");
}

/// Whatever the VMs read and tell each other, none holds its belief for younger than it is: at the time that it takes for
/// proven, the platform had published nothing that it does not hold.
#[rstest]
fn no_belief_is_held_for_younger_than_it_is(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    const VMS: usize = 6;
    let mut random = StdRng::seed_from_u64(seed);
    let mut published: BTreeMap<MonoTime, u64> = BTreeMap::from([(at(0), 1)]);
    let mut vms = vec![(ViewStaleness::default(), 0_u64); VMS];
    for millis in (1..20_000).step_by(7) {
        let now = at(millis);
        let newest = *published.values().next_back().expect("there is a first one");
        let (own, other) = (random.random_range(0..VMS), random.random_range(0..VMS));
        match random.random_range(0..10) {
            0 => drop(published.insert(now, newest + 1)),
            1 => {
                let (belief, held) = &mut vms[own];
                *held = newest;
                belief.apply(RevisionConfirmation { revision: newest, at: now }, newest);
            }
            2 | 3 => {
                // One takes over what another one holds, without a word on its age.
                let held = vms[own].1.max(vms[other].1);
                vms[own].1 = held;
                vms[own].0.advance_to(held);
            }
            _ => {
                let (told, revision) = vms[other];
                let (belief, held) = &mut vms[own];
                if let Some(age) = told.age(now) {
                    belief.apply(RevisionConfirmation { revision, at: now - age }, *held);
                }
            }
        }
        for (belief, held) in &vms {
            let Some(proven) = belief.confirmed_at() else { continue };
            let then = published.range(..proven).next_back().map_or(0, |(_, revision)| *revision);
            assert!(then <= *held, "seed {seed} at {now}: {then} was published, {held} is held");
        }
    }
}

#[test]
fn a_notice_shows_at_once_that_another_region_is_ahead() {
    let mut table = tables_of_the_north().remove(0);
    let ahead = |table: &PeerTable| -> Vec<String> {
        let live = table.live(at(200));
        live.filter(|beat| beat.revision > 1).map(|beat| beat.vm.to_string()).collect()
    };
    assert!(ahead(&table).is_empty());
    assert!(table.take_news(&notice("south-3", 5)));
    assert_eq!(ahead(&table), ["south-3"]);
    // A heartbeat that was sent before it comes after it.
    table.hear(beat("south-3", "south", 2), at(100));
    assert_eq!(ahead(&table), ["south-3"], "it knows no less than it said");
    let of_another_life = NewsNotice { incarnation: Default::default(), ..notice("south-4", 9) };
    assert!(!table.take_news(&of_another_life));
    assert!(!table.take_news(&notice("stranger", 9)));
    assert_eq!(ahead(&table), ["south-3"]);
}

#[test]
fn what_a_vm_does_not_have_when_asked_is_not_believed_of_it() {
    let mut table = tables_of_the_north().remove(0);
    table.take_news(&notice("south-3", u64::MAX));
    let peer = beat("south-3", "south", 1).peer;
    table.note_told_revision(peer, 4);
    assert!(table.live(at(100)).all(|beat| beat.revision <= 4));
}

#[test]
fn two_vms_of_each_other_region_are_told() {
    let mut table = region_table("own", 1, "north");
    for number in 0..12 {
        table.hear(beat(&format!("south-{number}"), "south", 1), at(0));
        table.hear(beat(&format!("east-{number}"), "east", 1), at(0));
        table.hear(beat(&format!("north-{number}"), "north", 1), at(0));
    }
    let targets: BTreeSet<_> = table.far_news_targets(at(100)).into_iter().collect();
    let told = |region: &str| {
        let peers = (0..12).map(|number| beat(&format!("{region}-{number}"), region, 1).peer);
        peers.filter(|peer| targets.contains(peer)).count()
    };
    assert_eq!([told("south"), told("east"), told("north")], [2, 2, 0]);
}

/// If all asked another region at once, each would carry the same bytes over the same link.
#[test]
fn those_that_ask_other_regions_do_so_one_after_the_other() {
    let places: Vec<Option<usize>> =
        tables_of_the_north().iter().map(|table| table.asking_place(at(100))).collect();
    let asking: BTreeSet<usize> = places.iter().flatten().copied().collect();
    assert_eq!(asking.len(), places.iter().flatten().count(), "no place twice: {places:?}");
    assert!(asking.contains(&0) && asking.len() >= 3, "{places:?}");
}

/// Two VMs that are not answered would otherwise keep their turn until their wait is over.
#[rstest]
#[case::young(0, 2)]
#[case::as_old_as_in_calm(2_400, 2)]
#[case::old(2_600, 4)]
#[case::older(3_400, 6)]
#[case::in_an_outage(60_000, 6)]
fn the_older_the_belief_the_more_vms_read(#[case] age_ms: u64, #[case] readers: usize) {
    let tables = tables_of_the_north();
    let reads = |table: &&PeerTable| table.is_reader(false, MILLIS(age_ms), at(100));
    assert_eq!(tables.iter().filter(reads).count(), readers);
}

/// A VM forgot an offer when it had caught up with an earlier revision, and asked for it 0.35 s later.
#[test]
fn an_offer_stands_until_its_revision_is_known() {
    let mut offered = OfferedRevision::default();
    assert!(!offered.is_beyond(0));
    offered.note(&NewsNotice { is_offer: true, ..notice("vm-1", 100) });
    offered.note(&NewsNotice { is_offer: true, ..notice("vm-2", 98) });
    offered.note(&notice("vm-3", 200));
    assert!(offered.is_beyond(98), "what leads to 98 does not answer the offer of 100");
    assert!(!offered.is_beyond(100));
    offered.forget();
    assert!(!offered.is_beyond(98));
}
