//! The platform's read-only service, as JSON over HTTP.
//!
//! `GET /v1/values/KEY` gives a value; `GET /v1/lists/upstreams?data_centre=NAME` the list of VMs.
//! Both give their revision in the [`REVISION`] header, and wait for a newer one when
//! `after=REVISION&wait_ms=N` is asked: 304 when there is none by then. `GET /v1/directory` is the
//! directory for clients. Each call counts against the platform's limits, a waiting watch as one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::description::{Description, SectionManifest, SectionSet};
use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, UpstreamName, VmName};
use serde::{Deserialize, Serialize};

/// The header with the revision of a value or list.
pub const REVISION: &str = "platform-revision";
/// The key of the manifest of the description.
pub const MANIFEST_KEY: &str = "description/manifest";
/// The start of the keys of sections; the digest follows.
pub const SECTION_KEY_PREFIX: &str = "description/sections/";

/// What an upstream is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service(ServiceName),
}

/// One upstream VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The name.
    pub name: UpstreamName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// What it is.
    pub kind: UpstreamKind,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its process lifetime; larger for a later one.
    pub incarnation: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// The platform's lagging list of the upstreams of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// The revision; a larger one is newer.
    pub revision: u64,
    /// The upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// One entry VM in the directory for clients.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The VM.
    pub vm: VmName,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where callers send requests.
    pub caller: SocketAddr,
}

/// A description made ready for publishing: the values that operators put into the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueBundle {
    /// The values by key, in any order; the manifest is to be published last.
    pub values: BTreeMap<String, String>,
}

impl ValueBundle {
    /// Makes the values of a description.
    pub fn of(description: &Description) -> (SectionManifest, ValueBundle) {
        let (manifest, sections) = SectionSet::split(description);
        let mut values = BTreeMap::new();
        for (_, digest) in &manifest.sections {
            if let Some(content) = sections.get(digest) {
                values.insert(format!("{SECTION_KEY_PREFIX}{digest}"), content.to_string());
            }
        }
        let text = manifest_text(&manifest);
        values.insert(MANIFEST_KEY.to_owned(), text);
        (manifest, ValueBundle { values })
    }
}

/// A manifest as it stands in the platform: a line with the generation, then `NAME DIGEST` lines.
pub fn manifest_text(manifest: &SectionManifest) -> String {
    let mut text = format!("{}\n", manifest.generation);
    for (name, digest) in &manifest.sections {
        text.push_str(&format!("{name} {digest}\n"));
    }
    text
}

/// A published manifest is malformed at line {0}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ManifestError(pub usize);

/// Reads what [`manifest_text`] wrote.
///
/// # Errors
///
/// The first line that is malformed, counted from 1.
pub fn parse_manifest(text: &str) -> Result<SectionManifest, ManifestError> {
    let mut lines = text.lines();
    let generation = lines.next().and_then(|line| line.parse().ok()).ok_or(ManifestError(1))?;
    let mut sections = Vec::new();
    for (at, line) in lines.enumerate() {
        let fault = ManifestError(at + 2);
        let (name, digest) = line.split_once(' ').ok_or_else(|| fault.clone())?;
        sections.push((name.to_owned(), digest.parse().map_err(|_| fault)?));
    }
    Ok(SectionManifest { generation, sections })
}
