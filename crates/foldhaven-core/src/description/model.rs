//! The schema of a description, as operators write it in YAML.

use serde::{Deserialize, Serialize};

use crate::ids::{
    AccountName, ClassName, DataCentreName, ModelName, RegionName, RuleName, ServiceName,
    UpstreamName,
};
use crate::units::{ByteSize, ShareRatio, TimeSpan, TokenRate};

/// The whole description of one deployment of foldhaven.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Description {
    /// The name of the deployment.
    pub name: String,
    /// The generation, incremented by one with each accepted edit.
    pub generation: u64,
    /// The stamp of the description from which this one was edited, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// The weights of the routing objective.
    #[serde(default)]
    pub objective: ObjectiveConfig,
    /// One-way network latencies.
    #[serde(default)]
    pub network: NetworkConfig,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// The engines that do not check the fences of orders.
    #[serde(default)]
    pub fences: FenceConfig,
    /// The regions and their data centres.
    pub regions: Vec<RegionConfig>,
    /// The models that engines can serve.
    #[serde(default)]
    pub models: Vec<ModelConfig>,
    /// The number of engines per data centre and model.
    #[serde(default)]
    pub deployments: Vec<DeploymentConfig>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
    /// The residency rules, which restrict the regions in which requests may run.
    pub residency: Vec<ResidencyConfig>,
    /// The request classes.
    pub classes: Vec<ClassConfig>,
    /// The client accounts.
    pub accounts: Vec<AccountConfig>,
}

/// Weights of the routing objective, on a common price scale.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveConfig {
    /// The price of losing one unit of worth to lateness. Default: 1.
    pub lateness: f64,
    /// The price of sending one request away from its home region. Default: 0.1.
    pub away: f64,
    /// The price of one second of an engine slot. Default: 0.01.
    pub cost: f64,
}

impl Default for ObjectiveConfig {
    fn default() -> Self {
        Self { lateness: 1.0, away: 0.1, cost: 0.01 }
    }
}

/// One-way network latencies, used in estimates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkConfig {
    /// Between VMs in data centres of the same region. Default: 1 ms.
    pub same_region: TimeSpan,
    /// Between two regions. Default: 55 ms.
    pub cross_region: TimeSpan,
    /// Between a caller and its entry VM. Default: 3 ms.
    pub caller: TimeSpan,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        Self {
            same_region: TimeSpan::from_millis(1),
            cross_region: TimeSpan::from_millis(55),
            caller: TimeSpan::from_millis(3),
        }
    }
}

/// Limits on requests of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsConfig {
    /// Maximum size of a request body. Default: 1 MiB.
    pub body: ByteSize,
    /// Maximum deadline that a caller may request. Default: 600 s.
    pub deadline: TimeSpan,
    /// Maximum time between two chunks of a request body. Default: 5 s.
    pub body_pause: TimeSpan,
    /// Validity of a ticket for a non-repeatable request. Default: 60 s.
    pub ticket: TimeSpan,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self {
            body: ByteSize(1 << 20),
            deadline: TimeSpan::from_secs(600),
            body_pause: TimeSpan::from_secs(5),
            ticket: TimeSpan::from_secs(60),
        }
    }
}

/// Which engines check the fences of orders. A fence is a token by which an engine refuses an order
/// that is older than the last one it accepted.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FenceConfig {
    /// Engines that do not check fences. They get only orders that are harmless if late.
    pub unchecked: Vec<UpstreamName>,
}

/// A region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// The name of the region.
    pub name: RegionName,
    /// The region's data centres.
    pub data_centres: Vec<DataCentreName>,
    /// The relative price of one second of an engine slot in this region. Default: 1.
    #[serde(default = "default_price")]
    pub price: f64,
}

fn default_price() -> f64 {
    1.0
}

/// A model that engines can serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The name by which callers request the model.
    pub name: ModelName,
    /// The version of its weights.
    pub version: String,
    /// The prefill rate of one engine.
    pub prefill: TokenRate,
    /// The decode rate of one engine slot.
    pub decode: TokenRate,
    /// The number of requests that one engine batches.
    pub slots: u32,
    /// The size of the weights.
    #[serde(default)]
    pub weights: ByteSize,
}

/// The number of engines in a data centre that must serve a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentConfig {
    /// The model.
    pub model: ModelName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The number of engines.
    pub engines: u32,
}

/// A plain service. Its instances are in the platform's list of upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name, which is the first segment of the request path after `/service/`.
    pub name: ServiceName,
}

/// A residency rule, which restricts the regions in which requests may run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResidencyConfig {
    /// The name of the rule.
    pub name: RuleName,
    /// The permitted regions. The account's home region is permitted only if it is listed here or
    /// `home` is true.
    #[serde(default)]
    pub regions: Vec<RegionName>,
    /// Whether the account's home region is permitted. Default: false.
    #[serde(default)]
    pub home: bool,
}

/// The kind of upstream that serves a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// The name of the class.
    pub name: ClassName,
    /// The kind of upstream that serves the class.
    pub kind: ClassKind,
    /// The model, for a class of kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The service, for a class of kind `service`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The deadline of requests that specify none.
    pub deadline: TimeSpan,
    /// The worth of a request that completes on time, on a scale common to all classes. If capacity
    /// is short, requests of less worth are refused first.
    pub worth: f64,
    /// The residency rule.
    pub residency: RuleName,
    /// Maximum length of an answer, in tokens.
    #[serde(default)]
    pub max_output_tokens: u64,
    /// The service level objective: the share of requests that must complete on time. Default: 99%.
    #[serde(default = "default_target")]
    pub target: ShareRatio,
    /// Whether requests of this class may run more than once. Default: true.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_target() -> ShareRatio {
    ShareRatio(0.99)
}

fn default_repeatable() -> bool {
    true
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// The name of the account.
    pub name: AccountName,
    /// The account's home region.
    pub home: RegionName,
    /// A residency rule that takes precedence over the rule of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub residency: Option<RuleName>,
    /// The account's share of scarce capacity, relative to the other accounts. Default: 1.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn default_share() -> f64 {
    1.0
}
