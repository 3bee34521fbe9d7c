//! The receiver of a forwarded request: runs it in this data centre or refuses it, and never
//! forwards it again.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::description::DescriptionStamp;
use foldhaven_core::headers;
use foldhaven_core::ids::{AttemptId, DataCentreName};
use foldhaven_core::planner::RouteTarget;
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_core::residency::{ForwardFault, ForwardPath, check_forward};
use http::HeaderMap;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use warp::reply::Response;

use super::answer::{AnswerWriter, ERROR_EVENT_FLUSH_TIME, error_event};
use super::call::{AnswerPart, AnswerStream, CallError};
use super::call_errors::{call_error_answer, record_call_error};
use super::origin::ModelRouter;
use super::reply::{event_stream_reply, refusal_reply, refused_attempt_reply, set_header};
use super::request::{AnswerShape, ModelJob, header_text, header_value, read_model_job};
use crate::shared::{SharedState, WaitGuard};
use crate::views::PublishedView;

const STEP: &str = "receiving a forwarded request";
/// Maximum time that a receiver waits for the newer description of a sender.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(700);
/// Interval at which the receiver checks for that description.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(20);
const RECALLED_DETAIL: &str = "called back: its region is not permitted any more";

/// The attempt and path of a forwarded request. A missing header leads to a refusal, not to a
/// default.
pub struct ForwardHead {
    pub attempt: AttemptId,
    pub path: ForwardPath,
}

fn refuse(reason: RefusalReason, detail: impl Into<String>) -> RefusalAnswer {
    RefusalAnswer::not_run(STEP, reason, detail)
}

fn required<T>(value: Option<T>, name: &'static str) -> Result<T, RefusalAnswer> {
    value.ok_or_else(|| refuse(RefusalReason::ForwardPath, format!("expected header {name}")))
}

/// Reads the attempt and the path of a forwarded request from its headers.
pub fn read_forward_head(map: &HeaderMap) -> Result<ForwardHead, RefusalAnswer> {
    let attempt = required(header_value(map, headers::ATTEMPT_ID)?, headers::ATTEMPT_ID)?;
    let stamp: DescriptionStamp = required(header_value(map, headers::STAMP)?, headers::STAMP)?;
    required(header_value::<u64>(map, headers::DEADLINE_MS)?, headers::DEADLINE_MS)?;
    required(header_text(map, headers::ACCOUNT)?, headers::ACCOUNT)?;
    required(header_text(map, headers::CLASS)?, headers::CLASS)?;
    let visited = required(header_text(map, headers::VISITED)?, headers::VISITED)?;
    let names = visited.split(',').map(str::trim).filter(|name| !name.is_empty());
    let visited = names
        .map(|name| name.parse::<DataCentreName>())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| refuse(RefusalReason::ForwardPath, error.to_string()))?;
    Ok(ForwardHead { attempt, path: ForwardPath { visited, stamp } })
}

/// Checks that this VM may decide on a forwarded request and returns the view to use. If the sender
/// has a newer description, waits until that one is adopted here.
pub async fn admit_forward(
    shared: &SharedState,
    head: &ForwardHead,
) -> Result<Arc<PublishedView>, RefusalAnswer> {
    if shared.is_leaving() {
        return Err(refuse(RefusalReason::Leaving, "this VM is leaving"));
    }
    shared.wait_fresh().await?;
    let started = shared.now();
    loop {
        let view = shared.view()?;
        let here = &shared.settings.data_centre;
        match check_forward(&head.path, here, view.route.index.stamp) {
            Ok(()) => return Ok(view),
            Err(error @ ForwardFault::SenderNewer { theirs, .. }) => {
                if shared.now().since(started) > CATCH_UP_LIMIT {
                    return Err(refuse(RefusalReason::ForwardPath, error.to_string()));
                }
                request_description(shared, &view, head, theirs);
                tokio::time::sleep(CATCH_UP_INTERVAL).await;
            }
            Err(error) => return Err(refuse(RefusalReason::ForwardPath, error.to_string())),
        }
    }
}

/// Requests that the control thread fetch the sender's description.
fn request_description(
    shared: &SharedState,
    view: &PublishedView,
    head: &ForwardHead,
    theirs: DescriptionStamp,
) {
    let vms = view.route.centres.iter().flat_map(|centre| &centre.summary.vms);
    let sender = vms.into_iter().find(|contact| contact.vm == head.attempt.origin);
    if let (Some(sender), Some(control)) = (sender, shared.control.get()) {
        control.record_stamp(theirs, shared.settings.dial_address(sender.addresses.control));
    }
}

/// Answers a forwarded model request.
pub async fn receive_model(router: ModelRouter, map: HeaderMap, body: Bytes) -> Response {
    let attempt = match read_forward_head(&map) {
        Ok(head) => head,
        Err(refusal) => return refusal_without_attempt(&map, &refusal),
    };
    match start_model(&router, &attempt, &map, &body).await {
        Ok(started) => stream_parts(router, started),
        Err(StartError::Refused(refusal)) => {
            refused_attempt_reply(&refusal, &attempt.attempt.to_string())
        }
        Err(StartError::Broken(answer)) => refusal_reply(&answer),
    }
}

/// Returns the refusal of a request whose headers may lack the attempt id. The id is repeated if
/// present.
pub fn refusal_without_attempt(map: &HeaderMap, refusal: &RefusalAnswer) -> Response {
    match header_text(map, headers::ATTEMPT_ID) {
        Ok(Some(attempt)) => refused_attempt_reply(refusal, attempt),
        _ => refusal_reply(refusal),
    }
}

