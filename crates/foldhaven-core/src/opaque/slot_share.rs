//! Divides the slots of a brittle upstream among the VMs of its region.
//!
//! A brittle upstream crashes if it has to decline more than a few requests in a second for want of
//! room. Load reports are too old to prevent that: several VMs would see the same free slot. Each
//! VM therefore uses its own part of the slots only.
//!
//! The parts of VMs that know the same list of VMs add up to the slots. Lists differ for a while
//! after a VM is added or removed. A part that shrinks therefore shrinks at once, and one that grows
//! grows only after [`TAKEOVER_DELAY`]: if all VMs learn of an added VM within that time, no slot
//! is used twice. A VM stays on the lists for [`HOLDER_RETENTION`] after it was last seen to take
//! requests, also if it is partitioned from the others and still sends.

use std::collections::{BTreeMap, VecDeque};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::UpstreamName;
use crate::opaque::peer_table::VmTag;
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// The range of the pause after a declined request.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// How long a VM keeps its part after it was last seen to take requests. A VM that pauses must find
/// its part of the slots unused.
pub const HOLDER_RETENTION: Duration = Duration::from_secs(12);
/// Time after a change of the list until a larger part is used. VMs without requests receive load
/// reports every 700 ms.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// The VMs among which the slots of the region's upstreams are divided, as one VM sees them.
#[derive(Debug, Default)]
pub struct SlotHolders {
    /// When each VM was last seen to take requests.
    last_seen: BTreeMap<VmTag, MonoTime>,
    lists: HolderLists,
    /// When each list but the newest was replaced, in the order of `lists`.
    replaced_at: VecDeque<MonoTime>,
}

impl SlotHolders {
    /// Records the VMs that take requests now. Returns the lists that apply.
    pub fn update(
        &mut self,
        current: impl IntoIterator<Item = VmTag>,
        now: MonoTime,
    ) -> &HolderLists {
        self.last_seen.extend(current.into_iter().map(|vm| (vm, now)));
        self.last_seen.retain(|_, seen| now.since(*seen) < HOLDER_RETENTION);
        let newest: Vec<VmTag> = self.last_seen.keys().copied().collect();
        let is_settled = |at: &&MonoTime| now.since(**at) >= TAKEOVER_DELAY;
        let settled = self.replaced_at.iter().take_while(is_settled).count();
        let has_changed = self.lists.newest() != newest;
        if has_changed || settled > 0 {
            let mut lists = self.lists.lists.to_vec();
            if has_changed {
                lists.push(newest.into());
                self.replaced_at.push_back(now);
            }
            lists.drain(..settled);
            self.replaced_at.drain(..settled);
            let version = self.lists.version.wrapping_add(1);
            self.lists = HolderLists { version, lists: lists.into() };
        }
        &self.lists
    }
}

/// The lists of VMs that apply at one moment: the newest one, and those that were replaced recently.
#[derive(Debug, Clone)]
pub struct HolderLists {
    /// Changes with the lists.
    version: u32,
    /// Oldest first.
    lists: Arc<[Arc<[VmTag]>]>,
}

impl Default for HolderLists {
    /// Returns the lists of a process that has just started: an empty one, by which no VM has a part.
    fn default() -> Self {
        Self { version: 0, lists: Arc::new([Arc::default()]) }
    }
}

impl HolderLists {
    /// Returns a number that changes whenever the lists change.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Returns the newest list.
    pub fn newest(&self) -> &[VmTag] {
        self.lists.last().map_or(&[], |list| list.as_ref())
    }

    /// Returns how many requests a VM may have at an upstream: the smallest of its parts by all
    /// lists.
    pub fn slots_of(&self, vm: VmTag, upstream: &UpstreamName, slots: u32) -> u32 {
        let parts = self.lists.iter().map(|list| slot_part(list, vm, upstream, slots));
        parts.min().unwrap_or_default()
    }
}

/// Returns the number of slots of an upstream that one VM of a list uses. Slots that remain after an
/// equal division go to the VMs that rank first for the upstream.
fn slot_part(list: &[VmTag], vm: VmTag, upstream: &UpstreamName, slots: u32) -> u32 {
    if !list.contains(&vm) {
        return 0;
    }
    let rank = |it: VmTag| (rank_hash(&[upstream.as_str(), &it.0.to_string()]), it);
    let own_rank = rank(vm);
    let ahead = list.iter().filter(|other| rank(**other) > own_rank).count() as u32;
    let vms = list.len() as u32;
    slots / vms + u32::from(ahead < slots % vms)
}

/// Returns for how long a VM sends nothing to a brittle upstream that has declined its request.
/// Although all VMs that use the upstream do so at the same rate, it declines no more than `per_s`
/// requests per second.
pub fn pause_after_decline(slots: u32, senders: usize, per_s: NonZeroU32) -> Duration {
    let users = senders.clamp(1, slots.max(1) as usize);
    let pause = Duration::from_secs_f64(users as f64 / f64::from(per_s.get()));
    pause.clamp(MIN_PAUSE, MAX_PAUSE)
}
