//! Errors that callers get: each invalid request and each engine fault gets its typed error, and
//! the daemon keeps serving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_testkit::caller::{CallerClient, ModelCall, ServiceCall, engine_prompt};
use foldhaven_testkit::stand_in::engine::complete_answer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::{run, small_fleet};

/// An invalid request, or one that requests an engine fault, and the status, error code and outcome
/// that it must get.
struct FaultCase {
    name: &'static str,
    path: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    expected: (u16, &'static str, &'static str),
}

fn make_case(
    name: &'static str,
    change: impl FnOnce(&mut FaultCase),
    expected: (u16, &'static str, &'static str),
) -> FaultCase {
    let headers = vec![
        ("content-type", "application/json".to_owned()),
        ("foldhaven-account", "west-bar".to_owned()),
        ("foldhaven-class", "digest".to_owned()),
    ];
    let body = r#"{"prompt":"text","max_tokens":10}"#.to_owned();
    let mut case = FaultCase { name, path: "/v1/completions", headers, body, expected };
    change(&mut case);
    case
}

impl FaultCase {
    fn set_header(&mut self, name: &'static str, value: impl Into<String>) {
        self.headers.retain(|(it, _)| *it != name);
        self.headers.push((name, value.into()));
    }

    fn remove_header(&mut self, name: &'static str) {
        self.headers.retain(|(it, _)| *it != name);
    }
}

