//! The settings of one daemon: where it is, its addresses, and whom it asks first.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, VmName};
use foldhaven_core::membership::{MembershipTimes, VmAddresses};
use foldhaven_core::policy::PolicyKind;
use foldhaven_core::units::TimeSpan;
use foldhaven_wire::settings_file::{CheckedSettings, SettingsError, SettingsFault, read_settings};
use serde::{Deserialize, Serialize};

/// The settings of one daemon, as they stand in YAML.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The name of this VM.
    pub vm: VmName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The addresses on which it listens, and at which others reach it.
    pub addresses: VmAddresses,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// Control addresses of some other VMs, asked at the start; own data centre first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Other addresses to dial in place of the ones that others name, as behind translation.
    #[serde(default)]
    pub reroutes: BTreeMap<SocketAddr, SocketAddr>,
    /// How requests are routed.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Spans of time.
    #[serde(default)]
    pub times: TimeSettings,
    /// The least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log")]
    pub log: String,
    /// How many threads serve traffic.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_threads() -> usize {
    2
}

/// Spans of time by which a daemon acts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeSettings {
    /// Between two heartbeats.
    pub heartbeat: TimeSpan,
    /// A member or data centre silent for this long gets no new work.
    pub suspect: TimeSpan,
    /// Between two load reports asked of an engine.
    pub load_poll: TimeSpan,
    /// A gap of this length in the control thread's ticks counts as a pause of the process.
    pub pause: TimeSpan,
    /// How long one wait for news of the platform lasts.
    pub platform_wait: TimeSpan,
    /// How long the answer to a caller's question for entry VMs holds.
    pub entries_hold: TimeSpan,
    /// After how long a planned stop cuts requests in flight; never when absent.
    pub stop_limit: Option<TimeSpan>,
}

impl Default for TimeSettings {
    fn default() -> Self {
        Self {
            heartbeat: TimeSpan::from_millis(500),
            suspect: TimeSpan::from_millis(2_000),
            load_poll: TimeSpan::from_millis(200),
            pause: TimeSpan::from_millis(1_000),
            platform_wait: TimeSpan::from_secs(20),
            entries_hold: TimeSpan::from_secs(2),
            stop_limit: None,
        }
    }
}

impl TimeSettings {
    /// The spans by which members are judged.
    pub fn membership(&self) -> MembershipTimes {
        MembershipTimes {
            heartbeat_interval: self.heartbeat.0,
            suspect_after: self.suspect.0,
            max_summary_age: (self.suspect.0 * 2).max(Duration::from_secs(1)),
            ..MembershipTimes::default()
        }
    }
}

impl CheckedSettings for DaemonSettings {
    fn fault(&self) -> Option<SettingsFault> {
        let VmAddresses { caller, peer, control } = &self.addresses;
        if caller == peer || peer == control || caller == control {
            return Some(SettingsFault {
                field: "addresses",
                message: "expected three different addresses",
            });
        }
        if self.times.heartbeat.0 < Duration::from_millis(10) {
            return Some(SettingsFault {
                field: "times.heartbeat",
                message: "expected at least 10ms",
            });
        }
        if self.times.suspect.0 < self.times.heartbeat.0 * 2 {
            return Some(SettingsFault {
                field: "times.suspect",
                message: "expected at least twice times.heartbeat",
            });
        }
        if self.threads == 0 {
            return Some(SettingsFault { field: "threads", message: "expected at least 1" });
        }
        None
    }
}

impl DaemonSettings {
    /// Reads settings from a file and checks them.
    ///
    /// # Errors
    ///
    /// When the file cannot be read, is not YAML of the right shape, or has a value out of range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_settings(path)
    }

    /// The address to dial for one that others name.
    pub fn dial_address(&self, address: SocketAddr) -> SocketAddr {
        self.reroutes.get(&address).copied().unwrap_or(address)
    }
}
