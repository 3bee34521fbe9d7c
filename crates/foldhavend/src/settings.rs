//! The settings of one daemon: its names, addresses, seeds and intervals.

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

/// The settings of one daemon, read from YAML.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The name of this VM.
    pub vm: VmName,
    /// The data centre of this VM.
    pub data_centre: DataCentreName,
    /// The addresses on which the daemon listens and at which others reach it.
    pub addresses: VmAddresses,
    /// The address of the platform's HTTP service.
    pub platform: SocketAddr,
    /// Control addresses of some other VMs, called at the start. Own data centre first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Addresses to dial instead of the announced ones, for example behind address translation.
    #[serde(default)]
    pub reroutes: BTreeMap<SocketAddr, SocketAddr>,
    /// The routing policy.
    #[serde(default)]
    pub policy: PolicyKind,
    /// Intervals and timeouts.
    #[serde(default)]
    pub times: TimeSettings,
    /// The log level: `error`, `warn`, `info`, `debug` or `trace`. Default: `info`.
    #[serde(default = "default_log")]
    pub log: String,
    /// Number of threads that serve traffic. Default: 2.
    #[serde(default = "default_threads")]
    pub threads: usize,
}

fn default_log() -> String {
    "info".to_owned()
}

fn default_threads() -> usize {
    2
}

/// Intervals and timeouts of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeSettings {
    /// Interval between two rounds of heartbeats. Default: 500 ms.
    pub heartbeat: TimeSpan,
    /// Time without contact after which a member gets no new work. Summaries of other data centres
    /// are used for twice this time, at least for 1 s. Default: 2 s.
    pub suspect: TimeSpan,
    /// Interval between two load polls of an engine. Default: 200 ms.
    pub load_poll: TimeSpan,
    /// Gap between two ticks of the control thread above which the process counts as paused.
    /// Default: 1 s.
    pub pause: TimeSpan,
    /// Maximum duration of one long poll of the platform. Default: 20 s.
    pub platform_wait: TimeSpan,
    /// How long a list of entry VMs that a caller requested is valid. Default: 2 s.
    pub entries_hold: TimeSpan,
    /// Time after which a planned stop aborts requests in flight, `None` for no limit. Default:
    /// `None`.
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
    /// Returns the times by which members are classified.
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
    /// Returns an error if the file cannot be read, is not YAML with the expected fields, or has a
    /// value out of range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_settings(path)
    }

    /// Returns the address to dial for an announced address.
    pub fn dial_address(&self, address: SocketAddr) -> SocketAddr {
        self.reroutes.get(&address).copied().unwrap_or(address)
    }
}
