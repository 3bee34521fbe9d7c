//! The platform's read-only HTTP API with JSON bodies.
//!
//! `GET /v1/values/KEY` returns a value, `GET /v1/lists/upstreams?data_centre=NAME` the list of
//! upstream VMs. Both return their revision in the [`REVISION`] header. With
//! `after=REVISION&wait_ms=N` they wait for a newer revision, and answer 304 if there is none after
//! N milliseconds. `GET /v1/directory` returns the directory for clients. Each call counts against
//! the platform's limits; a waiting call counts once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::description::{Description, SectionManifest, SectionSet};
use foldhaven_core::ids::{DataCentreName, RegionName, ServiceName, UpstreamName, VmName};
use serde::{Deserialize, Serialize};

/// Name of the header with the revision of a value or list.
pub const REVISION: &str = "platform-revision";
/// Key of the manifest of the description.
pub const MANIFEST_KEY: &str = "description/manifest";
/// Prefix of the keys of sections; the digest follows.
pub const SECTION_KEY_PREFIX: &str = "description/sections/";

/// What an upstream runs.
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
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The data centre of the upstream.
    pub data_centre: DataCentreName,
    /// What the upstream runs.
    pub kind: UpstreamKind,
    /// The address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// The incarnation of its process; a later process has a larger one.
    pub incarnation: u64,
    /// Whether the upstream is leaving and accepts no new requests.
    pub leaving: bool,
}

/// The platform's list of the upstreams of a data centre, which lags behind their actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamList {
    /// The revision; a newer list has a larger one.
    pub revision: u64,
    /// The upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// One entry VM in the directory for clients.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The VM.
    pub vm: VmName,
    /// The region of the VM.
    pub region: RegionName,
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The address to which callers send requests.
    pub caller: SocketAddr,
}

/// The values that operators write to the platform to publish a description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValueBundle {
    /// The values by key. The manifest must be written last, after all sections.
    pub values: BTreeMap<String, String>,
}

impl ValueBundle {
    /// Returns the manifest and all values of a description.
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

/// Serializes a manifest for the platform: a line with the generation, then `NAME DIGEST` lines.
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

/// Parses the output of [`manifest_text`].
///
/// # Errors
///
/// Returns the number of the first malformed line, counted from 1.
pub fn parse_manifest(text: &str) -> Result<SectionManifest, ManifestError> {
    let mut lines = text.lines();
    let generation = lines.next().and_then(|line| line.parse().ok()).ok_or(ManifestError(1))?;
    let mut sections = Vec::new();
    for (index, line) in lines.enumerate() {
        let error = ManifestError(index + 2);
        let (name, digest) = line.split_once(' ').ok_or_else(|| error.clone())?;
        sections.push((name.to_owned(), digest.parse().map_err(|_| error)?));
    }
    Ok(SectionManifest { generation, sections })
}
