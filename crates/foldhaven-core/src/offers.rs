//! Offers: a data centre leases slices of its spare capacity to others, so that lagged summaries
//! do not make all of them choose the same idle one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, ModelName};
use crate::time::MonoTime;

/// How long a slice may be spent after it was written.
pub const OFFER_LIFETIME: Duration = Duration::from_millis(3_000);

/// How long a data centre that was just seen again is offered less than its full slice, since its
/// caches are cold.
pub const RAMP_TIME: Duration = Duration::from_secs(10);

/// How many data centres the spare of one model is divided among, those with most demand first.
pub const MAX_SLICES: usize = 8;

/// A slice of spare capacity for one other data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpareOffer {
    /// Who may spend it.
    pub to: DataCentreName,
    /// The model whose slots are offered.
    pub model: ModelName,
    /// How many requests may be under way at once.
    pub slots: u32,
}

/// What another data centre would send here if it could: the weight of its slice.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferDemand {
    /// The data centre.
    pub centre: DataCentreName,
    /// Its weight, at least zero; larger asks for more.
    pub weight: f64,
    /// How long it has been seen without a break.
    pub seen_for: Duration,
}

/// Divides the spare slots of one model among other data centres.
///
/// A part is kept back for own work. Slices are in proportion to demand, those of data centres
/// seen again for less than [`RAMP_TIME`] are smaller, and the sum never passes the spare.
pub fn divide_spare(model: &ModelName, spare: u32, demands: &[OfferDemand]) -> Vec<SpareOffer> {
    const KEPT_BACK: f64 = 0.25;
    let mut demands: Vec<&OfferDemand> = demands.iter().collect();
    demands.sort_by(|left, right| right.weight.total_cmp(&left.weight));
    demands.truncate(MAX_SLICES);
    let total: f64 = demands.iter().map(|demand| demand.weight).sum();
    if total <= 0.0 {
        return Vec::new();
    }
    let lent = f64::from(spare) * (1.0 - KEPT_BACK);
    let slice = |demand: &OfferDemand| {
        let ramp = (demand.seen_for.as_secs_f64() / RAMP_TIME.as_secs_f64()).clamp(0.25, 1.0);
        let slots = (lent * ramp * demand.weight / total).floor() as u32;
        SpareOffer { to: demand.centre.clone(), model: model.clone(), slots }
    };
    demands.into_iter().map(slice).filter(|offer| offer.slots > 0).collect()
}

#[derive(Debug, Clone, Copy)]
struct HeldSlice {
    slots: u32,
    expires: MonoTime,
    in_use: u32,
}

/// The slices that this daemon may spend.
#[derive(Debug, Default)]
pub struct OfferBook {
    slices: BTreeMap<(DataCentreName, ModelName), HeldSlice>,
}

impl OfferBook {
    /// Takes in this data centre's slice, of which this daemon may spend its part of `members`.
    ///
    /// `rank` is this daemon's place among the members, counted from 0; the first ones get what is
    /// left over.
    pub fn hold(
        &mut self,
        from: &DataCentreName,
        model: &ModelName,
        slots: u32,
        (rank, members): (u32, u32),
        expires: MonoTime,
    ) {
        let members = members.max(1);
        let part = slots / members + u32::from(rank < slots % members);
        let key = (from.clone(), model.clone());
        let empty = HeldSlice { slots: 0, expires, in_use: 0 };
        let slice = self.slices.entry(key).or_insert(empty);
        slice.slots = part;
        slice.expires = expires;
    }

    /// The requests that could be sent now.
    pub fn available(&self, from: &DataCentreName, model: &ModelName, now: MonoTime) -> u32 {
        let slice = self.slices.get(&(from.clone(), model.clone()));
        let slice = slice.filter(|slice| now < slice.expires);
        slice.map_or(0, |slice| slice.slots.saturating_sub(slice.in_use))
    }

    /// Spends one slot; it is given back with [`OfferBook::release`].
    pub fn take(&mut self, from: &DataCentreName, model: &ModelName, now: MonoTime) -> bool {
        if self.available(from, model, now) == 0 {
            return false;
        }
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.in_use += 1;
        }
        true
    }

    /// Gives one slot back.
    pub fn release(&mut self, from: &DataCentreName, model: &ModelName) {
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.in_use = slice.in_use.saturating_sub(1);
        }
    }

    /// The receiver refused: the slice is worth nothing until the next one arrives.
    pub fn void(&mut self, from: &DataCentreName, model: &ModelName) {
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.slots = 0;
        }
    }
}
