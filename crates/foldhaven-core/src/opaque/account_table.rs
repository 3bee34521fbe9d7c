//! The client accounts of opaque requests: their keys, home regions, priorities and limits.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, LazyLock};

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, RegionName, RouteName};

/// The context from which the key of all fingerprints is derived. It is the same at all VMs, so
/// that they can refer to account keys without exchanging them.
const FINGERPRINT_CONTEXT: &str = "foldhaven account key print v1";
static FINGERPRINT_KEY: LazyLock<[u8; 32]> =
    LazyLock::new(|| blake3::derive_key(FINGERPRINT_CONTEXT, &[]));
/// The length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;
/// The maximum length of an account key in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The keyed hash of a caller's key, which replaces the key in memory and in messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyFingerprint([u8; FINGERPRINT_BYTES]);

impl KeyFingerprint {
    /// Returns the fingerprint of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::keyed_hash(&FINGERPRINT_KEY, key);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.as_bytes()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyPrint")
    }
}

impl fmt::Display for KeyFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// the text is not a key fingerprint
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParseFingerprintError;

impl FromStr for KeyFingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.is_ascii() {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its prompt tokens plus its maximum output, or as `default_tokens` if
    /// it states neither.
    Tokens {
        /// The cost of a request that states no number of tokens.
        #[serde(rename = "plain")]
        default_tokens: u32,
    },
}

/// How much an account may send through all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// The permitted rate per second; more than 0.
    pub per_s: f64,
    /// The amount that may be used at once after a pause.
    pub burst: f64,
}

impl AccountLimit {
    /// Returns the cost of a request that states `tokens`; `None` if it states no number.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { default_tokens } => {
                tokens.unwrap_or(u64::from(default_tokens)) as f64
            }
        }
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Its name, which is passed to upstreams.
    pub name: AccountName,
    /// The fingerprints of its keys.
    pub keys: BTreeSet<KeyFingerprint>,
    /// The priority of its requests, which overrides that of their routes; 0 is the highest.
    pub priority: Option<u8>,
    /// The regions in which its requests may run; all if empty.
    pub homes: Vec<RegionName>,
    /// The limit on its requests; `None` if they are not limited.
    pub limit: Option<AccountLimit>,
}

impl ClientAccount {
    /// Whether its requests may run in a region.
    pub fn permits(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

/// The accounts of a deployment, and the routes that need none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountDescription {
    /// The accounts by name.
    pub accounts: BTreeMap<AccountName, Arc<ClientAccount>>,
    /// The routes that can be used without a key.
    pub open_routes: BTreeSet<RouteName>,
}

/// The accounts with a lookup by key.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<KeyFingerprint, Arc<ClientAccount>>,
    is_described: bool,
}

impl AccountTable {
    /// Builds the lookup. If no accounts are described, requests need no key.
    pub fn new(description: Option<&AccountDescription>) -> Self {
        let accounts = description.into_iter().flat_map(|it| it.accounts.values());
        let by_key = accounts
            .flat_map(|account| account.keys.iter().map(move |key| (*key, Arc::clone(account))));
        Self { by_key: by_key.collect(), is_described: description.is_some() }
    }

    /// Whether requests need keys.
    pub fn is_described(&self) -> bool {
        self.is_described
    }

    /// Returns the account that holds a key.
    pub fn find(&self, key: &KeyFingerprint) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }
}

/// The difference between the accounts of two descriptions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub enum AccountDelta {
    /// No difference.
    #[default]
    Same,
    /// The new description has no accounts.
    Gone,
    /// The complete accounts of the new description.
    All(AccountDescription),
    /// The accounts that differ.
    Some {
        /// The accounts that are new or changed.
        written: BTreeMap<AccountName, Arc<ClientAccount>>,
        /// The accounts that were removed.
        removed: BTreeSet<AccountName>,
        /// The open routes, if they changed.
        open_routes: Option<BTreeSet<RouteName>>,
    },
}

impl AccountDelta {
    /// Returns the difference between two descriptions.
    pub fn between(old: Option<&AccountDescription>, new: Option<&AccountDescription>) -> Self {
        let (old, new) = match (old, new) {
            (old, new) if old == new => return Self::Same,
            (_, None) => return Self::Gone,
            (None, Some(new)) => return Self::All(new.clone()),
            (Some(old), Some(new)) => (old, new),
        };
        let is_changed =
            |(name, account): &(&AccountName, _)| old.accounts.get(*name) != Some(*account);
        let written = new.accounts.iter().filter(is_changed);
        let is_removed = |name: &&AccountName| !new.accounts.contains_key(*name);
        let has_open_routes_changed = old.open_routes != new.open_routes;
        Self::Some {
            written: written.map(|(name, account)| (name.clone(), account.clone())).collect(),
            removed: old.accounts.keys().filter(is_removed).cloned().collect(),
            open_routes: has_open_routes_changed.then(|| new.open_routes.clone()),
        }
    }

    /// Applies this difference. Returns the resulting accounts; `None` if none are described.
    pub fn apply(&self, old: Option<&AccountDescription>) -> Option<AccountDescription> {
        match self {
            Self::Same => old.cloned(),
            Self::Gone => None,
            Self::All(all) => Some(all.clone()),
            Self::Some { written, removed, open_routes } => {
                let mut updated = old.cloned().unwrap_or_default();
                updated.accounts.retain(|name, _| !removed.contains(name));
                updated
                    .accounts
                    .extend(written.iter().map(|(name, it)| (name.clone(), it.clone())));
                if let Some(open_routes) = open_routes {
                    updated.open_routes.clone_from(open_routes);
                }
                Some(updated)
            }
        }
    }

    /// Combines this difference and the next one into one.
    pub fn followed_by(&self, next: &Self) -> Self {
        match (self, next) {
            (_, Self::Same) => self.clone(),
            (Self::Same, _) | (_, Self::Gone | Self::All(_)) => next.clone(),
            (Self::Gone | Self::All(_), Self::Some { .. }) => {
                next.apply(self.apply(None).as_ref()).map_or(Self::Gone, Self::All)
            }
            (
                Self::Some { written, removed, open_routes },
                Self::Some {
                    written: next_written,
                    removed: next_removed,
                    open_routes: next_open_routes,
                },
            ) => {
                let mut written = written.clone();
                written.retain(|name, _| !next_removed.contains(name));
                written.extend(
                    next_written.iter().map(|(name, account)| (name.clone(), account.clone())),
                );
                let removed =
                    removed.union(next_removed).filter(|name| !next_written.contains_key(*name));
                Self::Some {
                    written,
                    removed: removed.cloned().collect(),
                    open_routes: next_open_routes.clone().or_else(|| open_routes.clone()),
                }
            }
        }
    }

    /// Returns how many accounts this difference writes or removes.
    pub fn size(&self) -> usize {
        match self {
            Self::Same | Self::Gone => 0,
            Self::All(all) => all.accounts.len(),
            Self::Some { written, removed, .. } => written.len() + removed.len(),
        }
    }
}
