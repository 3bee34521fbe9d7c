//! Fingerprints of requests: by them a request is known again, whatever id it comes under and at whichever VM.

use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use blake3::Hasher;
use serde::{Deserialize, Serialize};

/// What the key of all fingerprints is derived from. It is the same at all VMs, and keeps fingerprints apart from
/// other hashes of the same bytes.
const KEY_CONTEXT: &str = "foldhaven opaque request print v1";
static KEY: LazyLock<[u8; 32]> = LazyLock::new(|| blake3::derive_key(KEY_CONTEXT, &[]));

/// The bytes of a fingerprint. Nobody finds a second request with the fingerprint of a given one, so nobody can bring
/// another's request into disrepute.
const FINGERPRINT_BYTES: usize = 16;

/// What makes two requests the same: all that an upstream acts on, but neither id nor times.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintParts<'a> {
    /// The host that it names, in any case of letters.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// The path and the query.
    pub target: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The fingerprint of a request. A request cannot be read from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(parts: &FingerprintParts<'_>) -> Self {
        let mut hasher = Hasher::new_keyed(&KEY);
        for text in [&parts.host.to_ascii_lowercase(), parts.method, parts.target] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(parts.body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// A number that is spread evenly over all fingerprints.
    pub fn spread(&self) -> u64 {
        self.0.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// A fingerprint has 32 hexadecimal digits
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.is_ascii() {
            return Err(FingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| FingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
