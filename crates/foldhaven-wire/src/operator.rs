//! What daemons tell operators, as JSON over HTTP on the peer address.

use foldhaven_core::burn::BurnRow;
use foldhaven_core::ids::{DataCentreName, IncarnationId, VmName};
use foldhaven_core::opaque::choice::CostBreakdown;
use foldhaven_core::planner::RoutePlan;
use serde::{Deserialize, Serialize};

/// How a daemon fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonState {
    /// It takes requests.
    Serving,
    /// It finishes what it has and takes no more.
    Leaving,
    /// It has no description yet.
    NoDescription,
}

/// One upstream as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The name.
    pub name: String,
    /// Its models, `name@version` each, or its service.
    pub holds: Vec<String>,
    /// Requests running and queued by its last report.
    pub busy: u32,
    /// Its slots.
    pub slots: u32,
    /// Whether it gets no new work, because it is leaving.
    pub leaving: bool,
    /// The requests a second that it takes from all VMs together, where it names a limit.
    #[serde(default)]
    pub limit: Option<String>,
}

/// Another data centre as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// How old what is known of it is, in milliseconds.
    pub age_ms: u64,
    /// How many VMs serve there.
    pub serving: u32,
    /// The lowest and the highest stamp in force there.
    pub stamps: Option<(String, String)>,
    /// Peer addresses of some of its VMs.
    pub peers: Vec<String>,
}

/// The answer of `GET /operator/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// How it fares.
    pub state: DaemonState,
    /// The stamp of the description in force here.
    pub stamp: Option<String>,
    /// The digest of what that description says; VMs of one stamp have one.
    #[serde(default)]
    pub content: Option<String>,
    /// How many milliseconds ago it was proven that what is known here is all that is published.
    #[serde(default)]
    #[serde(rename = "belief_age_ms")]
    pub view_staleness_ms: Option<u64>,
    /// Why the last description offered was refused.
    pub refused: Option<String>,
    /// Requests under way.
    pub in_flight: u32,
    /// The other VMs of this data centre with their state and stamp.
    pub members: Vec<MemberStatus>,
    /// The upstreams of this data centre.
    pub upstreams: Vec<UpstreamStatus>,
    /// The other data centres.
    pub centres: Vec<CentreStatus>,
}

/// Another VM of the same data centre as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmName,
    /// `live`, `leaving` or `suspect`.
    pub state: String,
    /// The stamp in force there.
    pub stamp: Option<String>,
    /// Its peer address.
    pub peer: String,
}

/// The answer of `GET /operator/v1/explain`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// The VM that was asked.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The stamp of the description in force here.
    pub stamp: String,
    /// The options with their prices, as for a real request.
    pub plan: RoutePlan,
}

/// The answer of `GET /operator/v1/explain-route`: where an opaque request would go, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// The VM that was asked.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The version of the description in force here.
    pub version: u64,
    /// The route that the host and the path find.
    pub route: String,
    /// The service that the route names.
    pub service: String,
    /// The regions in which it may run; all when empty.
    pub homes: Vec<String>,
    /// The places that were priced, the cheapest first.
    #[serde(rename = "places")]
    pub destinations: Vec<DestinationPrice>,
    /// By how much another region must be cheaper than the best place of this one.
    pub region_margin: f64,
}

/// What one place is expected to take and to cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DestinationPrice {
    /// An upstream of the asked VM's region, or another region.
    pub name: String,
    /// Whether it is another region.
    #[serde(rename = "is_far")]
    pub is_remote: bool,
    /// The expected time to the answer, or to its first event, in milliseconds.
    #[serde(rename = "first_ms")]
    pub time_to_first_ms: u64,
    /// The prompt tokens that would have to be read.
    #[serde(rename = "read_tokens")]
    pub prefill_tokens: u32,
    /// The parts of its price, as shares of what the request is worth.
    #[serde(rename = "parts")]
    pub breakdown: CostBreakdown,
}

/// A request under which upstreams ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Its fingerprint, as in the log.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Its route, where the asked VM has held it back itself.
    pub route: Option<String>,
    /// `noted`, `on trial` (one VM at a time sends it on) or `refused`.
    pub state: String,
    /// The lives of upstreams that ended, by their tags; at most four are kept.
    pub upstreams: Vec<String>,
    /// How many trials were begun.
    #[serde(rename = "trials")]
    pub probes: u8,
    /// How often it was cleared.
    #[serde(rename = "pardons")]
    pub exonerations: u32,
    /// How long ago what is known of it has changed, in milliseconds.
    pub since_ms: u64,
    /// After how many milliseconds the asked VM may try it.
    #[serde(rename = "opens_ms")]
    pub probe_after_ms: Option<u64>,
}

/// The answer of `GET /operator/v1/suspects`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectsAnswer {
    /// The asked VM.
    pub vm: VmName,
    /// What it knows, the requests with the most ends first.
    pub rows: Vec<SuspectRow>,
}

/// The answer of `POST /operator/v1/suspects/clear`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearAnswer {
    /// The fingerprint.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Whether anything was held against it.
    pub is_cleared: bool,
}

/// A client account, as one VM knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Its name.
    pub account: String,
    /// How many keys it has; none is told.
    pub keys: usize,
    /// The regions in which its requests may run; all when empty.
    pub homes: Vec<String>,
    /// What its limit counts: `requests` or `tokens`; nothing where it has none.
    pub unit: Option<String>,
    /// What all VMs together let through a second.
    pub per_s: Option<f64>,
    /// What they let through at once above that.
    pub burst: Option<f64>,
    /// The part of the asked VM a second.
    #[serde(rename = "part_per_s")]
    pub share_per_s: Option<f64>,
    /// For how long that part has been in force, in milliseconds.
    #[serde(rename = "part_age_ms")]
    pub share_age_ms: Option<u64>,
    /// What that VM may let through at once; below 0 it is owed.
    pub level: Option<f64>,
    /// What callers want there a second.
    #[serde(rename = "want_per_s")]
    pub demand_per_s: Option<f64>,
    /// What was let through there since the start.
    pub let_through: f64,
    /// How many requests were refused there since the start.
    pub refused: u64,
}

/// The answer of `GET /operator/v1/accounts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountsAnswer {
    /// The asked VM.
    pub vm: VmName,
    /// The regions that there may be, its own included.
    pub regions: usize,
    /// Those that it does not hear, or that do not hear it.
    pub silent_regions: usize,
    /// The VMs of its region that there may be, itself included.
    pub vms: usize,
    /// Those that it does not hear.
    pub silent_vms: usize,
    /// Whether it has had the time to hear of the others.
    pub is_informed: bool,
    /// The accounts, by name.
    pub rows: Vec<AccountRow>,
}

/// The answer of `GET /operator/v1/burn`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnAnswer {
    /// The VM that was asked.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// A row per account and class, from the requests that this VM was the origin of.
    pub rows: Vec<BurnRow>,
    /// The share that is to be whole and on time, per class.
    pub targets: Vec<(String, f64)>,
}
