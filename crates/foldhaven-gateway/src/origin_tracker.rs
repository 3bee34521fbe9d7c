//! Tracks where streams began, and looks up the origins of streams that other VMs served. Shared by
//! both threads.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::peer_table::ServiceTag;
use foldhaven_core::opaque::stream_origins::{
    AttemptTag, OriginAnswer, OriginNotice, StreamOrigin, StreamOriginTable,
};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::clock::{BootInstant, MonoClock, timeout_at};

/// Maximum number of attempts that other VMs are asked for at a time. Each question goes to several
/// VMs of each region, and a caller may name any attempt.
const MAX_LOOKUPS: usize = 256;

/// The VMs that are asked for the origin of an attempt.
#[derive(Debug, Default)]
pub struct AskedVms {
    /// All of them.
    pub all: BTreeSet<SocketAddr>,
    /// Those of them whose answers together show that nobody knows it.
    pub voters: BTreeSet<SocketAddr>,
}

/// A question that some requests wait for.
#[derive(Debug, Default)]
struct OriginLookup {
    /// The number of requests that wait.
    waiting: usize,
    /// `None` until the question is sent.
    asked: Option<AskedVms>,
    /// The VMs that have answered.
    answered: BTreeSet<SocketAddr>,
}

impl OriginLookup {
    fn is_answered_by_all(&self) -> bool {
        self.asked.as_ref().is_some_and(|asked| asked.all.is_subset(&self.answered))
    }

    fn is_answered_by_most(&self) -> bool {
        let Some(asked) = &self.asked else { return false };
        let count = asked.voters.intersection(&self.answered).count();
        count * 2 > asked.voters.len()
    }
}

/// How long answers are waited for.
#[derive(Debug, Clone, Copy)]
pub struct LookupLimits {
    /// The time after which the answers of most voters are enough.
    pub settled_after: Duration,
    /// The time after which there are no more answers.
    pub given_up_after: Duration,
}

/// The result of asking other VMs for an origin.
#[derive(Debug, Clone, Copy)]
pub struct LookupResult {
    /// The origin. `None` if none of those that answered knows it.
    pub origin: Option<StreamOrigin>,
    /// Whether most voters have answered since the question was asked.
    pub has_quorum: bool,
}

/// The origins of streams that this VM knows.
pub struct OriginTracker {
    table: Mutex<StreamOriginTable>,
    lookups: Mutex<HashMap<AttemptTag, OriginLookup>>,
    /// Notified when there are origins or questions to send.
    updates: Notify,
    /// Notified when an answer arrives.
    answered: watch::Sender<()>,
}

impl Default for OriginTracker {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            lookups: Mutex::default(),
            updates: Notify::new(),
            answered: watch::Sender::new(()),
        }
    }
}

impl OriginTracker {
    /// Records the origin of a stream that this VM serves.
    pub fn record(&self, notice: OriginNotice, now: MonoTime) {
        self.table.lock().record(notice, now);
        self.updates.notify_one();
    }

    /// Merges origins that another VM sent.
    pub fn merge(&self, notices: &[OriginNotice], now: MonoTime) {
        let mut table = self.table.lock();
        for notice in notices {
            table.merge(*notice, now);
        }
    }

    /// Returns the origin of the stream of an attempt. `None` if this VM does not know it.
    pub fn find(&self, attempt: AttemptTag, now: MonoTime) -> Option<StreamOrigin> {
        self.table.lock().find(attempt, now)
    }

