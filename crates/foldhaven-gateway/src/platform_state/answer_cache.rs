//! Caches the serialized platform state sent to peers, since all VMs of a region ask for the same
//! changes at the same time.

use std::sync::{Arc, Weak};

use bincode::Options;
use bytes::Bytes;
use parking_lot::Mutex;

use super::{StateFormat, StateOffer};
use crate::codec::peer_codec;

/// Maximum number of cached answers. Most VMs that ask have the same revision, and a VM that has
/// just started has none.
const MAX_ANSWERS: usize = 2;

/// What a peer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateRequest {
    /// The revision that the peer knows. `None` if it asks for the whole state.
    pub known_revision: Option<u64>,
    /// What the peer understands.
    pub format: StateFormat,
}

#[derive(Debug, Default)]
struct CachedAnswers {
    /// The state from which the answers were serialized.
    offer: Weak<StateOffer>,
    answers: Vec<(StateRequest, Bytes)>,
}

/// A cache of the answers that were serialized last.
#[derive(Debug, Default)]
pub struct AnswerCache {
    held: Mutex<CachedAnswers>,
}

impl AnswerCache {
    /// Returns the answer to a peer. Equal requests for the same state share one serialized answer.
    ///
    /// # Errors
    ///
    /// If the state cannot be serialized.
    pub fn answer(
        &self,
        offer: &Arc<StateOffer>,
        request: StateRequest,
    ) -> Result<Bytes, bincode::Error> {
        let mut held = self.held.lock();
        if !std::ptr::eq(held.offer.as_ptr(), Arc::as_ptr(offer)) {
            *held = CachedAnswers { offer: Arc::downgrade(offer), answers: Vec::new() };
        }
        if let Some((_, body)) = held.answers.iter().find(|(it, _)| *it == request) {
            return Ok(body.clone());
        }
        let state = offer.state_after(request.known_revision, request.format);
        let body = Bytes::from(peer_codec().serialize(&state)?);
        if held.answers.len() == MAX_ANSWERS {
            held.answers.remove(0);
        }
        held.answers.push((request, body.clone()));
        Ok(body)
    }
}
