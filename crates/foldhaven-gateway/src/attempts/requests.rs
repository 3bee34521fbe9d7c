//! Builds the request of one attempt, sends it, and waits for the head of the answer.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::opaque::queue_rank::QueueRank;
use foldhaven_core::opaque::software::SoftwareTag;
use http::request::Builder;
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::{DestinationAnswer, FirstResponseEstimate, RequestDriver};
use crate::call::{CallFault, CallListener, CallTarget, OpenAnswer, open_call};
use crate::clock::{BootInstant, timeout};
use crate::credential::fingerprint_value;
use crate::destinations::{DestinationChoice, RequestDestination};
use crate::job::read_software;
use crate::load_counter::RequestLoad;
use crate::names::{HeaderNames, text_value};
use crate::peer_listener::PeerListener;
use crate::upstream::{Upstream, UpstreamRequestGuard};
use crate::upstream_listener::UpstreamListener;

/// Minimum time without an answer after which an upstream is checked for any sign of life. A model
/// that prefills a long prompt takes some hundred milliseconds to answer.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// The same limit as a multiple of the expected time; the longer of the two applies.
const RESPONSE_TIMEOUT_FACTOR: u32 = 2;

impl RequestDriver {
    /// Sends the request to a destination and waits for the head of the answer.
    pub(super) async fn call(
        &mut self,
        chosen: DestinationChoice,
        resume_after: Option<&str>,
    ) -> Result<DestinationAnswer, CallFault> {
        let DestinationChoice {
            destination,
            time_to_first,
            prefill_tokens,
            queue,
            rank,
            prefill_before_answer,
            fetch_from,
            prefix,
        } = chosen;
        let mut request = self.make_request(&destination, resume_after, rank);
        if let Some(holder) = fetch_from {
            let name = self.shared.names.fetch_from.clone();
            request.headers_mut().insert(name, text_value(&holder.to_string()));
        }
        let memory_tokens = self.job.memory_tokens();
        let load = RequestLoad { prefill_tokens, memory_tokens, rank, level: self.job.level };
        let load_guard = destination.enter(&self.shared, &self.job.service, load);
        let mut request_guard = self.register_request(&destination);
        self.record_placement(&destination);
        self.count_prefix(prefix);
        let listener = self.listener(&destination);
        let target = destination.call_target(listener.as_ref());
        self.delivered_attempts += 1;
        // Set before sending, since the caller may disconnect (and drop this future) at any later
        // await.
        self.is_probe_sent = self.is_probe;
        let sent = BootInstant::now();
        self.sent.begin();
        let opened = self.open_answer(&destination, &target, request, time_to_first).await;
        self.sent.end();
        if opened.as_ref().is_err_and(CallFault::is_undelivered) {
            self.delivered_attempts -= 1;
        }
        if let RequestDestination::Upstream(upstream) = &destination {
            self.update_queue_capacity(upstream, queue, &opened);
        }
        if opened.as_ref().is_err_and(|fault| !fault.may_have_run()) {
            self.is_probe_sent = false;
            request_guard.iter_mut().for_each(UpstreamRequestGuard::mark_harmless);
        }
        let answer = opened?;
        let software = software_of(&answer, &destination);
        let expected =
            FirstResponseEstimate { time: time_to_first, rank, queue, prefill_before_answer };
        let opened = DestinationAnswer {
            answer,
            destination,
            software,
            load_guard,
            request_guard,
            expected,
            sent,
        };
        if opened.is_event_stream() && self.job.software.is_some_and(|it| software != Some(it)) {
            return Err(CallFault::Broken("events of another software version".to_owned()));
        }
        Ok(opened)
    }

    /// Sends the request and waits for the head of the answer. A silent upstream is given up if
    /// there is another destination.
    async fn open_answer(
        &mut self,
        destination: &RequestDestination,
        target: &CallTarget<'_>,
        request: Request<Full<Bytes>>,
        expected: Duration,
    ) -> Result<OpenAnswer, CallFault> {
        let shared = self.shared.clone();
        let mut opening = pin!(open_call(target, request, &shared.names, self.job.deadline));
        let RequestDestination::Upstream(upstream) = destination else { return opening.await };
        let opened = match self.wait_for_head(upstream, expected, opening.as_mut()).await {
            Some(opened) => opened,
            None if self.choose_alternative() => Err(CallFault::Unresponsive),
            None => self.unless_quarantined(opening).await,
        };
        self.record_received(upstream, &opened);
        opened
    }

    /// Returns the listener for the signals in the head of the answer. The signals of an upstream
    /// behind another VM are handled by that VM.
    fn listener(&self, destination: &RequestDestination) -> Box<dyn CallListener> {
        match destination {
            RequestDestination::Upstream(upstream) => {
                Box::new(UpstreamListener::new(self.shared.clone(), upstream.clone()))
            }
            RequestDestination::Peer(_) => {
                Box::new(PeerListener::new(self.remote_upstreams.clone()))
            }
        }
    }

