//! Builds HTTP responses: refusals, JSON, event streams and relayed answers.

use bytes::Bytes;
use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::headers;
use foldhaven_core::refusal::RefusalAnswer;
use foldhaven_wire::caller::ErrorBody;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::Serialize;
use warp::Reply;
use warp::reply::Response;

const JSON: &str = "application/json";
const RETRY_AFTER_MS: &str = "retry-after-ms";

/// Returns a response with a body. An invalid status becomes 502.
pub fn body_reply(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(body.into().into());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(response.headers_mut(), CONTENT_TYPE, content_type);
    response
}

/// Returns a response with a JSON body.
pub fn json_reply(status: u16, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("typed answers are JSON");
    body_reply(status, JSON, body)
}

/// Returns the response to a request that was refused or failed.
pub fn refusal_reply(answer: &RefusalAnswer) -> Response {
    error_reply(answer, &ErrorBody::of(answer))
}

/// Returns the response to a request that was refused or failed, with a custom error body.
pub fn error_reply(answer: &RefusalAnswer, body: &ErrorBody) -> Response {
    let mut response = json_reply(answer.status(), body);
    let headers = response.headers_mut();
    set_header(headers, headers::OUTCOME, &answer.outcome.to_string());
    if let Some(span) = answer.retry_after {
        set_header(headers, RETRY_AFTER, &span.as_secs_f64().ceil().to_string());
        set_header(headers, RETRY_AFTER_MS, &span.as_millis().to_string());
    }
    response
}

/// Returns a refusal that confirms to a peer that the attempt was not run and will not be.
pub fn refused_attempt_reply(answer: &RefusalAnswer, attempt: &str) -> Response {
    let mut response = refusal_reply(answer);
    set_header(response.headers_mut(), headers::REFUSED_ATTEMPT, attempt);
    response
}

/// Returns a whole answer of a service or peer with its status, content type and body.
pub fn relay_reply(
    status: u16,
    from: &HeaderMap,
    body: Bytes,
    outcome: RequestOutcome,
    served_by: &str,
) -> Response {
    let mut response = body_reply(status, "application/octet-stream", body);
    let headers = response.headers_mut();
    if let Some(content_type) = from.get(CONTENT_TYPE) {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    set_header(headers, headers::OUTCOME, &outcome.to_string());
    set_header(headers, headers::SERVED_BY, served_by);
    response
}

/// Returns a streamed response of server-sent events.
pub fn event_stream_reply<S>(stream: S) -> Response
where
    S: futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
{
    let mut response = warp::reply::stream(stream).into_response();
    set_header(response.headers_mut(), CONTENT_TYPE, "text/event-stream");
    response
}

/// Sets a header. Skips a name or value that HTTP does not permit.
pub fn set_header<N>(headers: &mut HeaderMap, name: N, value: &str)
where
    N: TryInto<HeaderName>,
{
    if let (Ok(name), Ok(value)) = (name.try_into(), HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}
