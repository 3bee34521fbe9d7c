//! Requests forwarded between daemons, with missing, forged or outdated headers.

use foldhaven_core::headers;

use crate::{run, small_fleet};

/// Returns the headers of a valid request forwarded from `mid-1` to `west-1`.
fn valid_headers(stamp: &str) -> Vec<(&'static str, String)> {
    vec![
        ("content-type", "application/json".to_owned()),
        (headers::ACCOUNT, "mid-bar".to_owned()),
        (headers::CLASS, "digest".to_owned()),
        (headers::DEADLINE_MS, "4000".to_owned()),
        (headers::REQUEST_ID, "r1".to_owned()),
        (headers::ATTEMPT_ID, "r1@mid-1-vm-1.1.1".to_owned()),
        (headers::VISITED, "mid-1".to_owned()),
        (headers::STAMP, stamp.to_owned()),
    ]
}

/// Header, its value (`None` to omit it) and the error code of the refusal.
const CASES: [(&str, Option<&str>, &str); 11] = [
    (headers::VISITED, None, "forward_path"),
    (headers::VISITED, Some(""), "forward_path"),
    (headers::VISITED, Some("west-1"), "forward_path"),
    (headers::VISITED, Some("mid-1,east-1"), "forward_path"),
    (headers::STAMP, None, "forward_path"),
    (headers::STAMP, Some("7"), "bad_request"),
    (headers::STAMP, Some("99-00000000000000000000000000000000"), "forward_path"),
    (headers::ATTEMPT_ID, None, "forward_path"),
    (headers::DEADLINE_MS, None, "forward_path"),
    (headers::ACCOUNT, None, "forward_path"),
    (headers::ACCOUNT, Some("mid-bound"), "residency"),
];

#[test]
fn a_forwarded_request_with_invalid_headers_is_refused_and_never_run() {
    run(async {
        let fleet = small_fleet(1).await;
        let status = fleet.status("west-1-vm-1").await.unwrap();
        let stamp = status.stamp.unwrap();
        let peer = fleet.vms["west-1-vm-1"].settings.addresses.peer;
        let send = async |header_map: Vec<(&'static str, String)>| {
            let mut request = fleet.client.post(format!("http://{peer}/peer/v1/completions"));
            for (name, value) in header_map {
                request = request.header(name, value);
            }
            let response = request.body(r#"{"prompt":"p","max_tokens":5}"#).send().await.unwrap();
            let is_refused = response.headers().contains_key(headers::REFUSED_ATTEMPT);
            (response.status().as_u16(), is_refused, response.text().await.unwrap())
        };
        for (name, value, code) in CASES {
            let mut header_map = valid_headers(&stamp);
            header_map.retain(|(it, _)| *it != name);
            if let Some(value) = value {
                header_map.push((name, value.to_owned()));
            }
            let (status, is_refused, body) = send(header_map).await;
            assert!(
                body.contains(&format!("\"code\":\"{code}\"")),
                "{name} {value:?}: {status} {body}"
            );
            assert!(
                is_refused || name == headers::ATTEMPT_ID,
                "{name}: the refusal does not name the attempt"
            );
        }
        assert!(fleet.ledger().iter().all(|line| line.request != "r1"), "a refused request ran");
        let (status, _, body) = send(valid_headers(&stamp)).await;
        assert_eq!(status, 200, "{body}");
        assert!(body.trim_end().ends_with("[DONE]"));
    });
}
