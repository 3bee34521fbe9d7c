//! Which requests share the start of a prompt, so that they should meet at one upstream.

use xxhash_rust::xxh3::xxh3_64;

/// The prompt of a request, as its caller outlines it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptOutline {
    /// The hash of the shared parts; equal for requests that share all of them.
    pub shared_key: u64,
    /// The tokens of the shared parts.
    pub shared_tokens: u64,
    /// The tokens of the part that belongs to the request alone.
    pub own_tokens: u64,
}

impl PromptOutline {
    /// Reads parts in order, each an id and its tokens; the last one is the request's own.
    ///
    /// Gives nothing when there are no parts, or when one has no readable number of tokens.
    pub fn read(text: &str) -> Option<Self> {
        let (shared, own) = match text.rsplit_once(',') {
            Some((shared, own)) => (shared, own),
            None => ("", text),
        };
        let own_tokens = part_tokens(own)?;
        let mut shared_tokens = 0;
        for part in shared.split(',').filter(|part| !part.is_empty()) {
            shared_tokens += part_tokens(part)?;
        }
        Some(Self { shared_key: xxh3_64(shared.as_bytes()), shared_tokens, own_tokens })
    }
}

fn part_tokens(part: &str) -> Option<u64> {
    part.rsplit_once(':')?.1.trim().parse().ok()
}
