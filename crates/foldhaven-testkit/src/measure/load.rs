//! Open-loop load: arrival times are fixed in advance, and latencies count from the time at which a
//! request was due.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhaven_core::description::Description;
use foldhaven_core::policy::PolicyKind;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;

use super::profile::{PlannedRequest, ProfileKind, draw_requests};
use crate::caller::{CallerAnswer, CallerClient, ModelCall};
use crate::fleet::{Fleet, FleetOptions};
use crate::relay::LinkEnds;
use crate::stand_in::ledger::{LedgerEvent, LedgerLine};

/// Number of entry VMs per data centre.
const VMS: usize = 2;
/// Share of a run before its fault.
const FAULT_START_SHARE: f64 = 0.33;

/// The settings of one measured run.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// Name of the user whose deployment is measured.
    pub user: String,
    /// Description of the deployment.
    pub description: Description,
    /// Load profile and fault of the run.
    pub kind: ProfileKind,
    /// Routing policy.
    pub policy: PolicyKind,
    /// Name under which the policy is shown.
    pub label: String,
    /// The testkit binary that the fleet's processes run.
    pub program: PathBuf,
    /// Length of the run.
    pub length: Duration,
    /// Seed of the random requests.
    pub seed: u64,
}

/// The results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// Name of the user.
    pub user: String,
    /// Name of the load profile.
    pub profile: &'static str,
    /// Label of the policy.
    pub policy: String,
    /// Number of requests that were due.
    pub requests: usize,
    /// Share of the total worth of all requests that was answered completely and on time.
    #[serde(rename = "on_time_worth")]
    pub on_time_share: f64,
    /// Time to the first token of complete answers, in milliseconds: median, 95th and 99th
    /// percentile.
    pub first_ms: [f64; 3],
    /// Time to the complete answer, in milliseconds: median, 95th and 99th percentile.
    #[serde(rename = "whole_ms")]
    pub complete_ms: [f64; 3],
    /// Share of complete requests that were served outside their home region.
    #[serde(rename = "away")]
    pub remote_share: f64,
    /// Slot seconds per complete request, weighted by the price of their region.
    pub cost: f64,
    /// Number of incomplete requests by error code; the code is empty if there was none.
    pub refusals: BTreeMap<String, usize>,
    /// Moving spread of the time estimates, as a mean over the VMs.
    pub estimate_error: f64,
    /// Worth answered on time per second: before, during and after the fault.
    pub goodput: [f64; 3],
    /// Seconds from the end of the fault until goodput was back at 95% of its value before; `None`
    /// if it didn't recover.
    pub recovered_s: Option<f64>,
}

struct CompletedRequest {
    request: PlannedRequest,
    answer: CallerAnswer,
    first: Option<Duration>,
    whole: Duration,
}

impl CompletedRequest {
    fn is_on_time(&self) -> bool {
        self.answer.is_complete() && self.whole <= self.request.class.deadline.0
    }
}

