//! Checks that no VM reverts to an older description than it had in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::description::DescriptionStamp;
use foldhaven_wire::operator::StatusAnswer;
use parking_lot::Mutex;
use tokio::task::JoinHandle;

use super::guarantees::Violation;

/// Interval at which the status of all VMs is read.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// The highest stamp seen per VM and incarnation, and the violations found.
#[derive(Default)]
struct ObservedStamps {
    highest: BTreeMap<(String, u64), DescriptionStamp>,
    violations: Vec<Violation>,
}

/// Observes the stamps of all VMs in the background until it is dropped.
pub struct StampObserver {
    observed: Arc<Mutex<ObservedStamps>>,
    task: JoinHandle<()>,
}

impl StampObserver {
    /// Starts to observe VMs, given by name and peer address.
    pub fn start(client: reqwest::Client, vms: Vec<(String, SocketAddr)>) -> Self {
        let observed: Arc<Mutex<ObservedStamps>> = Arc::default();
        let shared = observed.clone();
        let task = tokio::spawn(async move {
            loop {
                let reads = vms.iter().map(|(_, address)| read_status(&client, *address));
                for status in futures::future::join_all(reads).await.into_iter().flatten() {
                    shared.lock().record(&status);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        Self { observed, task }
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.observed.lock().violations.clone()
    }
}

impl Drop for StampObserver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ObservedStamps {
    fn record(&mut self, status: &StatusAnswer) {
        let stamp = status.stamp.as_ref().and_then(|text| text.parse().ok());
        let key = (status.vm.to_string(), status.incarnation.0);
        match (self.highest.get(&key), stamp) {
            (Some(highest), now) if now < Some(*highest) => {
                let detail = format!("{} went from {highest} to {now:?}", status.vm);
                self.violations.push(Violation::new("configuration", detail));
            }
            (_, Some(now)) => drop(self.highest.insert(key, now)),
            (_, None) => {}
        }
    }
}

/// Returns a violation for each description that a daemon adopted after one with a larger stamp,
/// according to its log. Stamps from before a restart do not count. The log also shows reverts that
/// are too short for the status polls.
pub fn adoption_violations(vm: &str, log: &str) -> Vec<Violation> {
    let mut highest: Option<DescriptionStamp> = None;
    let mut violations = Vec::new();
    let lines = log.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    for line in lines {
        let adopted = match line["message"].as_str() {
            Some("serving") => {
                highest = None;
                continue;
            }
            Some("description adopted") => line["stamp"].as_str().and_then(|it| it.parse().ok()),
            _ => continue,
        };
        if adopted < highest {
            let detail = format!("{vm} adopted {adopted:?} after {highest:?}");
            violations.push(Violation::new("configuration", detail));
        }
        highest = highest.max(adopted);
    }
    violations
}

async fn read_status(client: &reqwest::Client, address: SocketAddr) -> Option<StatusAnswer> {
    let url = format!("http://{address}/operator/v1/status");
    let request = client.get(url).timeout(Duration::from_millis(400));
    request.send().await.ok()?.json().await.ok()
}
