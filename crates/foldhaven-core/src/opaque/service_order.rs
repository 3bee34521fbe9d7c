//! Which VMs of a region take its callers' requests: as few as the load of the last seconds needs.
//!
//! The pattern that it answers: hundreds of VMs that each decide alone on a few requests a second. What they
//! report to each other grows with their square, so that it must come seldom; by the time that a report arrives
//! many others have sent to the place that it shows as the best. A VM that meets an upstream every few seconds
//! opens a connection for each request. Ten VMs that take the same requests hear each other every 50 ms and keep
//! their connections. The other VMs stand by: they know all that is published, and are named to callers within
//! a second when load or losses ask for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::{DataCentreName, VmName};
use crate::opaque::peer_table::PeerBeat;
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// The fewest VMs that take requests, where a region has as many. The loss of any two then moves a third of the
/// callers, and each of two data centres has three.
const MIN_MEMBERS: usize = 6;
/// The part of a region's cores that takes requests at any load: what load will come is not known after a start.
const BASELINE_SHARE: f64 = 0.25;
/// The most VMs that do so: the more there are, the older is what they know of each other. Simulated before 42
/// engines with a burst of three times the load, 33 VMs in place of 11 lose 0.012 of the worth.
const MAX_BASELINE: usize = 12;
/// How many times the processor time of the last seconds those in service have. Callers hold on to an answer of
/// the directory for seconds, in which a burst doubles the load or one of two data centres is lost.
const DEMAND_HEADROOM: f64 = 2.0;
/// The key by which VMs of one size are ranked.
const ORDER_KEY: &str = "service-order";

/// A VM that serves, as far as the order of service looks at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceCandidate<'a> {
    /// Its name.
    pub vm: &'a VmName,
    /// The data centre that it stands in.
    pub data_centre: &'a DataCentreName,
    /// The processor that it has.
    pub cores: CoreShare,
}

impl<'a> ServiceCandidate<'a> {
    /// The VM of a heartbeat.
    pub fn of(beat: &'a PeerBeat) -> Self {
        Self { vm: &beat.vm, data_centre: &beat.data_centre, cores: beat.cores }
    }
}

/// The VMs that serve in one region, in the order in which they are put to use: large ones first, those of one
/// size in turn from each data centre, and there by a rank. All VMs that know the same VMs make the same order;
/// the loss of one moves those behind it by a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceOrder<'a>(Vec<ServiceCandidate<'a>>);

impl<'a> ServiceOrder<'a> {
    /// Orders the VMs of one region.
    pub fn of(candidates: impl IntoIterator<Item = ServiceCandidate<'a>>) -> Self {
        let mut ranked: Vec<(ServiceCandidate<'a>, u64)> = candidates
            .into_iter()
            .map(|candidate| (candidate, rank_hash(&[ORDER_KEY, candidate.vm.as_str()])))
            .collect();
        ranked.sort_by_key(|(candidate, rank)| (Reverse(candidate.cores), *rank));
        let mut rotations: BTreeMap<(CoreShare, &DataCentreName), usize> = BTreeMap::new();
        let mut interleaved: Vec<(usize, ServiceCandidate<'a>)> = ranked
            .into_iter()
            .map(|(candidate, _)| {
                let position =
                    rotations.entry((candidate.cores, candidate.data_centre)).or_default();
                *position += 1;
                (*position, candidate)
            })
            .collect();
        interleaved.sort_by_key(|(position, candidate)| (Reverse(candidate.cores), *position));
        Self(interleaved.into_iter().map(|(_, candidate)| candidate).collect())
    }

    /// How many VMs there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Those that take requests at any load. What only a few VMs are to do falls to them.
    pub fn baseline(&self) -> &[ServiceCandidate<'a>] {
        let all: f64 = self.0.iter().map(|candidate| candidate.cores.as_f64()).sum();
        let prefix = self.first_with_cores(all * BASELINE_SHARE);
        &prefix[..prefix.len().min(MAX_BASELINE)]
    }

    /// Those that take requests while all of them together use so much processor time for them.
    pub fn for_demand(&self, demand: CoreShare) -> &[ServiceCandidate<'a>] {
        let by_demand = self.first_with_cores(demand.as_f64() * DEMAND_HEADROOM);
        let baseline = self.baseline();
        if by_demand.len() > baseline.len() { by_demand } else { baseline }
    }

    /// The first ones that have so many cores, and [`LEAST_MEMBERS`] at least.
    fn first_with_cores(&self, cores: f64) -> &[ServiceCandidate<'a>] {
        let mut total = 0.0;
        let last_index = self.0.iter().position(|candidate| {
            total += candidate.cores.as_f64();
            total >= cores
        });
        let count = last_index.map_or(self.0.len(), |at| at + 1);
        &self.0[..count.max(MIN_MEMBERS).min(self.0.len())]
    }
}
