//! Which VMs of a region take the requests of its callers: as few as the recent load needs.
//!
//! If each of hundreds of VMs handled a few requests per second, the load reports between them
//! would grow with the square of their number and would have to be rare. By the time that a report
//! arrives, many other VMs have sent requests to the upstream that it shows as the best. A VM that
//! uses an upstream only every few seconds also opens a connection for each request. Ten VMs that
//! take the same requests exchange reports every 50 ms and keep their connections. The other VMs
//! stand by: they hold all published state, and the directory returns them within a second when
//! load or failures require them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::ids::{DataCentreName, VmName};
use crate::opaque::peer_table::PeerHeartbeat;
use crate::rank::rank_hash;
use crate::units::CoreShare;

/// The minimum number of VMs that take requests, if the region has as many. The loss of any two
/// then moves a third of the callers, and each of two data centres has three VMs.
const MIN_MEMBERS: usize = 6;
/// The fraction of a region's cores that takes requests at any load, since the coming load is
/// unknown after a start.
const BASELINE_SHARE: f64 = 0.25;
/// The maximum number of VMs that take requests at any load: the more there are, the older their
/// reports about each other are. With 42 engines and a burst of three times the load, 33 VMs
/// instead of 11 lose 0.012 of the total worth of the requests.
const MAX_BASELINE: usize = 12;
/// The CPU capacity of the VMs in service, as a multiple of the recent demand. Callers keep a
/// directory answer for seconds, in which a burst may double the load or one of two data centres
/// may fail.
const DEMAND_HEADROOM: f64 = 2.0;
/// The hash key that ranks VMs of the same size.
const ORDER_KEY: &str = "service-order";

/// A VM that serves, with the properties that determine its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceCandidate<'a> {
    /// Its name.
    pub vm: &'a VmName,
    /// Its data centre.
    pub data_centre: &'a DataCentreName,
    /// Its CPU cores.
    pub cores: CoreShare,
}

impl<'a> ServiceCandidate<'a> {
    /// Returns the candidate for a heartbeat.
    pub fn of(heartbeat: &'a PeerHeartbeat) -> Self {
        Self { vm: &heartbeat.vm, data_centre: &heartbeat.data_centre, cores: heartbeat.cores }
    }
}

/// The VMs that serve in one region, in the order in which they are put in service: by descending
/// size, then in rotation over the data centres, and by rank within each of them. All VMs that know
/// of the same VMs compute the same order. The loss of one VM moves the following ones up by one
/// position.
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

    /// Returns the number of VMs.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no VMs.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the VMs that take requests at any load. They also perform the tasks that only a few
    /// VMs should have.
    pub fn baseline(&self) -> &[ServiceCandidate<'a>] {
        let all: f64 = self.0.iter().map(|candidate| candidate.cores.as_cores()).sum();
        let prefix = self.first_with_cores(all * BASELINE_SHARE);
        &prefix[..prefix.len().min(MAX_BASELINE)]
    }

    /// Returns the VMs that take requests while all requests together use `demand`.
    pub fn for_demand(&self, demand: CoreShare) -> &[ServiceCandidate<'a>] {
        let by_demand = self.first_with_cores(demand.as_cores() * DEMAND_HEADROOM);
        let baseline = self.baseline();
        if by_demand.len() > baseline.len() { by_demand } else { baseline }
    }

    /// Returns the first VMs that together have the given cores, and at least [`MIN_MEMBERS`].
    fn first_with_cores(&self, cores: f64) -> &[ServiceCandidate<'a>] {
        let mut total = 0.0;
        let last_index = self.0.iter().position(|candidate| {
            total += candidate.cores.as_cores();
            total >= cores
        });
        let count = last_index.map_or(self.0.len(), |at| at + 1);
        &self.0[..count.max(MIN_MEMBERS).min(self.0.len())]
    }
}
