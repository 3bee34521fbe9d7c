//! The keys of callers: read from their requests, matched to accounts, and taken out before anything goes on.

use std::sync::Arc;

use foldhaven_core::headers;
use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::account_table::{ClientAccount, KeyFingerprint, MAX_KEY_BYTES};
use foldhaven_core::opaque::route_table::{OpaqueRoute, RouteTable};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};

use crate::names::HeaderNames;

/// The account of a request, and the key by which it is that account's.
#[derive(Debug, Clone)]
pub struct JobAccount {
    pub account: Arc<ClientAccount>,
    pub key: KeyFingerprint,
    /// What it counted for where the account is limited.
    pub cost: Option<f64>,
}

impl JobAccount {
    /// Whether its requests may run in a region.
    pub fn permits(&self, region: &RegionName) -> bool {
        self.account.permits(region)
    }
}

/// What a request shows of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Absent,
    /// Something that is no key.
    Malformed,
    /// A key.
    Key(KeyFingerprint),
}

/// Why a request belongs to no account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFault {
    /// It shows no key, or something that is none.
    Absent,
    /// Its key is of no account that is known here.
    Unknown,
}

/// Takes what names the caller out of the headers of a request.
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

/// Finds the account of a request; none where its route needs none and it shows no key that is known.
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

/// Takes the print of the caller's key out of the headers of a forwarded request.
pub fn take_forwarded(map: &mut HeaderMap) -> Credential {
    match map.remove(headers::KEY_FINGERPRINT) {
        None => Credential::Absent,
        Some(value) => {
            let print = value.to_str().ok().and_then(|text| text.parse().ok());
            print.map_or(Credential::Malformed, Credential::Key)
        }
    }
}

/// What another VM is told of the caller's key in its place.
pub fn print_value(key: &KeyFingerprint) -> HeaderValue {
    HeaderValue::from_str(&key.to_string()).expect("hexadecimal digits")
}

/// What has become of the key of a request since it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// It is that of the same account, or none is needed.
    InForce,
    /// It is that of another account.
    Moved,
    /// It is that of none.
    Gone,
}

/// Looks up the key of a request again.
pub fn key_state(routes: &RouteTable, route: &OpaqueRoute, held: Option<&JobAccount>) -> KeyState {
    let Some(held) = held else {
        return match routes.needs_key(&route.name) {
            true => KeyState::Gone,
            false => KeyState::InForce,
        };
    };
    match routes.accounts().find(&held.key) {
        Some(account) if account.name == held.account.name => KeyState::InForce,
        Some(_) => KeyState::Moved,
        None if !routes.needs_key(&route.name) => KeyState::InForce,
        None => KeyState::Gone,
    }
}
