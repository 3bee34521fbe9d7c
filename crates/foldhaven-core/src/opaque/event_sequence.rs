//! Detects missing and repeated events of a stream by their ids.
//!
//! If another VM forwards a stream over a link that is partitioned for a while, whole events can be
//! lost from the middle of the stream. In one case 73 events were missing, each in a chunk of its
//! own, so that neither the framing nor the connection showed the loss, and the events after the
//! gap were passed on to the caller.
//!
//! Ids rise, but need not count events: they may count tokens, and any event may have more of them
//! than the others. An id that does not rise shows a repeated event. An id that rises by more than
//! usual shows nothing by itself; it is a reason to wait for what the connection shows, and to look
//! whether another upstream goes on with the same id. A smaller step or first id cannot be the result
//! of a missing event.

/// The number of complete streams in a row with the same value after which it is expected.
const MIN_STREAMS: u32 = 3;
/// The number of such streams after which streams that are open already are still checked when
/// another one has deviated: a partition of a link leaves gaps in many streams at once.
const MIN_STREAMS_OF_BURST: u32 = 48;
/// Factor by which a value needs more streams after a gap was confirmed by it. If the value is a
/// coincidence, few gaps are confirmed in all.
const CONFIRMED_FACTOR: u32 = 4;
/// The same factor after a complete stream that deviated.
const DEVIATION_FACTOR: u32 = 2;
/// The number of equal steps within one stream after which a larger one is suspicious.
const MIN_STEPS: u32 = 8;

/// How the events of a stream are numbered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventNumbering {
    /// The first id of a stream, unless it was resumed.
    pub first: u64,
    /// The difference between consecutive ids; the last one may be smaller.
    pub step: u64,
}

/// A value that complete streams have in common.
#[derive(Debug, Clone, Copy)]
struct LearnedValue {
    latest: Option<u64>,
    /// The number of streams in a row that had the latest value.
    streams: u32,
    /// The number of streams in a row after which the value is expected.
    required: u32,
    /// The factor by which more of them are needed before the value confirms a gap.
    confirmation_factor: u32,
    /// Whether a gap was confirmed by the value, and no stream has had it since.
    is_doubted: bool,
}

impl Default for LearnedValue {
    fn default() -> Self {
        Self {
            latest: None,
            streams: 0,
            required: MIN_STREAMS,
            confirmation_factor: 1,
            is_doubted: false,
        }
    }
}

impl LearnedValue {
    /// Records the value of a stream; `None` if it has none.
    fn record(&mut self, value: Option<u64>) {
        self.is_doubted = false;
        if value.is_some() && value == self.latest {
            self.streams = self.streams.saturating_add(1);
            return;
        }
        if value.is_none() || self.streams > 0 {
            self.required = self.required.saturating_mul(DEVIATION_FACTOR);
        }
        self.latest = value;
        self.streams = u32::from(value.is_some());
    }

    /// Confirms no further gap by the value until a stream has it again.
    fn doubt(&mut self) {
        self.confirmation_factor = self.confirmation_factor.saturating_mul(CONFIRMED_FACTOR);
        self.is_doubted = true;
    }

    /// Returns the value that streams are expected to have.
    fn expected(&self) -> Option<u64> {
        self.latest.filter(|_| self.streams >= self.required)
    }

    /// Returns the value that confirms gaps.
    fn usual(&self) -> Option<u64> {
        let required = self.required.saturating_mul(self.confirmation_factor);
        self.latest.filter(|_| self.streams >= required && !self.is_doubted)
    }

    /// Whether streams that were opened while this value was expected are still checked by it.
    fn holds_for_open_streams(&self, value: u64) -> bool {
        self.latest == Some(value) && self.streams >= MIN_STREAMS_OF_BURST
    }
}

/// The numbering learned from the complete streams of one software version.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedNumbering {
    first: LearnedValue,
    step: LearnedValue,
}

impl LearnedNumbering {
    /// Records the numbering of a complete stream that was not resumed; `None` if it was irregular.
    pub fn record_stream(&mut self, numbering: Option<EventNumbering>) {
        self.first.record(numbering.map(|numbering| numbering.first));
        self.step.record(numbering.map(|numbering| numbering.step));
    }

    /// Confirms no further gaps until a complete stream has the numbering again, as the upstreams may
    /// number their events otherwise. It takes more complete streams than before to learn it again.
    pub fn reset(&mut self) {
        self.first.doubt();
        self.step.doubt();
    }