/// A forwarded request that an engine accepted.
struct StartedModel {
    job: ModelJob,
    position: u64,
    target: RouteTarget,
    answer: Box<dyn AnswerStream>,
    stamps: watch::Receiver<Option<DescriptionStamp>>,
    /// Dropped after `answer`, so that the call to the engine is closed first.
    waiting: WaitGuard,
}

/// Why a forwarded request did not start.
enum StartError {
    /// The request has not run and will not run.
    Refused(RefusalAnswer),
    /// The request may have run.
    Broken(RefusalAnswer),
}

impl From<RefusalAnswer> for StartError {
    fn from(answer: RefusalAnswer) -> Self {
        Self::Refused(answer)
    }
}

async fn start_model(
    router: &ModelRouter,
    head: &ForwardHead,
    map: &HeaderMap,
    body: &Bytes,
) -> Result<StartedModel, StartError> {
    let shared = &router.context.shared;
    let mut waiting = shared.enter_wait();
    let mut stamps = shared.watch_stamp();
    let view = admit_forward(shared, head).await?;
    let new_id = || head.attempt.request.clone();
    let index = &view.route.index;
    let now = shared.now();
    let job = read_model_job(AnswerShape::Text, map, body, index, new_id, now)?;
    let position = header_value(map, headers::RESUME_FROM)?.unwrap_or_default();
    let local_call = router.plan_local_call(&job, &view, position, &head.attempt)?;
    let opening =
        router.context.upstream.open(local_call.call, job.head.request.as_str(), position);
    let target = RouteTarget::Engine(local_call.engine.clone());
    let opened = tokio::select! {
    opened = tokio::time::timeout(job.head.remaining(now), opening) => opened
    .unwrap_or_else(|_| Err(CallError::Broken("the deadline passed".into()))),
    () = router.wait_until_forbidden(&job, &target, &mut stamps, &mut waiting) => {
    Err(CallError::Broken(RECALLED_DETAIL.to_owned()))
    }
    };
    match opened {
        Ok(answer) => Ok(StartedModel { job, position, target, answer, stamps, waiting }),
        Err(error) => {
            record_call_error(shared, &target, &job.model, &error);
            let answer = call_error_answer(&error, &target).at_peer(local_call.engine.as_str());
            match error {
                CallError::Broken(_) | CallError::Failed { .. } => {
                    Err(StartError::Broken(answer.with_outcome(RequestOutcome::Unknown)))
                }
                _ => Err(StartError::Refused(answer)),
            }
        }
    }
}

/// Streams the parts of an answer to the origin as they arrive. A broken answer ends with an error
/// event and an aborted connection, so that the origin cannot mistake it for a complete one.
fn stream_parts(router: ModelRouter, started: StartedModel) -> Response {
    let StartedModel { job, position, target, answer, mut stamps, waiting } = started;
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(16);
    let served_by = router.context.shared.settings.data_centre.to_string();
    tokio::spawn(async move {
        let _in_flight = router.context.shared.enter();
        let _lent_guard = router.context.shared.traffic_state.enter_lent_request(&job.model);
        let mut writer = AnswerWriter::new(&job, position);
        let remaining = job.head.remaining(router.context.shared.now());
        let origin = &sender;
        let job = &job;
        let target = &target;
        let router = &router;
        // Owns the call, so that a recalled one is closed before the origin is notified.
        let relaying = async move {
            let mut waiting = waiting;
            let mut answer = answer;
            let first = tokio::select! {
            first = answer.next_part() => first?,
            () = router.wait_until_forbidden(job, target, &mut stamps, &mut waiting) => {
            return Err(CallError::Broken(RECALLED_DETAIL.to_owned()));
            }
            };
            drop(waiting);
            relay_parts(&mut writer, first, answer.as_mut(), origin).await
        };
        let relayed = tokio::select! {
        relayed = tokio::time::timeout(remaining, relaying) => relayed,
        // The origin disconnected or recalled the request: the call to the engine is cancelled.
        () = sender.closed() => return,
        };
        let relayed =
            relayed.unwrap_or_else(|_| Err(CallError::Broken("the deadline passed".into())));
        if let Err(error) = relayed {
            let answer =
                RefusalAnswer::not_run(STEP, RefusalReason::UpstreamFailed, error.to_string());
            let answer = answer.with_outcome(RequestOutcome::Unknown);
            // Fails only if the origin disconnected.
            let _ = sender.send(Ok(error_event(&answer).into())).await;
            tokio::time::sleep(ERROR_EVENT_FLUSH_TIME).await;
            let _ = sender.send(Err(std::io::Error::other(error))).await;
        }
    });
    let mut response = event_stream_reply(ReceiverStream::new(receiver));
    set_header(response.headers_mut(), headers::SERVED_BY, &served_by);
    response
}

async fn relay_parts(
    writer: &mut AnswerWriter,
    first: Option<AnswerPart>,
    answer: &mut dyn AnswerStream,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Result<(), CallError> {
    let mut next = first;
    while let Some(part) = next {
        let event = writer.event(&part);
        if sender.send(Ok(event.into())).await.is_err() {
            return Ok(());
        }
        next = answer.next_part().await?;
    }
    Ok(())
}
