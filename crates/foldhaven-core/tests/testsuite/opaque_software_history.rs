//! How far back a VM knows which software versions served, from its own observations and from those of
//! other VMs.

use std::collections::VecDeque;
use std::time::Duration;

use bincode::{DefaultOptions, Options};
use foldhaven_core::ids::{ServiceName, SoftwareVersion};
use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::software::{
    ListedSoftware, SoftwareCensus, SoftwareHistory, SoftwareTag,
};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::opaque_support::at;

/// First revision of the second era of the platform.
const SECOND_ERA: u64 = 1_000_000_000_000;

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

fn version(text: &str) -> Option<SoftwareVersion> {
    Some(text.parse().unwrap())
}

fn tag(text: &str) -> SoftwareTag {
    SoftwareTag::of_version(&text.parse().unwrap())
}

/// Returns what a VM knows that has read its first list, with one upstream of a version.
fn started(text: &str, revision: u64, now: MonoTime) -> SoftwareCensus {
    let mut census = SoftwareCensus::default();
    census.restart_span(revision, now);
    census.add(&service(), &version(text));
    census
}

/// Guards against a process that takes the version that serves now for the only one that has served.
#[test]
fn a_process_that_has_just_started_knows_no_sole_version() {
    let census = started("v2", 7, at(1_000));
    for now in [1_000, 2_000, 60_999] {
        assert_eq!(census.sole_software(&service(), at(now)), None, "at {now}");
        assert_eq!(census.mixed_services(at(now)).count(), 1);
    }
    assert_eq!(census.sole_software(&service(), at(61_000)), Some(tag("v2")));
}

/// Guards against changes that were missed and count as if nothing had happened.
#[test]
fn missed_changes_begin_the_span_anew() {
    let mut census = started("v2", 7, at(0));
    assert_eq!(census.sole_software(&service(), at(60_000)), Some(tag("v2")));
    census.restart_span(9, at(70_000));
    assert_eq!(census.sole_software(&service(), at(129_999)), None);
    assert_eq!(census.sole_software(&service(), at(130_000)), Some(tag("v2")));
}

/// Guards against refusing streams for a minute after each start, although other VMs know that one
/// version served.
#[test]
fn a_vm_learns_from_others_how_long_one_version_has_served() {
    let old = started("v2", 3, at(0));
    let mut young = started("v2", 7, at(100_000));
    let history = old.history(7, at(100_200)).unwrap();
    assert!(young.merge(&history, at(100_210)));
    assert_eq!(young.sole_software(&service(), at(100_210)), Some(tag("v2")));
    assert!(!young.merge(&history, at(100_220)), "it is no news");
}

/// Guards against a version that left before the start of a VM and is forgotten although others
/// know it.
#[test]
fn a_vm_learns_from_others_which_versions_have_left() {
    let mut old = started("v1", 3, at(0));
    old.add(&service(), &version("v2"));
    old.remove(&service(), &version("v1"), at(90_000));
    let mut young = started("v2", 7, at(100_000));
    young.merge(&old.history(7, at(100_200)).unwrap(), at(100_200));
    assert!(young.is_complete(at(100_200)));
    assert_eq!(young.sole_software(&service(), at(149_000)), None, "v1 left 59 s ago");
    assert_eq!(young.sole_software(&service(), at(151_000)), Some(tag("v2")));
    assert!(young.describe(&service(), at(100_200)).contains("told"));
}

/// Guards against a VM that lags behind, or knows another history of the platform, and whose
/// knowledge does not continue that of the VM it tells.
#[rstest]
#[case::behind(6, false)]
#[case::equal(7, true)]
#[case::ahead(8, true)]
#[case::another_era(SECOND_ERA + 8, false)]
fn knowledge_is_continued_without_a_gap_only(#[case] revision: u64, #[case] is_complete: bool) {
    let old = started("v2", 3, at(0));
    let mut young = started("v2", 7, at(100_000));
    young.merge(&old.history(revision, at(100_200)).unwrap(), at(100_200));
    assert_eq!(young.is_complete(at(100_200)), is_complete);
}

/// Guards against two VMs that keep a version alive for ever by telling it to each other, whatever
/// the delay of their messages.
#[test]
fn a_version_is_forgotten_although_vms_tell_it_to_each_other() {
    let mut old = started("v1", 3, at(0));
    old.add(&service(), &version("v2"));
    old.remove(&service(), &version("v1"), at(90_000));
    let mut vms = [old, started("v2", 7, at(100_000)), started("v2", 7, at(100_000))];
    for now in (100_000..200_000).step_by(100) {
        let histories = vms.each_ref().map(|vm| vm.history(9, at(now)).unwrap());
        for (from, to) in [(0, 1), (1, 2), (2, 1)] {
            vms[to].merge(&histories[from], at(now + 400));
        }
    }
    for vm in &vms {
        assert_eq!(vm.sole_software(&service(), at(200_500)), Some(tag("v2")));
    }
}

