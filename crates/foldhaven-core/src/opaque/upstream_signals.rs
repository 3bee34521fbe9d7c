//! What upstreams say of themselves in their answers, by the newest answer that any VM of the region got.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::opaque::affinity::UpstreamTag;
use crate::time::MonoTime;
use crate::units::RequestRate;

/// How long the end of a limit is remembered, so that a VM that has not heard of it does not put the limit back.
const END_MEMORY: Duration = Duration::from_secs(10);
/// How long what an upstream said is remembered while it is not listed.
const UNLISTED_MEMORY: Duration = Duration::from_secs(60);

/// When an answer came, and when its request was sent.
#[derive(Debug, Clone, Copy)]
pub struct AnswerMoment {
    /// When the request was sent.
    pub sent: MonoTime,
    /// When the head of the answer came.
    pub heard: MonoTime,
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
    said: MonoTime,
    /// Whether other VMs are still to be told.
    is_news: bool,
}

impl LeavingUpstreams {
    /// Takes in an answer that says so. Returns whether it is news.
    pub fn note_answer(&mut self, upstream: UpstreamTag, now: MonoTime) -> bool {
        self.put(upstream, true, now)
    }

    /// Takes in what another VM tells. Returns whether it is news.
    pub fn hear(&mut self, told: &LeavingNotice, now: MonoTime) -> bool {
        self.put(told.upstream, false, now - Duration::from_millis(told.age_ms.into()))
    }

    fn put(&mut self, upstream: UpstreamTag, is_own: bool, said: MonoTime) -> bool {
        let held = self.entries.get(&upstream).copied();
        // What another VM has told needs not be told by this one.
        let is_news = is_own && held.is_none_or(|held| held.is_news);
        let said = held.map_or(said, |held| held.said.max(said));
        self.entries.insert(upstream, LeavingEntry { said, is_news });
        held.is_none()
    }

    /// Whether an upstream has said so.
    pub fn has_said(&self, upstream: UpstreamTag) -> bool {
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
    pub fn take_news(&mut self, now: MonoTime) -> Vec<LeavingNotice> {
        let news = self.entries.iter_mut().filter(|(_, entry)| entry.is_news);
        let told = news.map(|(upstream, entry)| {
            entry.is_news = false;
            entry.told(*upstream, now)
        });
        told.collect()
    }

    /// All that is held, for VMs that have missed news of it.
    pub fn all(&self, now: MonoTime) -> Vec<LeavingNotice> {
        self.entries.iter().map(|(upstream, entry)| entry.told(*upstream, now)).collect()
    }

    /// Forgets upstreams that are gone. One that is listed again soon is the same process.
    pub fn forget(&mut self, is_listed: impl Fn(UpstreamTag) -> bool, now: MonoTime) {
        self.entries.retain(|upstream, entry| {
            is_listed(*upstream) || now.since(entry.said) < UNLISTED_MEMORY
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
    said: MonoTime,
    /// Whether other VMs are still to be told.
    is_news: bool,
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
    pub fn note_answer(
        &mut self,
        upstream: UpstreamTag,
        limit: Option<RequestRate>,
        moment: AnswerMoment,
    ) -> Option<LimitChange> {
        let held = self.entries.get(&upstream);
        let is_newer = match (held, limit) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(held), Some(_)) => moment.heard >= held.said,
            (Some(held), None) => held.limit.is_some() && moment.sent >= held.said,
        };
        is_newer.then(|| self.put(upstream, limit, moment.heard, true)).flatten()
    }

    /// Takes in what another VM tells. A rate that is no number of at least zero is dropped.
    pub fn hear(&mut self, told: &LimitNotice, now: MonoTime) -> Option<LimitChange> {
        let limit = match told.per_s {
            Some(per_s) => Some(RequestRate::from_per_s(per_s).ok()?),
            None => None,
        };
        let said = now - Duration::from_millis(told.age_ms.into());
        match self.entries.get_mut(&told.upstream) {
            None if limit.is_none() => None,
            Some(held) if said <= held.said => {
                // Others know it as well.
                held.is_news &= held.limit != limit;
                None
            }
            _ => self.put(told.upstream, limit, said, false),
        }
    }

    fn put(
        &mut self,
        upstream: UpstreamTag,
        limit: Option<RequestRate>,
        said: MonoTime,
        is_own: bool,
    ) -> Option<LimitChange> {
        let held = self.entries.get(&upstream).copied();
        let before = held.and_then(|held| held.limit);
        let has_changed = before != limit;
        let was_news = held.is_some_and(|held| held.is_news);
        let is_news = is_own && (has_changed || was_news);
        self.entries.insert(upstream, RateLimitEntry { limit, said, is_news });
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
    pub fn take_news(&mut self, now: MonoTime) -> Vec<LimitNotice> {
        let news = self.entries.iter_mut().filter(|(_, entry)| entry.is_news);
        let told = news.map(|(upstream, entry)| {
            entry.is_news = false;
            entry.told(*upstream, now)
        });
        told.collect()
    }

    /// All that is held, for VMs that have missed news of it.
    pub fn all(&self, now: MonoTime) -> Vec<LimitNotice> {
        self.entries.iter().map(|(upstream, entry)| entry.told(*upstream, now)).collect()
    }

    /// Forgets limits that have ended, and those of upstreams that are gone.
    pub fn forget(&mut self, is_listed: impl Fn(UpstreamTag) -> bool, now: MonoTime) {
        self.entries.retain(|upstream, entry| {
            let memory = match (entry.limit, is_listed(*upstream)) {
                (None, _) => END_MEMORY,
                (Some(_), false) => UNLISTED_MEMORY,
                (Some(_), true) => return true,
            };
            now.since(entry.said) < memory
        });
    }
}

impl RateLimitEntry {
    fn told(&self, upstream: UpstreamTag, now: MonoTime) -> LimitNotice {
        let per_s = self.limit.map(RequestRate::per_s);
        LimitNotice { upstream, per_s, age_ms: told_age(self.said, now) }
    }
}

impl LeavingEntry {
    fn told(&self, upstream: UpstreamTag, now: MonoTime) -> LeavingNotice {
        LeavingNotice { upstream, age_ms: told_age(self.said, now) }
    }
}

fn told_age(said: MonoTime, now: MonoTime) -> u32 {
    u32::try_from(now.since(said).as_millis()).unwrap_or(u32::MAX)
}
