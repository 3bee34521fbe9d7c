//! Measures the latency that the gateway adds to a direct call to the same engine.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use foldhaven_core::description::Description;
use foldhaven_core::headers;
use foldhaven_wire::engine::EngineRequest;
use foldhaven_wire::platform::UpstreamKind;
use futures::StreamExt;
use serde::Serialize;

use super::load::percentiles;
use crate::caller::{CallerClient, ModelCall};
use crate::fleet::{Fleet, FleetOptions};

const ROUNDS: usize = 5;
/// Calls of one round for each request in flight, at least [`MIN_CALLS`].
const CALLS_PER_IN_FLIGHT: usize = 20;
const MIN_CALLS: usize = 100;
const TOKENS: u64 = 4;

/// Latencies with and without the gateway. Times are in milliseconds: median, 95th and 99th
/// percentile.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadRow {
    /// Number of requests in flight.
    pub in_flight: usize,
    /// Time to the first token of direct calls.
    pub direct_first_ms: [f64; 3],
    /// Time to the first token through the gateway.
    pub gateway_first_ms: [f64; 3],
    /// Time to the complete answer of direct calls.
    pub direct_whole_ms: [f64; 3],
    /// Time to the complete answer through the gateway.
    pub gateway_whole_ms: [f64; 3],
    /// Difference between gateway and direct calls in the time to the complete answer, at the
    /// median and the 99th percentile.
    pub added_ms: [f64; 2],
    /// Ratio of gateway to direct calls in the time to the complete answer, at the median and the
    /// 99th percentile.
    pub ratio: [f64; 2],
}

/// Measures with 1 and with 64 requests in flight, alternating direct and gateway rounds.
///
/// # Errors
///
/// Fails if the fleet can't be started.
pub async fn measure_overhead(
    program: PathBuf,
    mut description: Description,
) -> io::Result<Vec<OverheadRow>> {
    // One engine with slots for all requests: none waits, and both paths use the same engine.
    for model in &mut description.models {
        model.slots = 256;
    }
    for deployment in &mut description.deployments {
        deployment.engines = 1;
    }
    description.network.caller.0 = Duration::ZERO;
    let options =
        FleetOptions { vms: 1, relay: false, log: "warn".to_owned(), ..FleetOptions::default() };
    let fleet = Fleet::start(program, description, options).await?;
    let mut rows = Vec::new();
    for in_flight in [1, 64] {
        let (mut direct, mut gateway) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            direct.extend(run_round(&fleet, in_flight, true).await);
            gateway.extend(run_round(&fleet, in_flight, false).await);
        }
        rows.push(compare(in_flight, &direct, &gateway));
    }
    Ok(rows)
}

type CallTimes = (Duration, Duration);

async fn run_round(fleet: &Fleet, in_flight: usize, is_direct: bool) -> Vec<CallTimes> {
    let caller = CallerClient::new(Duration::ZERO);
    let vm = fleet.vms.values().next().expect("the fleet has a VM");
    let entry = vm.settings.addresses.caller;
    let centre = &vm.settings.data_centre;
    let engine = fleet
        .upstreams
        .iter()
        .find(|it| it.kind == UpstreamKind::Engine && it.data_centre == *centre)
        .expect("the data centre has an engine")
        .address;
    let account = fleet.description.accounts[0].name.to_string();
    let class = fleet.description.classes[0].clone();
    let model = class.model.as_ref().map(|model| model.to_string()).unwrap_or_default();
    let count = MIN_CALLS.max(CALLS_PER_IN_FLIGHT * in_flight);
    let calls = (0..count).map(|number| {
        let (client, caller) = (fleet.client.clone(), caller.clone());
        let (account, class, model) = (account.clone(), class.name.to_string(), model.clone());
        let prompt = format!("prompt {number}");
        async move {
            if is_direct {
                return call_engine(&client, engine, model, prompt, number).await;
            }
            let ask = ModelCall {
                account,
                class,
                request: format!("r{number}"),
                prompt,
                max_tokens: TOKENS,
                stream: true,
                chat: false,
                deadline: None,
                worth: None,
            };
            let answer = caller.call_model(entry, &ask).await;
            Some((answer.time_to_first?, answer.total_time))
        }
    });
    let done = futures::stream::iter(calls).buffer_unordered(in_flight);
    done.filter_map(|times| async move { times }).collect().await
}

async fn call_engine(
    client: &reqwest::Client,
    engine: SocketAddr,
    model: String,
    prompt: String,
    number: usize,
) -> Option<CallTimes> {
    let started = Instant::now();
    let body = EngineRequest { model, prompt, max_tokens: TOKENS, stream: true };
    let request = client
        .post(format!("http://{engine}/v1/completions"))
        .header(headers::REQUEST_ID, format!("r{number}"))
        .header(headers::ATTEMPT_ID, format!("r{number}@direct.1.{number}"))
        .json(&body);
    let mut response = request.send().await.ok()?;
    response.chunk().await.ok()??;
    let first = started.elapsed();
    while response.chunk().await.ok()?.is_some() {}
    Some((first, started.elapsed()))
}

fn compare(in_flight: usize, direct: &[CallTimes], gateway: &[CallTimes]) -> OverheadRow {
    let first = |times: &[CallTimes]| percentiles(times.iter().map(|times| times.0));
    let whole = |times: &[CallTimes]| percentiles(times.iter().map(|times| times.1));
    let (direct_whole, gateway_whole) = (whole(direct), whole(gateway));
    let pair =
        |make: &dyn Fn(f64, f64) -> f64| [0, 2].map(|at| make(gateway_whole[at], direct_whole[at]));
    OverheadRow {
        in_flight,
        direct_first_ms: first(direct),
        gateway_first_ms: first(gateway),
        direct_whole_ms: direct_whole,
        gateway_whole_ms: gateway_whole,
        added_ms: pair(&|gateway, direct| gateway - direct),
        ratio: pair(&|gateway, direct| gateway / direct),
    }
}
