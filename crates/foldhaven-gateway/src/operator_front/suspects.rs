//! Reports suspected requests to operators, and clears them.

use foldhaven_core::opaque::refusal::Refusal;
use foldhaven_core::opaque::request_fingerprint::RequestFingerprint;
use foldhaven_core::opaque::suspects::SuspectVerdict;
use foldhaven_wire::operator::{ClearAnswer, SuspectRow, SuspectsAnswer};

use super::OperatorHandler;
use crate::suspects::SuspectKind;

/// The text before the fingerprint in the query.
const FINGERPRINT_PREFIX: &str = "print=";

impl OperatorHandler {
    /// Returns the suspected requests and segments of prompts, those with the most exits first.
    pub(super) fn suspects(&self) -> SuspectsAnswer {
        let mut rows: Vec<SuspectRow> =
            SuspectKind::ALL.into_iter().flat_map(|kind| self.suspect_rows(kind)).collect();
        rows.sort_by_key(|row| std::cmp::Reverse(row.upstreams.len()));
        SuspectsAnswer { vm: self.shared.settings.vm.clone(), rows }
    }

    fn suspect_rows(&self, kind: SuspectKind) -> Vec<SuspectRow> {
        let now = self.shared.now();
        let suspects = &self.shared.suspects;
        let rows = suspects.records_with_age(kind, now).into_iter().map(|(record, age)| {
            let (state, probe_wait) = match suspects.peek_verdict(kind, &record.fingerprint, now) {
                SuspectVerdict::Allowed => ("noted", None),
                SuspectVerdict::Probe => ("on trial", None),
                SuspectVerdict::Refused { wait } => ("refused", Some(wait)),
            };
            SuspectRow {
                fingerprint: record.fingerprint.to_string(),
                route: suspects.route_of(&record.fingerprint).map(|route| route.to_string()),
                state: state.to_owned(),
                upstreams: record.exits.iter().map(|exit| format!("{:08x}", exit.0)).collect(),
                probes: record.probes,
                exonerations: record.exonerations,
                since_ms: age.as_millis() as u64,
                probe_after_ms: probe_wait.map(|wait| wait.as_millis() as u64),
            }
        });
        rows.collect()
    }

    /// Clears a request or segment, as a complete answer to it would. This VM also sends the change to the
    /// other VMs.
    pub(super) fn clear_suspect(&self, query: Option<&str>) -> Result<ClearAnswer, Refusal> {
        let fingerprint = query.and_then(|query| query.strip_prefix(FINGERPRINT_PREFIX));
        let fingerprint: RequestFingerprint = fingerprint
            .and_then(|fingerprint| fingerprint.parse().ok())
            .ok_or(Refusal::Malformed)?;
        let is_cleared = self.shared.suspects.clear(fingerprint, &self.shared.change_context());
        tracing::info!(print = %fingerprint, is_cleared, "request cleared by an operator");
        Ok(ClearAnswer { fingerprint: fingerprint.to_string(), is_cleared })
    }
}
