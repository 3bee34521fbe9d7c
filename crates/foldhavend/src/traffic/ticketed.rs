//! Requests that run at most once: the first use of a ticket, later requests with the same ticket,
//! and forwarding to the process that issued it.

use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::headers;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason, jittered_retry_delay};
use foldhaven_core::ticket::{RequestTicket, TicketVerdict};
use foldhaven_wire::caller::ErrorBody;
use tokio::time::timeout;
use warp::reply::Response;
use xxhash_rust::xxh3::Xxh3;

use super::call::{UpstreamCall, WholeAnswer};
use super::paths::PEER_TICKETED;
use super::reply::{error_reply, refusal_reply, relay_reply, set_header};
use super::request::{header_text, header_value};
use super::service::{RawRequest, ServiceHandler, ServiceJob, service_reply};
use super::tickets::TicketRedemption;
use crate::views::PublishedView;

const STEP: &str = "redeeming a ticket";

impl ServiceHandler {
    /// Refuses a request without a ticket, and issues one for the next attempt.
    pub(super) fn require_ticket(&self) -> Response {
        let detail = format!("expected a ticket in header {}", headers::TICKET);
        let refusal = RefusalAnswer::not_run(STEP, RefusalReason::TicketRequired, detail);
        let mut body = ErrorBody::of(&refusal);
        body.error.ticket = self.issue_ticket().map(|ticket| ticket.to_string());
        error_reply(&refusal, &body)
    }

    /// Issues a ticket of this process. Returns `None` if there is no description yet, too many
    /// tickets are live, or the process is leaving.
    pub fn issue_ticket(&self) -> Option<RequestTicket> {
        let shared = self.shared();
        let span = shared.view().ok()?.route.index.description.limits.ticket.0;
        shared.tickets.issue(shared.now(), span)
    }

    /// Runs a request with a ticket of this process, or waits for the result of its earlier use.
    pub(super) async fn answer_ticket(&self, job: ServiceJob, ticket: &RequestTicket) -> Response {
        let shared = self.shared().clone();
        let in_flight = shared.enter();
        let remaining = job.head.remaining(shared.now());
        match shared.tickets.redeem(ticket, fingerprint(&job), shared.now()) {
            TicketRedemption::Run(run) => {
                let handler = self.clone();
                let ticket = ticket.clone();
                // The run continues if the caller disconnects: its result is kept for the next
                // request with this ticket.
                let running = tokio::spawn(async move {
                    let result = handler.run(&job).await;
                    handler.finish(&job, &result);
                    let not_run = |answer: &RefusalAnswer| answer.outcome == RequestOutcome::NotRun;
                    if result.as_ref().err().is_some_and(not_run) {
                        handler.shared().tickets.restore(&ticket);
                    }
                    run.finish(result.clone());
                    drop(in_flight);
                    result
                });
                match running.await {
                    Ok(result) => service_reply(&result),
                    Err(_) => refusal_reply(&unfinished_run()),
                }
            }
            TicketRedemption::Join(join) => match timeout(remaining, join.wait()).await {
                Ok(Some(result)) => service_reply(&result),
                _ => refusal_reply(&unfinished_run()),
            },
            TicketRedemption::Denied(verdict) => refusal_reply(&denied_ticket(&verdict)),
        }
    }