/// Guards against a message that does not fit into a datagram, and against versions that are dropped
/// from it unnoticed.
#[test]
fn a_history_is_bounded() {
    let mut census = SoftwareCensus::default();
    census.restart_span(1, at(0));
    for number in 0..512 {
        census.add(&service(), &version(&format!("v{number}")));
    }
    let history = census.history(1, at(1_000)).unwrap();
    let bytes = DefaultOptions::new().serialized_size(&history).unwrap();
    println!("{bytes} bytes of 512 versions");
    assert!(bytes < 16 << 10, "{bytes} bytes");
    let mut other = started("v0", 1, at(0));
    let mut versions = history.versions.clone();
    let more = (0..600).map(|number| ListedSoftware {
        service: ServiceTag::of(&service()),
        software: tag(&format!("w{number}")),
        gone_ms: 0,
    });
    versions.extend(more);
    other.merge(&SoftwareHistory { known_ms: 60_000, revision: 1, versions }, at(1_000));
    assert!(!other.is_complete(at(1_000)), "it could not keep all versions");
    census.add(&service(), &version("one-more"));
    assert_eq!(census.history(1, at(1_000)), None);
}

/// Guards against a version that is told again after it was forgotten, and does not count as news, so
/// that requests do not see it.
#[test]
fn a_version_that_is_told_again_is_news() {
    let told = |text: &str, gone_ms: u32| SoftwareHistory {
        revision: 1,
        known_ms: 0,
        versions: vec![ListedSoftware {
            service: ServiceTag::of(&service()),
            software: tag(text),
            gone_ms,
        }],
    };
    let mut census = started("v1", 1, at(0));
    assert!(census.merge(&told("v2", 59_000), at(70_000)));
    assert!(!census.merge(&told("v2", 59_000), at(70_500)), "it is known");
    assert!(census.merge(&told("v3", 0), at(72_000)), "v2 was forgotten as v3 came");
    assert!(census.merge(&told("v2", 0), at(72_100)));
}

/// Guards against a broken message that lets a VM believe that it has always observed the list.
#[test]
fn a_span_is_prolonged_by_a_minute_at_most() {
    let mut young = started("v2", 7, at(100_000));
    let history = SoftwareHistory { revision: 7, known_ms: u32::MAX, versions: Vec::new() };
    young.merge(&history, at(100_000));
    assert_eq!(young.known_span(at(100_000)), Duration::from_secs(60));
}

/// Guards against a VM that tells nothing any more since it counts what it has seen and what others
/// have told it twice.
#[test]
fn a_version_is_told_once() {
    let mut census = SoftwareCensus::default();
    census.restart_span(1, at(0));
    for number in 0..300 {
        census.add(&service(), &version(&format!("v{number}")));
    }
    let history = census.history(1, at(1_000)).unwrap();
    census.merge(&history, at(1_000));
    assert_eq!(census.history(1, at(1_000)).unwrap().versions.len(), 300);
}

/// What the platform's list held, and the VMs that observe it.
struct CensusModel {
    random: StdRng,
    now: u64,
    /// The versions that are listed.
    listed: Vec<usize>,
    /// The changes: the time, the version, and whether it was added.
    changes: Vec<(u64, usize, bool)>,
    vms: Vec<ModelVm>,
    /// Messages: when each arrives, at which VM, and what it says.
    messages: VecDeque<(u64, usize, SoftwareHistory)>,
}

struct ModelVm {
    census: SoftwareCensus,
    revision: usize,
}

/// Number of VMs of the model.
const MODEL_VMS: usize = 5;
/// Milliseconds of a step of the model.
const STEP_MS: u64 = 100;
/// By how much the model permits a version to be forgotten early: VMs that tell it on shorten the
/// time for which it counts.
const FORGOTTEN_EARLY_MS: u64 = 20_000;

impl CensusModel {
    fn new(seed: u64) -> Self {
        let vms = (0..MODEL_VMS)
            .map(|_| ModelVm { census: SoftwareCensus::default(), revision: usize::MAX });
        Self {
            random: StdRng::seed_from_u64(seed),
            now: 0,
            listed: vec![0],
            changes: vec![(0, 0, true)],
            vms: vms.collect(),
            messages: VecDeque::new(),
        }
    }

