//! What callers speak: the usual completions and chat shapes, and typed errors.

use std::net::SocketAddr;

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::ids::{DataCentreName, VmName};
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/completions`. Fields not named here are accepted and ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model; may be left out when the class is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The most tokens that the answer may have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model; may be left out when the class is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The messages so far.
    pub messages: Vec<ChatMessage>,
    /// The most tokens that the answer may have.
    #[serde(default, alias = "max_completion_tokens", skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}

/// One choice; foldhaven gives exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The text, for completions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The message, for a whole chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatPart>,
    /// The message part, for a streamed chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatPart>,
    /// Why the answer ended; absent before its end.
    pub finish_reason: Option<String>,
}

/// A chat message or a part of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatPart {
    /// Who speaks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// What is said.
    #[serde(default)]
    pub content: String,
}

/// A whole answer, or one event of a streamed one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The request id.
    pub id: String,
    /// The kind of object, as client libraries expect it.
    pub object: String,
    /// When it was made, in seconds since the epoch.
    #[serde(default)]
    pub created: u64,
    /// The model.
    pub model: String,
    /// The one choice.
    pub choices: Vec<CompletionChoice>,
    /// The position of the first token of this chunk in the answer.
    #[serde(default)]
    pub position: u64,
    /// How many tokens this chunk has.
    #[serde(default)]
    pub tokens: u64,
    /// Token counts, at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

/// What an error answer says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Why the request is not served.
    #[serde(rename = "type")]
    pub kind: RefusalReason,
    /// The same, for client libraries that look here.
    pub code: RefusalReason,
    /// The error in words.
    pub message: String,
    /// Whether any of the request may have run.
    pub outcome: RequestOutcome,
    /// What was being done.
    pub step: String,
    /// Whom it was done with.
    pub peer: String,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// A ticket for the next try, when one is needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

/// The body of an error answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

impl ErrorBody {
    /// The body for a refusal.
    pub fn of(answer: &RefusalAnswer) -> Self {
        let retry_after_ms = answer.retry_after.map(|span| span.as_millis() as u64);
        let error = ErrorDetail {
            kind: answer.reason,
            code: answer.reason,
            message: answer.to_string(),
            outcome: answer.outcome,
            step: answer.step.to_owned(),
            peer: answer.peer.clone(),
            retry_after_ms,
            ticket: None,
        };
        Self { error }
    }
}

/// One entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where to send requests.
    pub address: SocketAddr,
    /// How large a part of the requests to send there, against VMs of the same preference.
    pub weight: u32,
    /// Smaller is better: use a larger one only when no smaller one can be reached.
    pub preference: u32,
}

/// The answer of `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// The VMs, best first. None of them is leaving.
    pub entries: Vec<EntryVm>,
    /// How long this answer holds, in milliseconds.
    #[serde(rename = "holds_ms")]
    pub valid_for_ms: u64,
    /// Tickets for requests that are not repeatable, as many as were asked for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tickets: Vec<String>,
}
