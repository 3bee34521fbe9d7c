//! Demonstration that serves the deployments of both users, sends requests of every class and
//! checks each answer against the records of the upstreams.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::{ClassConfig, ClassKind, Description, parse_description};
use foldhaven_core::ids::RegionName;
use hdrhistogram::Histogram;

use crate::caller::{CallerAnswer, CallerClient, ModelCall, ServiceCall, engine_prompt};
use crate::fleet::{Fleet, FleetOptions};
use crate::stand_in::engine::complete_answer;
use crate::stand_in::ledger::{LedgerEvent, LedgerLine};
use crate::stand_in::service::service_answer;

/// Number of requests per account and class.
const ROUNDS: usize = 6;

/// Error that prevents the demonstration from running.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum DemoError {
    /// {0}
    Io(#[from] std::io::Error),
    /// {0}
    Description(String),
}

/// A request of the demonstration with its expected and actual answer.
struct DemoRecord {
    class: ClassConfig,
    home: RegionName,
    request: String,
    expected: String,
    answer: CallerAnswer,
}

/// Results of the checks of one deployment.
#[derive(Default)]
struct DemoChecks {
    failures: Vec<String>,
    passed: usize,
}

impl DemoChecks {
    fn check(&mut self, is_passed: bool, describe_failure: impl FnOnce() -> String) {
        match is_passed {
            true => self.passed += 1,
            false => self.failures.push(describe_failure()),
        }
    }
}

/// Runs the demonstration. Prints a table for each deployment and a JSON object as the last line.
/// Returns whether all checks passed.
///
/// # Errors
///
/// Returns an error if a description cannot be read or a deployment cannot be started.
pub async fn run_demo(examples: &Path) -> Result<bool, DemoError> {
    let program = std::env::current_exe()?;
    let mut users = BTreeMap::new();
    let mut is_ok = true;
    for user in ["kilima", "guild"] {
        let description = read_example(examples, user)?;
        let fleet = Fleet::start(program.clone(), description, FleetOptions::default()).await?;
        let (checks, summary) = demonstrate(Arc::new(fleet), user).await;
        for failure in &checks.failures {
            println!("{user}: FAILED: {failure}");
        }
        is_ok &= checks.failures.is_empty();
        users.insert(user, summary);
    }
    println!("{}", serde_json::json!({ "ok": is_ok, "users": users }));
    Ok(is_ok)
}

/// Reads the description of a user from a folder of examples.
///
/// # Errors
///
/// Returns an error if the file cannot be read or the description is invalid.
pub fn read_example(examples: &Path, user: &str) -> Result<Description, DemoError> {
    let path = examples.join(format!("{user}.yaml"));
    let text = std::fs::read_to_string(&path)?;
    parse_description(&path.display().to_string(), &text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
        DemoError::Description(lines.join("\n"))
    })
}

async fn demonstrate(fleet: Arc<Fleet>, user: &str) -> (DemoChecks, serde_json::Value) {
    let mut checks = DemoChecks::default();
    let caller = CallerClient::new(fleet.description.network.caller.0);
    let mut records = run_all_requests(&fleet, &caller).await;
    records.push(run_from_other_region(&fleet, &caller, &mut checks).await);
    check_refusal(&fleet, &caller, &mut checks).await;
    check_unrepeatable(&fleet, &caller, &mut checks).await;
    let ledger = fleet.ledger();
    for record in &records {
        check_record(&fleet, record, &ledger, &mut checks);
    }
    let writes = fleet.platform_counts().await.map_or(u64::MAX, |counts| counts.writes);
    checks.check(writes == 0, || format!("{writes} attempted writes to the platform"));
    print_table(&fleet, user, &records);
    let summary = serde_json::json!({
        "requests": records.len(),
        "checks_passed": checks.passed,
        "checks_failed": checks.failures.len(),
    });
    (checks, summary)
}

/// Returns the caller address of a VM in a region.
fn entry_in(fleet: &Fleet, region: &str) -> std::net::SocketAddr {
    let vm = fleet.vms.values().find(|vm| vm.region == region);
    vm.expect("each region has a VM").settings.addresses.caller
}

