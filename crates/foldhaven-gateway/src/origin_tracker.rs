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

use crate::clock::{MonoClock, timeout};

/// Maximum number of attempts that other VMs are asked for at a time. Each question goes to several
/// VMs of each region, and a caller may name any attempt.
const MAX_LOOKUPS: usize = 256;

/// A question that some requests wait for.
#[derive(Debug, Default)]
struct OriginLookup {
    /// The number of requests that wait.
    waiting: usize,
    /// The VMs that have not answered. `None` until they are asked.
    unanswered: Option<BTreeSet<SocketAddr>>,
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

    /// Asks other VMs for the origin of the stream of an attempt. `None` if none of them knows it,
    /// those that know it do not answer within the limit, or too many questions are open.
    pub async fn look_up(
        &self,
        attempt: AttemptTag,
        clock: &MonoClock,
        limit: Duration,
    ) -> Option<StreamOrigin> {
        let _waiting = self.start_lookup(attempt)?;
        let mut answered = self.answered.subscribe();
        self.updates.notify_one();
        let answer = async {
            loop {
                let found = self.find(attempt, clock.now());
                // The sender exists as long as this tracker.
                if found.is_some() || self.is_answered(attempt) || answered.changed().await.is_err()
                {
                    return found;
                }
            }
        };
        timeout(limit, answer).await.unwrap_or_default()
    }

    fn start_lookup(&self, attempt: AttemptTag) -> Option<WaitingGuard<'_>> {
        let mut lookups = self.lookups.lock();
        if lookups.len() >= MAX_LOOKUPS && !lookups.contains_key(&attempt) {
            return None;
        }
        lookups.entry(attempt).or_default().waiting += 1;
        Some(WaitingGuard { tracker: self, attempt })
    }

    /// Whether all VMs that were asked have answered.
    fn is_answered(&self, attempt: AttemptTag) -> bool {
        let lookups = self.lookups.lock();
        let unanswered = lookups.get(&attempt).and_then(|lookup| lookup.unanswered.as_ref());
        unanswered.is_some_and(BTreeSet::is_empty)
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
        asked: impl Fn(AttemptTag) -> Vec<SocketAddr>,
    ) -> HashMap<SocketAddr, Vec<AttemptTag>> {
        let mut questions: HashMap<SocketAddr, Vec<AttemptTag>> = HashMap::new();
        let mut lookups = self.lookups.lock();
        for (attempt, lookup) in lookups.iter_mut().filter(|(_, it)| it.unanswered.is_none()) {
            let targets = asked(*attempt);
            for target in &targets {
                questions.entry(*target).or_default().push(*attempt);
            }
            lookup.unanswered = Some(targets.into_iter().collect());
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
            let lookup = lookups.get_mut(attempt);
            if let Some(unanswered) = lookup.and_then(|lookup| lookup.unanswered.as_mut()) {
                unanswered.remove(&sender);
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
