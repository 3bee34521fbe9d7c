//! Where streams began: the software of the upstream that brought the first event of each caller's
//! attempt.
//!
//! A caller that resumes a stream names only its earlier attempt, and comes to any VM, while the VM
//! that served it may be dead. Each VM therefore sends the origins of its streams to a few
//! holders, which every other VM finds by rendezvous hashing of the attempt.

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::opaque::peer_table::{RegionTag, ServiceTag, VmTag};
use crate::opaque::software::SoftwareTag;
use crate::time::MonoTime;

/// How long an origin is kept. Callers resume a stream within their deadline of some seconds.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of origins. The least recently used ones are dropped first.
const MAX_ORIGINS: NonZeroUsize = NonZeroUsize::new(32_768).expect("not zero");
/// Maximum number of origins of one service that wait to be sent.
const MAX_UNSENT: usize = 4_096;
/// Number of VMs that hold an origin beside the VM that serves the stream.
const HOLDERS: usize = 3;
/// Maximum number of them in the region of that VM. The others are in different regions, for the
/// case that the whole region is lost.
const LOCAL_HOLDERS: usize = 2;
/// Number of VMs of each region that are asked. VMs may have different views of a region, and some
/// holders may be dead.
const ASKED_PER_REGION: usize = 3;

/// Identifies a caller's attempt by a keyed hash of its id, so that nobody can find an id with the
/// tag of another caller's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptTag(pub u64);

impl AttemptTag {
    /// Context that the key of all tags is derived from.
    const KEY_CONTEXT: &str = "foldhaven caller attempt v1";

    /// Returns the tag of an attempt id.
    pub fn of(id: &[u8]) -> Self {
        let hash = blake3::Hasher::new_derive_key(Self::KEY_CONTEXT).update(id).finalize();
        let bytes = hash.as_bytes().iter().take(8);
        Self(bytes.fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceTag,
    /// The software of the upstream.
    pub software: SoftwareTag,
    /// The number of the upstream within the attempt. A later one counts, since the earlier ones
    /// brought no event.
    pub upstream_number: u8,
}

impl StreamOrigin {
    /// Returns the origin of a stream of which two are told. Does not depend on their order.
    fn merged_with(self, other: Self) -> Self {
        match self.upstream_number.cmp(&other.upstream_number) {
            Ordering::Less => other,
            Ordering::Greater => self,
            Ordering::Equal if self == other => self,
            Ordering::Equal => Self { software: SoftwareTag::UNKNOWN, ..self.min(other) },
        }
    }
}

/// The origin of the stream of one attempt, as VMs send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The attempt.
    pub attempt: AttemptTag,
    /// Where its stream began.
    pub origin: StreamOrigin,
}

/// A VM's answer to the question where the stream of an attempt began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The attempt.
    pub attempt: AttemptTag,
    /// Where its stream began. `None` if that VM does not know.
    pub origin: Option<StreamOrigin>,
}

/// The origins that one VM knows: those of its own streams and those that it holds for others.
#[derive(Debug)]
pub struct StreamOriginTable {
    origins: LruCache<AttemptTag, (StreamOrigin, MonoTime)>,
    /// Own attempts whose origins were not sent to holders.
    unsent: HashMap<ServiceTag, VecDeque<AttemptTag>>,
}

impl Default for StreamOriginTable {
    fn default() -> Self {
        Self { origins: LruCache::new(MAX_ORIGINS), unsent: HashMap::new() }
    }
}

impl StreamOriginTable {
    /// Records the origin of a stream that this VM serves, and schedules it for sending.
    pub fn record(&mut self, notice: OriginNotice, now: MonoTime) {
        if self.merge(notice, now) {
            let unsent = self.unsent.entry(notice.origin.service).or_default();
            if unsent.len() == MAX_UNSENT {
                unsent.pop_front();
            }
            unsent.push_back(notice.attempt);
        }
    }