/// Sends requests of every account and repeatable class, spread over time, and varies their form
/// (streamed or not, completion or chat).
async fn run_all_requests(fleet: &Arc<Fleet>, caller: &CallerClient) -> Vec<DemoRecord> {
    let mut tasks = tokio::task::JoinSet::new();
    for account in fleet.description.accounts.clone() {
        for class in fleet.description.classes.clone().into_iter().filter(|it| it.repeatable) {
            for round in 0..ROUNDS {
                let (fleet, caller) = (fleet.clone(), caller.clone());
                let (account, class) = (account.clone(), class.clone());
                let start_delay = Duration::from_millis(round as u64 * 400);
                tasks.spawn(async move {
                    tokio::time::sleep(start_delay).await;
                    let entry = entry_in(&fleet, account.home.as_str());
                    // Like any caller, ask a VM of the client directory which VMs to use.
                    let entries = caller.entries(entry, account.name.as_str(), 0).await;
                    let listed_entry =
                        entries.and_then(|it| it.entries.first().map(|it| it.address));
                    let entry = listed_entry.unwrap_or(entry);
                    let home = account.home.clone();
                    let name = account.name.as_str();
                    run_request(&caller, entry, (name, home), class, round).await
                });
            }
        }
    }
    tasks.join_all().await
}

async fn run_request(
    caller: &CallerClient,
    entry: std::net::SocketAddr,
    (account, home): (&str, RegionName),
    class: ClassConfig,
    round: usize,
) -> DemoRecord {
    let request = format!("{account}-{}-{round}", class.name);
    if class.kind == ClassKind::Service {
        let service = class.service.as_ref().expect("a checked class has its service");
        let call = ServiceCall {
            account: account.to_owned(),
            class: class.name.to_string(),
            request: request.clone(),
            path: format!("{service}/ok/{round}"),
            body: format!("matter {round} of {account}"),
            ticket: None,
            deadline: None,
        };
        let answer = caller.call_service(entry, &call).await;
        let expected = service_answer(&request, &call.body);
        return DemoRecord { class, home, request, expected, answer };
    }
    let call = ModelCall {
        account: account.to_owned(),
        class: class.name.to_string(),
        request: request.clone(),
        prompt: format!("{}{request}", "shared case file. ".repeat(300)),
        max_tokens: class.max_output_tokens,
        stream: round.is_multiple_of(2),
        chat: round % 3 == 1,
        deadline: None,
        worth: None,
    };
    let answer = caller.call_model(entry, &call).await;
    let expected = complete_answer(&engine_prompt(&call), call.max_tokens);
    DemoRecord { class, home, request, expected, answer }
}

/// Sends a request to a region other than the only one that may run it, the home region of its
/// account.
async fn run_from_other_region(
    fleet: &Fleet,
    caller: &CallerClient,
    checks: &mut DemoChecks,
) -> DemoRecord {
    let bound_account =
        fleet.description.accounts.iter().find(|account| account.residency.is_some());
    let account = bound_account.expect("each example binds an account").clone();
    let classes = &fleet.description.classes;
    let class = classes.iter().find(|class| class.kind == ClassKind::Model);
    let class = class.expect("each example has a model class").clone();
    let regions = fleet.description.regions.iter();
    let other_region = regions.map(|region| &region.name).find(|name| **name != account.home);
    let entry = entry_in(fleet, other_region.expect("there is another region").as_str());
    let home = account.home.clone();
    let record = run_request(caller, entry, (account.name.as_str(), home), class, 100).await;
    let region = region_of(fleet, &record.answer.served_by);
    let expected = Some(account.home.to_string());
    checks
        .check(region == expected, || format!("the request from another region ran in {region:?}"));
    record
}

/// Checks that a request that cannot meet its deadline is refused with a retry delay and never run.
async fn check_refusal(fleet: &Fleet, caller: &CallerClient, checks: &mut DemoChecks) {
    let account = &fleet.description.accounts[0];
    let class = &fleet.description.classes[0];
    let call = ModelCall {
        account: account.name.to_string(),
        class: class.name.to_string(),
        request: "cannot-be-on-time".to_owned(),
        prompt: "late before it starts".to_owned(),
        max_tokens: class.max_output_tokens,
        stream: false,
        chat: false,
        deadline: Some(Duration::from_millis(100)),
        worth: None,
    };
    let answer = caller.call_model(entry_in(fleet, account.home.as_str()), &call).await;
    let is_refused = answer.status == 429 && answer.error.as_deref() == Some("deadline");
    checks.check(is_refused, || format!("expected a refusal by deadline, got {answer:?}"));
    checks.check(answer.retry_after.is_some(), || "the refusal has no retry delay".to_owned());
    let has_run = fleet.ledger().iter().any(|line| line.request == call.request);
    checks.check(!has_run, || "a refused request ran".to_owned());
}

