//! The software of upstreams: which versions of it serve side by side in a service.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that
//! began it. Versions have no order, and a release replaces the upstreams of a service one by one.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, SoftwareVersion, UpstreamName};
use crate::opaque::feed_position::FeedPosition;
use crate::opaque::peer_table::ServiceTag;
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// How long a version whose last upstream has left still counts: longer than callers may resume its
/// streams.
const GONE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of versions in a history, so that it fits into a datagram.
const MAX_HISTORY: usize = 512;
/// By how much a version that others have told counts shorter when it is told on. It is more than the
/// delay of a message, so that VMs do not prolong it by telling it to each other.
const TOLD_MARGIN: Duration = Duration::from_secs(1);

/// Identifies the software of an upstream in messages between VMs, by a hash of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareTag(pub u32);

impl SoftwareTag {
    /// The tag of software that is not known. No upstream has it.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the tag of the software of an upstream. An upstream that names no version has
    /// software of its own, since nothing shows that it equals that of another one.
    pub fn of(software: Option<&SoftwareVersion>, upstream: &UpstreamName) -> Self {
        let hash = match software {
            Some(version) => rank_hash(&["version", version.as_str()]),
            None => rank_hash(&["upstream", upstream.as_str()]),
        };
        Self((hash as u32).max(1))
    }

    /// Returns the tag of a version.
    pub fn of_version(version: &SoftwareVersion) -> Self {
        Self((rank_hash(&["version", version.as_str()]) as u32).max(1))
    }
}

impl fmt::Display for SoftwareTag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

/// A software tag has 8 hexadecimal digits
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct SoftwareTagError;

impl FromStr for SoftwareTag {
    type Err = SoftwareTagError;

    fn from_str(text: &str) -> Result<Self, SoftwareTagError> {
        if text.len() != 8 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(SoftwareTagError);
        }
        u32::from_str_radix(text, 16).map(Self).map_err(|_| SoftwareTagError)
    }
}

/// The upstreams of one version of a service.
#[derive(Debug, Clone, Copy, Default)]
struct VersionCount {
    upstreams: usize,
    /// When the last of them left. `None` if there are some.
    gone_at: Option<MonoTime>,
}

impl VersionCount {
    fn is_gone(&self, now: MonoTime) -> bool {
        self.gone_at.is_some_and(|at| now.since(at) >= GONE_RETENTION)
    }
}

/// The versions of a service. Upstreams that name none are counted under `None`.
type VersionCounts = HashMap<Option<SoftwareVersion>, VersionCount>;

/// A version of a service's software, as one VM tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedSoftware {
    /// The service.
    pub service: ServiceTag,
    /// The software. [`SoftwareTag::UNKNOWN`] if an upstream named none.
    pub software: SoftwareTag,
    /// The time since its last upstream left, in milliseconds. 0 while there are some.
    pub gone_ms: u32,
}

impl ListedSoftware {
    fn gone_for(&self) -> Duration {
        Duration::from_millis(self.gone_ms.into())
    }
}

/// The versions that have served recently, as one VM tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareHistory {
    /// The revision of the platform up to which the sender knows all changes.
    pub revision: u64,
    /// How far back it knows them without a gap, in milliseconds.
    pub known_ms: u32,
    /// All versions that served within that time, and those told by others.
    pub versions: Vec<ListedSoftware>,
}

/// The time for which a VM knows all changes of the platform's list without a gap.
#[derive(Debug, Clone, Copy)]
struct KnownSpan {
    /// When its own knowledge began, by a complete list.
    since: MonoTime,
    /// The revision of that list.
    first_revision: u64,
    /// How much further back other VMs know the changes. May reach back beyond the start of this
    /// process.
    before: Duration,
}

impl KnownSpan {
    fn length(&self, now: MonoTime) -> Duration {
        now.since(self.since) + self.before
    }
}

