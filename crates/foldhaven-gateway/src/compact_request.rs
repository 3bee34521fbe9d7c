//! Copies the parts of a request that are kept until it ends into buffers of their own size.
//!
//! A head and a short body are parts of the buffer that they were read into. They would keep all of it
//! for as long as the request waits or runs.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Uri};

/// A longer body is not read at once, and has a buffer of its own.
const MAX_READ_AT_ONCE: usize = 64 << 10;

/// Returns a body in a buffer of its own size.
pub fn compact_body(body: Bytes) -> Bytes {
    if body.len() > MAX_READ_AT_ONCE { body } else { Bytes::copy_from_slice(&body) }
}

/// Copies the target and the headers of a head.
pub fn compact_head(head: &mut Parts) {
    if let Ok(target) = Uri::try_from(head.uri.to_string()) {
        head.uri = target;
    }
    compact_values(&mut head.headers);
}

/// Copies the values of headers.
fn compact_values(headers: &mut HeaderMap) {
    for value in headers.values_mut() {
        if let Ok(mut copy) = HeaderValue::from_bytes(value.as_bytes()) {
            copy.set_sensitive(value.is_sensitive());
            *value = copy;
        }
    }
}