/// Checks that a request that is not repeatable is refused without a ticket, and runs once even if
/// it is sent to every VM.
async fn check_unrepeatable(fleet: &Fleet, caller: &CallerClient, checks: &mut DemoChecks) {
    let account = &fleet.description.accounts[0];
    let classes = &fleet.description.classes;
    let class = classes.iter().find(|class| !class.repeatable).expect("each example has one");
    let service = class.service.as_ref().expect("a checked class has its service");
    let mut call = ServiceCall {
        account: account.name.to_string(),
        class: class.name.to_string(),
        request: "notice-1".to_owned(),
        path: format!("{service}/ok/notice"),
        body: "issue notice 1".to_owned(),
        ticket: None,
        deadline: None,
    };
    let entry = entry_in(fleet, account.home.as_str());
    let first_answer = caller.call_service(entry, &call).await;
    let is_ticket_required = first_answer.status == 428 && first_answer.ticket.is_some();
    checks.check(is_ticket_required, || format!("expected a ticket, got {first_answer:?}"));
    call.ticket = first_answer.ticket;
    let expected = service_answer(&call.request, &call.body);
    for vm in fleet.vms.values() {
        let answer = caller.call_service(vm.settings.addresses.caller, &call).await;
        let is_expected = answer.is_complete() && answer.text == expected;
        checks.check(is_expected, || format!("{}: {answer:?}", vm.settings.vm));
    }
    let ledger = fleet.ledger();
    let runs = ledger
        .iter()
        .filter(|line| line.event == LedgerEvent::Start && line.request == call.request)
        .count();
    checks.check(runs == 1, || format!("the notice ran {runs} times"));
}

fn region_of(fleet: &Fleet, centre: &str) -> Option<String> {
    let has_centre = |region: &&foldhaven_core::description::RegionConfig| {
        region.data_centres.iter().any(|name| name.as_str() == centre)
    };
    fleet.description.regions.iter().find(has_centre).map(|region| region.name.to_string())
}

fn check_record(
    fleet: &Fleet,
    record: &DemoRecord,
    ledger: &[LedgerLine],
    checks: &mut DemoChecks,
) {
    let DemoRecord { request, answer, expected, .. } = record;
    checks.check(answer.is_complete(), || format!("{request}: {answer:?}"));
    checks.check(answer.text == *expected, || format!("{request}: not the expected answer"));
    let ended = ledger
        .iter()
        .filter(|line| line.request == *request && line.event == LedgerEvent::End)
        .map(|line| line.data_centre.as_str());
    let served = region_of(fleet, &answer.served_by);
    let is_recorded = ended.clone().any(|centre| region_of(fleet, centre) == served);
    checks.check(is_recorded, || {
        format!("{request}: no upstream in the region of {} recorded the end", answer.served_by)
    });
}

fn print_table(fleet: &Fleet, user: &str, records: &[DemoRecord]) {
    println!("\n{user}: {} requests", records.len());
    println!(
        "{:<10} {:>6} {:>8} {:>9} {:>9} {:>10} {:>10} {:>6}",
        "class", "whole", "on time", "p50 ms", "p99 ms", "first p50", "first p99", "away"
    );
    for class in fleet.description.classes.iter().filter(|class| class.repeatable) {
        let of_class = || records.iter().filter(|record| record.class.name == class.name);
        let total = of_class().count().max(1) as f64;
        let share = |predicate: &dyn Fn(&DemoRecord) -> bool| {
            of_class().filter(|record| predicate(record)).count() as f64 / total * 100.0
        };
        let total_time = quantiles(of_class().map(|record| record.answer.total_time));
        let time_to_first = quantiles(of_class().filter_map(|record| record.answer.time_to_first));
        println!(
            "{:<10} {:>5.0}% {:>7.0}% {:>9.1} {:>9.1} {:>10.1} {:>10.1} {:>5.0}%",
            class.name.as_str(),
            share(&|record| record.answer.is_complete()),
            share(&|record| {
                record.answer.is_complete() && record.answer.total_time <= class.deadline.0
            }),
            total_time.0,
            total_time.1,
            time_to_first.0,
            time_to_first.1,
            share(&|record| {
                region_of(fleet, &record.answer.served_by).as_deref() != Some(record.home.as_str())
            }),
        );
    }
}

/// Returns the median and the 99th percentile in milliseconds.
fn quantiles(times: impl Iterator<Item = Duration>) -> (f64, f64) {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    (at(0.5), at(0.99))
}