    /// Merges the origin of a stream that another VM serves. Returns whether it is news. If a
    /// caller has used the id of an attempt twice, the origin may become unknown.
    pub fn merge(&mut self, notice: OriginNotice, now: MonoTime) -> bool {
        let OriginNotice { attempt, origin } = notice;
        let merged = match self.find(attempt, now) {
            Some(known) => known.merged_with(origin),
            None => origin,
        };
        let previous = self.origins.put(attempt, (merged, now));
        previous.is_none_or(|(previous, _)| previous != merged)
    }

    /// Returns the origin of the stream of an attempt. `None` if it is not known.
    pub fn find(&self, attempt: AttemptTag, now: MonoTime) -> Option<StreamOrigin> {
        let (origin, at) = self.origins.peek(&attempt)?;
        (now.since(*at) < RETENTION).then_some(*origin)
    }

    /// Removes and returns the origins of the streams of a service that were not sent to holders.
    ///
    /// They are kept while only one version of the service serves, as a second one may come while
    /// the streams run.
    pub fn take_unsent(&mut self, service: ServiceTag, now: MonoTime) -> Vec<OriginNotice> {
        let unsent = self.unsent.remove(&service).unwrap_or_default().into_iter();
        let notice = |attempt| Some(OriginNotice { attempt, origin: self.find(attempt, now)? });
        unsent.filter_map(notice).collect()
    }
}

/// Chooses the VMs that hold the origin of an attempt, and those that are asked for it.
///
/// VMs are ranked by rendezvous hashing of the attempt, so that all VMs find the same ones, and the
/// loss of a VM does not change the order of the others.
#[derive(Debug, Default)]
pub struct HolderPlanner {
    /// The other VMs of this region.
    pub own_region: Vec<VmTag>,
    /// The VMs of the other regions.
    pub other_regions: Vec<(RegionTag, Vec<VmTag>)>,
}

impl HolderPlanner {
    /// Returns the VMs that hold the origin of an attempt which this VM serves.
    pub fn holders(&self, attempt: AttemptTag) -> Vec<VmTag> {
        let mut holders = rank_vms(attempt, &self.own_region, LOCAL_HOLDERS);
        let mut regions: Vec<&(RegionTag, Vec<VmTag>)> = self.other_regions.iter().collect();
        regions.sort_unstable_by_key(|(region, _)| std::cmp::Reverse(rank(attempt, region.0)));
        for (_, vms) in regions.into_iter().take(HOLDERS - holders.len()) {
            holders.extend(rank_vms(attempt, vms, 1));
        }
        holders
    }

    /// Returns those of the VMs that are asked for an origin whose answers together show that nobody
    /// knows it: those of this region, which hear of the same changes, or if there are none, all.
    pub fn voters(&self, attempt: AttemptTag) -> Vec<VmTag> {
        match self.own_region.is_empty() {
            true => self.asked(attempt),
            false => rank_vms(attempt, &self.own_region, ASKED_PER_REGION),
        }
    }

    /// Returns the VMs that are asked for the origin of an attempt.
    pub fn asked(&self, attempt: AttemptTag) -> Vec<VmTag> {
        let others = self.other_regions.iter().map(|(_, vms)| vms);
        let regions = std::iter::once(&self.own_region).chain(others);
        regions.flat_map(|vms| rank_vms(attempt, vms, ASKED_PER_REGION)).collect()
    }
}

fn rank(attempt: AttemptTag, tag: u32) -> (u64, u32) {
    (xxh3_64_with_seed(&tag.to_le_bytes(), attempt.0), tag)
}

/// Returns the first VMs by their rank for an attempt.
fn rank_vms(attempt: AttemptTag, vms: &[VmTag], count: usize) -> Vec<VmTag> {
    let mut ranked = vms.to_vec();
    ranked.sort_unstable_by_key(|vm| std::cmp::Reverse(rank(attempt, vm.0)));
    ranked.truncate(count);
    ranked
}
