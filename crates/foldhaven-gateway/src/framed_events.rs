//! Sends the events of a forwarded stream in frames to the VM that forwarded the request.

use std::task::{Context, Poll, ready};

use bytes::Bytes;
use foldhaven_wire::event_frames::EventFrameEncoder;
use http_body::Frame;

use crate::answer::{EventSource, TruncatedStream};

/// Events in frames. The last frame is sent only after the last event.
pub struct FramedEvents {
    events: Box<dyn EventSource>,
    encoder: EventFrameEncoder,
    has_ended: bool,
}

impl FramedEvents {
    /// Creates a source that puts these events in frames.
    pub fn new(events: Box<dyn EventSource>) -> Self {
        Self { events, encoder: EventFrameEncoder::default(), has_ended: false }
    }
}

impl EventSource for FramedEvents {
    fn poll_events(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedStream>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let frame = match ready!(self.events.poll_events(context)) {
            Some(Err(error)) => Err(error),
            Some(Ok(frame)) => Ok(frame.map_data(|events| self.encoder.encode(&events))),
            None => {
                self.has_ended = true;
                Ok(Frame::data(self.encoder.end()))
            }
        };
        Poll::Ready(Some(frame))
    }
}