fn fault_cases() -> Vec<FaultCase> {
    let bad = (400, "bad_request", "not_run");
    vec![
        make_case(
            "no account",
            |it| it.remove_header("foldhaven-account"),
            (401, "unknown_account", "not_run"),
        ),
        make_case(
            "account",
            |it| it.set_header("foldhaven-account", "x"),
            (401, "unknown_account", "not_run"),
        ),
        make_case(
            "class",
            |it| it.set_header("foldhaven-class", "x"),
            (404, "unknown_class", "not_run"),
        ),
        make_case(
            "model",
            |it| it.body = r#"{"model":"x","prompt":"p"}"#.into(),
            (404, "unknown_model", "not_run"),
        ),
        make_case("class of a service", |it| it.set_header("foldhaven-class", "listing"), bad),
        make_case("zero deadline", |it| it.set_header("foldhaven-deadline-ms", "0"), bad),
        make_case("huge deadline", |it| it.set_header("foldhaven-deadline-ms", "99999999999"), bad),
        make_case("deadline in words", |it| it.set_header("foldhaven-deadline-ms", "soon"), bad),
        make_case("negative worth", |it| it.set_header("foldhaven-worth", "-1"), bad),
        make_case("worth that is no number", |it| it.set_header("foldhaven-worth", "NaN"), bad),
        make_case("long id", |it| it.set_header("foldhaven-request-id", "x".repeat(200)), bad),
        make_case("id with a path", |it| it.set_header("foldhaven-request-id", "../x"), bad),
        make_case(
            "model marked not repeatable",
            |it| it.set_header("foldhaven-repeatable", "no"),
            bad,
        ),
        make_case("repeatable in words", |it| it.set_header("foldhaven-repeatable", "maybe"), bad),
        make_case(
            "content type",
            |it| it.set_header("content-type", "text/plain"),
            (415, "content_type", "not_run"),
        ),
        make_case(
            "no content type",
            |it| it.remove_header("content-type"),
            (415, "content_type", "not_run"),
        ),
        make_case("no JSON", |it| it.body = "{".into(), bad),
        make_case("no prompt", |it| it.body = "{}".into(), bad),
        make_case("empty prompt", |it| it.body = r#"{"prompt":""}"#.into(), bad),
        make_case(
            "too many tokens",
            |it| it.body = r#"{"prompt":"p","max_tokens":9999}"#.into(),
            bad,
        ),
        make_case("no tokens", |it| it.body = r#"{"prompt":"p","max_tokens":0}"#.into(), bad),
        make_case(
            "oversize body",
            |it| it.body = "x".repeat(300 << 10),
            (413, "body_too_large", "not_run"),
        ),
        make_case("unknown path", |it| it.path = "/v2/none", (404, "unknown_path", "not_run")),
        make_case(
            "unknown service",
            |it| it.path = "/service/none/x",
            (404, "unknown_service", "not_run"),
        ),
        make_case(
            "late before it starts",
            |it| it.set_header("foldhaven-deadline-ms", "20"),
            (429, "deadline", "not_run"),
        ),
        make_case(
            "ticketless",
            |it| {
                it.path = "/service/registry/ok";
                it.set_header("foldhaven-class", "notice");
            },
            (428, "ticket_required", "not_run"),
        ),
        make_case(
            "forged ticket",
            |it| {
                it.path = "/service/registry/ok";
                it.set_header("foldhaven-class", "notice");
                it.set_header("foldhaven-ticket", "not-a-ticket");
            },
            (409, "ticket_invalid", "not_run"),
        ),
        make_case(
            "engine: garbage",
            |it| it.body = fault_body("garbage"),
            (502, "upstream_failed", "unknown"),
        ),
        make_case(
            "engine: another's answer",
            |it| it.body = fault_body("other-request"),
            (502, "upstream_failed", "unknown"),
        ),
        make_case(
            "engine: a gap",
            |it| it.body = fault_body("gap"),
            (502, "upstream_failed", "unknown"),
        ),
        make_case(
            "engine: early end",
            |it| it.body = fault_body("early-end"),
            (502, "upstream_failed", "unknown"),
        ),
        make_case(
            "engine: no end",
            |it| it.body = fault_body("no-end"),
            (502, "upstream_failed", "unknown"),
        ),
    ]
}

fn fault_body(fault: &str) -> String {
    format!(r#"{{"prompt":"[fault:{fault}]","max_tokens":10}}"#)
}

async fn send(
    client: &reqwest::Client,
    entry: SocketAddr,
    case: &FaultCase,
) -> (u16, String, String) {
    let mut request = client.post(format!("http://{entry}{}", case.path)).body(case.body.clone());
    for (name, value) in &case.headers {
        request = request.header(*name, value);
    }
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let outcome_header = response.headers().get("foldhaven-outcome").cloned();
    let body: serde_json::Value = response.json().await.unwrap_or_default();
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    let outcome = text(&body["error"]["outcome"]);
    assert_eq!(
        outcome_header.map(|it| it.to_str().unwrap().to_owned()),
        Some(outcome.clone()),
        "{}",
        case.name
    );
    assert!(!text(&body["error"]["message"]).is_empty(), "{}", case.name);
    (status, text(&body["error"]["code"]), outcome)
}

fn valid_call(request: &str) -> ModelCall {
    ModelCall {
        account: "west-bar".to_owned(),
        class: "digest".to_owned(),
        request: request.to_owned(),
        prompt: format!("a prompt of {request}"),
        max_tokens: 20,
        stream: request.len().is_multiple_of(2),
        chat: true,
        deadline: None,
        worth: None,
    }
}

#[test]
fn every_caller_or_engine_fault_gets_its_typed_error() {
    run(async {
        let fleet = small_fleet(1).await;
        let entry = fleet.vms["west-1-vm-1"].settings.addresses.caller;
        let mut mismatches = Vec::new();
        for case in fault_cases() {
            let (status, code, outcome) = send(&fleet.client, entry, &case).await;
            if (status, code.as_str(), outcome.as_str()) != case.expected {
                mismatches.push(format!("{}: {status} {code} {outcome}", case.name));
            }
        }
        assert!(mismatches.is_empty(), "{mismatches:#?}");
        check_truncated_and_stalled_bodies(entry).await;
        check_still_serving(entry).await;
        check_answers_match_requests(entry).await;
    });
}

/// A truncated or stalled request body ends the request and does not keep the connection open
/// forever.
async fn check_truncated_and_stalled_bodies(entry: SocketAddr) {
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
                foldhaven-account: west-bar\r\nfoldhaven-class: digest\r\ncontent-length: 100\r\n\r\n";
    let mut truncated = TcpStream::connect(entry).await.unwrap();
    truncated.write_all(format!("{head}{{\"prompt\"").as_bytes()).await.unwrap();
    truncated.shutdown().await.unwrap();
    let mut answer = String::new();
    let _ = truncated.read_to_string(&mut answer).await;
    assert!(answer.is_empty() || answer.contains("400"), "{answer}");
    let mut slow = TcpStream::connect(entry).await.unwrap();
    slow.write_all(format!("{head}{{").as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let length = tokio::time::timeout(Duration::from_secs(10), slow.read(&mut answer)).await;
    let text = String::from_utf8_lossy(&answer[..length.unwrap().unwrap()]).into_owned();
    assert!(text.contains("408") && text.contains("body_too_slow"), "{text}");
}

async fn check_still_serving(entry: SocketAddr) {
    let caller = CallerClient::new(Duration::ZERO);
    let call = valid_call("after-all-faults");
    let answer = caller.call_model(entry, &call).await;
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, complete_answer(&engine_prompt(&call), call.max_tokens));
}

/// Of 1,000 concurrent requests, each gets its own complete answer or a refusal, and at least 990
/// get an answer.
async fn check_answers_match_requests(entry: SocketAddr) {
    let caller = CallerClient::new(Duration::ZERO);
    let calls = (0..1_000).map(|number| ServiceCall {
        account: "west-bar".to_owned(),
        class: "listing".to_owned(),
        request: format!("own-{number}"),
        path: "registry/ok".to_owned(),
        body: format!("body {number}"),
        ticket: None,
        deadline: Some(Duration::from_secs(20)),
    });
    let sends = calls.map(|call| {
        let caller = caller.clone();
        async move { (call.clone(), caller.call_service(entry, &call).await) }
    });
    let answers = futures::future::join_all(sends).await;
    for (call, answer) in &answers {
        if answer.is_complete() {
            assert_eq!(answer.text, format!("{}:{}", call.request, call.body));
        }
    }
    let complete = answers.iter().filter(|(_, answer)| answer.is_complete()).count();
    assert!(complete >= 990, "{complete} of 1000 complete");
}

#[test]
fn a_refusal_is_immediate_and_has_a_retry_delay() {
    run(async {
        let fleet = small_fleet(1).await;
        let entry = fleet.vms["west-1-vm-1"].settings.addresses.caller;
        let caller = CallerClient::new(Duration::ZERO);
        let deadline = Some(Duration::from_millis(150));
        let call = ModelCall { deadline, max_tokens: 120, ..valid_call("cannot-be-on-time") };
        let started = Instant::now();
        let answer = caller.call_model(entry, &call).await;
        assert_eq!((answer.status, answer.outcome), (429, RequestOutcome::NotRun));
        assert!(answer.retry_after.is_some());
        // The limit is the deadline: the refusal must not be delayed until then.
        assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
        assert!(fleet.ledger().iter().all(|line| line.request != call.request));
    });
}
