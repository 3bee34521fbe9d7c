//! Holds back the events after a suspected gap until their connection has shown whether it was sound.
//!
//! A connection loses bytes only if its sender closes it: what was sent last may still arrive, and
//! the end of the connection follows at once. Events of a connection that stays open, or of an answer
//! that is complete, are passed on, whatever their ids.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::numbering::SequenceVerdict;
use super::reading::BodyFrame;
use super::{EventRelay, RelayState};
use crate::clock::{BootInstant, BootSleep};

/// How long events are held back. The end of a connection that was closed arrives in this time, also
/// from another region.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// The maximum number of bytes that are held back.
const MAX_HELD_BYTES: usize = 1 << 16;

/// Events after a suspected gap.
pub(super) struct HeldEvents {
    events: BytesMut,
    /// The id of the last one that has one.
    last_id: Option<String>,
    timer: Pin<Box<BootSleep>>,
}

impl HeldEvents {
    fn new() -> Self {
        let timer = Box::pin(BootSleep::until(BootInstant::now() + HOLD_TIME));
        Self { events: BytesMut::new(), last_id: None, timer }
    }

    /// Polls until the events are passed on if the connection stays open.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.events.len() >= MAX_HELD_BYTES {
            return Poll::Ready(());
        }
        self.timer.as_mut().poll(context)
    }
}

impl EventRelay {
    /// Handles complete events whose ids were checked. Returns those that are passed on, which may be
    /// empty. `passed_on` is the id of the last event before them that the caller got.
    pub(super) fn pass_or_hold(
        &mut self,
        events: Bytes,
        verdict: SequenceVerdict,
        passed_on: Option<String>,
    ) -> Bytes {
        let is_suspected = matches!(verdict, SequenceVerdict::Suspected { .. });
        if self.held.is_none() && !is_suspected {
            return events;
        }
        let held = self.held.get_or_insert_with(HeldEvents::new);
        held.events.extend_from_slice(&events);
        held.last_id = self.blocks.last_id().map(str::to_owned);
        self.blocks.set_last_id(passed_on);
        if verdict == (SequenceVerdict::Suspected { is_likely: true }) {
            self.replace_suspected();
        }
        Bytes::new()
    }

    /// Polls until held events are passed on.
    pub(super) fn poll_held(&mut self, context: &mut Context<'_>) -> Poll<Bytes> {
        match self.is_hold_over(context) {
            true => self.release_held().map_or(Poll::Pending, Poll::Ready),
            false => Poll::Pending,
        }
    }

    /// Returns the held events, to pass them on; `None` if there are none.
    pub(super) fn release_held(&mut self) -> Option<Bytes> {
        let held = self.held.take()?;
        self.numbering.accept_held();
        self.blocks.set_last_id(held.last_id);
        self.record_time_to_first();
        self.sample_load();
        Some(held.events.freeze())
    }

    /// Discards the held events, since their connection was lost or another upstream goes on.
    pub(super) fn discard_held(&mut self) {
        self.held = None;
        self.numbering.discard_held();
    }

    /// Whether events were held back for as long as they may be.
    pub(super) fn is_hold_over(&mut self, context: &mut Context<'_>) -> bool {
        self.held.as_mut().is_some_and(|held| held.poll(context).is_ready())
    }

    /// Holds back a frame that arrives while another upstream is being opened because of a suspected
    /// gap. Returns whether the stream is still sound.
    pub(super) fn hold_frame(&mut self, frame: BodyFrame) -> bool {
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return false,
            None => {
                if let RelayState::Replacing(reading, _) = &mut self.state {
                    reading.put_back(None);
                }
                return true;
            }
        };
        let passed_on = self.blocks.last_id().map(str::to_owned);
        let Ok(events) = self.blocks.push(bytes) else { return false };
        let verdict = self.numbering.check(&events, false);
        self.pass_or_hold(events, verdict, passed_on);
        verdict != SequenceVerdict::Repeated
    }
}