    /// Returns the numbering that confirms gaps; `None` if none is learned yet.
    pub fn numbering(&self) -> Option<EventNumbering> {
        Some(EventNumbering { first: self.usual_first()?, step: self.usual_step()? })
    }

    /// Returns the first id that confirms gaps; `None` if none is learned yet.
    pub fn usual_first(&self) -> Option<u64> {
        self.first.usual()
    }

    /// Returns the step that confirms gaps; `None` if none is learned yet.
    pub fn usual_step(&self) -> Option<u64> {
        self.step.usual()
    }

    /// Whether complete streams still number their events as `checker` expected, so that an event may
    /// be missing where it suspects one.
    pub fn suspects_gap(&self, checker: &EventSequenceChecker) -> bool {
        let (learned, expected) = match checker.is_at_start() {
            true => (self.first.expected(), checker.expected_first),
            false => (self.step.expected(), checker.usual_step()),
        };
        expected.is_some() && learned == expected
    }

    /// Whether complete streams make a gap likely where `checker` suspects one. Few gaps are confirmed
    /// if the events are not numbered regularly.
    pub fn confirm_gap(&mut self, checker: &EventSequenceChecker) -> bool {
        let is_usual = match checker.is_at_start() {
            true => checker.expected_first.is_some_and(|first| self.usual_first() == Some(first)),
            false => checker.usual_step().is_some_and(|step| self.usual_step() == Some(step)),
        };
        if is_usual {
            self.reset();
        }
        is_usual || self.is_part_of_burst(checker)
    }

    /// Whether a stream has a gap like another one whose gap was confirmed since it was opened.
    fn is_part_of_burst(&self, checker: &EventSequenceChecker) -> bool {
        let is_checked = checker.confirms_steps && checker.has_usual_step();
        let expected = checker.expected_step.filter(|_| is_checked);
        expected.is_some_and(|step| self.step.holds_for_open_streams(step))
    }
}

/// What the ids of a stream show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum EventGap {
    /// an event is repeated
    Repeated,
    /// an event is missing, if the events are numbered regularly
    Missing,
}

/// The steps between the ids of a stream, without the last one.
#[derive(Debug, Clone, Copy, Default)]
struct StepRun {
    /// The first step. `None` before the third id.
    step: Option<u64>,
    /// The number of steps.
    count: u32,
    /// Whether one of them differs from the first.
    is_irregular: bool,
}

impl StepRun {
    fn record(&mut self, step: u64) {
        self.is_irregular |= *self.step.get_or_insert(step) != step;
        self.count = self.count.saturating_add(1);
    }
}

/// Checks the ids of one stream.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventSequenceChecker {
    expected_first: Option<u64>,
    expected_step: Option<u64>,
    /// Whether the expected step confirmed gaps when the stream was opened.
    confirms_steps: bool,
    first: Option<u64>,
    last: Option<u64>,
    /// The latest step, after which the stream may end.
    last_step: Option<u64>,
    steps: StepRun,
    /// An id that was taken for the one after a missing event.
    suspected: Option<u64>,
    /// Whether all ids so far are numbers.
    is_numbered: bool,
    /// Whether the stream was resumed, so that its first id is not that of a whole stream.
    is_resumed: bool,
    /// Whether the ids deviate from those expected, so that only repeated events are detected.
    is_lenient: bool,
}

impl EventSequenceChecker {
    /// Creates a checker for a stream. `expected` is the usual numbering of its events, and
    /// `resumed_after` is the id after which the stream was resumed; `None` if it starts from the
    /// beginning.
    pub fn new(expected: Option<EventNumbering>, resumed_after: Option<&str>) -> Self {
        Self {
            expected_first: expected.map(|numbering| numbering.first),
            expected_step: expected.map(|numbering| numbering.step),
            last: resumed_after.and_then(|id| id.parse().ok()),
            is_numbered: true,
            is_resumed: resumed_after.is_some(),
            ..Self::default()
        }
    }

    /// Creates a checker for a stream by what is known about the events of its software.
    pub fn of_learned(learned: &LearnedNumbering, resumed_after: Option<&str>) -> Self {
        Self {
            expected_first: learned.first.expected(),
            expected_step: learned.step.expected(),
            confirms_steps: learned.usual_step().is_some(),
            ..Self::new(None, resumed_after)
        }
    }

