//! Content-addressed sections of a description, so that only changed sections are transferred.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use super::check::{CheckFault, check_description};
use super::model::Description;
use super::stamp::{DescriptionStamp, StampError};
use crate::rank::rank_hash;

/// Number of sections over which the accounts are distributed.
const ACCOUNT_SECTIONS: u64 = 32;
const ACCOUNTS: &str = "accounts";
const ACCOUNT_PREFIX: &str = "accounts/";

/// The first 16 bytes of the SHA-256 of a section or of a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SectionDigest([u8; 16]);

impl SectionDigest {
    /// Returns the digest of the bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let full = Sha256::digest(bytes);
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&full[..16]);
        Self(truncated)
    }
}

impl fmt::Display for SectionDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for SectionDigest {
    type Err = StampError;

    fn from_str(text: &str) -> Result<Self, StampError> {
        if text.len() != 32 || !text.is_ascii() {
            return Err(StampError);
        }
        let mut bytes = [0; 16];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[at * 2..at * 2 + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| StampError)?;
        }
        Ok(Self(bytes))
    }
}

/// An error in assembling a description from its sections.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SectionsError {
    /// section {0} is missing
    Missing(String),
    /// section {0} does not have the digest that the manifest names
    Digest(String),
    /// the sections do not have the shape of a description: {0}
    Shape(String),
    /// the description does not pass its checks: {0}
    Check(CheckFault),
}

/// The list of a description's sections with their digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionManifest {
    /// The generation of the description.
    pub generation: u64,
    /// Name and digest of each section, sorted by name.
    pub sections: Vec<(String, SectionDigest)>,
}

impl SectionManifest {
    /// Returns the stamp of the manifest's description.
    pub fn stamp(&self) -> DescriptionStamp {
        let mut text = format!("{}\n", self.generation);
        for (name, digest) in &self.sections {
            text.push_str(&format!("{name} {digest}\n"));
        }
        DescriptionStamp { generation: self.generation, digest: SectionDigest::of(text.as_bytes()) }
    }

    /// Returns the digests of the sections whose content `sections` does not contain.
    pub fn missing_from(&self, sections: &SectionSet) -> Vec<SectionDigest> {
        let is_missing = |digest: &SectionDigest| sections.get(digest).is_none();
        self.sections.iter().map(|(_, digest)| *digest).filter(is_missing).collect()
    }
}

/// Contents of sections, by digest.
#[derive(Debug, Clone, Default)]
pub struct SectionSet {
    contents: BTreeMap<SectionDigest, Arc<str>>,
}

impl SectionSet {
    /// Splits a description into its manifest and its sections.
    pub fn split(description: &Description) -> (SectionManifest, SectionSet) {
        let mut set = SectionSet::default();
        let mut sections = Vec::new();
        for (name, value) in section_values(description) {
            let digest = set.insert(value.to_string().into());
            sections.push((name, digest));
        }
        let generation = description.generation;
        (SectionManifest { generation, sections }, set)
    }

    /// Adds a section's content and returns its digest.
    pub fn insert(&mut self, content: Arc<str>) -> SectionDigest {
        let digest = SectionDigest::of(content.as_bytes());
        self.contents.insert(digest, content);
        digest
    }

    /// Returns the content with the digest.
    pub fn get(&self, digest: &SectionDigest) -> Option<&Arc<str>> {
        self.contents.get(digest)
    }

    /// Removes every section that the manifest does not list.
    pub fn retain(&mut self, manifest: &SectionManifest) {
        let is_listed =
            |digest: &SectionDigest| manifest.sections.iter().any(|(_, it)| it == digest);
        self.contents.retain(|digest, _| is_listed(digest));
    }

    /// Returns the total size of the contents, in bytes.
    pub fn bytes(&self) -> usize {
        self.contents.values().map(|content| content.len()).sum()
    }

    /// Assembles the manifest's description from its sections and validates it.
    ///
    /// # Errors
    ///
    /// Returns an error if a section is missing or malformed, or if the description does not pass
    /// its checks.
    pub fn join(&self, manifest: &SectionManifest) -> Result<Description, SectionsError> {
        let mut fields = Map::new();
        let mut accounts = Vec::new();
        for (name, digest) in &manifest.sections {
            let content = self.get(digest).ok_or_else(|| SectionsError::Missing(name.clone()))?;
            let value: Value = serde_json::from_str(content)
                .map_err(|error| SectionsError::Shape(error.to_string()))?;
            match (name.strip_prefix(ACCOUNT_PREFIX), value) {
                (Some(_), Value::Array(bucket)) => accounts.extend(bucket),
                (_, value) => drop(fields.insert(name.clone(), value)),
            }
        }
        fields.insert(ACCOUNTS.to_owned(), Value::Array(accounts));
        let description: Description = serde_json::from_value(Value::Object(fields))
            .map_err(|error| SectionsError::Shape(error.to_string()))?;
        match check_description(&description).into_iter().next() {
            None => Ok(description),
            Some(fault) => Err(SectionsError::Check(fault)),
        }
    }
}

/// Returns the sections of a description as JSON values, sorted by name.
fn section_values(description: &Description) -> BTreeMap<String, Value> {
    let object = serde_json::to_value(description).expect("a description serializes to JSON");
    let Value::Object(fields) = object else { unreachable!("a description is a JSON object") };
    let mut values = BTreeMap::new();
    for (name, value) in fields {
        match (name.as_str(), value) {
            (ACCOUNTS, Value::Array(accounts)) => split_accounts(accounts, &mut values),
            (_, value) => drop(values.insert(name, value)),
        }
    }
    values
}

fn split_accounts(accounts: Vec<Value>, values: &mut BTreeMap<String, Value>) {
    let mut buckets: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    for account in accounts {
        let name = account["name"].as_str().unwrap_or_default();
        let bucket = rank_hash(&[name]) % ACCOUNT_SECTIONS;
        buckets.entry(format!("{ACCOUNT_PREFIX}{bucket:02}")).or_default().push(account);
    }
    for (name, mut bucket) in buckets {
        bucket.sort_by(|left, right| left["name"].as_str().cmp(&right["name"].as_str()));
        values.insert(name, Value::Array(bucket));
    }
}
