//! Signals that upstreams send in their answers, as of the newest answer that any VM of the region
//! received.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::affinity::UpstreamTag;
use crate::time::MonoTime;
use crate::units::RequestRate;

/// How long the end of a limit is remembered, so that a VM that has not received it does not
/// restore the limit.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// How long after its last signal an upstream is remembered although it is not listed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// When an answer was received, and when its request was sent.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTiming {
    /// When the request was sent.
    pub sent: MonoTime,
    /// When the head of the answer was received.
    pub received: MonoTime,
}

/// The rate limit of one upstream, as VMs send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The upstream, identified per process incarnation.
    pub upstream: UpstreamTag,
    /// The requests per second that it accepts from all VMs together; `None` if it no longer names
    /// a limit.
    pub per_s: Option<f64>,
    /// The age of the answer with this signal in milliseconds.
    pub age_ms: u32,
}

/// An upstream that is leaving, as VMs send it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The upstream, identified per process incarnation.
    pub upstream: UpstreamTag,
    /// The age of the newest answer with this signal in milliseconds.
    pub age_ms: u32,
}

/// The incarnations of upstreams that have signalled that they are leaving. None can revoke this
/// signal: a later process has a different tag.
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    entries: BTreeMap<UpstreamTag, LeavingEntry>,
}

#[derive(Debug, Clone, Copy)]
struct LeavingEntry {
    /// When the newest answer with this signal was received.
    signalled_at: MonoTime,
    /// Whether the signal is yet to be sent to other VMs.
    is_unsent: bool,
}

impl LeavingUpstreams {
    /// Records an answer with the signal. Returns whether the signal is new.
    pub fn record_answer(&mut self, upstream: UpstreamTag, now: MonoTime) -> bool {
        self.update(upstream, true, now)
    }

    /// Applies the notice of another VM. Returns whether the signal is new.
    pub fn apply_notice(&mut self, notice: &LeavingNotice, now: MonoTime) -> bool {
        self.update(notice.upstream, false, now - Duration::from_millis(notice.age_ms.into()))
    }

    fn update(
        &mut self,
        upstream: UpstreamTag,
        is_own_answer: bool,
        signalled_at: MonoTime,
    ) -> bool {
        let held = self.entries.get(&upstream).copied();
        // A signal that another VM has sent need not be sent by this one.
        let is_unsent = is_own_answer && held.is_none_or(|held| held.is_unsent);
        let signalled_at = held.map_or(signalled_at, |held| held.signalled_at.max(signalled_at));
        self.entries.insert(upstream, LeavingEntry { signalled_at, is_unsent });
        held.is_none()
    }

    /// Whether an upstream has signalled that it is leaving.
    pub fn contains(&self, upstream: UpstreamTag) -> bool {
        self.entries.contains_key(&upstream)
    }

    /// Whether no upstreams are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of upstreams that have signalled that they are leaving.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the notices that are yet to be sent, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonoTime) -> Vec<LeavingNotice> {
        let unsent = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsent);
        let notices = unsent.map(|(upstream, entry)| {
            entry.is_unsent = false;
            entry.notice(*upstream, now)
        });
        notices.collect()
    }

    /// Returns all notices, for VMs that have missed some.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.entries.iter().map(|(upstream, entry)| entry.notice(*upstream, now)).collect()
    }

    /// Removes upstreams that are not listed and whose last signal is old. Until then an upstream
    /// may be listed again, and is still the same process.
    pub fn remove_expired(&mut self, is_listed: impl Fn(UpstreamTag) -> bool, now: MonoTime) {
        self.entries.retain(|upstream, entry| {
            is_listed(*upstream) || now.since(entry.signalled_at) < UNLISTED_RETENTION
        });
    }
}

/// A change of a rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// The previous limit.
    pub before: Option<RequestRate>,
    /// The new limit.
    pub now: Option<RequestRate>,
}

#[derive(Debug, Clone, Copy)]
struct RateLimitEntry {
    limit: Option<RequestRate>,
    /// When the newest answer with this limit was received.
    signalled_at: MonoTime,
    /// Whether the limit is yet to be sent to other VMs.
    is_unsent: bool,
}

/// The rate limits that upstreams name, per process incarnation.
#[derive(Debug, Default)]
pub struct RateLimits {
    entries: BTreeMap<UpstreamTag, RateLimitEntry>,
}

