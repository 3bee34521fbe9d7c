//! Checks a stream whose answer has ended with its connection: an upstream that exits ends it in the
//! same way.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use super::{EventRelay, RelayState};
use crate::call::AnswerEnd;
use crate::destinations::RequestDestination;
use crate::upstream_exits::has_exited_with_answer;

/// A check whether the upstream of an ended answer has exited.
pub(super) type ExitCheck = Pin<Box<dyn Future<Output = bool> + Send>>;

impl EventRelay {
    /// Polls until it is known whether the upstream has exited with the end of its answer. What ends
    /// by its framing, or comes through another VM, needs no check.
    pub(super) fn poll_exit_check(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        let RelayState::Reading(reading) = &mut self.state else { return Poll::Ready(false) };
        let RequestDestination::Upstream(upstream) = &reading.destination else {
            return Poll::Ready(false);
        };
        if reading.end == AnswerEnd::Framed {
            return Poll::Ready(false);
        }
        let (shared, upstream) = (&self.shared, upstream.clone());
        let check = self
            .exit_check
            .get_or_insert_with(|| Box::pin(has_exited_with_answer(shared.clone(), upstream)));
        let Poll::Ready(has_exited) = check.as_mut().poll(context) else {
            // The next poll finds the end of the answer again.
            reading.put_back(None);
            ready!(self.poll_deadline(context));
            return Poll::Ready(false);
        };
        self.exit_check = None;
        Poll::Ready(has_exited)
    }
}
