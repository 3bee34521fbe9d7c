//! What operators are told of requests under which upstreams ended, and how one is cleared.

use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::SuspectVerdict;
use foldhaven_wire::operator::{ClearAnswer, SuspectRow, SuspectsAnswer};

use super::OperatorHandler;
use crate::answer::Refusal;

/// What goes before the fingerprint in the query.
const PRINT_FIELD: &str = "print=";

impl OperatorHandler {
    /// The suspected requests, those with the most ends first.
    pub(super) fn suspects(&self) -> SuspectsAnswer {
        let now = self.shared.now();
        let suspects = &self.shared.suspects;
        let rows = suspects.rows(now).into_iter().map(|(record, age)| {
            let (state, opens) = match suspects.look(&record.fingerprint, now) {
                SuspectVerdict::Allowed => ("noted", None),
                SuspectVerdict::Probe => ("on trial", None),
                SuspectVerdict::Refused { wait } => ("refused", Some(wait)),
            };
            SuspectRow {
                fingerprint: record.fingerprint.to_string(),
                route: suspects.route_of(&record.fingerprint).map(|route| route.to_string()),
                state: state.to_owned(),
                upstreams: record.exits.iter().map(|end| format!("{:08x}", end.0)).collect(),
                probes: record.probes,
                exonerations: record.exonerations,
                since_ms: age.as_millis() as u64,
                probe_after_ms: opens.map(|wait| wait.as_millis() as u64),
            }
        });
        SuspectsAnswer { vm: self.shared.settings.vm.clone(), rows: rows.collect() }
    }

    /// Clears a request as a whole answer to it would: here, and at all VMs that are told.
    pub(super) fn clear_suspect(&self, query: Option<&str>) -> Result<ClearAnswer, Refusal> {
        let print = query.and_then(|query| query.strip_prefix(PRINT_FIELD));
        let print: RequestFingerprint =
            print.and_then(|print| print.parse().ok()).ok_or(Refusal::Malformed)?;
        let is_cleared = self.shared.suspects.clear(print, &self.shared.change_context());
        tracing::info!(%print, is_cleared, "an operator clears a request");
        Ok(ClearAnswer { fingerprint: print.to_string(), is_cleared })
    }
}
