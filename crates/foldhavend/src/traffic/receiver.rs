//! The receiver of a forwarded request: runs it here or refuses it, and never forwards it again.

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

use super::answer::{AnswerWriter, LAST_EVENT_TIME, error_event};
use super::call::{AnswerPart, CallFault, PartStream};
use super::faults::{fault_answer, note_call_fault};
use super::origin::RouteDesk;
use super::reply::{event_stream_reply, refusal_reply, refused_attempt_reply, set_header};
use super::request::{AnswerShape, ModelJob, header_text, header_value, read_model_job};
use crate::shared::{SharedState, WaitGuard};
use crate::views::PublishedView;

const STEP: &str = "receiving a forwarded request";
/// How long a receiver tries to get a description that the sender has and it has not.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(700);
const CATCH_UP_CHECK: Duration = Duration::from_millis(20);
const CALLED_BACK: &str = "called back: its region is not permitted any more";

/// The fields that a forwarded request must have. A missing one is a refusal, not a default.
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

/// Reads the path of a forwarded request.
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

/// Checks that a forwarded request may be judged here, and gets a newer description first where
/// the sender has one. Returns the view to judge by.
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
            Err(fault @ ForwardFault::SenderNewer { theirs, .. }) => {
                if shared.now().since(started) > CATCH_UP_LIMIT {
                    return Err(refuse(RefusalReason::ForwardPath, fault.to_string()));
                }
                ask_sender(shared, &view, head, theirs);
                tokio::time::sleep(CATCH_UP_CHECK).await;
            }
            Err(fault) => return Err(refuse(RefusalReason::ForwardPath, fault.to_string())),
        }
    }
}

/// Has the control thread fetch the sender's description.
fn ask_sender(
    shared: &SharedState,
    view: &PublishedView,
    head: &ForwardHead,
    theirs: DescriptionStamp,
) {
    let vms = view.route.centres.iter().flat_map(|centre| &centre.summary.vms);
    let sender = vms.into_iter().find(|brief| brief.vm == head.attempt.origin);
    if let (Some(sender), Some(control)) = (sender, shared.control.get()) {
        control.record_stamp(theirs, shared.settings.dial_address(sender.addresses.control));
    }
}

/// Answers a forwarded model request.
pub async fn receive_model(desk: RouteDesk, map: HeaderMap, body: Bytes) -> Response {
    let attempt = match read_forward_head(&map) {
        Ok(head) => head,
        Err(refusal) => return refusal_without_attempt(&map, &refusal),
    };
    match start_model(&desk, &attempt, &map, &body).await {
        Ok(started) => stream_parts(desk, started),
        Err(StartFault::Refused(refusal)) => {
            refused_attempt_reply(&refusal, &attempt.attempt.to_string())
        }
        Err(StartFault::Broken(answer)) => refusal_reply(&answer),
    }
}

/// A refusal of a request whose attempt id may be missing; it is repeated where it is there.
pub fn refusal_without_attempt(map: &HeaderMap, refusal: &RefusalAnswer) -> Response {
    match header_text(map, headers::ATTEMPT_ID) {
        Ok(Some(attempt)) => refused_attempt_reply(refusal, attempt),
        _ => refusal_reply(refusal),
    }
}

/// A forwarded request that an engine has started.
struct StartedModel {
    job: ModelJob,
    position: u64,
    target: RouteTarget,
    answer: Box<dyn PartStream>,
    stamps: watch::Receiver<Option<DescriptionStamp>>,
    /// Dropped after the answer, so that its call is closed first.
    waiting: WaitGuard,
}

/// Why a forwarded request did not start.
enum StartFault {
    /// It has not run and will not.
    Refused(RefusalAnswer),
    /// It may have run.
    Broken(RefusalAnswer),
}

impl From<RefusalAnswer> for StartFault {
    fn from(answer: RefusalAnswer) -> Self {
        Self::Refused(answer)
    }
}

