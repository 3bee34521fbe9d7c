//! The limits that upstreams name in their answers, shared by both threads, with a log line for each change.

use foldhaven_core::opaque::upstream_words::{AnswerMoment, LimitChange, LimitWords};
use foldhaven_core::units::RequestRate;
use parking_lot::Mutex;

use crate::shared::GatewayShared;
use crate::upstream::Upstream;

/// The limits.
#[derive(Default)]
pub struct LimitDesk {
    words: Mutex<LimitWords>,
}

impl LimitDesk {
    /// Takes in the limit that an answer names, or that it names none.
    pub fn note_answer(
        &self,
        shared: &GatewayShared,
        upstream: &Upstream,
        limit: Option<RequestRate>,
        moment: AnswerMoment,
    ) {
        let mut words = self.words.lock();
        let change = words.note_answer(upstream.tag, limit, moment);
        let Some(change) = change else { return };
        shared.metrics.set_level("limited_upstreams", words.count() as u64);
        drop(words);
        note_change(shared, upstream, &change);
    }

    /// The limit of an upstream.
    pub fn limit(&self, upstream: &Upstream) -> Option<RequestRate> {
        self.words.lock().limit(upstream.tag)
    }
}

/// Counts and logs a change.
fn note_change(shared: &GatewayShared, upstream: &Upstream, change: &LimitChange) {
    let event = match (change.before, change.now) {
        (None, _) => "upstream_limit_named",
        (_, None) => "upstream_limit_ended",
        _ => "upstream_limit_changed",
    };
    shared.metrics.count_event(event);
    if shared.quota.take(false) {
        let per_s = change.now.map(RequestRate::per_s);
        let before = change.before.map(RequestRate::per_s);
        tracing::info!(
            upstream = %upstream.name(),
            birth = upstream.identity.birth.0,
            per_s,
            before,
            event,
            "the limit of an upstream changes"
        );
    }
}
