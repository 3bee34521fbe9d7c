//! Steps that wait for a condition or check what has happened so far.

use std::time::{Duration, Instant};

use super::{ScenarioRunner, stamp_of};
use crate::stand_in::ledger::{LedgerEvent, unix_time_ms};

/// Maximum wait for a condition, unless the step has its own limit.
pub(super) const AWAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

impl ScenarioRunner {
    /// Returns the members of a group that are running and not frozen.
    pub(super) fn responsive_vms(&self, group: &str) -> Vec<String> {
        let mut members = self.resolve(group);
        members.retain(|name| !self.frozen.contains(name) && !self.ended.contains(name));
        members
    }

    pub(super) async fn await_in_force(
        &mut self,
        group: &str,
        within: Duration,
    ) -> Result<(), String> {
        let started = Instant::now();
        let members = self.responsive_vms(group);
        let newest_stamp = self.newest_stamp;
        let fleet = &self.fleet;
        let is_adopted = async || {
            for name in &members {
                let status = fleet.status(name).await;
                let stamp = status.and_then(|it| it.stamp).and_then(|it| it.parse().ok());
                if stamp != Some(newest_stamp) {
                    return false;
                }
            }
            true
        };
        let result = await_condition(within, is_adopted).await;
        let elapsed_ms = started.elapsed().as_millis();
        self.record(format!("in force on {} VMs after {elapsed_ms}ms", members.len()));
        if result.is_err() {
            for text in ["\"description ", "the process was suspended", "compared with peers"] {
                self.log_lines_with(text).into_iter().for_each(|line| self.record(line));
            }
        }
        if result.is_ok() && group == "all" && !self.has_partition {
            // Reading the status of all VMs takes time. Only requests that start after this are
            // checked against the newest description alone.
            let now = unix_time_ms();
            let older =
                self.epochs.iter_mut().filter(|it| stamp_of(&it.description) != newest_stamp);
            for epoch in older {
                epoch.until_ms.get_or_insert(now);
            }
        }
        result
    }

    pub(super) async fn await_member_state(
        &mut self,
        vm: &str,
        member: &str,
        state: &str,
    ) -> Result<(), String> {
        let fleet = &self.fleet;
        let has_state = async || {
            let Some(status) = fleet.status(vm).await else { return false };
            let found = status.members.iter().find(|it| it.vm.as_str() == member);
            found.map_or("unknown", |it| it.state.as_str()) == state
        };
        await_condition(AWAIT_TIMEOUT, has_state).await
    }

    pub(super) async fn await_serving(&mut self, group: &str) -> Result<(), String> {
        let members = self.responsive_vms(group);
        let fleet = &self.fleet;
        let are_serving = async || {
            for name in &members {
                if fleet.status(name).await.is_none_or(|status| status.stamp.is_none()) {
                    return false;
                }
            }
            true
        };
        await_condition(AWAIT_TIMEOUT, are_serving).await
    }

    pub(super) async fn await_exit(&mut self, name: &str) -> Result<(), String> {
        let started = Instant::now();
        let code = loop {
            if let Some(code) = self.fleet.exit_code(name) {
                break code;
            }
            if started.elapsed() > AWAIT_TIMEOUT {
                return Err("the process has not exited".to_owned());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        if code == 0 { Ok(()) } else { Err(format!("the process exited with code {code}")) }
    }

    pub(super) fn check_run_count(&mut self, name: &str, count: usize) -> Result<(), String> {
        let request = self.request_id(name);
        let ledger = self.fleet.ledger();
        let starts = ledger.iter().filter(|it| it.event == LedgerEvent::Start);
        let runs = starts.filter(|it| it.request == request).count();
        if runs == count { Ok(()) } else { Err(format!("the request ran {runs} times")) }
    }

    pub(super) fn check_region(&mut self, name: &str, region: &str) -> Result<(), String> {
        let request = self.request_id(name);
        let ledger = self.fleet.ledger();
        let ended = ledger.iter().filter(|it| it.request == request);
        let ended = ended.filter(|it| it.event == LedgerEvent::End);
        let centres: Vec<&str> = ended.map(|it| it.data_centre.as_str()).collect();
        let expected =
            self.current_description.regions.iter().find(|it| it.name.as_str() == region);
        let expected = expected.ok_or_else(|| format!("no region is called {region}"))?;
        let is_in_region =
            |centre: &&str| expected.data_centres.iter().any(|it| it.as_str() == *centre);
        match !centres.is_empty() && centres.iter().all(is_in_region) {
            true => Ok(()),
            false => Err(format!("the request ran in {centres:?}")),
        }
    }
}

/// Polls a condition until it holds.
///
/// Returns an error if it does not hold within `limit`.
pub(super) async fn await_condition(
    limit: Duration,
    condition: impl AsyncFn() -> bool,
) -> Result<(), String> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > limit {
            return Err(format!("condition not met within {}ms", limit.as_millis()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
