//! Steps that send requests, one by one or as a load, and check their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::attempt::RequestOutcome;

use super::ScenarioRunner;
use super::awaits::{AWAIT_TIMEOUT, await_condition};
use crate::scenario::steps::SendSpec;
use crate::scenario::traffic::{EntryFinder, PreparedCall, RunningLoad};
use crate::stand_in::ledger::LedgerEvent;

impl ScenarioRunner {
    /// Returns the caller addresses of all VMs, those in the home region of the account first.
    pub(super) fn directory(&self, account: &str) -> Vec<SocketAddr> {
        let accounts = &self.current_description.accounts;
        let home = accounts.iter().find(|it| it.name.as_str() == account);
        let home = home.map(|it| it.home.to_string()).unwrap_or_default();
        let mut vms: Vec<_> = self.fleet.vms.values().collect();
        vms.sort_by_key(|vm| vm.region != home);
        vms.into_iter().map(|vm| vm.settings.addresses.caller).collect()
    }

    /// Returns the caller address of the entry VM for a request.
    pub(super) fn entry(&self, spec: &SendSpec) -> Result<SocketAddr, String> {
        match &spec.entry {
            Some(name) => {
                let vm =
                    self.resolve(name).into_iter().next().and_then(|it| self.fleet.vms.get(&it));
                let vm = vm.ok_or_else(|| format!("no VM is called {name}"))?;
                Ok(vm.settings.addresses.caller)
            }
            None => Ok(self.directory(&spec.account)[0]),
        }
    }

    pub(super) async fn send(&mut self, name: &str, spec: &SendSpec) -> Result<(), String> {
        let mut call = match &spec.repeat_of {
            Some(earlier) => self.prepared.get(earlier).cloned(),
            None => PreparedCall::new(&self.current_description, spec, name.to_owned()),
        };
        let Some(call) = call.as_mut() else {
            self.record(format!("{name} is not sent: no such class or request"));
            return Ok(());
        };
        if let Some(issuer) = &spec.ticket_from {
            let answer = self.fleet.entries(issuer, &spec.account, 1).await;
            let ticket = answer.and_then(|answer| answer.tickets.into_iter().next());
            let Some(ticket) = ticket else {
                // A later step that awaits the answer to this request fails.
                self.record(format!("{name} is not sent: {issuer} issued no ticket"));
                return Ok(());
            };
            call.set_ticket(ticket);
        }
        self.prepared.insert(name.to_owned(), call.clone());
        let (call, caller, entry) = (call.clone(), self.caller.clone(), self.entry(spec)?);
        let task = tokio::spawn(async move { call.send(&caller, entry).await });
        self.pending.insert(name.to_owned(), task);
        Ok(())
    }

    pub(super) async fn check_answer(
        &mut self,
        name: &str,
        outcomes: &[RequestOutcome],
    ) -> Result<(), String> {
        let task =
            self.pending.remove(name).ok_or_else(|| "the request was not sent".to_owned())?;
        let sent = tokio::time::timeout(AWAIT_TIMEOUT, task).await;
        let sent = sent.map_err(|_| "no answer in time".to_owned())?;
        let sent = sent.map_err(|error| error.to_string())?;
        let answer = sent.answer.clone();
        self.record(format!("{name}: {} {:?} {:?}", answer.outcome, answer.error, answer.message));
        self.sent.push(sent);
        match outcomes.is_empty() || outcomes.contains(&answer.outcome) {
            true => Ok(()),
            false => Err(format!("got {}: {:?}", answer.outcome, answer.message)),
        }
    }

    pub(super) fn request_id(&self, name: &str) -> String {
        match self.prepared.get(name) {
            Some(PreparedCall::Model(call)) => call.request.clone(),
            Some(PreparedCall::Service(call, _)) => call.request.clone(),
            None => name.to_owned(),
        }
    }

    pub(super) async fn await_running(&mut self, name: &str) -> Result<(), String> {
        let request = self.request_id(name);
        let fleet = &self.fleet;
        let has_started = || {
            let ledger = fleet.ledger();
            ledger.iter().any(|it| it.request == request && it.event == LedgerEvent::Start)
        };
        await_condition(AWAIT_TIMEOUT, async || has_started()).await
    }

    pub(super) fn start_load(&mut self, name: &str, spec: &SendSpec, rate: f64) {
        let fixed = spec.entry.as_ref().and_then(|_| self.entry(spec).ok());
        let is_fixed = fixed.is_some();
        let directory = fixed.map_or_else(|| self.directory(&spec.account), |entry| vec![entry]);
        let finder = EntryFinder { directory, is_fixed };
        let description = self.current_description.clone();
        let caller = self.caller.clone();
        let load = RunningLoad::start(name, description, spec.clone(), rate, caller, finder);
        self.loads.insert(name.to_owned(), load);
    }

    pub(super) async fn end_load(&mut self, name: &str, share: f64) -> Result<(), String> {
        let load = self.loads.remove(name).ok_or_else(|| "no such load".to_owned())?;
        let sent = load.end().await;
        let complete = sent.iter().filter(|sent| sent.answer.is_complete()).count();
        let complete_share = complete as f64 / sent.len().max(1) as f64;
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for sent in sent.iter().filter(|sent| !sent.answer.is_complete()) {
            let answer = &sent.answer;
            let reason = answer.error.clone().unwrap_or_default();
            *reasons.entry(format!("{reason} {}", answer.outcome)).or_default() += 1;
        }
        self.record(format!("{name}: {complete} of {} complete, {reasons:?}", sent.len()));
        let incomplete = sent.iter().find(|sent| !sent.answer.is_complete()).cloned();
        self.sent.extend(sent);
        match complete_share >= share {
            true => Ok(()),
            false => {
                let lines = incomplete
                    .as_ref()
                    .map(|sent| self.log_lines_with(&format!("\"{}\"", sent.request)));
                let lines = lines.unwrap_or_default().join("\n");
                Err(format!(
                    "{complete_share:.3} complete, {reasons:?}, such as {incomplete:?}\n{lines}"
                ))
            }
        }
    }
}
