//! The routes of opaque requests, published as one value and looked up by host and longest path
//! prefix.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::account_table::{AccountDescription, AccountTable};
use super::priority_level::{LevelTable, PriorityLevel};
use crate::ids::{RegionName, RouteName, ServiceName};

/// The version of a route description; a larger one is newer.
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

/// Whether and how a request of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Once,
    /// Is answered with a stream of events and runs at most once.
    Stream,
    /// Is answered with a stream of events. Another upstream can continue after the last event that
    /// was passed on.
    ResumableStream,
}

impl RepeatKind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether the request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// A service that receives a share of the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight, relative to the sum of all weights of the route.
    pub weight: f64,
}

/// Callers leave a stream after a pause of this many times its target time, of
/// [`PATIENCE_GAPS`] times its target event gap, or of [`MIN_PATIENCE`], whichever is longest.
const PATIENCE_TARGETS: u32 = 4;
const PATIENCE_GAPS: u32 = 8;
const MIN_PATIENCE: Duration = Duration::from_secs(2);

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpaqueRoute {
    /// Its name.
    pub name: RouteName,
    /// The host that callers use, in lower case.
    pub host: String,
    /// The path prefix, which starts and ends with a slash.
    pub path_prefix: String,
    /// Whether and how its requests may be repeated.
    pub repeat: RepeatKind,
    /// The maximum duration of a request.
    pub timeout: Duration,
    /// The target time to the answer, or to its first event.
    pub target: Duration,
    /// The target for the longest pause between two events; `None` if there is none.
    pub event_gap: Option<Duration>,
    /// The priority compared to other routes of the same service; 0 is the highest.
    pub priority: u8,
    /// The maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// The services that run the requests.
    pub services: Vec<WeightedService>,
    /// The regions in which requests may run; all if empty.
    pub homes: Vec<RegionName>,
    /// Whether requests that share the start of their prompt should be sent to the same upstream.
    pub affinity: bool,
}

impl OpaqueRoute {
    /// Whether requests of another route run at the same services.
    pub fn uses_same_services(&self, other: &Self) -> bool {
        let names = |route: &Self| -> BTreeSet<ServiceName> {
            route.services.iter().map(|weighted| weighted.service.clone()).collect()
        };
        names(self) == names(other)
    }

    /// Whether requests of the route may run in a region.
    pub fn permits(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// Returns how long callers of a stream wait for its first event, and between two events,
    /// before they leave. `None` if the answer is no stream.
    pub fn caller_patience(&self) -> Option<Duration> {
        if !self.repeat.is_stream() {
            return None;
        }
        let by_gap = self.event_gap.unwrap_or_default() * PATIENCE_GAPS;
        Some(MIN_PATIENCE.max(self.target * PATIENCE_TARGETS).max(by_gap))
    }

    /// Picks the service for one request. `draw` is a uniform random number in 0..1.
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

/// A service that runs opaque requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpaqueService {
    /// Its name.
    pub name: ServiceName,
    /// The path of the health check of an instance.
    pub health_path: String,
    /// The maximum number of connections that one instance accepts from all VMs together; 0 for no
    /// limit.
    pub connection_limit: u32,
    /// How long an instance stays cold after its start.
    pub cold_time: Duration,
    /// The requests per second that a cold instance can handle from all VMs together. With 0 it
    /// gets no requests until it is warm.
    pub cold_rate: f64,
    /// The size of an instance's prompt cache in tokens, for services that run a model.
    pub prompt_memory: Option<u64>,
    /// The prompt tokens per second that an instance can fetch from another one; `None` if it
    /// cannot.
    pub fetch_rate: Option<f64>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// The maximum time that a caller may take to send a request head.
    pub header_time: Duration,
    /// How long an idle connection is kept open.
    pub idle_time: Duration,
}

/// All routes of one deployment, as one versioned value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteDescription {
    /// The version. A process never goes back to a smaller one.
    pub version: RouteVersion,
    /// The routes.
    pub routes: Vec<Arc<OpaqueRoute>>,
    /// The services.
    pub services: Vec<OpaqueService>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The client accounts; `None` if requests need no key. Sent alongside the description, so that
    /// daemons without support for accounts can still read it.
    #[serde(skip)]
    pub accounts: Option<Arc<AccountDescription>>,
}

/// A route description with its lookup tables.
#[derive(Debug)]
pub struct RouteTable {
    description: RouteDescription,
    /// The indexes of each host's routes, the longest path prefix first.
    hosts: BTreeMap<String, Vec<usize>>,
    services: BTreeMap<ServiceName, usize>,
    accounts: AccountTable,
    /// The priority levels of the services whose upstreams start requests by priority.
    levels: BTreeMap<ServiceName, LevelTable>,
}

