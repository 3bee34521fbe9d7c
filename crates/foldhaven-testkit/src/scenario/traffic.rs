//! The requests of a scenario, which are sent in the background and kept with their expected
//! answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use foldhaven_core::description::{ClassKind, Description};
use parking_lot::Mutex;
use tokio::task::{JoinHandle, JoinSet};

use super::steps::SendSpec;
use crate::caller::{CallerAnswer, CallerClient, ModelCall, ServiceCall, engine_prompt};
use crate::stand_in::engine::complete_answer;
use crate::stand_in::service::service_answer;

/// A sent request with its answer, as [`Evidence`](super::guarantees::Evidence) needs it to check
/// the guarantees of the system.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Request id.
    pub request: String,
    /// Account of the request.
    pub account: String,
    /// Class of the request.
    pub class: String,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// The complete answer that the request must get.
    pub expected: String,
    /// The answer that the caller received.
    pub answer: CallerAnswer,
}

/// A request that can be sent any number of times.
#[derive(Debug, Clone)]
pub enum PreparedCall {
    /// A request to a model.
    Model(ModelCall),
    /// A request to a service, and whether it is repeatable.
    Service(ServiceCall, bool),
}

impl PreparedCall {
    /// Prepares a request. Returns `None` if the description has no such class.
    pub fn new(description: &Description, spec: &SendSpec, request: String) -> Option<Self> {
        let class = description.classes.iter().find(|it| it.name.as_str() == spec.class)?;
        let (account, class_name) = (spec.account.clone(), spec.class.clone());
        if class.kind == ClassKind::Service {
            let path = if spec.path.is_empty() { "ok" } else { &spec.path };
            let call = ServiceCall {
                account,
                class: class_name,
                path: format!("{}/{path}", class.service.as_ref()?),
                body: format!("content of {request}"),
                request,
                ticket: None,
                deadline: spec.deadline,
            };
            return Some(Self::Service(call, class.repeatable));
        }
        let max = if spec.max_tokens == 0 { class.max_output_tokens } else { spec.max_tokens };
        Some(Self::Model(ModelCall {
            account,
            class: class_name,
            prompt: format!("{}{request}", "case file ".repeat(120)),
            max_tokens: max,
            stream: request.len().is_multiple_of(2),
            chat: false,
            deadline: spec.deadline,
            worth: None,
            request,
        }))
    }

    /// Sets the ticket of a service request.
    pub fn set_ticket(&mut self, text: String) {
        if let Self::Service(call, _) = self {
            call.ticket = Some(text);
        }
    }

    /// Sends the request and waits for its answer.
    pub async fn send(&self, caller: &CallerClient, entry: SocketAddr) -> SentRequest {
        match self {
            Self::Model(call) => {
                let answer = caller.call_model(entry, call).await;
                SentRequest {
                    request: call.request.clone(),
                    account: call.account.clone(),
                    class: call.class.clone(),
                    is_repeatable: true,
                    expected: complete_answer(&engine_prompt(call), call.max_tokens),
                    answer,
                }
            }
            Self::Service(call, is_repeatable) => {
                let answer = caller.call_service(entry, call).await;
                SentRequest {
                    request: call.request.clone(),
                    account: call.account.clone(),
                    class: call.class.clone(),
                    is_repeatable: *is_repeatable,
                    expected: service_answer(&call.request, &call.body),
                    answer,
                }
            }
        }
    }
}

/// How the callers of a load find their entry VMs.
#[derive(Clone)]
pub struct EntryFinder {
    /// Caller addresses of the VMs, those in the home region first.
    pub directory: Vec<SocketAddr>,
    /// Whether the callers use only this directory and do not ask VMs for entries.
    pub is_fixed: bool,
}

/// Sends requests at a steady rate until it is ended.
pub struct RunningLoad {
    should_end: Arc<AtomicBool>,
    task: JoinHandle<Vec<SentRequest>>,
}

impl RunningLoad {
    /// Starts a load of `rate` requests per second.
    pub fn start(
        name: &str,
        description: Description,
        spec: SendSpec,
        rate: f64,
        caller: CallerClient,
        finder: EntryFinder,
    ) -> Self {
        let should_end = Arc::new(AtomicBool::new(false));
        let (name, flag) = (name.to_owned(), should_end.clone());
        let task = tokio::spawn(async move {
            let entries = Arc::new(Mutex::new(finder.directory.clone()));
            let refresher = tokio::spawn(refresh_entries(
                caller.clone(),
                finder,
                spec.clone(),
                entries.clone(),
            ));
            let mut sent = JoinSet::new();
            let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
            let mut number = 0usize;
            while !flag.load(Ordering::SeqCst) {
                interval.tick().await;
                number += 1;
                let request = format!("{name}-{number}");
                let Some(call) = PreparedCall::new(&description, &spec, request) else { break };
                let (caller, entries) = (caller.clone(), entries.clone());
                sent.spawn(async move { send_with_retries(caller, &entries, call, number).await });
            }
            let all = sent.join_all().await;
            refresher.abort();
            all
        });
        Self { should_end, task }
    }

    /// Stops sending and waits for all answers.
    pub async fn end(self) -> Vec<SentRequest> {
        self.should_end.store(true, Ordering::SeqCst);
        self.task.await.unwrap_or_default()
    }
}

/// Sends a request to one of the first two entry VMs, after getting a ticket there if one is
/// needed. Tries the other one if the VM issues no ticket, refuses the connection or answers 307 or
/// 503, up to `MAX_ATTEMPTS` attempts in all.
async fn send_with_retries(
    caller: CallerClient,
    entries: &Mutex<Vec<SocketAddr>>,
    mut call: PreparedCall,
    number: usize,
) -> SentRequest {
    const MAX_ATTEMPTS: usize = 3;
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        let entry = {
            let entries = entries.lock();
            entries[(number + attempt) % entries.len().clamp(1, 2)]
        };
        if let PreparedCall::Service(service, false) = &call
            && service.ticket.is_none()
        {
            let answer = caller.entries(entry, &service.account, 1).await;
            match answer.and_then(|answer| answer.tickets.into_iter().next()) {
                Some(ticket) => call.set_ticket(ticket),
                None => continue,
            }
        }
        let sent = call.send(&caller, entry).await;
        let is_connection_refused = sent.answer.status == 0
            && sent.answer.message.as_ref().is_some_and(|it| it.contains("ConnectionRefused"));
        let should_retry = is_connection_refused || matches!(sent.answer.status, 307 | 503);
        if !should_retry {
            return sent;
        }
        last = Some(sent);
    }
    match last {
        Some(sent) => sent,
        None => {
            let entry = entries.lock()[0];
            call.send(&caller, entry).await
        }
    }
}

/// Regularly asks the known VMs which entry VMs to use.
async fn refresh_entries(
    caller: CallerClient,
    finder: EntryFinder,
    spec: SendSpec,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
) {
    const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
    if finder.is_fixed {
        return;
    }
    loop {
        let entry_vms = entries.lock().clone();
        for address in entry_vms.iter().chain(&finder.directory) {
            let Some(answer) = caller.entries(*address, &spec.account, 0).await else { continue };
            let fresh: Vec<SocketAddr> = answer.entries.iter().map(|it| it.address).collect();
            if !fresh.is_empty() {
                *entries.lock() = fresh;
                break;
            }
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}
