//! Detects missing and repeated events of a stream by their ids.
//!
//! If another VM forwards a stream over a link that is partitioned for a while, whole events can be
//! lost from the middle of the stream. In one case 73 events were missing, each in a chunk of its
//! own, so that neither the framing nor the connection showed the loss, and the events after the
//! gap were passed on to the caller.
//!
//! If an upstream numbers its events, the ids of a stream rise by a constant step, and a gap shows
//! in them. The usual step is learned from complete streams of the route, so streams with irregular
//! ids are not rejected.

/// The number of complete streams in a row with the same numbering after which it is expected.
const MIN_STREAMS: u32 = 3;
/// The number of equal steps within one stream after which that step is expected of the stream.
const MIN_STEPS: u32 = 8;

/// How the events of a stream are numbered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventNumbering {
    /// The first id of a stream, unless it was resumed.
    pub first: u64,
    /// The difference between consecutive ids.
    pub step: u64,
}

/// The numbering learned from the streams of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedNumbering {
    latest: Option<EventNumbering>,
    /// The number of streams in a row that had the latest numbering.
    streams: u32,
}

impl LearnedNumbering {
    /// Records the numbering of a complete stream that was not resumed; `None` if it was irregular.
    pub fn record_stream(&mut self, numbering: Option<EventNumbering>) {
        let is_same = numbering.is_some() && numbering == self.latest;
        self.streams = if is_same { self.streams.saturating_add(1) } else { 1 };
        self.latest = numbering;
    }

    /// Forgets the numbering after a stream deviated from it, as the upstreams may number their
    /// events differently now. It has to be learned again before streams are checked against it.
    pub fn reset(&mut self) {
        self.streams = 0;
        self.latest = None;
    }

    /// Returns the numbering that is expected of streams; `None` if none is learned yet.
    pub fn numbering(&self) -> Option<EventNumbering> {
        self.latest.filter(|_| self.streams >= MIN_STREAMS)
    }
}

/// An event is missing or repeated
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct EventGap;

/// Checks the ids of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventSequenceChecker {
    expected: Option<EventNumbering>,
    first: Option<u64>,
    last: Option<u64>,
    /// The step so far, and how often it occurred; `None` before the second id.
    step: Option<(u64, u32)>,
    /// Whether all ids so far are numbers.
    is_numbered: bool,
    /// Whether the numbering cannot be learned from this stream: it was resumed, or its steps
    /// differ.
    is_inconclusive: bool,
}

impl EventSequenceChecker {
    /// Creates a checker for a stream. `expected` is the numbering learned for its route, and
    /// `resumed_after` is the id after which the stream was resumed; `None` if it starts from the
    /// beginning.
    pub fn new(expected: Option<EventNumbering>, resumed_after: Option<&str>) -> Self {
        let last = resumed_after.and_then(|id| id.parse().ok());
        let is_inconclusive = resumed_after.is_some();
        Self { expected, last, is_numbered: true, is_inconclusive, ..Self::default() }
    }

    /// Checks the id of the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if an event before it is missing or it is repeated.
    pub fn check(&mut self, id: &str) -> Result<(), EventGap> {
        let number: Option<u64> = id.parse().ok();
        let Some(number) = number.filter(|_| self.is_numbered) else {
            self.is_numbered = false;
            return Ok(());
        };
        match self.last {
            Some(last) => self.check_next(last, number)?,
            None if self.expected.is_some_and(|expected| number != expected.first) => {
                return Err(EventGap);
            }
            None => self.first = Some(number),
        }
        self.last = Some(number);
        Ok(())
    }

    fn check_next(&mut self, last: u64, number: u64) -> Result<(), EventGap> {
        let step = number.checked_sub(last).filter(|step| *step > 0).ok_or(EventGap)?;
        if self.expected.is_some_and(|expected| step != expected.step) {
            return Err(EventGap);
        }
        match self.step {
            Some((known, count)) if known == step => self.step = Some((known, count + 1)),
            Some((_, count)) if count >= MIN_STEPS => return Err(EventGap),
            Some(_) => self.is_inconclusive = true,
            None => self.step = Some((step, 1)),
        }
        Ok(())
    }

    /// Returns the numbering of a complete stream; `None` if it is irregular, the stream has fewer
    /// than two ids, or it was resumed.
    pub fn numbering(&self) -> Option<EventNumbering> {
        let (step, _) = self.step.filter(|_| self.is_numbered && !self.is_inconclusive)?;
        Some(EventNumbering { first: self.first?, step })
    }

    /// Returns whether something about other streams can be learned from this one: it was seen from
    /// its first event on and had at least two events with numeric ids.
    pub fn is_informative(&self) -> bool {
        self.first.is_some() && self.step.is_some()
    }
}
