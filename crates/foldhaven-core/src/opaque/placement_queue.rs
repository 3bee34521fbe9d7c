//! The prompts of this VM that other VMs are to be told of.

use std::collections::HashMap;

use crate::opaque::affinity::{PromptPlacement, PromptSegment, UpstreamTag};

/// Prompts whose shared segments have at least this many tokens are announced to other VMs. For
/// shorter ones the ranking that all VMs have in common is good enough.
pub const MIN_ANNOUNCED_TOKENS: u32 = 512;

/// The placements since the last report. The tokens of prompts that are not announced count for the
/// next one that is: they take memory of the upstream too.
#[derive(Debug, Default)]
pub struct PlacementQueue {
    announced: Vec<PromptPlacement>,
    /// The tokens of the other prompts that were sent to each upstream since the last announced one.
    unannounced_tokens: HashMap<UpstreamTag, u32>,
}

impl PlacementQueue {
    /// Adds a prompt that was sent to an upstream.
    pub fn push(&mut self, mut placement: PromptPlacement) {
        let own = placement.unshared_tokens;
        if shared_tokens(&placement.shared) < MIN_ANNOUNCED_TOKENS {
            let tokens = self.unannounced_tokens.entry(placement.upstream).or_default();
            *tokens = tokens.saturating_add(own);
            return;
        }
        let others = self.unannounced_tokens.remove(&placement.upstream).unwrap_or_default();
        placement.unshared_tokens = own.saturating_add(others);
        self.announced.push(placement);
    }

    /// Takes the placements to announce.
    pub fn take(&mut self) -> Vec<PromptPlacement> {
        std::mem::take(&mut self.announced)
    }

    /// Removes an upstream that has exited.
    pub fn remove(&mut self, upstream: UpstreamTag) {
        self.unannounced_tokens.remove(&upstream);
    }
}

fn shared_tokens(shared: &[PromptSegment]) -> u32 {
    shared.iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
}
