//! Explains where a request would be routed, using the same planner as real requests.

use std::collections::BTreeMap;

use bytes::Bytes;
use foldhaven_core::headers;
use foldhaven_core::refusal::RefusalAnswer;
use foldhaven_wire::operator::ExplainAnswer;
use http::HeaderMap;

use super::origin::ModelRouter;
use super::reply::set_header;
use super::request::{AnswerShape, bad_request, read_model_job};

/// Maximum length of the placeholder prompt for an explanation, in tokens.
const MAX_PROMPT_TOKENS: u64 = 200_000;

/// Plans a request that is described by query fields: `account`, `class`, and optionally
/// `deadline_ms`, `worth`, `prompt_tokens` (default: 256) and `max_tokens`.
pub fn explain(
    router: &ModelRouter,
    query: &BTreeMap<String, String>,
) -> Result<ExplainAnswer, RefusalAnswer> {
    let shared = &router.context.shared;
    let view = shared.view()?;
    let mut map = HeaderMap::new();
    set_header(&mut map, "content-type", "application/json");
    let named = [
        ("account", headers::ACCOUNT),
        ("class", headers::CLASS),
        ("deadline_ms", headers::DEADLINE_MS),
        ("worth", headers::WORTH),
    ];
    for (field, header) in named {
        if let Some(value) = query.get(field) {
            set_header(&mut map, header, value);
        }
    }
    let number = |field: &str| -> Result<Option<u64>, RefusalAnswer> {
        let Some(text) = query.get(field) else { return Ok(None) };
        let parsed = text.parse();
        parsed.map(Some).map_err(|_| bad_request(format!("{field}: expected a number, got {text}")))
    };
    let tokens = number("prompt_tokens")?.unwrap_or(256).min(MAX_PROMPT_TOKENS);
    let prompt = "word".repeat(tokens as usize);
    let body = serde_json::json!({ "prompt": prompt, "max_tokens": number("max_tokens")? });
    let body = Bytes::from(body.to_string());
    let index = &view.route.index;
    let new_id = || shared.new_request_id();
    let job = read_model_job(AnswerShape::Text, &map, &body, index, new_id, shared.now())?;
    let plan = router.plan(&job, &view, true, &[])?;
    Ok(ExplainAnswer {
        vm: shared.settings.vm.clone(),
        data_centre: shared.settings.data_centre.clone(),
        stamp: index.stamp.to_string(),
        plan,
    })
}