    /// Forwards a request to the only process that may run it. If that process does not answer, the
    /// outcome is `unknown`, since the request may have run there before.
    pub(super) async fn forward_to_owner(
        &self,
        job: &ServiceJob,
        ticket: &RequestTicket,
        raw: &RawRequest,
    ) -> Response {
        let shared = self.shared();
        let _in_flight = shared.enter();
        let unreachable = |detail: String| {
            let retry_after = jittered_retry_delay(Duration::from_millis(500), rand::random());
            refusal_reply(
                &RefusalAnswer::not_run(STEP, RefusalReason::TicketOwner, detail)
                    .at_peer(ticket.owner.as_str())
                    .with_outcome(RequestOutcome::Unknown)
                    .with_retry_after(retry_after),
            )
        };
        if raw.headers.contains_key(headers::FORWARDED_TICKET) {
            return unreachable("the owner's process is not this one any more".to_owned());
        }
        let Ok(view) = shared.view() else { return unreachable("no view yet".to_owned()) };
        let Some(address) = owner_address(&view, ticket) else {
            return unreachable("the owner's process is not known, or has ended".to_owned());
        };
        let mut map = raw.headers.clone();
        for name in [http::header::HOST, http::header::CONTENT_LENGTH, http::header::CONNECTION] {
            map.remove(name);
        }
        let remaining = job.head.remaining(shared.now());
        set_header(&mut map, headers::DEADLINE_MS, &remaining.as_millis().max(1).to_string());
        let here = shared.settings.data_centre.as_str();
        set_header(&mut map, headers::FORWARDED_TICKET, here);
        let call = UpstreamCall {
            address: shared.settings.dial_address(address),
            method: raw.method.clone(),
            path: format!("{PEER_TICKETED}{}{}", job.service, job.path_suffix),
            headers: map,
            body: raw.body.clone(),
            attempt: String::new(),
        };
        match timeout(remaining, self.context.upstream.exchange(call)).await {
            Ok(Ok(answer)) => {
                let reported_outcome =
                    header_value::<RequestOutcome>(&answer.headers, headers::OUTCOME);
                let outcome = reported_outcome.ok().flatten().unwrap_or(RequestOutcome::Unknown);
                let served_by = header_text(&answer.headers, headers::SERVED_BY).ok().flatten();
                let served_by = served_by.unwrap_or_default().to_owned();
                let WholeAnswer { status, headers, body } = answer;
                relay_reply(status, &headers, body, outcome, &served_by)
            }
            Ok(Err(error)) => unreachable(error.to_string()),
            Err(_) => unreachable("the deadline passed".to_owned()),
        }
    }
}

/// Returns the peer address of the process that issued a ticket, or `None` if it is not known.
fn owner_address(view: &PublishedView, ticket: &RequestTicket) -> Option<SocketAddr> {
    let is_owner = |vm, incarnation| vm == &ticket.owner && incarnation == ticket.incarnation;
    let member = view.members.iter().find(|it| is_owner(&it.vm, it.incarnation));
    if let Some(member) = member {
        return Some(member.addresses.peer);
    }
    let contacts = view.route.centres.iter().flat_map(|centre| &centre.summary.vms);
    let contact = contacts.into_iter().find(|it| is_owner(&it.vm, it.incarnation));
    contact.map(|it| it.addresses.peer)
}

/// Returns a hash of the request's content, to detect the use of a ticket for another request.
fn fingerprint(job: &ServiceJob) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [
        job.head.account.as_str().as_bytes(),
        job.service.as_str().as_bytes(),
        job.method.as_str().as_bytes(),
        job.path_suffix.as_bytes(),
        &job.body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

fn unfinished_run() -> RefusalAnswer {
    let detail = "the first arrival of this ticket has not ended in time";
    RefusalAnswer::not_run(STEP, RefusalReason::Deadline, detail)
        .with_outcome(RequestOutcome::Unknown)
        .with_retry_after(jittered_retry_delay(Duration::from_millis(500), rand::random()))
}

fn denied_ticket(verdict: &TicketVerdict<()>) -> RefusalAnswer {
    let not_run = |reason, detail: &str| RefusalAnswer::not_run(STEP, reason, detail);
    match verdict {
        TicketVerdict::OtherRequest => {
            not_run(RefusalReason::TicketReused, "the ticket was used for another request")
        }
        TicketVerdict::Closed => not_run(RefusalReason::Leaving, "this VM is leaving"),
        TicketVerdict::Expired => {
            not_run(RefusalReason::TicketInvalid, "the ticket has ended; it may have been used")
                .with_outcome(RequestOutcome::Unknown)
        }
        _ => not_run(RefusalReason::TicketInvalid, "the ticket was not issued here"),
    }
}
