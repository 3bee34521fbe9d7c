//! Open-loop load: arrivals are fixed ahead, and times are counted from when a request was due.

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

use super::profile::{PlannedAsk, ProfileKind, draw_asks};
use crate::caller::{CallerAnswer, CallerClient, ModelCall};
use crate::fleet::{Fleet, FleetOptions};
use crate::relay::LinkEnds;
use crate::stand_in::ledger::{LedgerEvent, LedgerLine};

/// Entry VMs per data centre of measured fleets.
const VMS: usize = 2;
/// The part of a run before its fault.
const FAULT_FROM: f64 = 0.33;

/// One measured run.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// The user whose description is run.
    pub user: String,
    /// The description.
    pub description: Description,
    /// What happens.
    pub kind: ProfileKind,
    /// How requests are routed.
    pub policy: PolicyKind,
    /// The name under which the policy is shown.
    pub label: String,
    /// The binary to run.
    pub program: PathBuf,
    /// How long.
    pub length: Duration,
    /// What the requests are drawn from.
    pub seed: u64,
}

/// What a run gave.
#[derive(Debug, Clone, Serialize)]
pub struct RunResult {
    /// The user.
    pub user: String,
    /// The profile.
    pub profile: &'static str,
    /// The policy.
    pub policy: String,
    /// Requests that were due.
    pub requests: usize,
    /// The part of all worth that was delivered whole and on time.
    pub on_time_worth: f64,
    /// Time to the first token in milliseconds: median, 95th and 99th percentile.
    pub first_ms: [f64; 3],
    /// Time to the whole answer in milliseconds, of complete ones.
    pub whole_ms: [f64; 3],
    /// The part of complete requests that was served outside the home region.
    pub away: f64,
    /// Slot seconds, each at the price of its region, per complete request.
    pub cost: f64,
    /// Requests that were refused, by code.
    pub refusals: BTreeMap<String, usize>,
    /// The running spread of estimates, as a mean over the VMs.
    pub estimate_error: f64,
    /// Worth on time a second: before the fault, during it, and after it.
    pub goodput: [f64; 3],
    /// Seconds after the end of the fault until goodput was back at 95% of before.
    pub recovered_s: Option<f64>,
}

struct DoneAsk {
    ask: PlannedAsk,
    answer: CallerAnswer,
    first: Option<Duration>,
    whole: Duration,
}

impl DoneAsk {
    fn is_on_time(&self) -> bool {
        self.answer.is_complete() && self.whole <= self.ask.class.deadline.0
    }
}

