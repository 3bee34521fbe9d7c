//! A temporary lack of engines never gets a final refusal, which tells the caller not to retry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::attempt::RequestOutcome;
use foldhaven_core::headers;
use foldhaven_testkit::caller::{CallerAnswer, CallerClient, ModelCall};
use foldhaven_testkit::fleet::Fleet;
use tokio::sync::Notify;

use crate::{run, small_fleet};

/// Maximum time until a VM detects that its engines are gone, or until the first answer.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(20);
/// How long requests are sent. Engines are killed soon after the first answer.
const SEND_DURATION: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

fn make_call(number: usize) -> ModelCall {
    ModelCall {
        account: "west-bar".to_owned(),
        class: "digest".to_owned(),
        request: format!("ask-{number}"),
        prompt: format!("case file {number}"),
        max_tokens: 20,
        stream: false,
        chat: false,
        deadline: None,
        worth: None,
    }
}

fn kill_engines(fleet: &mut Fleet, centre: &str) {
    (1..=2).for_each(|number| fleet.kill(&format!("{centre}-engine-{number}")));
}

/// Waits until a VM knows of no engine with a loaded model.
async fn await_no_engine(fleet: &Fleet, vm: &str) {
    let is_gone = async {
        loop {
            let status = fleet.status(vm).await;
            let is_engine = |name: &str| name.contains("engine");
            if status.is_some_and(|it| {
                it.upstreams.iter().filter(|it| is_engine(&it.name)).all(|it| it.holds.is_empty())
            }) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(DETECTION_TIMEOUT, is_gone).await.expect("the VM detects the loss");
}

/// Guards against a receiver without engines that refused forwarded requests with 403 and
/// `residency`, although its region was permitted.
#[test]
fn a_forwarded_request_is_not_forbidden_when_no_engine_is_available() {
    run(async {
        let mut fleet = small_fleet(1).await;
        kill_engines(&mut fleet, "west-1");
        await_no_engine(&fleet, "west-1-vm-1").await;
        let stamp = fleet.status("west-1-vm-1").await.unwrap().stamp.unwrap();
        let peer = fleet.vms["west-1-vm-1"].settings.addresses.peer;
        let request = fleet
            .client
            .post(format!("http://{peer}/peer/v1/completions"))
            .header("content-type", "application/json")
            .header(headers::ACCOUNT, "mid-bar")
            .header(headers::CLASS, "digest")
            .header(headers::DEADLINE_MS, "4000")
            .header(headers::REQUEST_ID, "r1")
            .header(headers::ATTEMPT_ID, "r1@mid-1-vm-1.1.1")
            .header(headers::VISITED, "mid-1")
            .header(headers::STAMP, stamp)
            .body(r#"{"prompt":"p","max_tokens":5}"#);
        let response = request.send().await.unwrap();
        let status = response.status().as_u16();
        assert!(response.headers().contains_key(headers::REFUSED_ATTEMPT));
        let body = response.text().await.unwrap();
        assert_eq!(status, 503, "{body}");
        assert!(body.contains("\"code\":\"no_upstream\""), "{body}");
        assert!(body.contains("retry_after_ms"), "{body}");
    });
}

/// Sends requests at a steady rate for `span`. Notifies `served` of each complete answer.
async fn send_steadily(
    entry: SocketAddr,
    span: Duration,
    served: Arc<Notify>,
) -> Vec<CallerAnswer> {
    const SEND_INTERVAL: Duration = Duration::from_millis(25);
    let caller = CallerClient::new(Duration::ZERO);
    let mut sent = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(SEND_INTERVAL);
    for number in 0..(span.as_millis() / SEND_INTERVAL.as_millis()) as usize {
        interval.tick().await;
        let (caller, served) = (caller.clone(), served.clone());
        sent.spawn(async move {
            let answer = caller.call_model(entry, &make_call(number)).await;
            if answer.is_complete() {
                served.notify_one();
            }
            answer
        });
    }
    sent.join_all().await
}

/// Guards against callers being refused with `residency` when the data centre to which a request
/// was forwarded had just lost its engines.
#[test]
fn callers_are_not_forbidden_when_other_data_centres_lose_engines() {
    run(async {
        let mut fleet = small_fleet(1).await;
        let entry = fleet.vms["west-1-vm-1"].settings.addresses.caller;
        kill_engines(&mut fleet, "west-1");
        await_no_engine(&fleet, "west-1-vm-1").await;
        let served = Arc::new(Notify::new());
        let sender = tokio::spawn(send_steadily(entry, SEND_DURATION, served.clone()));
        tokio::time::timeout(DETECTION_TIMEOUT, served.notified())
            .await
            .expect("a request is forwarded");
        kill_engines(&mut fleet, "mid-1");
        kill_engines(&mut fleet, "east-1");
        let answers = sender.await.unwrap();
        assert!(answers.iter().any(CallerAnswer::is_complete), "some requests were forwarded");
        let refusals: Vec<&CallerAnswer> = answers.iter().filter(|it| !it.is_complete()).collect();
        assert!(!refusals.is_empty(), "the engines are gone");
        for answer in refusals {
            assert!(matches!(answer.status, 429 | 502 | 503 | 504), "{answer:?}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
        }
    });
}

/// Guards against a 429 answer, which guarantees that a request has not run, to a request that had
/// been sent to an engine before its deadline passed.
#[test]
fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    run(async {
        let fleet = small_fleet(1).await;
        let entry = fleet.vms["west-1-vm-1"].settings.addresses.caller;
        for centre in ["west-1", "mid-1", "east-1"] {
            (1..=2).for_each(|number| fleet.freeze(&format!("{centre}-engine-{number}")));
        }
        let deadline = Some(Duration::from_millis(1_200));
        let late_call = ModelCall { deadline, ..make_call(1) };
        let answer = CallerClient::new(Duration::ZERO).call_model(entry, &late_call).await;
        assert_eq!((answer.status, answer.outcome), (504, RequestOutcome::Unknown), "{answer:?}");
    });
}
