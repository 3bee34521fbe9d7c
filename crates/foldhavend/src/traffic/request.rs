//! Parses and validates requests of callers and peers.

use std::time::Duration;

use bytes::Bytes;
use foldhaven_core::description::{AccountConfig, ClassConfig, ClassKind, DescriptionIndex};
use foldhaven_core::headers;
use foldhaven_core::ids::{AccountName, ClassName, ModelName, RequestId};
use foldhaven_core::prefix::{block_hashes, prompt_tokens};
use foldhaven_core::refusal::{RefusalAnswer, RefusalReason};
use foldhaven_core::time::MonoTime;
use foldhaven_wire::caller::{ChatRequest, CompletionRequest};
use futures::StreamExt;
use futures::stream::BoxStream;
use http::HeaderMap;
use http::header::{AUTHORIZATION, CONTENT_TYPE};

const STEP: &str = "reading the request";
/// Maximum worth that a caller may specify.
const MAX_WORTH: f64 = 1e6;

/// The format of the answer to a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerShape {
    /// The format of `/v1/completions`.
    Text,
    /// The format of `/v1/chat/completions`.
    Chat,
}

/// The properties that every request has, whether to a model or to a plain service.
#[derive(Debug, Clone)]
pub struct RequestHead {
    pub request: RequestId,
    pub account: AccountName,
    pub class: ClassName,
    /// The worth of an answer that is whole and on time.
    pub worth: f64,
    pub started: MonoTime,
    pub deadline: MonoTime,
    pub is_repeatable: bool,
}

impl RequestHead {
    /// Returns the time until the deadline.
    pub fn remaining(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }
}

/// A validated request to a model.
#[derive(Debug, Clone)]
pub struct ModelJob {
    pub head: RequestHead,
    pub model: ModelName,
    pub prompt: String,
    /// Hashes of the prompt's blocks, by which cached prefixes are found.
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub max_tokens: u64,
    /// Whether the caller requested a streamed answer.
    pub is_stream: bool,
    pub shape: AnswerShape,
}

/// Returns the refusal of a malformed request.
pub fn bad_request(detail: impl Into<String>) -> RefusalAnswer {
    RefusalAnswer::not_run(STEP, RefusalReason::BadRequest, detail)
}

fn refuse(reason: RefusalReason, detail: impl Into<String>) -> RefusalAnswer {
    RefusalAnswer::not_run(STEP, reason, detail)
}

/// Reads a body of at most `limit` bytes. Each part must arrive within `pause` of the one before.
pub async fn read_body(
    mut body: BoxStream<'static, Result<Bytes, warp::Error>>,
    limit: u64,
    pause: Duration,
) -> Result<Bytes, RefusalAnswer> {
    let mut read = Vec::new();
    loop {
        let next = tokio::time::timeout(pause, body.next()).await.map_err(|_| {
            let pause = pause.as_millis();
            let detail = format!("expected the next part of the body within {pause}ms");
            refuse(RefusalReason::BodyTooSlow, detail)
        })?;
        let Some(part) = next else { return Ok(read.into()) };
        let part = part.map_err(|error| bad_request(format!("the body was cut off: {error}")))?;
        if (read.len() + part.len()) as u64 > limit {
            let detail = format!("expected a body of at most {limit} bytes");
            return Err(refuse(RefusalReason::BodyTooLarge, detail));
        }
        read.extend_from_slice(&part);
    }
}

/// Returns a header as text, or `None` if it is absent.
pub fn header_text<'a>(
    map: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, RefusalAnswer> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let text = value.to_str();
    text.map(Some).map_err(|_| bad_request(format!("expected plain text in header {name}")))
}

/// Returns the parsed value of a header, or `None` if it is absent.
pub fn header_value<T>(map: &HeaderMap, name: &'static str) -> Result<Option<T>, RefusalAnswer>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header_text(map, name)? else { return Ok(None) };
    let parsed = text.trim().parse();
    parsed.map(Some).map_err(|error| bad_request(format!("header {name}: {error}")))
}

fn read_account<'a>(
    map: &HeaderMap,
    index: &'a DescriptionIndex,
) -> Result<&'a AccountConfig, RefusalAnswer> {
    let named = match header_text(map, headers::ACCOUNT)? {
        Some(name) => Some(name),
        None => header_text(map, AUTHORIZATION.as_str())?
            .and_then(|value| value.strip_prefix("Bearer ").or(value.strip_prefix("bearer "))),
    };
    let named = named.ok_or_else(|| {
        let detail = format!("expected the account in header {} or as bearer", headers::ACCOUNT);
        refuse(RefusalReason::UnknownAccount, detail)
    })?;
    let name = named
        .trim()
        .parse::<AccountName>()
        .map_err(|error| refuse(RefusalReason::UnknownAccount, error.to_string()))?;
    let account = index.account(&name);
    account.ok_or_else(|| {
        refuse(RefusalReason::UnknownAccount, format!("expected a known account, got {name}"))
    })
}

fn read_class<'a>(
    map: &HeaderMap,
    index: &'a DescriptionIndex,
    default: Option<&'a ClassConfig>,
) -> Result<&'a ClassConfig, RefusalAnswer> {
    let named: Option<ClassName> = header_value(map, headers::CLASS)?;
    let class = match &named {
        Some(name) => index.class(name),
        None => default,
    };
    class.ok_or_else(|| {
        let got = named.map_or("none".to_owned(), |name| name.to_string());
        refuse(RefusalReason::UnknownClass, format!("expected a known class, got {got}"))
    })
}