    /// Creates the checker that replaces this one when the stream starts again at other software.
    pub fn restarted(&self, mut checker: Self) -> Self {
        checker.suspected = self.suspected;
        checker
    }

    /// Checks the id of the next event. Changes nothing if it returns an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is repeated or an event before it may be missing.
    pub fn check(&mut self, id: &str) -> Result<(), EventGap> {
        let number: Option<u64> = id.parse().ok();
        let Some(number) = number.filter(|_| self.is_numbered) else {
            self.is_numbered = false;
            return Ok(());
        };
        if self.last.is_some_and(|last| number <= last) {
            return Err(EventGap::Repeated);
        }
        // The same id follows again after the stream was resumed, so there is no event before it.
        self.is_lenient |= self.suspected == Some(number);
        if !self.is_lenient && self.is_suspicious(number) {
            return Err(EventGap::Missing);
        }
        self.accept(number);
        Ok(())
    }

    /// Whether an event is missing before this id if the events are numbered regularly.
    fn is_suspicious(&self, number: u64) -> bool {
        let Some(last) = self.last else {
            return self.expected_first.is_some_and(|first| number > first);
        };
        let step = number - last;
        match self.expected_step {
            // After a shorter step, which only the last event usually has, nothing is expected.
            Some(expected) => {
                step > expected && self.last_step.is_none_or(|last_step| last_step >= expected)
            }
            None => self.own_step().is_some_and(|own| step > own && step.is_multiple_of(own)),
        }
    }

    /// Returns the step that all ids of the stream have had; `None` if they differ or are few.
    fn own_step(&self) -> Option<u64> {
        let is_long = self.steps.count + 1 >= MIN_STEPS;
        let is_regular = !self.steps.is_irregular && self.steps.step == self.last_step;
        self.last_step.filter(|_| is_long && is_regular)
    }

    fn accept(&mut self, number: u64) {
        match self.last {
            Some(last) => {
                if let Some(step) = self.last_step {
                    self.steps.record(step);
                    // It was short, but not the last one.
                    self.is_lenient |= self.expected_step.is_some_and(|expected| step < expected);
                }
                self.last_step = Some(number - last);
            }
            None => {
                self.is_lenient |= self.expected_first.is_some_and(|first| number < first);
                self.first = Some(number);
            }
        }
        self.last = Some(number);
        self.suspected = None;
    }

    /// Records that an event before this id may be missing.
    pub fn record_suspected(&mut self, id: &str) {
        self.suspected = id.parse().ok();
    }

    /// Expects nothing of the further ids but that they rise.
    pub fn expect_nothing(&mut self) {
        self.is_lenient = true;
    }

    /// Returns the id of the last event; `None` before the first one of a stream that was not resumed.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the id that the next event was expected to have at most; `None` if nothing was
    /// expected of it.
    pub fn max_expected_id(&self) -> Option<u64> {
        match self.last {
            Some(last) => Some(last.saturating_add(self.usual_step()?)),
            None => self.expected_first,
        }
    }

    /// Whether the next event is the first of a stream that was not resumed.
    fn is_at_start(&self) -> bool {
        self.last.is_none()
    }

    /// Returns the step that the next event was expected to have; `None` if it is unknown.
    fn usual_step(&self) -> Option<u64> {
        self.expected_step.or_else(|| self.own_step())
    }

    /// Whether the stream itself has shown the step that was expected of it.
    fn has_usual_step(&self) -> bool {
        self.expected_step.is_some() && self.last_step == self.expected_step
    }

    /// Returns the numbering of a complete stream; `None` if it is irregular, the stream has too few
    /// ids, or it was resumed.
    pub fn numbering(&self) -> Option<EventNumbering> {
        let step = self.steps.step.filter(|_| self.is_numbered && !self.steps.is_irregular)?;
        let is_regular = self.last_step.is_some_and(|last_step| last_step <= step);
        let first = self.first.filter(|_| is_regular && !self.is_resumed)?;
        Some(EventNumbering { first, step })
    }

    /// Returns whether something about other streams can be learned from this one: it was seen from
    /// its first event on, and shows a step that is not its last.
    pub fn is_informative(&self) -> bool {
        self.first.is_some() && self.is_numbered && self.steps.step.is_some()
    }
}
