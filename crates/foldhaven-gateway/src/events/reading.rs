//! The answer of one upstream, or of another VM, while its events are read.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use foldhaven_core::headers::EVENT_FRAMES;
use foldhaven_core::opaque::software::SoftwareTag;
use foldhaven_wire::event_frames::{EventFrameDecoder, MissingBytes};
use http::response::Parts;
use http_body::{Body, Frame};
use hyper::body::Incoming;

use crate::attempts::{DestinationAnswer, FirstResponseEstimate};
use crate::call::{AnswerEnd, ConnectionLease};
use crate::clock::BootInstant;
use crate::destinations::RequestDestination;
use crate::load_counter::LoadGuard;
use crate::upstream::{StreamGuard, UpstreamRequestGuard};

/// A frame of a body, or its end.
pub(super) type BodyFrame = Option<Result<Frame<Bytes>, ReadFault>>;

/// Why an answer could not be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub(super) enum ReadFault {
    /// its connection broke
    Connection,
    /// bytes from another VM were missing
    MissingBytes,
}

impl ReadFault {
    /// Returns the cause for the log.
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Connection => "its connection broke",
            Self::MissingBytes => "bytes from another VM were missing",
        }
    }
}

/// An answer whose events are being read.
pub(super) struct ReadingState {
    body: Incoming,
    /// Decodes the frames of another VM. `None` if the events are not in frames.
    decoder: Option<EventFrameDecoder>,
    /// A frame that was read already. `None` if there is none.
    read_frame: Option<BodyFrame>,
    pub(super) lease: ConnectionLease,
    pub(super) destination: RequestDestination,
    /// The software of the upstream.
    pub(super) software: SoftwareTag,
    /// What the end of the answer shows.
    pub(super) end: AnswerEnd,
    pub(super) load_guard: LoadGuard,
    pub(super) request_guard: Option<UpstreamRequestGuard>,
    pub(super) expected: FirstResponseEstimate,
    pub(super) sent: BootInstant,
    pub(super) has_received_event: bool,
    /// Counts the stream at its upstream from the first event on.
    pub(super) stream_guard: Option<StreamGuard>,
    /// When the first event of this upstream arrived, and how many events the stream had by then.
    pub(super) first_event: Option<(BootInstant, u32)>,
    /// The sum of the requests at the upstream over all samples, and the number of samples.
    pub(super) load_samples: (u64, u32),
    /// The prefill backlog of the upstream at its last event, in prompt tokens.
    pub(super) backlog_before: u32,
}

impl ReadingState {
    /// Splits an answer into its head and the state in which its events are read.
    pub(super) fn of(opened: DestinationAnswer) -> (Parts, Box<Self>) {
        let DestinationAnswer {
            answer,
            destination,
            software,
            load_guard,
            request_guard,
            expected,
            sent,
        } = opened;
        let end = answer.end;
        let (head, body, lease) = answer.into_parts();
        let is_in_frames = matches!(destination, RequestDestination::Peer(_))
            && head.headers.contains_key(EVENT_FRAMES);
        let reading = Box::new(Self {
            end,
            body,
            decoder: is_in_frames.then(EventFrameDecoder::default),
            read_frame: None,
            lease,
            destination,
            software: software.unwrap_or(SoftwareTag::UNKNOWN),
            load_guard,
            request_guard,
            expected,
            sent,
            has_received_event: false,
            stream_guard: None,
            first_event: None,
            load_samples: (0, 0),
            backlog_before: 0,
        });
        (head, reading)
    }

    /// Polls for the next frame of the body.
    pub(super) fn poll_frame(&mut self, context: &mut Context<'_>) -> Poll<BodyFrame> {
        if let Some(frame) = self.read_frame.take() {
            return Poll::Ready(frame);
        }
        loop {
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Poll::Ready(Some(Err(ReadFault::Connection))),
                None => return Poll::Ready(self.end()),
            };
            match self.decode(frame) {
                Ok(Some(frame)) => return Poll::Ready(Some(Ok(frame))),
                Ok(None) => {}
                Err(MissingBytes) => return Poll::Ready(Some(Err(ReadFault::MissingBytes))),
            }
        }
    }

    /// Returns the frame without the headers of another VM; `None` if it holds no complete part of
    /// the stream.
    fn decode(&mut self, frame: Frame<Bytes>) -> Result<Option<Frame<Bytes>>, MissingBytes> {
        let Some(decoder) = &mut self.decoder else { return Ok(Some(frame)) };
        let Ok(bytes) = frame.into_data() else { return Ok(None) };
        let events = decoder.push(bytes)?;
        Ok((!events.is_empty()).then(|| Frame::data(events)))
    }

    /// Returns the end of the stream.
    fn end(&self) -> BodyFrame {
        let is_complete = self.decoder.as_ref().is_none_or(EventFrameDecoder::is_complete);
        (!is_complete).then_some(Err(ReadFault::MissingBytes))
    }

    /// Whether missing bytes are detected without regard to what the events contain.
    pub(super) fn is_verified(&self) -> bool {
        self.decoder.is_some()
    }

    /// Whether the end of the answer was read and put back.
    pub(super) fn is_at_end(&self) -> bool {
        matches!(self.read_frame, Some(None))
    }

    /// Returns a frame, which the next poll returns again.
    pub(super) fn put_back(&mut self, frame: BodyFrame) {
        self.read_frame = Some(frame);
    }

    /// Whether the answer has no event and nothing shows that it is complete.
    pub(super) fn is_empty_without_framing(&self) -> bool {
        self.end == AnswerEnd::Connection && !self.has_received_event
    }
}