async fn start_model(
    desk: &RouteDesk,
    head: &ForwardHead,
    map: &HeaderMap,
    body: &Bytes,
) -> Result<StartedModel, StartFault> {
    let shared = &desk.context.shared;
    let mut waiting = shared.enter_wait();
    let mut stamps = shared.watch_stamp();
    let view = admit_forward(shared, head).await?;
    let new_id = || head.attempt.request.clone();
    let index = &view.route.index;
    let now = shared.now();
    let job = read_model_job(AnswerShape::Text, map, body, index, new_id, now)?;
    let position = header_value(map, headers::RESUME_FROM)?.unwrap_or_default();
    let choice = desk.local_choice(&job, &view, position, &head.attempt)?;
    let opening = desk.context.upstream.open(choice.call, job.head.request.as_str(), position);
    let target = RouteTarget::Engine(choice.engine.clone());
    let opened = tokio::select! {
        opened = tokio::time::timeout(job.head.remaining(now), opening) => opened
            .unwrap_or_else(|_| Err(CallFault::Broken("the deadline passed".into()))),
        () = desk.wait_forbidden(&job, &target, &mut stamps, &mut waiting) => {
            Err(CallFault::Broken(CALLED_BACK.to_owned()))
        }
    };
    match opened {
        Ok(answer) => Ok(StartedModel { job, position, target, answer, stamps, waiting }),
        Err(fault) => {
            note_call_fault(shared, &target, &job.model, &fault);
            let answer = fault_answer(&fault, &target).at_peer(choice.engine.as_str());
            match fault {
                CallFault::Broken(_) | CallFault::Failed { .. } => {
                    Err(StartFault::Broken(answer.with_outcome(RequestOutcome::Unknown)))
                }
                _ => Err(StartFault::Refused(answer)),
            }
        }
    }
}

/// Passes the parts of an answer to the origin as they come. A broken answer ends with an event that
/// says so and breaks the connection, so that the origin cannot take it for a whole one.
fn stream_parts(desk: RouteDesk, started: StartedModel) -> Response {
    let StartedModel { job, position, target, answer, mut stamps, waiting } = started;
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(16);
    let served_by = desk.context.shared.settings.data_centre.to_string();
    tokio::spawn(async move {
        let _in_flight = desk.context.shared.enter();
        let _lent = desk.context.shared.traffic_state.lend(&job.model);
        let mut writer = AnswerWriter::new(&job, position);
        let remaining = job.head.remaining(desk.context.shared.now());
        let origin = &sender;
        let job = &job;
        let target = &target;
        let desk = &desk;
        // Owns the call, so that one that is called back is closed before the origin is told.
        let passing = async move {
            let mut waiting = waiting;
            let mut answer = answer;
            let first = tokio::select! {
                first = answer.next_part() => first?,
                () = desk.wait_forbidden(job, target, &mut stamps, &mut waiting) => {
                    return Err(CallFault::Broken(CALLED_BACK.to_owned()));
                }
            };
            drop(waiting);
            pass_parts(&mut writer, first, answer.as_mut(), origin).await
        };
        let passed = tokio::select! {
            passed = tokio::time::timeout(remaining, passing) => passed,
            // The origin is gone or called the request back: what waits at the engine is cancelled.
            () = sender.closed() => return,
        };
        let passed =
            passed.unwrap_or_else(|_| Err(CallFault::Broken("the deadline passed".into())));
        if let Err(fault) = passed {
            let answer =
                RefusalAnswer::not_run(STEP, RefusalReason::UpstreamFailed, fault.to_string());
            let answer = answer.with_outcome(RequestOutcome::Unknown);
            // The origin may be gone already.
            let _ = sender.send(Ok(error_event(&answer).into())).await;
            tokio::time::sleep(LAST_EVENT_TIME).await;
            let _ = sender.send(Err(std::io::Error::other(fault))).await;
        }
    });
    let mut response = event_stream_reply(ReceiverStream::new(receiver));
    set_header(response.headers_mut(), headers::SERVED_BY, &served_by);
    response
}

async fn pass_parts(
    writer: &mut AnswerWriter,
    first: Option<AnswerPart>,
    answer: &mut dyn PartStream,
    sender: &mpsc::Sender<Result<Bytes, std::io::Error>>,
) -> Result<(), CallFault> {
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
