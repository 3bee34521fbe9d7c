//! Which requests of this VM are at an upstream, and which left it unanswered a moment ago.

use std::collections::VecDeque;
use std::time::Duration;

use crate::opaque::request_print::RequestPrint;
use crate::time::MonoTime;

/// A request that left so short a time before its upstream ended may have ended it: upstreams go on for a while with what
/// their caller has left, and the end is noticed later than it happens.
const LEFT_MEMORY: Duration = Duration::from_millis(500);
/// Between the first sign of an end and the certainty that it was one, no request is forgotten that left before the sign.
const PROBE_TIME: Duration = Duration::from_millis(2_000);
/// How many of those are remembered of one upstream.
const MAX_LEFT: usize = 64;

/// One request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuestId(u64);

/// The requests of this VM at one upstream.
#[derive(Debug, Default)]
pub struct GuestBook {
    present: Vec<(GuestId, RequestPrint)>,
    left: VecDeque<(MonoTime, RequestPrint)>,
    next: u64,
}

impl GuestBook {
    /// Notes that a request is sent there.
    pub fn enter(&mut self, print: RequestPrint) -> GuestId {
        let id = GuestId(self.next);
        self.next += 1;
        self.present.push((id, print));
        id
    }

    /// Notes that a request has ended there and cannot have harmed it: it was answered whole, declined or never sent.
    pub fn leave_harmless(&mut self, id: GuestId) {
        self.take(id);
    }

    /// Notes that a request is not there any more, whatever it did.
    pub fn leave(&mut self, id: GuestId, now: MonoTime) {
        let Some(print) = self.take(id) else { return };
        self.left.push_back((now, print));
        let is_old = |left: &(MonoTime, RequestPrint)| now.since(left.0) > LEFT_MEMORY + PROBE_TIME;
        while self.left.len() > MAX_LEFT || self.left.front().is_some_and(is_old) {
            self.left.pop_front();
        }
    }

    /// The requests that the upstream may have ended under, of which the first sign came at `broke`; each once. They are
    /// forgotten.
    pub fn take_victims(&mut self, broke: MonoTime) -> Vec<RequestPrint> {
        let left = std::mem::take(&mut self.left).into_iter();
        let lately = left.filter(|(at, _)| broke.since(*at) <= LEFT_MEMORY).map(|(_, print)| print);
        let present = std::mem::take(&mut self.present).into_iter().map(|(_, print)| print);
        let mut victims: Vec<RequestPrint> = lately.chain(present).collect();
        victims.sort_unstable();
        victims.dedup();
        victims
    }

    fn take(&mut self, id: GuestId) -> Option<RequestPrint> {
        let at = self.present.iter().position(|(present, _)| *present == id)?;
        Some(self.present.swap_remove(at).1)
    }
}