impl RouteTable {
    /// Builds the lookup tables.
    pub fn new(description: RouteDescription) -> Self {
        let mut hosts: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in description.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            // Of two routes with the same prefix all VMs use the same one, whatever order they hold
            // them in.
            routes.sort_by(|left, right| {
                let (left, right) = (&description.routes[*left], &description.routes[*right]);
                let by_length = right.path_prefix.len().cmp(&left.path_prefix.len());
                by_length.then_with(|| left.name.cmp(&right.name))
            });
        }
        let services = description.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index)).collect();
        let accounts = AccountTable::new(description.accounts.as_deref());
        let levels = level_tables(&description);
        Self { description, hosts, services, accounts, levels }
    }

    /// Returns the description.
    pub fn description(&self) -> &RouteDescription {
        &self.description
    }

    /// Returns the version.
    pub fn version(&self) -> RouteVersion {
        self.description.version
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &AccountTable {
        &self.accounts
    }

    /// Whether requests of a route need a key.
    pub fn needs_key(&self, route: &RouteName) -> bool {
        let accounts = self.description.accounts.as_ref();
        accounts.is_some_and(|accounts| !accounts.open_routes.contains(route))
    }

    /// Returns the route with the longest path prefix that matches a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<OpaqueRoute>> {
        let routes = self.routes_of(host)?;
        let index = routes.iter().find(|index| self.matches(**index, path))?;
        Some(&self.description.routes[*index])
    }

    /// Returns a route with resumable streams, of this table or of a later one, whose requests go to
    /// other services by the later one. `None` if there is none.
    pub fn moved_route<'a>(&'a self, later: &'a Self) -> Option<&'a Arc<OpaqueRoute>> {
        let is_resumable = |route: &&Arc<OpaqueRoute>| route.repeat == RepeatKind::ResumableStream;
        let is_moved = |route: &&Arc<OpaqueRoute>| {
            let before = self.find(&route.host, &route.path_prefix);
            let after = later.find(&route.host, &route.path_prefix);
            before.zip(after).is_some_and(|(before, after)| !before.uses_same_services(after))
        };
        let (held, new) = (&self.description.routes, &later.description.routes);
        held.iter().chain(new).filter(is_resumable).find(is_moved)
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

    /// Returns how many region-bound routes of a host permit a region. The directory answers for a
    /// whole host, whose routes may be bound to different regions.
    pub fn bound_routes_in(&self, host: &str, region: &RegionName) -> usize {
        let Some(routes) = self.routes_of(host) else { return 0 };
        let homes = routes.iter().map(|index| &self.description.routes[*index].homes);
        homes.filter(|homes| homes.contains(region)).count()
    }

    /// Whether any route of a host is bound to regions.
    pub fn has_bound_routes(&self, host: &str) -> bool {
        let Some(routes) = self.routes_of(host) else { return false };
        routes.iter().any(|index| !self.description.routes[*index].homes.is_empty())
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&OpaqueService> {
        self.services.get(name).map(|index| &self.description.services[*index])
    }

    /// Returns the level of a request of a service by the priorities of its account and its route.
    /// `None` if the service has no levels.
    pub fn level(
        &self,
        service: &ServiceName,
        account: Option<u8>,
        route: &OpaqueRoute,
    ) -> Option<PriorityLevel> {
        let table = self.levels.get(service)?;
        Some(table.level(account, route.priority))
    }

    /// Returns the priority levels of a service. `None` if it has none.
    pub fn levels(&self, service: &ServiceName) -> Option<&LevelTable> {
        self.levels.get(service)
    }

    /// Whether any service has priority levels.
    pub fn has_levels(&self) -> bool {
        !self.levels.is_empty()
    }

    /// Whether the description lists a service or a route uses it.
    pub fn names_service(&self, name: &ServiceName) -> bool {
        let is_routed =
            |route: &Arc<OpaqueRoute>| route.services.iter().any(|it| it.service == *name);
        self.services.contains_key(name) || self.description.routes.iter().any(is_routed)
    }
}

/// Returns the level tables of the services that run a model and whose requests differ in priority.
/// Upstreams of other services start requests in order of arrival.
fn level_tables(description: &RouteDescription) -> BTreeMap<ServiceName, LevelTable> {
    let accounts: Vec<Option<u8>> = description
        .accounts
        .iter()
        .flat_map(|accounts| accounts.accounts.values().map(|account| account.priority))
        .collect();
    let models = description.services.iter().filter(|service| service.prompt_memory.is_some());
    let table = |service: &OpaqueService| {
        let uses =
            |route: &&Arc<OpaqueRoute>| route.services.iter().any(|it| it.service == service.name);
        let routes: Vec<&Arc<OpaqueRoute>> = description.routes.iter().filter(uses).collect();
        let priorities: Vec<u8> = routes.iter().map(|route| route.priority).collect();
        let shortest = routes.iter().map(|route| route.target).min().unwrap_or(Duration::MAX);
        let table = LevelTable::new(&accounts, &priorities).with_shortest_target(shortest);
        (service.name.clone(), table)
    };
    models.map(table).filter(|(_, table)| table.is_ranked()).collect()
}
