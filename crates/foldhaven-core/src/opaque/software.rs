//! The software of upstreams: which versions of it serve side by side in a service.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that
//! began it. Versions have no order, and a release replaces the upstreams of a service one by one.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ServiceName, SoftwareVersion, UpstreamName};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// How long a version whose last upstream has left still counts: longer than callers may resume its
/// streams.
const GONE_RETENTION: Duration = Duration::from_secs(60);

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

/// Counts the upstreams of each service by the version of their software. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct SoftwareCensus {
    services: Arc<HashMap<ServiceName, VersionCounts>>,
}

impl SoftwareCensus {
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

    /// Returns the software of all streams of a service that callers may still resume.
    /// `None` if it is not known: several versions serve or served a short time ago, or some
    /// upstreams name none.
    pub fn sole_software(&self, service: &ServiceName, now: MonoTime) -> Option<SoftwareTag> {
        let versions = self.services.get(service)?;
        let mut recent = versions.iter().filter(|(_, count)| !count.is_gone(now));
        let (version, _) = recent.next()?;
        let version = version.as_ref()?;
        recent.next().is_none().then(|| SoftwareTag::of_version(version))
    }

    /// Returns the versions of a service that count, for the log, each with the time since its last
    /// upstream left.
    pub fn describe(&self, service: &ServiceName, now: MonoTime) -> String {
        let versions = self.services.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, count)| !count.is_gone(now));
        let mut texts: Vec<String> = recent
            .map(|(version, count)| {
                let name = version.as_ref().map_or("-", SoftwareVersion::as_str);
                match count.gone_at {
                    Some(at) => format!("{name} left {} ms ago", now.since(at).as_millis()),
                    None => name.to_owned(),
                }
            })
            .collect();
        texts.sort_unstable();
        texts.join(", ")
    }

    /// Returns the services of which [`SoftwareCensus::sole_software`] is not known.
    pub fn mixed_services(&self, now: MonoTime) -> impl Iterator<Item = &ServiceName> {
        self.services.keys().filter(move |service| self.sole_software(service, now).is_none())
    }
}
