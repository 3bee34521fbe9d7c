//! The API for callers: completion and chat messages in the usual format, and typed errors.

use std::net::SocketAddr;

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::ids::{DataCentreName, VmName};
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/completions`. Unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model; `None` if the request names a class instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer; `None` for the maximum of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The role of the author.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model; `None` if the request names a class instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The messages of the conversation, in order.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens in the answer; `None` for the maximum of the class.
    #[serde(default, alias = "max_completion_tokens", skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

/// A choice of an answer. Answers of foldhaven have exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// The text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The message of a chat answer that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatPart>,
    /// The next part of the message of a streamed chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<ChatPart>,
    /// Why the answer ended; `None` before its end.
    pub finish_reason: Option<String>,
}

/// A chat message or a part of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatPart {
    /// The role of the author, at the start of a message.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text of the message or part.
    #[serde(default)]
    pub content: String,
}

/// A whole answer, or one event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// The request id.
    pub id: String,
    /// The object type that client libraries expect.
    pub object: String,
    /// The creation time, in seconds since the Unix epoch.
    #[serde(default)]
    pub created: u64,
    /// The model.
    pub model: String,
    /// The choices; exactly one.
    pub choices: Vec<CompletionChoice>,
    /// The position in the answer of the first token of this chunk.
    #[serde(default)]
    pub position: u64,
    /// Number of tokens in this chunk.
    #[serde(default)]
    pub tokens: u64,
    /// The token counts, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

/// The details of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The reason why the request was refused or failed.
    #[serde(rename = "type")]
    pub kind: RefusalReason,
    /// The same reason, for client libraries that read this field.
    pub code: RefusalReason,
    /// The error message.
    pub message: String,
    /// Whether any part of the request may have run.
    pub outcome: RequestOutcome,
    /// The step in which the error occurred.
    pub step: String,
    /// The upstream or peer that was involved in that step; `-` if none.
    pub peer: String,
    /// Delay after which the request may be retried, in milliseconds; `None` if no delay is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// A ticket to send with the next attempt; `None` unless the request may run at most once and
    /// came without one. See [`EntriesAnswer::tickets`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

/// The body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Why the request was refused or failed.
    pub error: ErrorDetail,
}

impl ErrorBody {
    /// Returns the body for a refusal.
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
    /// The data centre of the VM.
    pub data_centre: DataCentreName,
    /// The address to which callers send requests.
    pub address: SocketAddr,
    /// Relative share of requests to send to this VM, among the VMs of the same preference.
    pub weight: u32,
    /// Preference; smaller is better. Use a VM only if all VMs with a smaller value are
    /// unreachable.
    pub preference: u32,
}

/// The response of `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// The VMs, best first. None of them is leaving.
    pub entries: Vec<EntryVm>,
    /// Time for which this response is valid, in milliseconds.
    #[serde(rename = "holds_ms")]
    pub valid_for_ms: u64,
    /// Tickets, at most as many as were requested. A ticket names the only VM process that may run
    /// a request that is not repeatable, and permits it to run the request once. See
    /// [`foldhaven_core::ticket`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tickets: Vec<String>,
}