/// Counts the upstreams of each service by the version of their software. Clones share the counts.
///
/// A process sees only what is listed while it runs. It concludes that a version is the only one
/// from what it or other VMs have observed without a gap, and not from what it has not seen.
#[derive(Debug, Clone, Default)]
pub struct SoftwareCensus {
    services: Arc<HashMap<ServiceName, VersionCounts>>,
    /// The versions that other VMs have told, and until when each counts.
    told: Arc<HashMap<(ServiceTag, SoftwareTag), MonoTime>>,
    /// `None` before the first complete list.
    span: Option<KnownSpan>,
}

impl SoftwareCensus {
    /// Records that what was listed before this moment is not known: a complete list of this
    /// revision was read, or changes were missed.
    pub fn restart_span(&mut self, revision: u64, now: MonoTime) {
        let span = KnownSpan { since: now, first_revision: revision, before: Duration::ZERO };
        self.span = Some(span);
    }

    /// Returns how far back the versions are known without a gap.
    pub fn known_span(&self, now: MonoTime) -> Duration {
        self.span.map_or(Duration::ZERO, |span| span.length(now))
    }

    /// Whether all versions are known whose streams callers may still resume.
    pub fn is_complete(&self, now: MonoTime) -> bool {
        self.known_span(now) >= GONE_RETENTION
    }

    /// Whether upstreams of this version serve in a service.
    pub fn has_version(&self, service: &ServiceName, software: &Option<SoftwareVersion>) -> bool {
        let versions = self.services.get(service);
        versions.and_then(|versions| versions.get(software)).is_some_and(|it| it.upstreams > 0)
    }

    /// Counts an upstream.
    pub fn add(&mut self, service: &ServiceName, software: &Option<SoftwareVersion>) {
        let services = Arc::make_mut(&mut self.services);
        let versions = services.entry(service.clone()).or_default();
        let count = versions.entry(software.clone()).or_default();
        count.upstreams += 1;
        count.gone_at = None;
    }

    /// Counts an upstream no longer.
    pub fn remove(
        &mut self,
        service: &ServiceName,
        software: &Option<SoftwareVersion>,
        now: MonoTime,
    ) {
        let services = Arc::make_mut(&mut self.services);
        let Some(versions) = services.get_mut(service) else { return };
        versions.retain(|_, count| !count.is_gone(now));
        if let Some(count) = versions.get_mut(software) {
            count.upstreams = count.upstreams.saturating_sub(1);
            count.gone_at = (count.upstreams == 0).then_some(now);
        }
        if versions.is_empty() {
            services.remove(service);
        }
    }

    /// Returns what this VM tells another one. `None` before the first complete list, or if there
    /// are too many versions for a message.
    pub fn history(&self, revision: u64, now: MonoTime) -> Option<SoftwareHistory> {
        let span = self.span?;
        let own: Vec<ListedSoftware> = self.own_versions(now).collect();
        let own_keys: HashSet<(ServiceTag, SoftwareTag)> =
            own.iter().map(|it| (it.service, it.software)).collect();
        let told = self
            .told
            .iter()
            .filter(|(key, until)| now + TOLD_MARGIN < **until && !own_keys.contains(*key));
        let told = told.map(|((service, software), until)| ListedSoftware {
            service: *service,
            software: *software,
            gone_ms: millis((GONE_RETENTION + TOLD_MARGIN).saturating_sub(until.since(now))),
        });
        let versions: Vec<ListedSoftware> =
            own.iter().copied().chain(told).take(MAX_HISTORY + 1).collect();
        let known_ms = millis(span.length(now).min(GONE_RETENTION));
        (versions.len() <= MAX_HISTORY).then_some(SoftwareHistory { revision, known_ms, versions })
    }

    /// Returns the versions that this VM has seen listed.
    fn own_versions(&self, now: MonoTime) -> impl Iterator<Item = ListedSoftware> {
        self.services.iter().flat_map(move |(service, versions)| {
            let service = ServiceTag::of(service);
            let recent = versions.iter().filter(move |(_, count)| !count.is_gone(now));
            recent.map(move |(version, count)| ListedSoftware {
                service,
                software: version.as_ref().map_or(SoftwareTag::UNKNOWN, SoftwareTag::of_version),
                gone_ms: count.gone_at.map_or(0, |at| millis(now.since(at))),
            })
        })
    }

