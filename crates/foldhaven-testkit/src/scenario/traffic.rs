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
use crate::caller::{CallerAnswer, CallerClient, ModelCall, ServiceAsk, engine_prompt};
use crate::stand_in::engine::whole_answer;
use crate::stand_in::service::service_answer;

/// A sent request with everything that the checks of the guarantees need.
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
pub enum PreparedAsk {
    /// A request to a model.
    Model(ModelCall),
    /// A request to a service, and whether it is repeatable.
    Service(ServiceAsk, bool),
}

impl PreparedAsk {
    /// Prepares a request. Returns `None` if the description has no such class.
    pub fn new(description: &Description, spec: &SendSpec, request: String) -> Option<Self> {
        let class = description.classes.iter().find(|it| it.name.as_str() == spec.class)?;
        let (account, class_name) = (spec.account.clone(), spec.class.clone());
        if class.kind == ClassKind::Service {
            let path = if spec.path.is_empty() { "ok" } else { &spec.path };
            let ask = ServiceAsk {
                account,
                class: class_name,
                path: format!("{}/{path}", class.service.as_ref()?),
                body: format!("content of {request}"),
                request,
                ticket: None,
                deadline: spec.deadline,
            };
            return Some(Self::Service(ask, class.repeatable));
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
        if let Self::Service(ask, _) = self {
            ask.ticket = Some(text);
        }
    }

    /// Sends the request and waits for its answer.
    pub async fn send(&self, caller: &CallerClient, entry: SocketAddr) -> SentRequest {
        match self {
            Self::Model(ask) => {
                let answer = caller.call_model(entry, ask).await;
                SentRequest {
                    request: ask.request.clone(),
                    account: ask.account.clone(),
                    class: ask.class.clone(),
                    is_repeatable: true,
                    expected: whole_answer(&engine_prompt(ask), ask.max_tokens),
                    answer,
                }
            }
            Self::Service(ask, is_repeatable) => {
                let answer = caller.ask_service(entry, ask).await;
                SentRequest {
                    request: ask.request.clone(),
                    account: ask.account.clone(),
                    class: ask.class.clone(),
                    is_repeatable: *is_repeatable,
                    expected: service_answer(&ask.request, &ask.body),
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
    ending: Arc<AtomicBool>,
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
        let ending = Arc::new(AtomicBool::new(false));
        let (name, flag) = (name.to_owned(), ending.clone());
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
                let Some(ask) = PreparedAsk::new(&description, &spec, request) else { break };
                let (caller, entries) = (caller.clone(), entries.clone());
                sent.spawn(async move { send_one(caller, &entries, ask, number).await });
            }
            let all = sent.join_all().await;
            refresher.abort();
            all
        });
        Self { ending, task }
    }

    /// Stops sending and waits for all answers.
    pub async fn end(self) -> Vec<SentRequest> {
        self.ending.store(true, Ordering::SeqCst);
        self.task.await.unwrap_or_default()
    }
}

/// Sends a request to one of the entry VMs, after getting a ticket there if one is needed. Tries
/// the next VM if the connection is refused or the VM answers 307 or 503.
async fn send_one(
    caller: CallerClient,
    entries: &Mutex<Vec<SocketAddr>>,
    mut ask: PreparedAsk,
    number: usize,
) -> SentRequest {
    const TRIES: usize = 3;
    let mut last = None;
    for step in 0..TRIES {
        let entry = {
            let entries = entries.lock();
            entries[(number + step) % entries.len().clamp(1, 2)]
        };
        if let PreparedAsk::Service(service, false) = &ask
            && service.ticket.is_none()
        {
            let issued = caller.entries(entry, &service.account, 1).await;
            match issued.and_then(|answer| answer.tickets.into_iter().next()) {
                Some(ticket) => ask.set_ticket(ticket),
                None => continue,
            }
        }
        let sent = ask.send(&caller, entry).await;
        let refused_connection = sent.answer.status == 0
            && sent.answer.message.as_ref().is_some_and(|it| it.contains("ConnectionRefused"));
        let goes_on = refused_connection || matches!(sent.answer.status, 307 | 503);
        if !goes_on {
            return sent;
        }
        last = Some(sent);
    }
    match last {
        Some(sent) => sent,
        None => {
            let entry = entries.lock()[0];
            ask.send(&caller, entry).await
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
    const STEP: Duration = Duration::from_millis(500);
    if finder.is_fixed {
        return;
    }
    loop {
        let known = entries.lock().clone();
        for address in known.iter().chain(&finder.directory) {
            let Some(answer) = caller.entries(*address, &spec.account, 0).await else { continue };
            let fresh: Vec<SocketAddr> = answer.entries.iter().map(|it| it.address).collect();
            if !fresh.is_empty() {
                *entries.lock() = fresh;
                break;
            }
        }
        tokio::time::sleep(STEP).await;
    }
}