/// Runs one profile under one policy on a fleet of its own.
///
/// # Errors
///
/// When the fleet cannot be started.
pub async fn measure_run(spec: &RunSpec) -> io::Result<RunResult> {
    let options = FleetOptions {
        vms: VMS,
        policy: spec.policy,
        cache_blocks: 1_200,
        log: "warn".to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(spec.program.clone(), spec.description.clone(), options).await?;
    let asks = draw_asks(&spec.description, spec.kind, spec.length, spec.seed);
    let running = tokio::spawn(send_all(Arc::new(entry_table(&fleet)), asks, spec.clone()));
    inject_fault(&mut fleet, spec).await;
    let done = running.await.map_err(io::Error::other)?;
    let error = estimate_error(&fleet).await;
    Ok(summarise(spec, &done, &fleet.ledger(), error))
}

/// The caller addresses of each region's VMs.
fn entry_table(fleet: &Fleet) -> BTreeMap<String, Vec<SocketAddr>> {
    let mut table: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for vm in fleet.vms.values() {
        table.entry(vm.region.clone()).or_default().push(vm.settings.addresses.caller);
    }
    table
}

async fn send_all(
    entries: Arc<BTreeMap<String, Vec<SocketAddr>>>,
    asks: Vec<PlannedAsk>,
    spec: RunSpec,
) -> Vec<DoneAsk> {
    let caller = CallerClient::new(spec.description.network.caller.0);
    let started = Instant::now();
    let mut sends = JoinSet::new();
    for (number, ask) in asks.into_iter().enumerate() {
        tokio::time::sleep_until((started + ask.due).into()).await;
        let (caller, entries, kind) = (caller.clone(), entries.clone(), spec.kind);
        sends.spawn(async move {
            let home = &entries[&ask.home];
            send_one(&caller, home, ask, number, started, kind.asks_again()).await
        });
    }
    sends.join_all().await
}

async fn send_one(
    caller: &CallerClient,
    entries: &[SocketAddr],
    ask: PlannedAsk,
    number: usize,
    started: Instant,
    asks_again: usize,
) -> DoneAsk {
    let due = started + ask.due;
    let mut tries = 0;
    loop {
        let left = ask.class.deadline.0.saturating_sub(due.elapsed());
        let model_ask = ModelCall {
            account: ask.account.clone(),
            class: ask.class.name.to_string(),
            request: format!("ask-{number}-{tries}"),
            prompt: ask.prompt.clone(),
            max_tokens: ask.max_tokens,
            stream: true,
            chat: false,
            deadline: Some(left.max(Duration::from_millis(1))),
            worth: None,
        };
        let before = due.elapsed();
        let entry = entries[(number + tries) % entries.len()];
        let answer = caller.call_model(entry, &model_ask).await;
        let gives_up = answer.is_complete() || tries >= asks_again || left.is_zero();
        if gives_up {
            let first = answer.time_to_first.map(|first| before + first);
            let whole = before + answer.total_time;
            return DoneAsk { ask, answer, first, whole };
        }
        tries += 1;
    }
}

/// Injects the fault of a profile and takes it away again.
async fn inject_fault(fleet: &mut Fleet, spec: &RunSpec) {
    let third = spec.length.mul_f64(FAULT_FROM);
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

fn summarise(spec: &RunSpec, done: &[DoneAsk], ledger: &[LedgerLine], error: f64) -> RunResult {
    let worth = |done: &DoneAsk| done.ask.class.worth;
    let all: f64 = done.iter().map(worth).sum();
    let on_time: f64 = done.iter().filter(|done| done.is_on_time()).map(worth).sum();
    let complete: Vec<&DoneAsk> = done.iter().filter(|done| done.answer.is_complete()).collect();
    let region = |centre: &str| {
        let regions = spec.description.regions.iter();
        let mut holds = regions.filter(|it| it.data_centres.iter().any(|dc| dc.as_str() == centre));
        holds.next().map(|region| (region.name.to_string(), region.price))
    };
    let is_away = |done: &&&DoneAsk| {
        region(&done.answer.served_by).is_some_and(|(name, _)| name != done.ask.home)
    };
    let away = complete.iter().filter(is_away).count() as f64 / complete.len().max(1) as f64;
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
        on_time_worth: on_time / all.max(1e-9),
        first_ms: percentiles(complete.iter().filter_map(|done| done.first)),
        whole_ms: percentiles(complete.iter().map(|done| done.whole)),
        away,
        cost: slot_cost(ledger, price) / complete.len().max(1) as f64,
        refusals,
        estimate_error: error,
        goodput,
        recovered_s,
    }
}

/// Slot seconds that engines spent, whole or not, at the price of their region.
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

/// Worth on time a second, by when requests were due: before, during and after the fault.
fn goodput(spec: &RunSpec, done: &[DoneAsk]) -> ([f64; 3], Option<f64>) {
    let length = spec.length.as_secs_f64();
    let (from, to) = (length * FAULT_FROM, length * FAULT_FROM * 2.0);
    let rate = |low: f64, high: f64| {
        let due = |done: &&DoneAsk| (low..high).contains(&done.ask.due.as_secs_f64());
        let good = done.iter().filter(due).filter(|done| done.is_on_time());
        good.map(|done| done.ask.class.worth).sum::<f64>() / (high - low).max(1e-9)
    };
    let before = rate(0.0, from);
    let seconds = (length - to).max(0.0) as usize;
    let back = (0..seconds).find(|at| {
        let low = to + *at as f64;
        rate(low, (low + 2.0).min(length)) >= 0.95 * before
    });
    ([before, rate(from, to), rate(to, length)], back.map(|at| at as f64))
}

/// The median, 95th and 99th percentile in milliseconds.
pub fn percentiles(times: impl Iterator<Item = Duration>) -> [f64; 3] {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    [0.5, 0.95, 0.99].map(|at| histogram.value_at_quantile(at) as f64 / 1_000.0)
}