    /// Asks other VMs for the origin of the stream of an attempt. Without a quorum, the lack of an
    /// origin shows nothing.
    pub async fn look_up(
        &self,
        attempt: AttemptTag,
        clock: &MonoClock,
        limits: LookupLimits,
    ) -> LookupResult {
        let started = BootInstant::now();
        let mut result = LookupResult { origin: None, has_quorum: false };
        let Some(_waiting) = self.start_lookup(attempt) else { return result };
        let mut answered = self.answered.subscribe();
        self.updates.notify_one();
        loop {
            result.origin = self.find(attempt, clock.now());
            let (is_complete, has_quorum) = self.progress(attempt);
            result.has_quorum = has_quorum;
            let is_settled = has_quorum && started.elapsed() >= limits.settled_after;
            let limit = if has_quorum { limits.settled_after } else { limits.given_up_after };
            let is_over = started.elapsed() >= limits.given_up_after;
            if result.origin.is_some() || is_complete || is_settled || is_over {
                return result;
            }
            // The limits are checked after a timeout as well as after an answer.
            let _ = timeout_at(started + limit, answered.changed()).await;
        }
    }

    fn start_lookup(&self, attempt: AttemptTag) -> Option<WaitingGuard<'_>> {
        let mut lookups = self.lookups.lock();
        if lookups.len() >= MAX_LOOKUPS && !lookups.contains_key(&attempt) {
            return None;
        }
        lookups.entry(attempt).or_default().waiting += 1;
        Some(WaitingGuard { tracker: self, attempt })
    }

    /// Returns whether all VMs that were asked have answered, and whether most voters have.
    fn progress(&self, attempt: AttemptTag) -> (bool, bool) {
        let lookups = self.lookups.lock();
        let lookup = lookups.get(&attempt);
        lookup.map_or((false, false), |it| (it.is_answered_by_all(), it.is_answered_by_most()))
    }

    /// Waits until there may be origins or questions to send.
    pub async fn wait_for_updates(&self) {
        self.updates.notified().await;
    }

    /// Removes and returns the origins of the streams of a service that are yet to be sent.
    pub fn take_unsent(&self, service: ServiceTag, now: MonoTime) -> Vec<OriginNotice> {
        self.table.lock().take_unsent(service, now)
    }

    /// Returns the attempts that other VMs are yet to be asked for. `asked` returns the VMs to ask
    /// for an attempt.
    pub fn take_questions(
        &self,
        asked: impl Fn(AttemptTag) -> AskedVms,
    ) -> HashMap<SocketAddr, Vec<AttemptTag>> {
        let mut questions: HashMap<SocketAddr, Vec<AttemptTag>> = HashMap::new();
        let mut lookups = self.lookups.lock();
        for (attempt, lookup) in lookups.iter_mut().filter(|(_, it)| it.asked.is_none()) {
            let asked = asked(*attempt);
            for target in &asked.all {
                questions.entry(*target).or_default().push(*attempt);
            }
            lookup.asked = Some(asked);
        }
        drop(lookups);
        // With nobody to ask, the requests need not wait.
        self.answered.send_replace(());
        questions
    }

    /// Answers the questions of another VM.
    pub fn answer(&self, attempts: &[AttemptTag], now: MonoTime) -> Vec<OriginAnswer> {
        let table = self.table.lock();
        let answer = |attempt| OriginAnswer { attempt, origin: table.find(attempt, now) };
        attempts.iter().copied().map(answer).collect()
    }

    /// Applies the answers of another VM.
    pub fn apply_answers(&self, answers: &[OriginAnswer], sender: SocketAddr, now: MonoTime) {
        let known = answers.iter().filter_map(|answer| {
            Some(OriginNotice { attempt: answer.attempt, origin: answer.origin? })
        });
        self.merge(&known.collect::<Vec<OriginNotice>>(), now);
        let mut lookups = self.lookups.lock();
        for OriginAnswer { attempt, .. } in answers {
            if let Some(lookup) = lookups.get_mut(attempt) {
                lookup.answered.insert(sender);
            }
        }
        drop(lookups);
        self.answered.send_replace(());
    }
}

/// Counts a request that waits for the answer to a question until dropped.
struct WaitingGuard<'a> {
    tracker: &'a OriginTracker,
    attempt: AttemptTag,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut lookups = self.tracker.lookups.lock();
        if let Some(lookup) = lookups.get_mut(&self.attempt) {
            lookup.waiting -= 1;
            if lookup.waiting == 0 {
                lookups.remove(&self.attempt);
            }
        }
    }
}
