//! Content-addressed sections of a description, so that only changed ones travel.

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

/// How many sections the accounts are spread over.
const ACCOUNT_SECTIONS: u64 = 32;
const ACCOUNTS: &str = "accounts";
const ACCOUNT_PREFIX: &str = "accounts/";

/// The first 16 bytes of the SHA-256 of a section or of a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SectionDigest([u8; 16]);

impl SectionDigest {
    /// The digest of some bytes.
    pub fn of(bytes: &[u8]) -> Self {
        let whole = Sha256::digest(bytes);
        let mut short = [0; 16];
        short.copy_from_slice(&whole[..16]);
        Self(short)
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

/// Why sections do not make a description.
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

/// The sections that a description is made of, by digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionManifest {
    /// The generation of the description.
    pub generation: u64,
    /// Name and digest of each section, in the order of names.
    pub sections: Vec<(String, SectionDigest)>,
}

impl SectionManifest {
    /// The stamp of the description that this manifest names.
    pub fn stamp(&self) -> DescriptionStamp {
        let mut text = format!("{}\n", self.generation);
        for (name, digest) in &self.sections {
            text.push_str(&format!("{name} {digest}\n"));
        }
        DescriptionStamp { generation: self.generation, digest: SectionDigest::of(text.as_bytes()) }
    }

    /// The sections whose content `held` does not have.
    pub fn missing_from(&self, held: &SectionSet) -> Vec<SectionDigest> {
        let lacks = |digest: &SectionDigest| held.get(digest).is_none();
        self.sections.iter().map(|(_, digest)| *digest).filter(lacks).collect()
    }
}

/// Section contents by digest.
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

    /// Adds one section's content and returns its digest.
    pub fn insert(&mut self, content: Arc<str>) -> SectionDigest {
        let digest = SectionDigest::of(content.as_bytes());
        self.contents.insert(digest, content);
        digest
    }

    /// The content with that digest.
    pub fn get(&self, digest: &SectionDigest) -> Option<&Arc<str>> {
        self.contents.get(digest)
    }

    /// Drops every section that the manifest does not name.
    pub fn retain(&mut self, manifest: &SectionManifest) {
        let named = |digest: &SectionDigest| manifest.sections.iter().any(|(_, it)| it == digest);
        self.contents.retain(|digest, _| named(digest));
    }

    /// The bytes held.
    pub fn bytes(&self) -> usize {
        self.contents.values().map(|content| content.len()).sum()
    }

    /// Puts a description together again and checks it.
    ///
    /// # Errors
    ///
    /// When a section is missing or altered, or the whole does not pass the checks.
    pub fn join(&self, manifest: &SectionManifest) -> Result<Description, SectionsError> {
        let mut whole = Map::new();
        let mut accounts = Vec::new();
        for (name, digest) in &manifest.sections {
            let content = self.get(digest).ok_or_else(|| SectionsError::Missing(name.clone()))?;
            let value: Value = serde_json::from_str(content)
                .map_err(|error| SectionsError::Shape(error.to_string()))?;
            match (name.strip_prefix(ACCOUNT_PREFIX), value) {
                (Some(_), Value::Array(part)) => accounts.extend(part),
                (_, value) => drop(whole.insert(name.clone(), value)),
            }
        }
        whole.insert(ACCOUNTS.to_owned(), Value::Array(accounts));
        let description: Description = serde_json::from_value(Value::Object(whole))
            .map_err(|error| SectionsError::Shape(error.to_string()))?;
        match check_description(&description).into_iter().next() {
            None => Ok(description),
            Some(fault) => Err(SectionsError::Check(fault)),
        }
    }
}

/// The sections of a description as JSON values, in the order of their names.
fn section_values(description: &Description) -> BTreeMap<String, Value> {
    let whole = serde_json::to_value(description).expect("a description is JSON");
    let Value::Object(whole) = whole else { unreachable!("a description is an object") };
    let mut values = BTreeMap::new();
    for (name, value) in whole {
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
    for (name, mut part) in buckets {
        part.sort_by(|left, right| left["name"].as_str().cmp(&right["name"].as_str()));
        values.insert(name, Value::Array(part));
    }
}
