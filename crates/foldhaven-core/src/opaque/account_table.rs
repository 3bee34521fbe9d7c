//! The client accounts of opaque requests: their keys, homes, priorities and limits.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, LazyLock};

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, RegionName, RouteName};

/// What the key of all prints is derived from. It is the same at all VMs, so that they can tell each other of keys
/// without the keys.
const PRINT_CONTEXT: &str = "foldhaven account key print v1";
static PRINT_KEY: LazyLock<[u8; 32]> = LazyLock::new(|| blake3::derive_key(PRINT_CONTEXT, &[]));
/// The bytes of a print.
const FINGERPRINT_BYTES: usize = 16;
/// The longest key that is taken, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// The keyed hash of a caller's key, which stands for it wherever it is kept or told.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyPrint([u8; FINGERPRINT_BYTES]);

impl KeyPrint {
    /// The print of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::keyed_hash(&PRINT_KEY, key);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.as_bytes()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyPrint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyPrint")
    }
}

impl fmt::Display for KeyPrint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A text is no key print.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct KeyPrintError;

impl FromStr for KeyPrint {
    type Err = KeyPrintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.is_ascii() {
            return Err(KeyPrintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyPrintError)?;
        }
        Ok(Self(bytes))
    }
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as its prompt tokens and its longest answer, or as `plain` where it names neither.
    Tokens {
        /// What a request counts for that names no tokens.
        plain: u32,
    },
}

/// How much an account may send through all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// How much of it a second; more than 0.
    pub per_s: f64,
    /// How much above that at once.
    pub burst: f64,
}

impl AccountLimit {
    /// What a request counts for, where `tokens` are those that it names.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)) as f64,
        }
    }
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientAccount {
    /// Its name, which upstreams are told.
    pub name: AccountName,
    /// The prints of its keys.
    pub keys: BTreeSet<KeyPrint>,
    /// The rank of its requests, in place of that of their routes; 0 goes first.
    pub priority: Option<u8>,
    /// The regions in which its requests may run; all when empty.
    pub homes: Vec<RegionName>,
    /// How much it may send; nothing where that is not limited.
    pub limit: Option<AccountLimit>,
}

impl ClientAccount {
    /// Whether its requests may run in a region.
    pub fn permits(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }
}

/// The accounts of a deployment, and which routes need none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountDescription {
    /// The accounts by their names.
    pub accounts: BTreeMap<AccountName, Arc<ClientAccount>>,
    /// The routes that can be used without a key.
    pub open_routes: BTreeSet<RouteName>,
}

/// The accounts with their look-ups.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: HashMap<KeyPrint, Arc<ClientAccount>>,
    is_described: bool,
}

impl AccountTable {
    /// Makes the look-ups; where no accounts are described, no request needs a key.
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

    /// The account that holds a key.
    pub fn find(&self, key: &KeyPrint) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }
}

/// What changes between the accounts of two descriptions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub enum AccountDelta {
    /// Nothing.
    #[default]
    Same,
    /// None are described any more.
    Gone,
    /// All of them are told.
    All(AccountDescription),
    /// Some of them.
    Some {
        /// The accounts that are new or differ.
        written: BTreeMap<AccountName, Arc<ClientAccount>>,
        /// The accounts that are gone.
        removed: BTreeSet<AccountName>,
        /// The open routes, when these differ.
        open_routes: Option<BTreeSet<RouteName>>,
    },
}

impl AccountDelta {
    /// The difference between two descriptions.
    pub fn between(
        held: Option<&AccountDescription>,
        offered: Option<&AccountDescription>,
    ) -> Self {
        let (held, offered) = match (held, offered) {
            (held, offered) if held == offered => return Self::Same,
            (_, None) => return Self::Gone,
            (None, Some(offered)) => return Self::All(offered.clone()),
            (Some(held), Some(offered)) => (held, offered),
        };
        let is_written =
            |(name, account): &(&AccountName, _)| held.accounts.get(*name) != Some(*account);
        let written = offered.accounts.iter().filter(is_written);
        let is_removed = |name: &&AccountName| !offered.accounts.contains_key(*name);
        let is_open_changed = held.open_routes != offered.open_routes;
        Self::Some {
            written: written.map(|(name, account)| (name.clone(), account.clone())).collect(),
            removed: held.accounts.keys().filter(is_removed).cloned().collect(),
            open_routes: is_open_changed.then(|| offered.open_routes.clone()),
        }
    }

    /// The accounts after this change; nothing where none are described.
    pub fn apply(&self, held: Option<&AccountDescription>) -> Option<AccountDescription> {
        match self {
            Self::Same => held.cloned(),
            Self::Gone => None,
            Self::All(all) => Some(all.clone()),
            Self::Some { written, removed, open_routes } => {
                let mut made = held.cloned().unwrap_or_default();
                made.accounts.retain(|name, _| !removed.contains(name));
                made.accounts.extend(written.iter().map(|(name, it)| (name.clone(), it.clone())));
                if let Some(open_routes) = open_routes {
                    made.open_routes.clone_from(open_routes);
                }
                Some(made)
            }
        }
    }

    /// One change in place of this one and the next.
    pub fn followed_by(&self, next: &Self) -> Self {
        match (self, next) {
            (_, Self::Same) => self.clone(),
            (Self::Same, _) | (_, Self::Gone | Self::All(_)) => next.clone(),
            (Self::Gone | Self::All(_), Self::Some { .. }) => {
                next.apply(self.apply(None).as_ref()).map_or(Self::Gone, Self::All)
            }
            (
                Self::Some { written, removed, open_routes },
                Self::Some { written: then, removed: gone, open_routes: open },
            ) => {
                let mut written = written.clone();
                written.retain(|name, _| !gone.contains(name));
                written.extend(then.iter().map(|(name, account)| (name.clone(), account.clone())));
                let removed = removed.union(gone).filter(|name| !then.contains_key(*name));
                Self::Some {
                    written,
                    removed: removed.cloned().collect(),
                    open_routes: open.clone().or_else(|| open_routes.clone()),
                }
            }
        }
    }

    /// How many accounts it writes or removes.
    pub fn size(&self) -> usize {
        match self {
            Self::Same | Self::Gone => 0,
            Self::All(all) => all.accounts.len(),
            Self::Some { written, removed, .. } => written.len() + removed.len(),
        }
    }
}
