//! A small description and values that the tests share.

use std::sync::Arc;

use foldhaven_core::description::{Description, DescriptionIndex, parse_description};
use foldhaven_core::load::{EngineLoad, EngineView, HeldModel, OrderFence};
use foldhaven_core::time::MonoTime;

/// The text of a small description with two regions.
pub const TEXT: &str = r#"name: small
generation: 3
regions:
  - { name: north, data_centres: [north-1, north-2] }
  - { name: south, data_centres: [south-1], price: 0.5 }
models:
  - { name: writer, version: "2", prefill: 10000tok/s, decode: 100tok/s, slots: 4 }
deployments:
  - { model: writer, data_centre: north-1, engines: 2 }
  - { model: writer, data_centre: south-1, engines: 1 }
services:
  - name: registry
residency:
  - { name: open, regions: [north, south] }
  - { name: bound, home: true }
classes:
  - name: digest
    kind: model
    model: writer
    deadline: 5s
    worth: 10
    residency: open
    max_output_tokens: 100
  - { name: notice, kind: service, service: registry, deadline: 2s, worth: 1, residency: open, repeatable: false }
accounts:
  - { name: bar, home: north }
  - { name: sealed, home: north, residency: bound }
"#;

pub fn description() -> Description {
    parse_description("small.yaml", TEXT).expect("the description is valid")
}

pub fn index() -> Arc<DescriptionIndex> {
    DescriptionIndex::new(description())
}

/// Returns the view of an engine that holds the model `writer`, with `busy` requests and
/// `backlog_ms` milliseconds of remaining work.
pub fn engine(name: &str, busy: u32, backlog_ms: u32) -> EngineView {
    let held = HeldModel { model: "writer".parse().unwrap(), version: "2".to_owned(), ready: true };
    let load = EngineLoad {
        engine: name.parse().unwrap(),
        incarnation: 1,
        age_ms: 0,
        running: busy.min(4),
        queued: busy.saturating_sub(4),
        backlog_ms,
        slots: 4,
        models: vec![held],
        fence: OrderFence::default(),
        leaving: false,
    };
    EngineView { load, observed: now() }
}

pub fn now() -> MonoTime {
    MonoTime::from_millis(100_000)
}
