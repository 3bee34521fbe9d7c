//! What upstreams say of themselves in their answers, by the newest answer that any VM of the region got.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::affinity::UpstreamTag;
use crate::time::MonoTime;
use crate::units::RequestRate;

/// How long the end of a limit is remembered, so that a VM that has not heard of it does not put the limit back.
const ENDED_RETENTION: Duration = Duration::from_secs(10);
/// How long what an upstream said is remembered while it is not listed.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// When an answer came, and when its request was sent.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTiming {
    /// When the request was sent.
    pub sent: MonoTime,
    /// When the head of the answer came.
    pub received: MonoTime,
}

/// The limit of one upstream, as a VM tells others of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The upstream, in one of its process lifetimes.
    pub upstream: UpstreamTag,
    /// The requests a second that it takes from all VMs together; nothing when it names no limit any more.
    pub per_s: Option<f64>,
    /// How many milliseconds ago the answer came that says so.
    pub age_ms: u32,
}

/// An upstream that leaves, as a VM tells others of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The upstream, in one of its process lifetimes.
    pub upstream: UpstreamTag,
    /// How many milliseconds ago the newest answer came that says so.
    pub age_ms: u32,
}

/// The process lifetimes of upstreams that have said that they leave. None takes that back: a later process has another tag.
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    entries: BTreeMap<UpstreamTag, LeavingEntry>,
}

#[derive(Debug, Clone, Copy)]
struct LeavingEntry {
    /// When the newest answer came that says so.
    signalled_at: MonoTime,
    /// Whether other VMs are still to be told.
    is_unsent: bool,
}

impl LeavingUpstreams {
    /// Takes in an answer that says so. Returns whether it is news.
    pub fn record_answer(&mut self, upstream: UpstreamTag, now: MonoTime) -> bool {
        self.update(upstream, true, now)
    }

    /// Takes in what another VM tells. Returns whether it is news.
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
        // What another VM has told needs not be told by this one.
        let is_unsent = is_own_answer && held.is_none_or(|held| held.is_unsent);
        let signalled_at = held.map_or(signalled_at, |held| held.signalled_at.max(signalled_at));
        self.entries.insert(upstream, LeavingEntry { signalled_at, is_unsent });
        held.is_none()
    }

    /// Whether an upstream has said so.
    pub fn contains(&self, upstream: UpstreamTag) -> bool {
        self.entries.contains_key(&upstream)
    }

    /// Whether anything is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many have said so.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// What others are still to be told; it counts as told from then on.
    pub fn take_unsent(&mut self, now: MonoTime) -> Vec<LeavingNotice> {
        let unsent = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsent);
        let notices = unsent.map(|(upstream, entry)| {
            entry.is_unsent = false;
            entry.notice(*upstream, now)
        });
        notices.collect()
    }

    /// All that is held, for VMs that have missed news of it.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.entries.iter().map(|(upstream, entry)| entry.notice(*upstream, now)).collect()
    }

    /// Forgets upstreams that are gone. One that is listed again soon is the same process.
    pub fn remove_expired(&mut self, is_listed: impl Fn(UpstreamTag) -> bool, now: MonoTime) {
        self.entries.retain(|upstream, entry| {
            is_listed(*upstream) || now.since(entry.signalled_at) < UNLISTED_RETENTION
        });
    }
}

/// A limit that has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// The limit before.
    pub before: Option<RequestRate>,
    /// The limit now.
    pub now: Option<RequestRate>,
}

#[derive(Debug, Clone, Copy)]
struct RateLimitEntry {
    limit: Option<RequestRate>,
    /// When the newest answer came that says so.
    signalled_at: MonoTime,
    /// Whether other VMs are still to be told.
    is_unsent: bool,
}

/// The limits that upstreams name, each for one process lifetime.
#[derive(Debug, Default)]
pub struct RateLimits {
    entries: BTreeMap<UpstreamTag, RateLimitEntry>,
}

impl RateLimits {
    /// Takes in the limit that an answer names, or that it names none.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was heard: answers on several
    /// connections may overtake each other.
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

    /// Takes in what another VM tells. A rate that is no number of at least zero is dropped.
    pub fn apply_notice(&mut self, notice: &LimitNotice, now: MonoTime) -> Option<LimitChange> {
        let limit = match notice.per_s {
            Some(per_s) => Some(RequestRate::of_per_s(per_s).ok()?),
            None => None,
        };
        let signalled_at = now - Duration::from_millis(notice.age_ms.into());
        match self.entries.get_mut(&notice.upstream) {
            None if limit.is_none() => None,
            Some(held) if signalled_at <= held.signalled_at => {
                // Others know it as well.
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

    /// The limit of an upstream.
    pub fn limit(&self, upstream: UpstreamTag) -> Option<RequestRate> {
        self.entries.get(&upstream)?.limit
    }

    /// Whether anything is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many upstreams name a limit.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| entry.limit.is_some()).count()
    }

    /// What others are still to be told; it counts as told from then on.
    pub fn take_unsent(&mut self, now: MonoTime) -> Vec<LimitNotice> {
        let unsent = self.entries.iter_mut().filter(|(_, entry)| entry.is_unsent);
        let notices = unsent.map(|(upstream, entry)| {
            entry.is_unsent = false;
            entry.notice(*upstream, now)
        });
        notices.collect()
    }

    /// All that is held, for VMs that have missed news of it.
    pub fn all_notices(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.entries.iter().map(|(upstream, entry)| entry.notice(*upstream, now)).collect()
    }

    /// Forgets limits that have ended, and those of upstreams that are gone.
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
