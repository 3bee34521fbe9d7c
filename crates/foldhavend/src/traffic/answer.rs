//! Serializes model answers in the formats that callers expect.

use std::time::Duration;

use foldhaven_core::refusal::RefusalAnswer;
use foldhaven_wire::caller::{ChatPart, CompletionChoice, CompletionChunk, ErrorBody, TokenUsage};
use foldhaven_wire::sse::{DONE, write_event, write_named_event};

use super::call::AnswerPart;
use super::request::{AnswerShape, ModelJob};
use crate::clock::epoch_secs;

/// Delay between the error event of a broken answer and the abort of its connection, so that the
/// event is sent first.
pub const ERROR_EVENT_FLUSH_TIME: Duration = Duration::from_millis(20);

/// Serializes the answer of one request, either as events or as one object.
pub struct AnswerWriter {
    id: String,
    model: String,
    shape: AnswerShape,
    created: u64,
    position: u64,
}

impl AnswerWriter {
    pub fn new(job: &ModelJob, position: u64) -> Self {
        Self {
            id: job.head.request.to_string(),
            model: job.model.to_string(),
            shape: job.shape,
            created: epoch_secs(),
            position,
        }
    }

    /// Returns the event for one part. The event for the end includes the end marker.
    pub fn event(&mut self, part: &AnswerPart) -> String {
        match part {
            AnswerPart::Tokens { count, text } => {
                let chunk = self.chunk(text.clone(), *count, None, None);
                self.position += count;
                write_event(&to_json(&chunk))
            }
            AnswerPart::End { finish_reason, usage } => {
                let finish_reason = Some(finish_reason.clone());
                let chunk = self.chunk(String::new(), 0, finish_reason, Some(*usage));
                write_event(&to_json(&chunk)) + &write_event(DONE)
            }
        }
    }

    /// Returns the whole answer as one object.
    pub fn whole(&self, text: String, finish_reason: String, usage: TokenUsage) -> CompletionChunk {
        let mut chunk = self.chunk(text, usage.completion_tokens, Some(finish_reason), Some(usage));
        if self.shape == AnswerShape::Chat {
            chunk.object = "chat.completion".to_owned();
            for choice in &mut chunk.choices {
                choice.message = choice.delta.take();
            }
        }
        chunk
    }

    fn chunk(
        &self,
        text: String,
        tokens: u64,
        finish_reason: Option<String>,
        usage: Option<TokenUsage>,
    ) -> CompletionChunk {
        let role = (self.position == 0).then(|| "assistant".to_owned());
        let (object, text, delta) = match self.shape {
            AnswerShape::Text => ("text_completion", Some(text), None),
            AnswerShape::Chat => {
                ("chat.completion.chunk", None, Some(ChatPart { role, content: text }))
            }
        };
        CompletionChunk {
            id: self.id.clone(),
            object: object.to_owned(),
            created: self.created,
            model: self.model.clone(),
            choices: vec![CompletionChoice { index: 0, text, message: None, delta, finish_reason }],
            position: self.position,
            tokens,
            usage,
        }
    }
}

/// Returns the event that reports why an answer is incomplete.
pub fn error_event(answer: &RefusalAnswer) -> String {
    write_named_event("error", &to_json(&ErrorBody::of(answer)))
}

fn to_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("typed answers are JSON")
}
