//! How many requests the upstreams of a service take before they decline more, learnt from those that do.
//!
//! The pattern that it answers: a peak of which a part cannot be served. Each request that was sent to a full
//! upstream came back within milliseconds and was sent to another full one; 20,600 of 105,600 arrivals of a day
//! with such a peak were declined, at upstreams of which this VM believed 37 to 49 requests, where 48 were the most.

use crate::opaque::performance::QueueState;

/// By which share one more observation moves the limit. What is believed of a queue is some tens of milliseconds
/// old, so that one observation may be off by several requests.
const WEIGHT: f64 = 0.1;
/// The limit, as a multiple of the requests that run at once, is never taken to be lower: an upstream that
/// declines with few requests has another reason.
const LEAST_LIMIT: f64 = 1.5;

/// What is believed of that number.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueCapacity {
    /// The limit; not known before an upstream has declined a request.
    limit: Option<f64>,
    /// The most requests that an upstream had that took one more.
    most: f64,
}

impl QueueCapacity {
    /// Takes in that an upstream with this queue declined a request because it is full.
    pub fn record_refused(&mut self, queue: QueueState) {
        let load = f64::from(queue.in_flight);
        if load < f64::from(queue.slots) * LEAST_LIMIT {
            return;
        }
        let limit = self.limit.unwrap_or(load);
        self.limit = Some(limit + (load - limit).min(0.0) * WEIGHT);
    }

    /// Takes in that an upstream with this queue took a request.
    pub fn record_accepted(&mut self, queue: QueueState) {
        let load = f64::from(queue.in_flight);
        self.most = self.most.max(load + 1.0);
        if let Some(limit) = &mut self.limit {
            *limit += (load + 1.0 - *limit).max(0.0) * WEIGHT;
        }
    }

    /// How many requests an upstream has that declines one because it is full, where this queue was believed.
    pub fn full_queue_load(&self, queue: QueueState) -> u32 {
        let least = f64::from(queue.slots) * LEAST_LIMIT;
        let known = self.limit.unwrap_or_default().max(self.most).max(least);
        queue.in_flight.max(known as u32)
    }

    /// Whether an upstream with this queue would probably decline a request.
    pub fn is_full(&self, queue: QueueState) -> bool {
        self.limit.is_some_and(|limit| f64::from(queue.in_flight) >= limit)
    }
}