    /// Builds the request, with the headers that are specific to the attempt.
    fn make_request(
        &self,
        destination: &RequestDestination,
        resume_after: Option<&str>,
        rank: QueueRank,
    ) -> Request<Full<Bytes>> {
        let job = &self.job;
        let names = &self.shared.names;
        let mut request: Builder = Request::builder().method(&job.method).uri(&job.target);
        let map = request.headers_mut().expect("the parts were read from a request");
        *map = job.headers.clone();
        map.insert(&names.remaining_ms, job.remaining_ms());
        if let Some(event) = resume_after.and_then(|event| HeaderValue::from_str(event).ok()) {
            map.insert(&names.last_event, event);
        }
        match destination {
            RequestDestination::Upstream(upstream) => {
                if let Some(value) = HeaderNames::rank_value(rank, job.level) {
                    map.insert(&names.rank, HeaderValue::from(value));
                }
                map.insert(&names.expected_upstream, text_value(upstream.name().as_str()));
            }
            RequestDestination::Peer(_) => {
                let centre: &DataCentreName = &self.shared.settings.data_centre;
                map.insert(headers::VISITED, text_value(centre.as_str()));
                map.insert(headers::SERVICE, text_value(job.service.as_str()));
                map.insert(headers::READS_STALLS, HeaderValue::from_static("1"));
                map.insert(headers::EVENT_FRAMES, HeaderValue::from_static("1"));
                if let Some(account) = &job.account {
                    map.insert(headers::KEY_FINGERPRINT, fingerprint_value(&account.key));
                }
                map.remove(headers::UPSTREAM);
                for upstream in self.remote_upstreams.lock().iter() {
                    map.append(headers::UPSTREAM, text_value(upstream.as_str()));
                }
                if self.is_last_attempt() {
                    map.insert(headers::LAST_ATTEMPT, HeaderValue::from_static("1"));
                }
                if job.has_partial_answer {
                    map.insert(headers::BEGUN, HeaderValue::from_static("1"));
                }
                map.remove(headers::SOFTWARE);
                if let Some(software) = job.software {
                    map.insert(headers::SOFTWARE, text_value(&software.to_string()));
                }
                let waited = job.waited().as_millis();
                map.insert(headers::WAITED_MS, HeaderValue::from(waited as u64));
                let earlier = job.earlier_tries.as_millis();
                map.insert(headers::EARLIER_TRIES_MS, HeaderValue::from(earlier as u64));
            }
        }
        request.body(Full::new(job.body.clone())).expect("the parts were read from a request")
    }

    /// Waits for the head of an answer, and marks the upstream as unreachable if nothing at all
    /// arrives from it, as after a power failure or a network partition. A long queue does not lead
    /// to that, since the answers to earlier requests continue to arrive. Returns `None` if the
    /// upstream is silent and the request may be sent to another one.
    async fn wait_for_head(
        &self,
        upstream: &Upstream,
        expected: Duration,
        mut opening: Pin<&mut impl Future<Output = Result<OpenAnswer, CallFault>>>,
    ) -> Option<Result<OpenAnswer, CallFault>> {
        let shared = &self.shared;
        let sent = shared.now();
        let response_timeout = MIN_RESPONSE_TIMEOUT.max(expected * RESPONSE_TIMEOUT_FACTOR);
        let timely = async {
            let opened = timeout(response_timeout, opening.as_mut()).await;
            opened.unwrap_or(Err(CallFault::Unresponsive))
        };
        let opened = self.unless_quarantined(timely).await;
        if !matches!(opened, Err(CallFault::Unresponsive)) {
            return Some(opened);
        }
        if upstream.is_unresponsive_since(sent) {
            upstream.record_unreachable(shared.now());
            shared.metrics.count_event("upstream_silent");
            if self.job.route.repeat.is_repeatable() {
                return None;
            }
        }
        Some(self.unless_quarantined(opening).await)
    }

    /// Records that an upstream has answered. A connection that ended is no answer, nor is one of
    /// another process at its address.
    fn record_received(&self, upstream: &Upstream, opened: &Result<OpenAnswer, CallFault>) {
        let is_misdirected = opened.as_ref().is_err_and(CallFault::is_misdirected);
        if matches!(opened, Ok(_) | Err(CallFault::Declined { .. })) && !is_misdirected {
            let now = self.shared.now();
            upstream.record_received(now);
            self.shared.paths.record_received(now);
        }
    }
}

/// Returns the software of the upstream that sends an answer. `None` if another VM passes the answer
/// on and does not say it.
fn software_of(answer: &OpenAnswer, destination: &RequestDestination) -> Option<SoftwareTag> {
    match destination {
        RequestDestination::Upstream(upstream) => Some(upstream.software),
        RequestDestination::Peer(_) => read_software(answer.head.headers.get(headers::SOFTWARE)?),
    }
}