/// Runs one profile under one policy on a new fleet.
///
/// # Errors
///
/// Fails if the fleet can't be started.
pub async fn measure_run(spec: &RunSpec) -> io::Result<RunResult> {
    let options = FleetOptions {
        vms: VMS,
        policy: spec.policy,
        cache_blocks: 1_200,
        log: "warn".to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(spec.program.clone(), spec.description.clone(), options).await?;
    let requests = draw_requests(&spec.description, spec.kind, spec.length, spec.seed);
    let running =
        tokio::spawn(send_requests(Arc::new(caller_addresses(&fleet)), requests, spec.clone()));
    inject_fault(&mut fleet, spec).await;
    let done = running.await.map_err(io::Error::other)?;
    let error = estimate_error(&fleet).await;
    Ok(summarize(spec, &done, &fleet.ledger(), error))
}

/// Returns the addresses of each region's VMs that callers use.
fn caller_addresses(fleet: &Fleet) -> BTreeMap<String, Vec<SocketAddr>> {
    let mut table: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for vm in fleet.vms.values() {
        table.entry(vm.region.clone()).or_default().push(vm.settings.addresses.caller);
    }
    table
}

async fn send_requests(
    entry_vms: Arc<BTreeMap<String, Vec<SocketAddr>>>,
    requests: Vec<PlannedRequest>,
    spec: RunSpec,
) -> Vec<CompletedRequest> {
    let caller = CallerClient::new(spec.description.network.caller.0);
    let started = Instant::now();
    let mut sends = JoinSet::new();
    for (number, request) in requests.into_iter().enumerate() {
        tokio::time::sleep_until((started + request.due).into()).await;
        let (caller, entry_vms, kind) = (caller.clone(), entry_vms.clone(), spec.kind);
        sends.spawn(async move {
            let home = &entry_vms[&request.home];
            send_request(&caller, home, request, number, started, kind.max_retries()).await
        });
    }
    sends.join_all().await
}

async fn send_request(
    caller: &CallerClient,
    entry_vms: &[SocketAddr],
    request: PlannedRequest,
    number: usize,
    started: Instant,
    max_retries: usize,
) -> CompletedRequest {
    let due = started + request.due;
    let mut attempt = 0;
    loop {
        let left = request.class.deadline.0.saturating_sub(due.elapsed());
        let model_request = ModelCall {
            account: request.account.clone(),
            class: request.class.name.to_string(),
            request: format!("ask-{number}-{attempt}"),
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            stream: true,
            chat: false,
            deadline: Some(left.max(Duration::from_millis(1))),
            worth: None,
        };
        let before = due.elapsed();
        let entry = entry_vms[(number + attempt) % entry_vms.len()];
        let answer = caller.call_model(entry, &model_request).await;
        let is_final = answer.is_complete() || attempt >= max_retries || left.is_zero();
        if is_final {
            let first = answer.time_to_first.map(|first| before + first);
            let whole = before + answer.total_time;
            return CompletedRequest { request, answer, first, whole };
        }
        attempt += 1;
    }
}

/// Injects the fault of a profile after a third of the run. Partitions and pauses are ended again.
async fn inject_fault(fleet: &mut Fleet, spec: &RunSpec) {
    let third = spec.length.mul_f64(FAULT_START_SHARE);
    let region = spec.description.regions[0].name.to_string();
    let centre = &spec.description.regions[0].data_centres[0];
    tokio::time::sleep(third).await;
    match spec.kind {
        ProfileKind::CapacityLoss => {
            let here = fleet.upstreams.iter().filter(|entry| entry.data_centre == *centre);
            let engines: Vec<String> = here
                .map(|entry| entry.name.to_string())
                .filter(|name| name.contains("engine"))
                .collect();
            for name in engines.iter().take(engines.len() / 2) {
                fleet.kill(name);
            }
        }
        ProfileKind::Partition => {
            let inside: Vec<String> = fleet
                .vms
                .iter()
                .filter(|(_, vm)| vm.region == region)
                .map(|(name, _)| name.clone())
                .collect();
            let crosses = |ends: &LinkEnds| {
                let is_inside = |name: &String| inside.contains(name);
                let is_vm = |name: &String| fleet.vms.contains_key(name);
                (is_inside(&ends.from) != is_inside(&ends.to)) && is_vm(&ends.to)
            };
            fleet.relay.change(crosses, |_, state| {
                (state.is_forward_cut, state.is_backward_cut) = (true, true);
            });
            tokio::time::sleep(third).await;
            fleet.relay.change(crosses, |_, state| {
                (state.is_forward_cut, state.is_backward_cut) = (false, false);
            });
        }
        ProfileKind::Pause => {
            let name = fleet.vms.keys().next().cloned().unwrap_or_default();
            fleet.freeze(&name);
            tokio::time::sleep(spec.length / 5).await;
            fleet.thaw(&name);
        }
        _ => {}
    }
}

async fn estimate_error(fleet: &Fleet) -> f64 {
    let mut errors = Vec::new();
    for vm in fleet.vms.values() {
        let url = format!("http://{}/metrics", vm.settings.addresses.peer);
        let Ok(response) = fleet.client.get(url).send().await else { continue };
        let page = response.text().await.unwrap_or_default();
        let value =
            page.lines().find_map(|line| line.strip_prefix("foldhaven_estimate_error_ratio "));
        errors.extend(value.and_then(|value| value.trim().parse::<f64>().ok()));
    }
    errors.iter().sum::<f64>() / errors.len().max(1) as f64
}

fn summarize(
    spec: &RunSpec,
    done: &[CompletedRequest],
    ledger: &[LedgerLine],
    error: f64,
) -> RunResult {
    let worth = |done: &CompletedRequest| done.request.class.worth;
    let all: f64 = done.iter().map(worth).sum();
    let on_time: f64 = done.iter().filter(|done| done.is_on_time()).map(worth).sum();
    let complete: Vec<&CompletedRequest> =
        done.iter().filter(|done| done.answer.is_complete()).collect();
    let region = |centre: &str| {
        let regions = spec.description.regions.iter();
        let mut holds = regions.filter(|it| it.data_centres.iter().any(|dc| dc.as_str() == centre));
        holds.next().map(|region| (region.name.to_string(), region.price))
    };
    let is_remote = |done: &&&CompletedRequest| {
        region(&done.answer.served_by).is_some_and(|(name, _)| name != done.request.home)
    };
    let remote_share =
        complete.iter().filter(is_remote).count() as f64 / complete.len().max(1) as f64;
    let price = |centre: &str| region(centre).map_or(1.0, |(_, price)| price);
    let mut refusals: BTreeMap<String, usize> = BTreeMap::new();
    for done in done.iter().filter(|done| !done.answer.is_complete()) {
        *refusals.entry(done.answer.error.clone().unwrap_or_default()).or_default() += 1;
    }
    let (goodput, recovered_s) = goodput(spec, done);
    RunResult {
        user: spec.user.clone(),
        profile: spec.kind.name(),
        policy: spec.label.clone(),
        requests: done.len(),
        on_time_share: on_time / all.max(1e-9),
        first_ms: percentiles(complete.iter().filter_map(|done| done.first)),
        complete_ms: percentiles(complete.iter().map(|done| done.whole)),
        remote_share,
        cost: slot_cost(ledger, price) / complete.len().max(1) as f64,
        refusals,
        estimate_error: error,
        goodput,
        recovered_s,
    }
}

/// Returns the slot seconds that engines spent on finished and cancelled requests, each weighted by
/// the price of its region.
fn slot_cost(ledger: &[LedgerLine], price: impl Fn(&str) -> f64) -> f64 {
    let mut starts: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut cost = 0.0;
    for line in ledger {
        let key = (line.attempt.as_str(), line.upstream.as_str());
        match line.event {
            LedgerEvent::Start => drop(starts.insert(key, line.at_ms)),
            LedgerEvent::End | LedgerEvent::Cancel => {
                if let Some(start) = starts.remove(&key) {
                    cost += (line.at_ms - start) as f64 / 1_000.0 * price(&line.data_centre);
                }
            }
            _ => {}
        }
    }
    cost
}

/// Returns the worth answered on time per second, by due time, before, during and after the fault,
/// and the recovery time in seconds.
fn goodput(spec: &RunSpec, done: &[CompletedRequest]) -> ([f64; 3], Option<f64>) {
    let length = spec.length.as_secs_f64();
    let (from, to) = (length * FAULT_START_SHARE, length * FAULT_START_SHARE * 2.0);
    let rate = |low: f64, high: f64| {
        let due = |done: &&CompletedRequest| (low..high).contains(&done.request.due.as_secs_f64());
        let good = done.iter().filter(due).filter(|done| done.is_on_time());
        good.map(|done| done.request.class.worth).sum::<f64>() / (high - low).max(1e-9)
    };
    let before = rate(0.0, from);
    let seconds = (length - to).max(0.0) as usize;
    let recovered_after = (0..seconds).find(|at| {
        let low = to + *at as f64;
        rate(low, (low + 2.0).min(length)) >= 0.95 * before
    });
    ([before, rate(from, to), rate(to, length)], recovered_after.map(|at| at as f64))
}

/// Returns the median, 95th and 99th percentile in milliseconds.
pub fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|at| histogram.value_at_quantile(at) as f64 / 1_000.0)
}