    /// Merges what another VM has told. Its observations continue those of this VM if it knew all
    /// changes up to the first list that this VM has read. Returns whether that was news.
    pub fn merge(&mut self, history: &SoftwareHistory, now: MonoTime) -> bool {
        let told = Arc::make_mut(&mut self.told);
        told.retain(|_, until| now < *until);
        let mut is_news = false;
        let mut has_room = true;
        for version in &history.versions {
            let key = (version.service, version.software);
            let is_new = !told.contains_key(&key);
            if is_new && told.len() >= MAX_HISTORY {
                has_room = false;
                break;
            }
            let until = now + GONE_RETENTION.saturating_sub(version.gone_for());
            let held = told.entry(key).or_insert(until);
            *held = until.max(*held);
            is_news |= is_new;
        }
        // Without all its versions, the history of the other VM proves nothing.
        let is_longer = has_room && self.prolong_span(history, now);
        is_longer || is_news
    }

    /// Prolongs the span by that of another VM. Returns whether it is longer than before.
    fn prolong_span(&mut self, history: &SoftwareHistory, now: MonoTime) -> bool {
        let Some(span) = &mut self.span else { return false };
        let (first, offered) = (span.first_revision, history.revision);
        if offered < first || !FeedPosition::is_same_era(offered, first) {
            return false;
        }
        let known = Duration::from_millis(history.known_ms.into()).min(GONE_RETENTION);
        let own = now.since(span.since);
        let before = span.before.max(known.saturating_sub(own));
        let is_longer = before > span.before;
        span.before = before;
        is_longer
    }

    /// Returns the software of all streams of a service that callers may still resume.
    /// `None` if it is not known: several versions serve or served a short time ago, some upstreams
    /// name none, or this VM does not know for long enough which versions served.
    pub fn sole_software(&self, service: &ServiceName, now: MonoTime) -> Option<SoftwareTag> {
        if !self.is_complete(now) {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut recent = versions.iter().filter(|(_, count)| !count.is_gone(now));
        let (version, _) = recent.next()?;
        let sole = SoftwareTag::of_version(version.as_ref()?);
        let is_sole = recent.next().is_none() && !self.is_another_told(service, sole, now);
        is_sole.then_some(sole)
    }

    fn is_another_told(&self, service: &ServiceName, sole: SoftwareTag, now: MonoTime) -> bool {
        let service = ServiceTag::of(service);
        let mut told = self.told.iter().filter(|(_, until)| now < **until);
        told.any(|((of, software), _)| *of == service && *software != sole)
    }

    /// Returns the versions of a service that count, for the log, each with the time since its last
    /// upstream left.
    pub fn describe(&self, service: &ServiceName, now: MonoTime) -> String {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, count)| !count.is_gone(now));
        let own = recent.map(|(version, count)| {
            let name = version.as_ref().map_or("-", SoftwareVersion::as_str);
            match count.gone_at {
                Some(at) => format!("{name} left {} ms ago", now.since(at).as_millis()),
                None => name.to_owned(),
            }
        });
        let tag = ServiceTag::of(service);
        let told = self.told.iter().filter(|((of, _), until)| *of == tag && now < **until);
        let told = told.map(|((_, software), _)| format!("{software} told"));
        let mut texts: Vec<String> = own.chain(told).collect();
        texts.sort_unstable();
        texts.join(", ")
    }

    /// Returns all services that have upstreams, or had some a short time ago.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns the services of which [`SoftwareCensus::sole_software`] is not known.
    pub fn mixed_services(&self, now: MonoTime) -> impl Iterator<Item = &ServiceName> {
        self.services.keys().filter(move |service| self.sole_software(service, now).is_none())
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
