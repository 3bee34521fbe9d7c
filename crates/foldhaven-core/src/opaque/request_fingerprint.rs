//! Fingerprints of requests and of segments of their prompts: they identify a request that is sent
//! again, or a segment that other requests share, whatever the id and whichever VM receives it.

use std::fmt;
use std::str::FromStr;
use std::sync::LazyLock;

use blake3::Hasher;
use serde::{Deserialize, Serialize};

use crate::ids::ServiceName;

/// Context that the key of all fingerprints is derived from. The key is the same at all VMs and
/// keeps fingerprints apart from other hashes of the same bytes.
const KEY_CONTEXT: &str = "foldhaven opaque request print v1";
static KEY: LazyLock<[u8; 32]> = LazyLock::new(|| blake3::derive_key(KEY_CONTEXT, &[]));
/// Context that the key of the fingerprints of segments is derived from.
const SEGMENT_KEY_CONTEXT: &str = "foldhaven prompt segment v1";
static SEGMENT_KEY: LazyLock<[u8; 32]> =
    LazyLock::new(|| blake3::derive_key(SEGMENT_KEY_CONTEXT, &[]));

/// Length of a fingerprint in bytes. It is long enough that nobody can find a second request with
/// the fingerprint of a given one, and so have another caller's request suspected.
const FINGERPRINT_BYTES: usize = 16;

/// The parts of a request that identify it: all that an upstream acts on, but neither ids nor
/// times.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintParts<'a> {
    /// Host name, in upper or lower case.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Fingerprint of a request or of a segment. Neither can be recovered from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(parts: &FingerprintParts<'_>) -> Self {
        let mut hasher = Hasher::new_keyed(&KEY);
        for text in [&parts.host.to_ascii_lowercase(), parts.method, parts.target] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(parts.body);
        Self::finish(&hasher)
    }

    /// Computes the fingerprint of a segment of a prompt by its id, which covers neither the
    /// segments before it nor the rest of the request.
    pub fn of_segment(service: &ServiceName, id: &str) -> Self {
        let mut hasher = Hasher::new_keyed(&SEGMENT_KEY);
        for text in [service.as_str(), id] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        Self::finish(&hasher)
    }

    fn finish(hasher: &Hasher) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Returns the first 8 bytes as a number, which is evenly distributed over all fingerprints.
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