    /// Lists or removes an upstream of one of three versions. One is always listed.
    fn change_list(&mut self) {
        let version = self.random.random_range(0..3);
        let is_added = !self.listed.contains(&version);
        match is_added {
            true => self.listed.push(version),
            false if self.listed.len() > 1 => self.listed.retain(|it| *it != version),
            false => return,
        }
        self.changes.push((self.now, version, is_added));
    }

    /// A VM reads the complete list, as after its start or after a history that is too old.
    fn read_list(&mut self, vm: usize, is_restart: bool) {
        let now = at(self.now);
        let held = &mut self.vms[vm];
        let mut listed: Vec<usize> = Vec::new();
        if !is_restart {
            for (_, version, is_added) in &self.changes[..held.revision] {
                apply(&mut listed, *version, *is_added);
            }
            for version in listed.iter().filter(|it| !self.listed.contains(it)) {
                held.census.remove(&service(), &name(*version), now);
            }
        } else {
            held.census = SoftwareCensus::default();
        }
        for version in self.listed.iter().filter(|it| !listed.contains(it)) {
            held.census.add(&service(), &name(*version));
        }
        held.revision = self.changes.len();
        held.census.restart_span(held.revision as u64, now);
    }

    fn read_changes(&mut self, vm: usize) {
        let held = &mut self.vms[vm];
        for (_, version, is_added) in &self.changes[held.revision..] {
            match is_added {
                true => held.census.add(&service(), &name(*version)),
                false => held.census.remove(&service(), &name(*version), at(self.now)),
            }
        }
        held.revision = self.changes.len();
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let vm = self.random.random_range(0..MODEL_VMS);
        if self.vms[vm].revision == usize::MAX {
            self.read_list(vm, true);
        }
        match self.random.random_range(0..400) {
            0 => self.change_list(),
            1 => self.read_list(vm, true),
            2 if self.vms[vm].revision < self.changes.len() => self.read_list(vm, false),
            3..150 => self.read_changes(vm),
            150..300 => self.tell(vm),
            _ => {}
        }
        while let Some((_, to, history)) =
            self.messages.pop_front_if(|(arrival, ..)| *arrival <= self.now)
        {
            self.vms[to].census.merge(&history, at(self.now));
        }
    }

    fn tell(&mut self, from: usize) {
        let to = self.random.random_range(0..MODEL_VMS);
        let (sender, now) = (&self.vms[from], at(self.now));
        if let Some(history) = sender.census.history(sender.revision as u64, now) {
            let delay = self.random.random_range(0..8) * STEP_MS;
            self.messages.push_back((self.now + delay, to, history));
            self.messages.make_contiguous().sort_by_key(|(arrival, ..)| *arrival);
        }
    }

    /// Checks that no VM takes a version for the only one although it could know of another one.
    /// Returns how many VMs know a sole version.
    fn check(&self) -> usize {
        let soles = self.vms.iter().filter(|vm| {
            let Some(sole) = vm.census.sole_software(&service(), at(self.now)) else {
                return false;
            };
            for other in (0..3).filter(|it| tag_of(*it) != sole) {
                let known = &self.changes[..vm.revision];
                let last = known.iter().rev().find(|(_, version, _)| *version == other);
                let gone = match last {
                    None => continue,
                    Some((_, _, true)) => self.now,
                    Some((left, _, false)) => *left,
                };
                let since = Duration::from_millis(self.now - gone);
                let least = Duration::from_millis(60_000 - FORGOTTEN_EARLY_MS);
                assert!(since >= least, "{other} left {since:?} ago, at {}", self.now);
            }
            true
        });
        soles.count()
    }
}

fn apply(listed: &mut Vec<usize>, version: usize, is_added: bool) {
    match is_added {
        true => listed.push(version),
        false => listed.retain(|it| *it != version),
    }
}

fn name(version: usize) -> Option<SoftwareVersion> {
    self::version(&format!("v{version}"))
}

fn tag_of(version: usize) -> SoftwareTag {
    tag(&format!("v{version}"))
}

/// Guards against any sequence of changes, starts, gaps and messages after which a VM takes a version
/// for the only one, and against VMs that never know one.
#[test]
fn no_sequence_of_starts_and_messages_hides_a_version() {
    let mut soles = 0;
    for seed in 0..40 {
        let mut model = CensusModel::new(seed);
        for _ in 0..6_000 {
            model.step();
            soles += model.check();
        }
    }
    println!("{soles} of {} times a VM knew a sole version", 40 * 6_000 * MODEL_VMS);
    assert!(soles > 0);
}
