//! Steps that send requests, one by one or as a load, and check their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foldhaven_core::attempt::RequestOutcome;

use super::ScenarioRunner;
use super::awaits::{AWAIT_LIMIT, await_event};
use crate::scenario::steps::SendSpec;
use crate::scenario::traffic::{EntryFinder, PreparedAsk, RunningLoad};
use crate::stand_in::ledger::LedgerEvent;

impl ScenarioRunner {
    /// Returns the caller addresses of all VMs, those in the home region of the account first.
    pub(super) fn directory(&self, account: &str) -> Vec<SocketAddr> {
        let accounts = &self.current.accounts;
        let home = accounts.iter().find(|it| it.name.as_str() == account);
        let home = home.map(|it| it.home.to_string()).unwrap_or_default();
        let mut vms: Vec<_> = self.fleet.vms.values().collect();
        vms.sort_by_key(|vm| vm.region != home);
        vms.into_iter().map(|vm| vm.settings.addresses.caller).collect()
    }

    pub(super) fn entry(&self, spec: &SendSpec) -> Result<SocketAddr, String> {
        match &spec.entry {
            Some(name) => {
                let vm =
                    self.members(name).into_iter().next().and_then(|it| self.fleet.vms.get(&it));
                let vm = vm.ok_or_else(|| format!("no VM is called {name}"))?;
                Ok(vm.settings.addresses.caller)
            }
            None => Ok(self.directory(&spec.account)[0]),
        }
    }

    pub(super) async fn send(&mut self, name: &str, spec: &SendSpec) -> Result<(), String> {
        let mut ask = match &spec.repeats {
            Some(earlier) => self.prepared.get(earlier).cloned(),
            None => PreparedAsk::new(&self.current, spec, name.to_owned()),
        };
        let Some(ask) = ask.as_mut() else {
            self.note(format!("{name} is not sent: no such class or request"));
            return Ok(());
        };
        if let Some(issuer) = &spec.ticket_from {
            let answer = self.fleet.entries(issuer, &spec.account, 1).await;
            let ticket = answer.and_then(|answer| answer.tickets.into_iter().next());
            let Some(ticket) = ticket else {
                // A later step that awaits the answer to this request fails.
                self.note(format!("{name} is not sent: {issuer} issued no ticket"));
                return Ok(());
            };
            ask.set_ticket(ticket);
        }
        self.prepared.insert(name.to_owned(), ask.clone());
        let (ask, caller, entry) = (ask.clone(), self.caller.clone(), self.entry(spec)?);
        let task = tokio::spawn(async move { ask.send(&caller, entry).await });
        self.waiting.insert(name.to_owned(), task);
        Ok(())
    }

    pub(super) async fn take_answer(
        &mut self,
        name: &str,
        outcomes: &[RequestOutcome],
    ) -> Result<(), String> {
        let task =
            self.waiting.remove(name).ok_or_else(|| "the request was not sent".to_owned())?;
        let sent = tokio::time::timeout(AWAIT_LIMIT, task).await;
        let sent = sent.map_err(|_| "no answer in time".to_owned())?;
        let sent = sent.map_err(|error| error.to_string())?;
        let answer = sent.answer.clone();
        self.note(format!("{name}: {} {:?} {:?}", answer.outcome, answer.error, answer.message));
        self.sent.push(sent);
        match outcomes.is_empty() || outcomes.contains(&answer.outcome) {
            true => Ok(()),
            false => Err(format!("got {}: {:?}", answer.outcome, answer.message)),
        }
    }

    pub(super) fn request_id(&self, name: &str) -> String {
        match self.prepared.get(name) {
            Some(PreparedAsk::Model(ask)) => ask.request.clone(),
            Some(PreparedAsk::Service(ask, _)) => ask.request.clone(),
            None => name.to_owned(),
        }
    }

    pub(super) async fn await_running(&mut self, name: &str) -> Result<(), String> {
        let request = self.request_id(name);
        let fleet = &self.fleet;
        let runs = || {
            let ledger = fleet.ledger();
            ledger.iter().any(|it| it.request == request && it.event == LedgerEvent::Start)
        };
        await_event(AWAIT_LIMIT, async || runs()).await
    }

    pub(super) fn start_load(&mut self, name: &str, spec: &SendSpec, rate: f64) {
        let fixed = spec.entry.as_ref().and_then(|_| self.entry(spec).ok());
        let is_fixed = fixed.is_some();
        let directory = fixed.map_or_else(|| self.directory(&spec.account), |entry| vec![entry]);
        let finder = EntryFinder { directory, is_fixed };
        let description = self.current.clone();
        let caller = self.caller.clone();
        let load = RunningLoad::start(name, description, spec.clone(), rate, caller, finder);
        self.loads.insert(name.to_owned(), load);
    }

    pub(super) async fn end_load(&mut self, name: &str, share: f64) -> Result<(), String> {
        let load = self.loads.remove(name).ok_or_else(|| "no such load".to_owned())?;
        let sent = load.end().await;
        let complete = sent.iter().filter(|sent| sent.answer.is_complete()).count();
        let got = complete as f64 / sent.len().max(1) as f64;
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for sent in sent.iter().filter(|sent| !sent.answer.is_complete()) {
            let answer = &sent.answer;
            let reason = answer.error.clone().unwrap_or_default();
            *reasons.entry(format!("{reason} {}", answer.outcome)).or_default() += 1;
        }
        self.note(format!("{name}: {complete} of {} complete, {reasons:?}", sent.len()));
        let worst = sent.iter().find(|sent| !sent.answer.is_complete()).cloned();
        self.sent.extend(sent);
        match got >= share {
            true => Ok(()),
            false => {
                let lines = worst
                    .as_ref()
                    .map(|sent| self.log_lines_with(&format!("\"{}\"", sent.request)));
                let lines = lines.unwrap_or_default().join("\n");
                Err(format!("{got:.3} complete, {reasons:?}, such as {worst:?}\n{lines}"))
            }
        }
    }
}
