//! Keeps what peers were told of the platform last, as it was written: all VMs of a region ask for the same changes at once.

use std::sync::{Arc, Weak};

use bincode::Options;
use bytes::Bytes;
use parking_lot::Mutex;

use super::StateOffer;
use crate::codec::peer_codec;

/// How many answers are kept. Most VMs that ask know the same revision; one that starts knows none.
const MAX_ANSWERS: usize = 2;

/// What a peer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateRequest {
    /// The revision that it knows; none when it asks for everything.
    pub known_revision: Option<u64>,
    /// Whether it understands differences that span several versions.
    pub accepts_spanning: bool,
}

#[derive(Debug, Default)]
struct CachedAnswers {
    /// What they were written from.
    offer: Weak<StateOffer>,
    answers: Vec<(StateRequest, Bytes)>,
}

/// The answers to peers that were written last.
#[derive(Debug, Default)]
pub struct AnswerCache {
    held: Mutex<CachedAnswers>,
}

impl AnswerCache {
    /// The answer to a peer, written at most once for all that ask the same.
    ///
    /// # Errors
    ///
    /// When it cannot be written.
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
        let state = offer.state_after(request.known_revision, request.accepts_spanning);
        let body = Bytes::from(peer_codec().serialize(&state)?);
        if held.answers.len() == MAX_ANSWERS {
            held.answers.remove(0);
        }
        held.answers.push((request, body.clone()));
        Ok(body)
    }
}
