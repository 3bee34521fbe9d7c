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
const NOTICE_LIMIT: Duration = Duration::from_secs(20);
/// How long requests are sent. Engines are killed soon after the first answer.
const SENT_FOR: Duration = Duration::from_secs(8);
const POLL: Duration = Duration::from_millis(25);

fn ask(number: usize) -> ModelCall {
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
            let engines = |name: &str| name.contains("engine");
            if status.is_some_and(|it| {
                it.upstreams.iter().filter(|it| engines(&it.name)).all(|it| it.holds.is_empty())
            }) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(NOTICE_LIMIT, is_gone).await.expect("the VM detects the loss");
}

/// Guards against a receiver without engines that refused forwarded requests with 403 and
/// `residency`, although its region was permitted.
#[test]
fn a_forwarded_request_is_not_forbidden_for_want_of_an_engine() {
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
    const EACH: Duration = Duration::from_millis(25);
    let caller = CallerClient::new(Duration::ZERO);
    let mut sent = tokio::task::JoinSet::new();
    let mut interval = tokio::time::interval(EACH);
    for number in 0..(span.as_millis() / EACH.as_millis()) as usize {
        interval.tick().await;
        let (caller, served) = (caller.clone(), served.clone());
        sent.spawn(async move {
            let answer = caller.call_model(entry, &ask(number)).await;
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
fn callers_are_not_forbidden_while_engines_are_lost_elsewhere() {
    run(async {
        let mut fleet = small_fleet(1).await;
        let entry = fleet.vms["west-1-vm-1"].settings.addresses.caller;
        kill_engines(&mut fleet, "west-1");
        await_no_engine(&fleet, "west-1-vm-1").await;
        let served = Arc::new(Notify::new());
        let sending = tokio::spawn(send_steadily(entry, SENT_FOR, served.clone()));
        tokio::time::timeout(NOTICE_LIMIT, served.notified())
            .await
            .expect("a request is forwarded");
        kill_engines(&mut fleet, "mid-1");
        kill_engines(&mut fleet, "east-1");
        let answers = sending.await.unwrap();
        assert!(answers.iter().any(CallerAnswer::is_complete), "some requests were forwarded");
        let refused: Vec<&CallerAnswer> = answers.iter().filter(|it| !it.is_complete()).collect();
        assert!(!refused.is_empty(), "the engines are gone");
        for answer in refused {
            assert!(matches!(answer.status, 429 | 502 | 503 | 504), "{answer:?}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
        }
    });
}

/// Guards against a 429 answer, which guarantees that a request has not run, to a request that had
/// been sent to an engine before its deadline passed.
#[test]
fn a_request_that_may_have_run_is_not_answered_with_a_promise() {
    run(async {
        let fleet = small_fleet(1).await;
        let entry = fleet.vms["west-1-vm-1"].settings.addresses.caller;
        for centre in ["west-1", "mid-1", "east-1"] {
            (1..=2).for_each(|number| fleet.freeze(&format!("{centre}-engine-{number}")));
        }
        let deadline = Some(Duration::from_millis(1_200));
        let late = ModelCall { deadline, ..ask(1) };
        let answer = CallerClient::new(Duration::ZERO).call_model(entry, &late).await;
        assert_eq!((answer.status, answer.outcome), (504, RequestOutcome::Unknown), "{answer:?}");
    });
}
