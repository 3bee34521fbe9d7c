//! A caller that asks for entry VMs, sends requests and reads the answers, as the users' clients
//! do.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::headers;
use foldhaven_wire::caller::{CompletionChunk, EntriesAnswer, ErrorBody};
use foldhaven_wire::sse::{DONE, SseSplitter};
use reqwest::Response;

/// A request to a model.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Account.
    pub account: String,
    /// Class.
    pub class: String,
    /// Request id.
    pub request: String,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Whether to use the chat completions API.
    pub chat: bool,
    /// Deadline. If `None`, the one of the class applies.
    pub deadline: Option<Duration>,
    /// Worth. If `None`, the one of the class applies.
    pub worth: Option<f64>,
}

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Account.
    pub account: String,
    /// Class.
    pub class: String,
    /// Request id.
    pub request: String,
    /// Path below `/service/`.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Ticket of a request that is not repeatable.
    pub ticket: Option<String>,
    /// Deadline. If `None`, the one of the class applies.
    pub deadline: Option<Duration>,
}

/// The answer that a caller received.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerAnswer {
    /// HTTP status. 0 if there was no valid answer.
    pub status: u16,
    /// Outcome reported by the answer. `Unknown` if there is none.
    pub outcome: RequestOutcome,
    /// Text of the answer.
    pub text: String,
    /// Error code, if the answer is an error.
    pub error: Option<String>,
    /// Error message, if the answer is an error.
    pub message: Option<String>,
    /// Delay after which to retry, if the answer contains one.
    pub retry_after: Option<Duration>,
    /// Ticket for the next attempt, if the answer contains one.
    pub ticket: Option<String>,
    /// Data centre that served the request.
    pub served_by: String,
    /// Time to the first event of a streamed answer.
    pub time_to_first: Option<Duration>,
    /// Time to the end of the answer.
    pub total_time: Duration,
    /// Value of the `location` header, by which a leaving VM redirects the caller.
    pub location: Option<String>,
}

impl CallerAnswer {
    /// Creates the result of a request without a valid answer.
    fn without_answer(started: Instant, message: String) -> Self {
        Self {
            status: 0,
            outcome: RequestOutcome::Unknown,
            text: String::new(),
            error: Some("no_answer".to_owned()),
            message: Some(message),
            retry_after: None,
            ticket: None,
            served_by: String::new(),
            time_to_first: None,
            total_time: started.elapsed(),
            location: None,
        }
    }

    /// Returns whether the answer is complete.
    pub fn is_complete(&self) -> bool {
        self.outcome == RequestOutcome::Complete
    }
}

/// A caller with a connection pool.
#[derive(Clone)]
pub struct CallerClient {
    client: reqwest::Client,
    /// Network delay between the caller and its entry VM, one way.
    one_way_delay: Duration,
}

impl CallerClient {
    /// Creates a caller with a one-way network delay to its entry VMs.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be created.
    pub fn new(one_way_delay: Duration) -> Self {
        let client = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(1_024)
            .tcp_nodelay(true)
            .build()
            .expect("the HTTP client can be created");
        Self { client, one_way_delay }
    }

    /// Waits for the network delay to the entry VM. Skips a delay of zero, because a timer takes a
    /// millisecond even then.
    async fn wait_network_delay(&self) {
        if !self.one_way_delay.is_zero() {
            tokio::time::sleep(self.one_way_delay).await;
        }
    }

    /// Asks an entry VM which VMs to use, and for tickets. Returns `None` if it does not answer
    /// within two seconds.
    pub async fn entries(
        &self,
        entry: SocketAddr,
        account: &str,
        tickets: usize,
    ) -> Option<EntriesAnswer> {
        let url = format!("http://{entry}/v1/entries?account={account}&tickets={tickets}");
        let request = self.client.get(url).timeout(Duration::from_secs(2));
        request.send().await.ok()?.json().await.ok()
    }

    /// Sends a model request to an entry VM and reads the answer to its end.
    pub async fn call_model(&self, entry: SocketAddr, call: &ModelCall) -> CallerAnswer {
        let started = Instant::now();
        self.wait_network_delay().await;
        let path = if call.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let mut request = self
            .client
            .post(format!("http://{entry}{path}"))
            .header(headers::ACCOUNT, &call.account)
            .header(headers::CLASS, &call.class)
            .header(headers::REQUEST_ID, &call.request)
            .json(&model_body(call));
        if let Some(deadline) = call.deadline {
            request = request.header(headers::DEADLINE_MS, deadline.as_millis().to_string());
        }
        if let Some(worth) = call.worth {
            request = request.header(headers::WORTH, worth.to_string());
        }
        let sent = request.timeout(answer_timeout(call.deadline)).send().await;
        let mut answer = match sent {
            Ok(response) if call.stream && response.status() == 200 => {
                read_stream(response, call, started).await
            }
            Ok(response) => read_response(response, started, Some(call)).await,
            Err(error) => CallerAnswer::without_answer(started, format!("{error:?}")),
        };
        answer.total_time += self.one_way_delay;
        answer.time_to_first = answer.time_to_first.map(|first| first + self.one_way_delay);
        answer
    }

