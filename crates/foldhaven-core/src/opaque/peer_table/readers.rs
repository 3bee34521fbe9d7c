//! Readers: the few VMs of a large region that read the platform for all of its VMs.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::{PeerHeartbeat, PeerPhase, PeerTable};
use crate::ids::{DataCentreName, VmName};
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_by;
use crate::time::MonoTime;

/// Number of VMs of a large region that read the platform. Each call has a price.
const READERS: usize = 2;
/// Key by which the candidates for readers are ranked.
pub(super) const READER_KEY: &str = "platform-reader";
/// The platform state is fresh if an answer of the platform confirmed it within this time. The long
/// polls of the readers of all regions end at different moments, some of them each second.
const FRESH_FOR: Duration = Duration::from_millis(2_500);
/// Number of additional readers once the state is no longer fresh, and again after each further
/// [`ESCALATION_INTERVAL`]. A reader that gets no answer can't be told from one whose long poll has
/// no changes until the poll ends.
const EXTRA_READERS: usize = 2;
const ESCALATION_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of readers of a region, however old the state is. During an outage all calls of
/// the readers are in vain.
const MAX_READERS: usize = 8;
/// Number of VMs of this region that must fail to read the platform before that counts as an
/// outage; fewer may have a fault of their own.
const MIN_OUTAGE_REPORTS: usize = 2;

/// The VMs to which this VM forwards platform changes. Readers in different data centres each serve
/// their own, so that a change crosses between two data centres once and not once for each VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardTargets {
    /// Receivers of the changes that this VM reads: the VMs of its data centre and of those without
    /// a reader, and the other readers.
    pub for_read: Vec<SocketAddr>,
    /// Receivers of the changes that another reader sends to this VM. Empty unless this VM is the
    /// only reader of its data centre.
    pub for_received: Vec<SocketAddr>,
}

impl PeerTable {
    /// If a region has fewer other VMs than this, each VM reads the platform itself: few calls
    /// would be saved, and a VM that reads learns of a change within milliseconds.
    pub const ALL_READ_BELOW: usize = 4;

    /// Returns whether this VM reads the platform: as one of the readers of its region, which pass
    /// changes on to the others, or because the region is small. The older the platform state is,
    /// by `age`, the more readers there are. VMs that fail to read the platform (`is_turned_away`)
    /// keep trying but don't count as readers.
    pub fn is_reader(&self, is_turned_away: bool, age: Duration, now: MonoTime) -> bool {
        if self.live_local(now).count() < Self::ALL_READ_BELOW {
            return true;
        }
        // A VM that fails to read the platform keeps trying, or it wouldn't notice when the
        // platform answers again.
        if is_turned_away || !self.can_any_read(now) {
            return true;
        }
        self.readers(is_turned_away, reader_count(age), now).iter().any(|(vm, _)| *vm == self.own)
    }

    /// Returns whether a live VM of this region other than this one can read the platform.
    fn can_any_read(&self, now: MonoTime) -> bool {
        self.reader_candidates(now).next().is_some()
    }

    /// Returns the other live VMs of this region that can read the platform: those that serve or,
    /// while most of them are still starting, also those that start. If a whole region starts, each
    /// VM knows of other ones that serve already, and a choice among these would make most VMs
    /// readers.
    fn reader_candidates(&self, now: MonoTime) -> impl Iterator<Item = &PeerHeartbeat> {
        let count_in =
            |phase: PeerPhase| self.live_local(now).filter(|it| it.phase == phase).count();
        let is_region_starting = count_in(PeerPhase::Starting) > count_in(PeerPhase::Serving);
        self.live_local(now).filter(move |heartbeat| {
            let is_ready = match heartbeat.phase {
                PeerPhase::Serving => true,
                PeerPhase::Starting => is_region_starting,
                PeerPhase::Leaving => false,
            };
            is_ready && !heartbeat.is_turned_away
        })
    }

    /// Returns the first `count` readers of this region and their data centres. The first ones are
    /// in different data centres. All VMs that know of the same VMs return the same ones.
    fn readers(
        &self,
        is_turned_away: bool,
        count: usize,
        now: MonoTime,
    ) -> Vec<(VmName, DataCentreName)> {
        let others = self.reader_candidates(now);
        let mut candidates: Vec<ServiceCandidate<'_>> = others.map(ServiceCandidate::of).collect();
        if !is_turned_away {
            candidates.push(self.own_candidate());
        }
        let order = ServiceOrder::of(candidates);
        let ranked = rank_by(READER_KEY, order.baseline(), |candidate| candidate.vm.as_str());
        let mut centres = BTreeSet::new();
        let (first, further): (Vec<&ServiceCandidate<'_>>, Vec<&ServiceCandidate<'_>>) =
            ranked.into_iter().partition(|candidate| centres.insert(candidate.data_centre));
        let readers = first.into_iter().chain(further).take(count);
        readers.map(|reader| (reader.vm.clone(), reader.data_centre.clone())).collect()
    }

    /// Returns the VMs to which this VM forwards platform changes.
    pub fn forward_targets(&self, is_turned_away: bool, now: MonoTime) -> ForwardTargets {
        let readers = self.readers(is_turned_away, READERS, now);
        let is_reader = readers.iter().any(|(vm, _)| *vm == self.own);
        let unresponsive = self.unresponsive_local_vms(now);
        let is_other = |vm: &VmName| *vm != self.own && !unresponsive.contains(vm);
        let others: Vec<_> = readers.into_iter().filter(|(vm, _)| is_other(vm)).collect();
        let for_read = self.targets_besides(&others, now);
        let is_only_reader =
            is_reader && others.iter().all(|(_, centre)| *centre != self.data_centre);
        let for_received = match is_only_reader {
            true => self.addresses_in_centre(now),
            false => Vec::new(),
        };
        ForwardTargets { for_read, for_received }
    }

    /// Returns the VMs that a reader serves if these are the other readers: the VMs of its data
    /// centre and of those without a reader, and the other readers.
    fn targets_besides(
        &self,
        others: &[(VmName, DataCentreName)],
        now: MonoTime,
    ) -> Vec<SocketAddr> {
        let is_target = |heartbeat: &&PeerHeartbeat| {
            let PeerHeartbeat { vm, data_centre, .. } = heartbeat;
            let has_reader = others.iter().any(|(_, centre)| centre == data_centre);
            let is_reader = others.iter().any(|(reader, _)| reader == vm);
            *data_centre == self.data_centre || !has_reader || is_reader
        };
        self.live_local(now).filter(is_target).map(|heartbeat| heartbeat.peer).collect()
    }

    fn addresses_in_centre(&self, now: MonoTime) -> Vec<SocketAddr> {
        let here = self.live_local(now).filter(|it| it.data_centre == self.data_centre);
        here.map(|heartbeat| heartbeat.peer).collect()
    }

    /// Returns whether enough VMs of this region report that they fail to read the platform. A VM
    /// that isn't a reader learns of outages in no other way.
    pub fn is_outage_reported(&self, now: MonoTime) -> bool {
        self.live_local(now).filter(|heartbeat| heartbeat.is_turned_away).count()
            >= MIN_OUTAGE_REPORTS
    }
}

/// Returns the number of readers of a region for an age of the platform state.
fn reader_count(age: Duration) -> usize {
    let Some(overdue) = age.checked_sub(FRESH_FOR) else { return READERS };
    let escalations = 1 + overdue.div_duration_f64(ESCALATION_INTERVAL) as usize;
    (READERS + escalations.saturating_mul(EXTRA_READERS)).min(MAX_READERS)
}
