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
pub const RAMP_TIME: Duration = Duration::from_secs(5);

/// How many data centres the spare of one model is divided among, those with most demand first.
pub const MAX_SLICES: usize = 8;

/// A slice of spare capacity for one other data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpareOffer {
    /// Who may spend it.
    pub to: DataCentreName,
    /// The model whose slots are offered.
    pub model: ModelName,
    /// How many slots may be kept busy: seconds of slot time a second.
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

/// Divides the spare slots of one model, those already lent included, among other data centres.
///
/// A part is kept back for own work. Slices are in proportion to demand, those of data centres
/// seen again for less than [`RAMP_TIME`] are smaller, and the sum never passes the spare.
pub fn divide_spare(model: &ModelName, spare: u32, demands: &[OfferDemand]) -> Vec<SpareOffer> {
    const KEPT_BACK: f64 = 0.1;
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

/// Slot time that a slice lets through at once, as a span of its rate.
const BURST: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct HeldSlice {
    /// Slot seconds a second.
    rate: f64,
    /// Slot seconds that can be spent now.
    saved: f64,
    updated: MonoTime,
    expires: MonoTime,
}

impl HeldSlice {
    fn saved_at(&self, now: MonoTime) -> f64 {
        if now >= self.expires {
            return 0.0;
        }
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        (self.saved + earned).min(self.rate * BURST.as_secs_f64())
    }
}

/// The slices that this daemon may spend.
///
/// A slice of `n` slots is a rate: `n` seconds of slot time may be sent each second, whether that
/// is one long request or many short ones.
#[derive(Debug, Default)]
pub struct OfferTracker {
    slices: BTreeMap<(DataCentreName, ModelName), HeldSlice>,
}

impl OfferTracker {
    /// Takes in this data centre's slice, of which this daemon may spend an equal part of
    /// `members`.
    pub fn update_slice(
        &mut self,
        from: &DataCentreName,
        model: &ModelName,
        slots: u32,
        members: u32,
        (now, expires): (MonoTime, MonoTime),
    ) {
        let rate = f64::from(slots) / f64::from(members.max(1));
        let key = (from.clone(), model.clone());
        let fresh = HeldSlice { rate, saved: rate * BURST.as_secs_f64(), updated: now, expires };
        let slice = self.slices.entry(key).or_insert(fresh);
        slice.saved = slice.saved_at(now).min(rate * BURST.as_secs_f64());
        (slice.rate, slice.updated, slice.expires) = (rate, now, expires);
    }

    /// Whether a request may be sent now. A slice pays for a request as long as anything is saved,
    /// and then earns back what it cost.
    pub fn is_available(&self, from: &DataCentreName, model: &ModelName, now: MonoTime) -> bool {
        let slice = self.slices.get(&(from.clone(), model.clone()));
        slice.is_some_and(|slice| slice.saved_at(now) > 0.0)
    }

    /// Spends the slot time of one request.
    pub fn spend(
        &mut self,
        from: &DataCentreName,
        model: &ModelName,
        slot_time: Duration,
        now: MonoTime,
    ) {
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.saved = slice.saved_at(now) - slot_time.as_secs_f64();
            slice.updated = now;
        }
    }

    /// The receiver refused: the slice is worth nothing until it has earned a burst anew.
    pub fn exhaust(&mut self, from: &DataCentreName, model: &ModelName, now: MonoTime) {
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.saved = -slice.rate * BURST.as_secs_f64();
            slice.updated = now;
        }
    }
}