    /// Sends a service request to an entry VM and reads the answer to its end.
    pub async fn call_service(&self, entry: SocketAddr, call: &ServiceCall) -> CallerAnswer {
        let started = Instant::now();
        self.wait_network_delay().await;
        let mut request = self
            .client
            .post(format!("http://{entry}/service/{}", call.path))
            .header(headers::ACCOUNT, &call.account)
            .header(headers::CLASS, &call.class)
            .header(headers::REQUEST_ID, &call.request)
            .header("content-type", "text/plain")
            .body(call.body.clone());
        if let Some(ticket) = &call.ticket {
            request = request.header(headers::TICKET, ticket);
        }
        if let Some(deadline) = call.deadline {
            request = request.header(headers::DEADLINE_MS, deadline.as_millis().to_string());
        }
        let sent = request.timeout(answer_timeout(call.deadline)).send().await;
        let mut answer = match sent {
            Ok(response) => read_response(response, started, None).await,
            Err(error) => CallerAnswer::without_answer(started, format!("{error:?}")),
        };
        answer.total_time += self.one_way_delay;
        answer
    }
}

/// Returns how long a caller waits for the end of the answer: 3 seconds longer than its deadline,
/// which is taken as 15 seconds if it is not set.
fn answer_timeout(deadline: Option<Duration>) -> Duration {
    deadline.unwrap_or(Duration::from_secs(15)) + Duration::from_secs(3)
}

fn model_body(call: &ModelCall) -> serde_json::Value {
    let (max_tokens, stream) = (call.max_tokens, call.stream);
    if call.chat {
        let messages = serde_json::json!([{ "role": "user", "content": call.prompt }]);
        return serde_json::json!({
            "messages": messages, "max_tokens": max_tokens, "stream": stream
        });
    }
    serde_json::json!({ "prompt": call.prompt, "max_tokens": max_tokens, "stream": stream })
}

/// Returns the prompt as an engine receives it.
pub fn engine_prompt(call: &ModelCall) -> String {
    if call.chat { format!("user: {}\n", call.prompt) } else { call.prompt.clone() }
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn outcome_of(response: &Response) -> RequestOutcome {
    let value = header(response, headers::OUTCOME);
    value.and_then(|text| text.parse().ok()).unwrap_or(RequestOutcome::Unknown)
}

async fn read_response(
    response: Response,
    started: Instant,
    model: Option<&ModelCall>,
) -> CallerAnswer {
    let mut answer = CallerAnswer::without_answer(started, String::new());
    answer.status = response.status().as_u16();
    answer.served_by = header(&response, headers::SERVED_BY).unwrap_or_default();
    answer.location = header(&response, "location");
    let outcome = outcome_of(&response);
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return CallerAnswer::without_answer(started, error.to_string()),
    };
    answer.outcome = outcome;
    answer.total_time = started.elapsed();
    if let Ok(ErrorBody { error }) = serde_json::from_slice::<ErrorBody>(&body) {
        answer.error = Some(error.kind.code());
        answer.message = Some(error.message);
        answer.retry_after = error.retry_after_ms.map(Duration::from_millis);
        answer.ticket = error.ticket;
        return answer;
    }
    answer.error = None;
    answer.message = None;
    answer.text = match model {
        None => String::from_utf8_lossy(&body).into_owned(),
        Some(call) => match serde_json::from_slice::<CompletionChunk>(&body) {
            Ok(chunk) if chunk.id == call.request => chunk_text(&chunk),
            Ok(chunk) => {
                return CallerAnswer::without_answer(started, format!("answer to {}", chunk.id));
            }
            Err(error) => return CallerAnswer::without_answer(started, error.to_string()),
        },
    };
    answer
}

fn chunk_text(chunk: &CompletionChunk) -> String {
    let Some(choice) = chunk.choices.first() else { return String::new() };
    let content =
        choice.message.as_ref().or(choice.delta.as_ref()).map(|message| message.content.clone());
    content.or_else(|| choice.text.clone()).unwrap_or_default()
}

async fn read_stream(mut response: Response, call: &ModelCall, started: Instant) -> CallerAnswer {
    let mut answer = CallerAnswer::without_answer(started, "the stream ended early".to_owned());
    answer.status = 200;
    answer.served_by = header(&response, headers::SERVED_BY).unwrap_or_default();
    let mut splitter = SseSplitter::default();
    loop {
        let events = match response.chunk().await {
            Ok(Some(bytes)) => splitter.push(&bytes).unwrap_or_default(),
            Ok(None) => break,
            Err(error) => {
                answer.message.get_or_insert(error.to_string());
                break;
            }
        };
        for event in events {
            if event == DONE {
                answer.outcome = RequestOutcome::Complete;
                (answer.error, answer.message) = (None, None);
            } else if let Ok(ErrorBody { error }) = serde_json::from_str(&event) {
                answer.error = Some(error.kind.code());
                answer.message = Some(error.message);
                answer.outcome = error.outcome;
            } else if let Ok(chunk) = serde_json::from_str::<CompletionChunk>(&event) {
                if chunk.id != call.request {
                    return CallerAnswer::without_answer(
                        started,
                        format!("an event of {}", chunk.id),
                    );
                }
                answer.time_to_first.get_or_insert(started.elapsed());
                answer.text.push_str(&chunk_text(&chunk));
            }
        }
    }
    answer.total_time = started.elapsed();
    answer
}
