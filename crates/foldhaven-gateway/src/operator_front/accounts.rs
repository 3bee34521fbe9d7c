//! Reports accounts and the usage of their limits to operators.

use std::fmt::Write;

use foldhaven_core::opaque::account_table::{AccountLimit, LimitUnit};
use foldhaven_wire::operator::{AccountRow, AccountsAnswer};

use super::OperatorHandler;
use crate::account_limiter::AccountUsage;

impl OperatorHandler {
    /// Returns the accounts of the description, and the usage at this VM of those with limits.
    pub(super) fn accounts(&self) -> AccountsAnswer {
        let view = self.shared.view();
        let description = view.as_ref().and_then(|it| it.routes.description().accounts.clone());
        let usages = self.shared.accounts.usages(self.shared.now());
        let accounts = description.iter().flat_map(|description| description.accounts.values());
        let rows = accounts.map(|account| {
            let usage = usages.iter().find(|usage| usage.account == account.name);
            let limit = account.limit;
            AccountRow {
                account: account.name.to_string(),
                keys: account.keys.len(),
                homes: account.homes.iter().map(ToString::to_string).collect(),
                unit: limit.map(|limit| unit_name(&limit).to_owned()),
                per_s: limit.map(|limit| limit.per_s),
                burst: limit.map(|limit| limit.burst),
                share_per_s: usage.map(|usage| usage.share.per_s),
                share_age_ms: usage.map(|usage| usage.share_age.as_millis() as u64),
                level: usage.map(|usage| usage.level),
                demand_per_s: usage.map(|usage| usage.demand),
                let_through: usage.map_or(0.0, |usage| usage.let_through),
                refused: usage.map_or(0, |usage: &AccountUsage| usage.refused),
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

/// Writes the metrics of one account.
pub(super) fn write_account(page: &mut String, usage: &AccountUsage) {
    let account = &usage.account;
    let lines = [
        ("foldhaven_opaque_account_let_through_total", usage.let_through),
        ("foldhaven_opaque_account_refused_total", usage.refused as f64),
        ("foldhaven_opaque_account_part_per_second", usage.share.per_s),
        ("foldhaven_opaque_account_wanted_per_second", usage.demand),
    ];
    for (name, value) in lines {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "{name}{{account=\"{account}\"}} {value}");
    }
}

fn unit_name(limit: &AccountLimit) -> &'static str {
    match limit.unit {
        LimitUnit::Requests => "requests",
        LimitUnit::Tokens { .. } => "tokens",
    }
}