/// Reads the account, class, deadline, worth, repeatability and id from the headers.
///
/// `default` is the class of a request that names none. `new_id` provides the id of a request
/// without one.
pub fn read_head(
    map: &HeaderMap,
    index: &DescriptionIndex,
    default: Option<&ClassConfig>,
    new_id: impl FnOnce() -> RequestId,
    now: MonoTime,
) -> Result<RequestHead, RefusalAnswer> {
    let account = read_account(map, index)?;
    let class = read_class(map, index, default)?;
    let limit = index.description.limits.deadline.0;
    let given = header_value::<u64>(map, headers::DEADLINE_MS)?.map(Duration::from_millis);
    let deadline = given.unwrap_or(class.deadline.0);
    if deadline.is_zero() || deadline > limit {
        let (got, limit) = (deadline.as_millis(), limit.as_millis());
        let detail = format!("header {}: expected 1 to {limit}, got {got}", headers::DEADLINE_MS);
        return Err(bad_request(detail));
    }
    let worth = header_value::<f64>(map, headers::WORTH)?.unwrap_or(class.worth);
    if !(0.0..=MAX_WORTH).contains(&worth) {
        let detail = format!("header {}: expected 0 to {MAX_WORTH}, got {worth}", headers::WORTH);
        return Err(bad_request(detail));
    }
    let is_repeatable = match header_text(map, headers::REPEATABLE)? {
        None | Some("yes") => class.repeatable,
        Some("no") if class.kind == ClassKind::Service => false,
        Some(other) => {
            let name = headers::REPEATABLE;
            let detail = format!("header {name}: expected yes, or no for a service, got {other}");
            return Err(bad_request(detail));
        }
    };
    let request = header_value(map, headers::REQUEST_ID)?.unwrap_or_else(new_id);
    Ok(RequestHead {
        request,
        account: account.name.clone(),
        class: class.name.clone(),
        worth,
        started: now,
        deadline: now + deadline,
        is_repeatable,
    })
}

/// The common fields of a completion and a chat request.
struct ModelBody {
    model: Option<String>,
    prompt: String,
    max_tokens: Option<u64>,
    is_stream: bool,
}

fn parse_json<'a, T: serde::Deserialize<'a>>(body: &'a Bytes) -> Result<T, RefusalAnswer> {
    serde_json::from_slice(body).map_err(|error| bad_request(format!("the body: {error}")))
}

fn read_model_body(shape: AnswerShape, body: &Bytes) -> Result<ModelBody, RefusalAnswer> {
    match shape {
        AnswerShape::Text => {
            let CompletionRequest { model, prompt, max_tokens, stream } = parse_json(body)?;
            Ok(ModelBody { model, prompt, max_tokens, is_stream: stream })
        }
        AnswerShape::Chat => {
            let ChatRequest { model, messages, max_tokens, stream } = parse_json(body)?;
            let line = |message: foldhaven_wire::caller::ChatMessage| {
                format!("{}: {}\n", message.role, message.content)
            };
            let prompt = messages.into_iter().map(line).collect();
            Ok(ModelBody { model, prompt, max_tokens, is_stream: stream })
        }
    }
}

/// Parses a request to a model from its headers and body.
pub fn read_model_job(
    shape: AnswerShape,
    map: &HeaderMap,
    body: &Bytes,
    index: &DescriptionIndex,
    new_id: impl FnOnce() -> RequestId,
    now: MonoTime,
) -> Result<ModelJob, RefusalAnswer> {
    let content_type = header_text(map, CONTENT_TYPE.as_str())?.unwrap_or_default();
    if !content_type.starts_with("application/json") {
        let detail = format!("expected application/json, got {content_type:?}");
        return Err(refuse(RefusalReason::ContentType, detail));
    }
    let read = read_model_body(shape, body)?;
    let unknown_model = |got: &str| {
        refuse(RefusalReason::UnknownModel, format!("expected a known model, got {got}"))
    };
    let named = match &read.model {
        Some(name) => Some(name.parse::<ModelName>().map_err(|_| unknown_model(name))?),
        None => None,
    };
    if let Some(name) = named.as_ref().filter(|name| index.model(name).is_none()) {
        return Err(unknown_model(name.as_str()));
    }
    let default = named.as_ref().and_then(|name| index.class_of_model(name));
    let head = read_head(map, index, default, new_id, now)?;
    let class = index.class(&head.class).expect("the class was just read");
    let model = class.model.clone().ok_or_else(|| {
        bad_request(format!("expected a class that runs on a model, got {}", class.name))
    })?;
    if named.is_some_and(|name| name != model) {
        return Err(bad_request(format!("expected model {model} for class {}", class.name)));
    }
    let max_tokens = read.max_tokens.unwrap_or(class.max_output_tokens);
    if max_tokens == 0 || max_tokens > class.max_output_tokens {
        let limit = class.max_output_tokens;
        return Err(bad_request(format!("max_tokens: expected 1 to {limit}, got {max_tokens}")));
    }
    Ok(ModelJob {
        head,
        blocks: block_hashes(model.as_str(), &read.prompt),
        model,
        prompt_tokens: prompt_tokens(&read.prompt),
        prompt: read.prompt,
        max_tokens,
        is_stream: read.is_stream,
        shape,
    })
}
