//! What operators are told of accounts with limits.

use std::fmt::Write;

use foldhaven_core::opaque::account_table::{AccountLimit, LimitUnit};
use foldhaven_wire::operator::{AccountRow, AccountsAnswer};

use super::OperatorHandler;
use crate::account_desk::AccountUse;

impl OperatorHandler {
    /// The accounts that are described, and what those with limits use at this VM.
    pub(super) fn accounts(&self) -> AccountsAnswer {
        let view = self.shared.view();
        let described = view.as_ref().and_then(|it| it.routes.description().accounts.clone());
        let uses = self.shared.accounts.uses(self.shared.now());
        let accounts = described.iter().flat_map(|described| described.accounts.values());
        let rows = accounts.map(|account| {
            let held = uses.iter().find(|held| held.account == account.name);
            let limit = account.limit;
            AccountRow {
                account: account.name.to_string(),
                keys: account.keys.len(),
                homes: account.homes.iter().map(ToString::to_string).collect(),
                unit: limit.map(|limit| unit_of(&limit).to_owned()),
                per_s: limit.map(|limit| limit.per_s),
                burst: limit.map(|limit| limit.burst),
                share_per_s: held.map(|held| held.part.per_s),
                share_age_ms: held.map(|held| held.part_age.as_millis() as u64),
                level: held.map(|held| held.level),
                demand_per_s: held.map(|held| held.want),
                let_through: held.map_or(0.0, |held| held.let_through),
                refused: held.map_or(0, |held: &AccountUse| held.refused),
            }
        });
        let sharers = self.shared.accounts.view();
        AccountsAnswer {
            vm: self.shared.settings.vm.clone(),
            regions: sharers.regions,
            silent_regions: sharers.silent_regions,
            vms: sharers.vms,
            silent_vms: sharers.silent_vms,
            is_informed: sharers.is_informed,
            rows: rows.collect(),
        }
    }
}

/// The lines of one account in the metrics.
pub(super) fn put_account(page: &mut String, used: &AccountUse) {
    let account = &used.account;
    let lines = [
        ("foldhaven_opaque_account_let_through_total", used.let_through),
        ("foldhaven_opaque_account_refused_total", used.refused as f64),
        ("foldhaven_opaque_account_part_per_second", used.part.per_s),
        ("foldhaven_opaque_account_wanted_per_second", used.want),
    ];
    for (name, value) in lines {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "{name}{{account=\"{account}\"}} {value}");
    }
}

fn unit_of(limit: &AccountLimit) -> &'static str {
    match limit.unit {
        LimitUnit::Requests => "requests",
        LimitUnit::Tokens { .. } => "tokens",
    }
}
