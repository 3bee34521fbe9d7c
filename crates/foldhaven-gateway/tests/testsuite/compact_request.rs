//! Requests in buffers of their own size.

use bytes::Bytes;
use foldhaven_gateway::compact_request::{compact_body, compact_head};
use http::{HeaderValue, Request};
use rstest::rstest;

/// Guards against a target or header that changes when it is copied.
#[rstest]
#[case::path("/lohu930/2f")]
#[case::query("/a%20b/c;d?x=1&&y=%2F")]
#[case::without_path("http://ficu95.example")]
#[case::absolute("http://ficu95.example:8144/a?b")]
#[case::empty_query("/a?")]
#[case::any("*")]
fn a_copied_head_is_the_same(#[case] target: &str) {
    let request = Request::builder()
        .uri(target)
        .header("x-prompt", "5c1e07a2:800,91bd3f06:410")
        .header("x-twice", "one")
        .header("x-twice", "two")
        .header("x-opaque", HeaderValue::from_bytes(b"\xff\tend").unwrap());
    let (before, ()) = request.body(()).unwrap().into_parts();
    let mut head = before.clone();
    compact_head(&mut head);
    assert_eq!((&head.uri, &head.headers), (&before.uri, &before.headers));
    assert_eq!(head.uri.path_and_query(), before.uri.path_and_query());
    let value = |parts: &http::request::Parts| parts.headers["x-prompt"].as_bytes().as_ptr();
    assert_ne!(value(&head), value(&before));
}

/// Guards against a short body that keeps the whole buffer it was read into.
#[test]
fn a_short_body_has_a_buffer_of_its_own() {
    let read = Bytes::from(vec![7; 60_000]);
    let body = compact_body(read.slice(8_000..20_000));
    assert_eq!(body, read.slice(8_000..20_000));
    assert!(!read.as_ptr_range().contains(&body.as_ptr()));
}
