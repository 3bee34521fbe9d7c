//! Watches that no event of a stream is missing or comes twice on its way.
//!
//! The pattern that it answers: a stream that another VM forwards over a link that is cut and heals. 73 whole events were missing
//! in the middle of the bytes that arrived, each of them in a chunk of its own, so that neither the framing nor the connection
//! told of it; the events after the gap were passed on to the caller. The ids of a stream rise evenly where its upstream
//! numbers its events, and a gap shows in them. Which step is usual is learnt from whole streams of the route, so that ids that
//! rise unevenly by their nature break nothing.

/// So many whole streams in a row with the same step make it the usual one.
const LEAST_STREAMS: u32 = 3;
/// So many even steps within one stream say the same.
const LEAST_STEPS: u32 = 8;

/// The ids of an upstream's streams: the first one, and by how much they rise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventNumbering {
    /// The first id of a stream that was not resumed.
    pub first: u64,
    /// By how much each id is above the one before.
    pub step: u64,
}

/// The usual steps of the streams of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedNumbering {
    held: Option<EventNumbering>,
    streams: u32,
}

impl LearnedNumbering {
    /// Takes in the steps of a whole stream that was not resumed; nothing where they were uneven.
    pub fn record_stream(&mut self, steps: Option<EventNumbering>) {
        let is_same = steps.is_some() && steps == self.held;
        self.streams = if is_same { self.streams.saturating_add(1) } else { 1 };
        self.held = steps;
    }

    /// Takes in that a stream did not have them. Until they are learnt anew no stream is judged by them, as its upstream
    /// may number its events otherwise now.
    pub fn reset(&mut self) {
        self.streams = 0;
        self.held = None;
    }

    /// The steps that a stream is judged by.
    pub fn numbering(&self) -> Option<EventNumbering> {
        self.held.filter(|_| self.streams >= LEAST_STREAMS)
    }
}

/// An event is missing, or came again
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct EventGap;

/// Watches the ids of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventSequenceChecker {
    usual: Option<EventNumbering>,
    first: Option<u64>,
    last: Option<u64>,
    /// The step so far, and how often it was the same; nothing when it was not.
    even: Option<(u64, u32)>,
    /// Whether its ids are numbers.
    is_numbered: bool,
    /// Whether it began before this VM got it, or steps were uneven.
    is_partial: bool,
}

impl EventSequenceChecker {
    /// The order of a stream of a route with these usual steps, which goes on after an id where it was resumed.
    pub fn new(usual: Option<EventNumbering>, resumed_after: Option<&str>) -> Self {
        let last = resumed_after.and_then(|id| id.parse().ok());
        let is_partial = resumed_after.is_some();
        Self { usual, last, is_numbered: true, is_partial, ..Self::default() }
    }

    /// Takes in the id of the next event.
    ///
    /// # Errors
    ///
    /// When an event before it is missing, or it came already.
    pub fn check(&mut self, id: &str) -> Result<(), EventGap> {
        let number: Option<u64> = id.parse().ok();
        let Some(number) = number.filter(|_| self.is_numbered) else {
            self.is_numbered = false;
            return Ok(());
        };
        match self.last {
            Some(last) => self.check_next(last, number)?,
            None if self.usual.is_some_and(|usual| number != usual.first) => return Err(EventGap),
            None => self.first = Some(number),
        }
        self.last = Some(number);
        Ok(())
    }

    fn check_next(&mut self, last: u64, number: u64) -> Result<(), EventGap> {
        let step = number.checked_sub(last).filter(|step| *step > 0).ok_or(EventGap)?;
        if self.usual.is_some_and(|usual| step != usual.step) {
            return Err(EventGap);
        }
        match self.even {
            Some((even, count)) if even == step => self.even = Some((even, count + 1)),
            Some((_, count)) if count >= LEAST_STEPS => return Err(EventGap),
            Some(_) => self.is_partial = true,
            None => self.even = Some((step, 1)),
        }
        Ok(())
    }

    /// The steps of a stream that has ended whole; nothing where they say nothing of other streams.
    pub fn numbering(&self) -> Option<EventNumbering> {
        let (step, _) = self.even.filter(|_| self.is_numbered && !self.is_partial)?;
        Some(EventNumbering { first: self.first?, step })
    }

    /// Whether its ids say something of other streams: there were at least two, from the first on.
    pub fn is_informative(&self) -> bool {
        self.first.is_some() && self.even.is_some()
    }
}
