//! The keys of callers: reads them from requests, finds their accounts, and removes them from the
//! headers before a request is passed on.

use std::sync::Arc;

use foldhaven_core::headers;
use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::account_table::{ClientAccount, KeyFingerprint, MAX_KEY_BYTES};
use foldhaven_core::opaque::route_table::{OpaqueRoute, RouteTable};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};

use crate::names::HeaderNames;

/// The account of a request, and the key that identified it.
#[derive(Debug, Clone)]
pub struct JobAccount {
    pub account: Arc<ClientAccount>,
    pub key: KeyFingerprint,
    /// The cost that was charged to the account. `None` if the account has no limit.
    pub cost: Option<f64>,
}

impl JobAccount {
    /// Whether requests of the account may run in a region.
    pub fn permits(&self, region: &RegionName) -> bool {
        self.account.permits(region)
    }
}

/// The credential in a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Absent,
    /// A credential that cannot be parsed as a key.
    Malformed,
    /// A key.
    Key(KeyFingerprint),
}

/// Why no account was found for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFault {
    /// The request has no key, or a malformed one.
    Absent,
    /// The key belongs to no account that this VM knows.
    Unknown,
}

/// Removes the caller's credential from the headers of a request, and returns it.
pub fn take_credential(map: &mut HeaderMap, names: &HeaderNames) -> Credential {
    let mut values = map.get_all(AUTHORIZATION).iter();
    let credential = match (values.next(), values.next()) {
        (None, _) => Credential::Absent,
        (Some(value), None) => read_key(value, names.key_scheme),
        (Some(_), Some(_)) => Credential::Malformed,
    };
    map.remove(AUTHORIZATION);
    credential
}

fn read_key(value: &HeaderValue, scheme: &str) -> Credential {
    let text = value.to_str().ok().and_then(|text| text.trim().split_once(' '));
    let Some((named, key)) = text else { return Credential::Malformed };
    let key = key.trim();
    let is_key = (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(' ');
    match named.eq_ignore_ascii_case(scheme) && is_key {
        true => Credential::Key(KeyFingerprint::of(key.as_bytes())),
        false => Credential::Malformed,
    }
}

/// Finds the account of a request. `None` if its route needs no key and the request has no known
/// one.
pub fn find_account(
    routes: &RouteTable,
    route: &OpaqueRoute,
    credential: Credential,
) -> Result<Option<JobAccount>, KeyFault> {
    let found = match credential {
        Credential::Key(key) => routes.accounts().find(&key).map(|account| (account, key)),
        Credential::Absent | Credential::Malformed => None,
    };
    match (found, credential) {
        (Some((account, key)), _) => {
            Ok(Some(JobAccount { account: account.clone(), key, cost: None }))
        }
        (None, _) if !routes.needs_key(&route.name) => Ok(None),
        (None, Credential::Key(_)) => Err(KeyFault::Unknown),
        (None, _) => Err(KeyFault::Absent),
    }
}

/// Removes the fingerprint of the caller's key from the headers of a forwarded request, and returns
/// it.
pub fn take_forwarded_key(map: &mut HeaderMap) -> Credential {
    match map.remove(headers::KEY_FINGERPRINT) {
        None => Credential::Absent,
        Some(value) => {
            let fingerprint = value.to_str().ok().and_then(|text| text.parse().ok());
            fingerprint.map_or(Credential::Malformed, Credential::Key)
        }
    }
}

/// Returns the header value with the fingerprint of the caller's key, which other VMs get instead
/// of the key.
pub fn fingerprint_value(key: &KeyFingerprint) -> HeaderValue {
    HeaderValue::from_str(&key.to_string()).expect("hexadecimal digits")
}

/// The state of the key of a request, checked again after the request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The key belongs to the same account, or none is needed.
    Valid,
    /// The key belongs to another account.
    Reassigned,
    /// The key belongs to no account, and the route needs one.
    Revoked,
}

/// Checks the key of a request again.
pub fn key_state(routes: &RouteTable, route: &OpaqueRoute, held: Option<&JobAccount>) -> KeyState {
    let Some(held) = held else {
        return match routes.needs_key(&route.name) {
            true => KeyState::Revoked,
            false => KeyState::Valid,
        };
    };
    match routes.accounts().find(&held.key) {
        Some(account) if account.name == held.account.name => KeyState::Valid,
        Some(_) => KeyState::Reassigned,
        None if !routes.needs_key(&route.name) => KeyState::Valid,
        None => KeyState::Revoked,
    }
}
