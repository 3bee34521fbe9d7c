//! The settings of a gateway daemon in YAML.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use foldhaven_core::ids::{DataCentreName, RegionName, VmName};
use foldhaven_core::opaque::held_memory::{DEFAULT_VM_MEMORY, MIN_VM_MEMORY};
use foldhaven_core::opaque::limit_share::LimitSlack;
use foldhaven_core::opaque::retry_share::RetryLimits;
use foldhaven_core::opaque::waiting_room::DEFAULT_FLOOR_SHARE;
use foldhaven_core::units::{ByteSize, CoreShare};
use foldhaven_wire::settings_file::{CheckedSettings, SettingsError, SettingsFault, read_settings};
use rustix::system::sysinfo;
use serde::{Deserialize, Serialize};

/// The addresses on which a daemon listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayAddresses {
    /// For the requests of callers.
    pub caller: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For queries of callers about which VMs to use.
    pub directory: SocketAddr,
    /// For operators: metrics and status.
    pub operator: SocketAddr,
    /// For other VMs: heartbeats over UDP and forwarded requests over TCP. The same port on all
    /// VMs.
    pub peer: SocketAddr,
    /// For metrics collectors that do not know the operators' address. `None` if there is no
    /// separate address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<SocketAddr>,
}

/// Limits that apply to all VMs together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SharedLimits {
    /// Retries permitted per request of a service.
    pub retry_ratio: f64,
    /// Additional retries of a service permitted in each window.
    pub retry_extra: f64,
    /// The length of that window in seconds, in the range 0.1 to 3600.
    pub retry_window_s: f64,
    /// By how much the limits of accounts may be exceeded in a window, as a share of what they
    /// permit in it. Default: 0.
    #[serde(default)]
    pub account_share: Option<f64>,
    /// By how much they may be exceeded in addition, in the unit of the limit. Default: 0.
    #[serde(default)]
    pub account_extra: Option<f64>,
    /// The length of the window of the account limits in seconds, at most 3600. Default: 0.
    #[serde(default)]
    pub account_window_s: Option<f64>,
}

impl SharedLimits {
    /// Returns by how much the limits of accounts may be exceeded. Values that are not set count as
    /// 0.
    pub fn accounts(&self) -> LimitSlack {
        LimitSlack {
            share: self.account_share.unwrap_or_default(),
            extra: self.account_extra.unwrap_or_default(),
            window: Duration::from_secs_f64(self.account_window_s.unwrap_or_default()),
        }
    }

    /// Returns the retry budget.
    pub fn retries(&self) -> RetryLimits {
        RetryLimits {
            ratio: self.retry_ratio,
            extra: self.retry_extra,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }
}

/// The settings of one daemon. Unknown fields are ignored, and each is logged once at startup.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatewaySettings {
    /// The name of this VM.
    pub vm: VmName,
    /// The data centre of this VM.
    pub data_centre: DataCentreName,
    /// The region of each data centre.
    pub regions: BTreeMap<DataCentreName, RegionName>,
    /// The addresses on which the daemon listens.
    pub addresses: GatewayAddresses,
    /// Addresses of some other VMs. Their ports are ignored, since all VMs use the same peer port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's service.
    pub platform: SocketAddr,
    /// Limits that apply to all VMs together.
    pub limits: SharedLimits,
    /// The share of the slots that become free which goes to requests that more urgent ones keep
    /// from starting. Default: 0.05, so that the least urgent requests wait for seconds rather than
    /// for ever, and urgent ones lose little.
    #[serde(default = "default_floor_share")]
    pub floor_share: f64,
    /// The processor capacity of this VM in cores. Larger VMs are the first to take requests, and
    /// take more of them. Default: 1.
    #[serde(default = "default_cores")]
    pub cores: CoreShare,
    /// The memory of this VM, of which the bodies and answers that it holds take at most half. Default:
    /// the memory that the system reports, at most 160 MiB.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory: Option<ByteSize>,
    /// The time in seconds from the signal to stop to the forced end of the process.
    pub grace_s: f64,
    /// The least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`. Default:
    /// `info`.
    #[serde(default = "default_log")]
    pub log: String,
    /// The unknown fields.
    #[serde(flatten)]
    pub unknown: BTreeMap<String, serde_json::Value>,
}

fn default_floor_share() -> f64 {
    DEFAULT_FLOOR_SHARE
}

fn default_cores() -> CoreShare {
    CoreShare::ONE
}

fn default_log() -> String {
    "info".to_owned()
}

impl CheckedSettings for GatewaySettings {
    fn fault(&self) -> Option<SettingsFault> {
        if !self.regions.contains_key(&self.data_centre) {
            return Some(SettingsFault {
                field: "regions",
                message: "expected the region of this VM's data centre",
            });
        }
        if !(self.limits.retry_ratio >= 0.0 && self.limits.retry_extra >= 0.0) {
            return Some(SettingsFault {
                field: "limits",
                message: "expected retry_ratio and retry_extra of at least 0",
            });
        }
        if !(0.1..=3_600.0).contains(&self.limits.retry_window_s) {
            return Some(SettingsFault {
                field: "limits.retry_window_s",
                message: "expected 0.1 to 3600 seconds",
            });
        }
        let slack = [self.limits.account_share, self.limits.account_extra];
        if !slack.into_iter().flatten().all(|it| (0.0..=1e15).contains(&it)) {
            return Some(SettingsFault {
                field: "limits",
                message: "expected account_share and account_extra of at least 0",
            });
        }
        if !self.limits.account_window_s.is_none_or(|it| (0.0..=3_600.0).contains(&it)) {
            return Some(SettingsFault {
                field: "limits.account_window_s",
                message: "expected 0 to 3600 seconds",
            });
        }
        if !(0.0..=1.0).contains(&self.floor_share) {
            return Some(SettingsFault { field: "floor_share", message: "expected 0 to 1" });
        }
        if self.cores == CoreShare::default() {
            return Some(SettingsFault { field: "cores", message: "expected more than 0 cores" });
        }
        if self.memory.is_some_and(|memory| memory < MIN_VM_MEMORY) {
            return Some(SettingsFault { field: "memory", message: "expected at least 32MiB" });
        }
        if !(0.5..=3_600.0).contains(&self.grace_s) {
            return Some(SettingsFault {
                field: "grace_s",
                message: "expected 0.5 to 3600 seconds",
            });
        }
        None
    }
}

impl GatewaySettings {
    /// Reads the settings from a file and validates them.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not YAML of the expected structure, or has a value out of
    /// range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_settings(path)
    }

    /// Returns the region of this VM.
    pub fn region(&self) -> &RegionName {
        &self.regions[&self.data_centre]
    }

    /// Returns the memory of this VM.
    pub fn vm_memory(&self) -> ByteSize {
        self.memory.unwrap_or_else(|| {
            let system = sysinfo();
            let bytes = system.totalram.saturating_mul(u64::from(system.mem_unit));
            ByteSize(bytes).clamp(MIN_VM_MEMORY, DEFAULT_VM_MEMORY)
        })
    }

    /// Returns the number of regions that may exist.
    pub fn region_count(&self) -> usize {
        let regions: BTreeSet<&RegionName> = self.regions.values().collect();
        regions.len()
    }

    /// Returns the addresses at which the seeds receive heartbeats. This VM is left out.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.addresses.peer.port();
        let peers = self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port));
        peers.filter(|peer| *peer != self.addresses.peer).collect()
    }
}
