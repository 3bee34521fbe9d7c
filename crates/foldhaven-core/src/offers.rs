//! Offers: a data centre leases slices of its spare capacity to other data centres. Without leases,
//! all of them would send requests to the same idle data centre, since summaries arrive late.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, ModelName};
use crate::time::MonoTime;

/// Time after its creation during which a slice may be spent.
pub const OFFER_LIFETIME: Duration = Duration::from_millis(3_000);

/// Time during which a data centre that has just reappeared is offered less than its full slice,
/// since its caches are cold.
pub const RAMP_TIME: Duration = Duration::from_secs(5);

/// Maximum number of data centres that share the spare capacity of one model. Those with the
/// highest demand are chosen.
pub const MAX_SLICES: usize = 8;

/// A slice of spare capacity for one other data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpareOffer {
    /// The data centre that may spend the slice.
    pub to: DataCentreName,
    /// The model whose slots are offered.
    pub model: ModelName,
    /// Number of slots that may be kept busy, that is seconds of slot time per second.
    pub slots: u32,
}

/// The demand of another data centre for this one's spare capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferDemand {
    /// The data centre.
    pub centre: DataCentreName,
    /// The weight of its slice, at least zero.
    pub weight: f64,
    /// How long it has been seen without interruption.
    pub seen_for: Duration,
}

/// Divides the spare slots of one model among other data centres. `spare` includes the slots that
/// they already use.
///
/// A share is reserved for local requests. Slices are proportional to demand, and smaller for data
/// centres that have been visible for less than [`RAMP_TIME`]. Their sum never exceeds `spare`.
pub fn divide_spare(model: &ModelName, spare: u32, demands: &[OfferDemand]) -> Vec<SpareOffer> {
    const RESERVED_SHARE: f64 = 0.1;
    let mut demands: Vec<&OfferDemand> = demands.iter().collect();
    demands.sort_by(|left, right| right.weight.total_cmp(&left.weight));
    demands.truncate(MAX_SLICES);
    let total: f64 = demands.iter().map(|demand| demand.weight).sum();
    if total <= 0.0 {
        return Vec::new();
    }
    let offered_slots = f64::from(spare) * (1.0 - RESERVED_SHARE);
    let slice = |demand: &OfferDemand| {
        let ramp = (demand.seen_for.as_secs_f64() / RAMP_TIME.as_secs_f64()).clamp(0.25, 1.0);
        let slots = (offered_slots * ramp * demand.weight / total).floor() as u32;
        SpareOffer { to: demand.centre.clone(), model: model.clone(), slots }
    };
    demands.into_iter().map(slice).filter(|offer| offer.slots > 0).collect()
}

/// Burst capacity of a slice, as the time over which its rate accumulates.
const BURST: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct HeldSlice {
    /// Slot seconds per second.
    rate: f64,
    /// Slot seconds that could be spent at `updated`; negative after an expensive request.
    balance: f64,
    updated: MonoTime,
    expires: MonoTime,
}

impl HeldSlice {
    /// Returns the slot seconds that can be spent at `now`, zero after the expiry.
    fn balance_at(&self, now: MonoTime) -> f64 {
        if now >= self.expires {
            return 0.0;
        }
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        (self.balance + earned).min(self.rate * BURST.as_secs_f64())
    }
}

/// The slices offered by other data centres that this daemon may spend.
///
/// A slice of `n` slots is a rate: requests worth `n` seconds of slot time may be sent per second,
/// whether as one long request or as many short ones.
#[derive(Debug, Default)]
pub struct OfferTracker {
    slices: BTreeMap<(DataCentreName, ModelName), HeldSlice>,
}

impl OfferTracker {
    /// Sets the rate and the expiry of the slice that the data centre `from` offers to this one.
    /// The slice is divided equally among the `members` VMs of this data centre; this daemon may
    /// spend one such share.
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
        let full = HeldSlice { rate, balance: rate * BURST.as_secs_f64(), updated: now, expires };
        let slice = self.slices.entry(key).or_insert(full);
        slice.balance = slice.balance_at(now).min(rate * BURST.as_secs_f64());
        (slice.rate, slice.updated, slice.expires) = (rate, now, expires);
    }

    /// Returns whether a request may be sent now. A slice covers a request while its balance is
    /// positive, and the balance may become negative; it then recovers at the slice's rate.
    pub fn is_available(&self, from: &DataCentreName, model: &ModelName, now: MonoTime) -> bool {
        let slice = self.slices.get(&(from.clone(), model.clone()));
        slice.is_some_and(|slice| slice.balance_at(now) > 0.0)
    }

    /// Deducts the slot time of one request from the balance of the slice offered by `from`.
    pub fn spend(
        &mut self,
        from: &DataCentreName,
        model: &ModelName,
        slot_time: Duration,
        now: MonoTime,
    ) {
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.balance = slice.balance_at(now) - slot_time.as_secs_f64();
            slice.updated = now;
        }
    }

    /// Makes a slice unavailable after the receiver refused a request, until it has accumulated a
    /// full burst.
    pub fn exhaust(&mut self, from: &DataCentreName, model: &ModelName, now: MonoTime) {
        if let Some(slice) = self.slices.get_mut(&(from.clone(), model.clone())) {
            slice.balance = -slice.rate * BURST.as_secs_f64();
            slice.updated = now;
        }
    }
}
