//! The routes of opaque requests, read as one value and looked up by host and longest path prefix.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::account_table::{AccountDescription, AccountTable};
use crate::ids::{RegionName, RouteName, ServiceName};

/// Orders the route descriptions of one deployment; a larger one is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteVersion(pub u64);

impl std::fmt::Display for RouteVersion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl std::str::FromStr for RouteVersion {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// What may be done again with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Once,
    /// Answers with events and runs at most once.
    Stream,
    /// Answers with events; another upstream can go on after the last event that was passed on.
    ResumableStream,
}

impl RepeatKind {
    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// A service that takes a part of the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, against the sum of all weights of the route.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpaqueRoute {
    /// Its name.
    pub name: RouteName,
    /// The host that callers name, in lower case.
    pub host: String,
    /// The start of the path, from slash to slash.
    pub path_prefix: String,
    /// What may be done again.
    pub repeat: RepeatKind,
    /// How long one request may be held.
    pub timeout: Duration,
    /// The time to the answer, or to its first event, that callers want.
    pub target: Duration,
    /// The longest wanted pause between two events.
    pub event_gap: Option<Duration>,
    /// The rank against other routes of the same service; 0 goes first.
    pub priority: u8,
    /// To how many upstreams one request may be sent.
    pub max_attempts: u32,
    /// The services that run it.
    pub services: Vec<WeightedService>,
    /// The regions in which it may run; all when empty.
    pub homes: Vec<RegionName>,
    /// Whether requests that share the start of their prompt should meet at one upstream.
    pub affinity: bool,
}

impl OpaqueRoute {
    /// Whether requests of the route may run in a region.
    pub fn permits(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// The service for one request. `draw` is uniform in 0..1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let sum: f64 = self.services.iter().map(|it| it.weight).sum();
        let mut rest = draw * sum;
        for candidate in &self.services {
            rest -= candidate.weight;
            if rest < 0.0 {
                return Some(&candidate.service);
            }
        }
        self.services.iter().rev().find(|it| it.weight > 0.0).map(|it| &it.service)
    }
}

/// One service that runs opaque requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpaqueService {
    /// Its name.
    pub name: ServiceName,
    /// The path that answers whether an instance is well.
    pub health_path: String,
    /// How many connections one instance takes from all VMs together.
    pub connection_limit: u32,
    /// How long an instance stays cold after its start.
    pub cold_time: Duration,
    /// How many requests a second a cold instance bears, from all VMs together; where none is described it gets nothing
    /// until it is warm.
    pub cold_rate: f64,
    /// The prompt memory of an instance in tokens, for services that run a model.
    pub prompt_memory: Option<u64>,
    /// How many prompt tokens a second an instance takes over from another one; nothing when it
    /// cannot.
    pub fetch_rate: Option<f64>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The longest time that a head may take.
    pub header_time: Duration,
    /// How long a connection is kept without a request.
    pub idle_time: Duration,
}

/// All routes of one deployment, as one value with a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteDescription {
    /// The version; one process never goes back to a smaller one.
    pub version: RouteVersion,
    /// The routes.
    pub routes: Vec<Arc<OpaqueRoute>>,
    /// The services.
    pub services: Vec<OpaqueService>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The client accounts; nothing where requests need no key. Told beside the rest, so that daemons that know of none
    /// read it as before.
    #[serde(skip)]
    pub accounts: Option<Arc<AccountDescription>>,
}

/// A route description with its look-ups.
#[derive(Debug)]
pub struct RouteTable {
    description: RouteDescription,
    /// For each host, its routes with the longest path prefix first.
    hosts: BTreeMap<String, Vec<usize>>,
    services: BTreeMap<ServiceName, usize>,
    accounts: AccountTable,
}

impl RouteTable {
    /// Makes the look-ups.
    pub fn new(description: RouteDescription) -> Self {
        let mut hosts: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in description.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            // Of two routes with the same prefix all VMs take the same one, in whatever order they hold them.
            routes.sort_by(|left, right| {
                let (left, right) = (&description.routes[*left], &description.routes[*right]);
                let by_length = right.path_prefix.len().cmp(&left.path_prefix.len());
                by_length.then_with(|| left.name.cmp(&right.name))
            });
        }
        let services = description.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let accounts = AccountTable::new(description.accounts.as_deref());
        Self { description, hosts, services, accounts }
    }

    /// The description.
    pub fn description(&self) -> &RouteDescription {
        &self.description
    }

    /// The version.
    pub fn version(&self) -> RouteVersion {
        self.description.version
    }

    /// The client accounts.
    pub fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Whether requests of a route need a key.
    pub fn needs_key(&self, route: &RouteName) -> bool {
        let accounts = self.description.accounts.as_ref();
        accounts.is_some_and(|accounts| !accounts.open_routes.contains(route))
    }

    /// The route of a request, by the longest prefix of its path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<OpaqueRoute>> {
        let routes = self.routes_of(host)?;
        let index = routes.iter().find(|index| self.matches(**index, path))?;
        Some(&self.description.routes[*index])
    }

    fn matches(&self, index: usize, path: &str) -> bool {
        path.starts_with(&self.description.routes[index].path_prefix)
    }

    fn routes_of(&self, host: &str) -> Option<&Vec<usize>> {
        let name = host.split(':').next().unwrap_or_default();
        if let Some(routes) = self.hosts.get(name) {
            return Some(routes);
        }
        self.hosts.get(&name.to_ascii_lowercase())
    }

    /// How many routes of a host that are bound to some regions permit this one. The directory
    /// answers for a whole host, whose routes may be bound to different regions.
    pub fn bound_routes_in(&self, host: &str, region: &RegionName) -> usize {
        let Some(routes) = self.routes_of(host) else { return 0 };
        let homes = routes.iter().map(|index| &self.description.routes[*index].homes);
        homes.filter(|homes| homes.contains(region)).count()
    }

    /// Whether any route of a host is bound to some regions.
    pub fn has_bound_routes(&self, host: &str) -> bool {
        let Some(routes) = self.routes_of(host) else { return false };
        routes.iter().any(|index| !self.description.routes[*index].homes.is_empty())
    }

    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&OpaqueService> {
        self.services.get(name).map(|index| &self.description.services[*index])
    }

    /// Whether the description names a service, of its own or for a route.
    pub fn names_service(&self, name: &ServiceName) -> bool {
        let is_routed =
            |route: &Arc<OpaqueRoute>| route.services.iter().any(|it| it.service == *name);
        self.services.contains_key(name) || self.description.routes.iter().any(is_routed)
    }
}
