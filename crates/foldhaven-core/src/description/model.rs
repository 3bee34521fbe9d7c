//! The typed shape of a description, as operators write it in YAML.

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
    /// Counts up by one with each accepted edit.
    pub generation: u64,
    /// The stamp of the description that this one was edited from, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// What the users weigh.
    #[serde(default)]
    pub objective: ObjectiveConfig,
    /// One-way times of the network between parts.
    #[serde(default)]
    pub network: NetworkConfig,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// Which engines check the fence of an order.
    #[serde(default)]
    pub fences: FenceConfig,
    /// The regions with their data centres.
    pub regions: Vec<RegionConfig>,
    /// The models that engines can hold.
    #[serde(default)]
    pub models: Vec<ModelConfig>,
    /// How many engines of a data centre hold a model.
    #[serde(default)]
    pub deployments: Vec<DeploymentConfig>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
    /// The rules on where requests may run.
    pub residency: Vec<ResidencyConfig>,
    /// The request classes.
    pub classes: Vec<ClassConfig>,
    /// The client accounts.
    pub accounts: Vec<AccountConfig>,
}

/// What one unit of each thing that the users measure is worth, on one scale.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveConfig {
    /// The price of losing one unit of worth to lateness.
    pub lateness: f64,
    /// The price of sending one request away from its home region.
    pub away: f64,
    /// The price of one second of an engine slot.
    pub cost: f64,
}

impl Default for ObjectiveConfig {
    fn default() -> Self {
        Self { lateness: 1.0, away: 0.1, cost: 0.01 }
    }
}

/// One-way times of the network, used in estimates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkConfig {
    /// Between two VMs of data centres in one region.
    pub same_region: TimeSpan,
    /// Between two regions.
    pub cross_region: TimeSpan,
    /// Between a caller and its entry VM.
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

/// Limits on what callers may send.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsConfig {
    /// The largest request body.
    pub body: ByteSize,
    /// The longest deadline that a caller may ask for.
    pub deadline: TimeSpan,
    /// The longest time between two parts of a request body.
    pub body_pause: TimeSpan,
    /// How long a ticket for a request that is not repeatable holds.
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

/// Which engines check the fence of an order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FenceConfig {
    /// Engines that do not check fences; they get only orders that are harmless when late.
    pub unchecked: Vec<UpstreamName>,
}

/// One region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionConfig {
    /// The name of the region.
    pub name: RegionName,
    /// Its data centres.
    pub data_centres: Vec<DataCentreName>,
    /// The price of one second of an engine slot here, against other regions.
    #[serde(default = "default_price")]
    pub price: f64,
}

fn default_price() -> f64 {
    1.0
}

/// One model that engines can hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// The name by which callers ask for the model.
    pub name: ModelName,
    /// The version of its weights.
    pub version: String,
    /// The rate at which one engine reads a prompt.
    pub prefill: TokenRate,
    /// The rate at which one engine slot writes an answer.
    pub decode: TokenRate,
    /// How many requests one engine batches.
    pub slots: u32,
    /// The size of the weights.
    #[serde(default)]
    pub weights: ByteSize,
}

/// How many engines of one data centre are to hold a model.
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

/// One plain service; its instances stand in the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// The name, which is the first part of the path after `/service/`.
    pub name: ServiceName,
}

/// One rule on where requests may run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResidencyConfig {
    /// The name of the rule.
    pub name: RuleName,
    /// The regions that are permitted. The account's home region is permitted only if listed here
    /// or by `home`.
    #[serde(default)]
    pub regions: Vec<RegionName>,
    /// Whether the account's home region is permitted.
    #[serde(default)]
    pub home: bool,
}

/// What kind of upstream a class runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClassKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// One request class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// The name of the class.
    pub name: ClassName,
    /// What it runs on.
    pub kind: ClassKind,
    /// The model, for a class of kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The service, for a class of kind `service`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The deadline when the caller gives none.
    pub deadline: TimeSpan,
    /// What one request delivered whole and on time is worth.
    pub worth: f64,
    /// The residency rule.
    pub residency: RuleName,
    /// The longest answer, in tokens.
    #[serde(default)]
    pub max_output_tokens: u64,
    /// The share of requests that are to be whole and on time.
    #[serde(default = "default_target")]
    pub target: ShareRatio,
    /// Whether a request of this class may be run twice.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_target() -> ShareRatio {
    ShareRatio(0.99)
}

fn default_repeatable() -> bool {
    true
}

/// One client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountConfig {
    /// The name of the account.
    pub name: AccountName,
    /// Its home region.
    pub home: RegionName,
    /// A residency rule that goes before the one of the class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub residency: Option<RuleName>,
    /// The account's part of scarce capacity, against the other accounts.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn default_share() -> f64 {
    1.0
}