impl RateLimits {
    /// Records the limit that an answer names; `None` if it names none.
    ///
    /// An answer without a limit ends the limit only if its request was sent after the limit was
    /// received, since answers on several connections may arrive out of order.
    pub fn record_answer(
        &mut self,
        upstream: UpstreamTag,
        limit: Option<RequestRate>,
        timing: AnswerTiming,
    ) -> Option<LimitChange> {
        let held = self.entries.get(&upstream);
        let is_newer = match (held, limit) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(held), Some(_)) => timing.received >= held.signalled_at,
            (Some(held), None) => held.limit.is_some() && timing.sent >= held.signalled_at,
        };
        is_newer.then(|| self.update(upstream, limit, timing.received, true)).flatten()
    }

    /// Applies the notice of another VM. A rate that is not a valid non-negative number is dropped.
    pub fn apply_notice(&mut self, notice: &LimitNotice, now: MonoTime) -> Option<LimitChange> {
        let limit = match notice.per_s {
            Some(per_s) => Some(RequestRate::from_per_s(per_s).ok()?),
            None => None,
        };
        let signalled_at = now - Duration::from_millis(notice.age_ms.into());
        match self.entries.get_mut(&notice.upstream) {
            None if limit.is_none() => None,
            Some(held) if signalled_at <= held.signalled_at => {
                // The other VMs have the same limit.
                held.is_unsent &= held.limit != limit;
                None
            }
            _ => self.update(notice.upstream, limit, signalled_at, false),
        }
    }

    fn update(
        &mut self,
        upstream: UpstreamTag,
        limit: Option<RequestRate>,
        signalled_at: MonoTime,
        is_own_answer: bool,
    ) -> Option<LimitChange> {
        let held = self.entries.get(&upstream).copied();
        let before = held.and_then(|held| held.limit);
        let has_changed = before != limit;
        let was_unsent = held.is_some_and(|held| held.is_unsent);
        let is_unsent = is_own_answer && (has_changed || was_unsent);
        self.entries.insert(upstream, RateLimitEntry { limit, signalled_at, is_unsent });
        has_changed.then_some(LimitChange { upstream, before, now: limit })
    }

    /// Returns the limit of an upstream.
    pub fn limit(&self, upstream: UpstreamTag) -> Option<RequestRate> {
        self.entries.get(&upstream)?.limit
    }

    /// Returns the upstreams that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = UpstreamTag> {
        let limited = self.entries.iter().filter(|(_, entry)| entry.limit.is_some());
        limited.map(|(upstream, _)| *upstream)
    }

    /// Whether no limits are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| entry.limit.is_some()).count()
    }

    /// Returns the notices that are yet to be sent, and marks them as sent.
    pub fn take_unsent(&mut self, now: MonoTime) -> Vec<LimitNotice> {
        let unsent = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsent);
        let notices = unsent.map(|(upstream, entry)| {
            entry.is_unsent = false;
            entry.notice(*upstream, now)
        });
        notices.collect()
    }

    /// Returns all notices, for VMs that have missed some.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.entries.iter().map(|(upstream, entry)| entry.notice(*upstream, now)).collect()
    }

    /// Removes old limits that have ended or whose upstreams are not listed.
    pub fn remove_expired(&mut self, is_listed: impl Fn(UpstreamTag) -> bool, now: MonoTime) {
        self.entries.retain(|upstream, entry| {
            let retention = match (entry.limit, is_listed(*upstream)) {
                (None, _) => ENDED_RETENTION,
                (Some(_), false) => UNLISTED_RETENTION,
                (Some(_), true) => return true,
            };
            now.since(entry.signalled_at) < retention
        });
    }
}

impl RateLimitEntry {
    fn notice(&self, upstream: UpstreamTag, now: MonoTime) -> LimitNotice {
        let per_s = self.limit.map(RequestRate::per_s);
        LimitNotice { upstream, per_s, age_ms: age_ms(self.signalled_at, now) }
    }
}

impl LeavingEntry {
    fn notice(&self, upstream: UpstreamTag, now: MonoTime) -> LeavingNotice {
        LeavingNotice { upstream, age_ms: age_ms(self.signalled_at, now) }
    }
}

fn age_ms(signalled_at: MonoTime, now: MonoTime) -> u32 {
    u32::try_from(now.since(signalled_at).as_millis()).unwrap_or(u32::MAX)
}
