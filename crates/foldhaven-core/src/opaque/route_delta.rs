//! Deltas between two versions of a description, so that VMs send each other only what has changed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::account_table::AccountDelta;
use super::route_table::{
    CallerLimits, OpaqueRoute, OpaqueService, RouteDescription, RouteVersion,
};
use crate::ids::RouteName;

/// Why a delta cannot be applied or combined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum DeltaError {
    /// the delta from version {after} does not apply to version {base}, which is held
    Gap {
        /// The version at which the delta starts.
        after: RouteVersion,
        /// The version that is held.
        base: RouteVersion,
    },
    /// the delta produces {produced} routes instead of {expected}
    Count {
        /// The resulting number of routes.
        produced: usize,
        /// The number of routes in the target description.
        expected: usize,
    },
}

/// The delta between two versions of a description.
///
/// It applies to the version at which it starts, and to the versions that it was combined over. It
/// does not apply to other versions in between: the delta lacks anything that such a version
/// changed and the target version has as it was before. VMs read versions at their own pace, and
/// one skips versions that another one holds. Applied to these, the delta silently produced
/// descriptions with the newest version number and routes of an older one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteDelta {
    after: RouteVersion,
    version: RouteVersion,
    /// The routes that are new or changed.
    written: Vec<Arc<OpaqueRoute>>,
    removed: Vec<RouteName>,
    /// All services, if any of them changed.
    services: Option<Vec<OpaqueService>>,
    limits: Option<CallerLimits>,
    /// The number of routes in the target version.
    count: usize,
    /// The intermediate versions that the delta was combined over. A datagram carries a delta of a
    /// single step, which has none; otherwise, they are sent alongside the delta.
    #[serde(skip)]
    through: Vec<RouteVersion>,
    /// The changes of the accounts, which are sent alongside the delta.
    #[serde(skip)]
    accounts: AccountDelta,
}

impl RouteDelta {
    /// Returns the delta between two descriptions; `None` if routes in one of them share a name,
    /// which then does not identify them.
    pub fn between(base: &RouteDescription, target: &RouteDescription) -> Option<Self> {
        let (old_routes, new_routes) = (by_name(base)?, by_name(target)?);
        let is_changed = |route: &&Arc<OpaqueRoute>| old_routes.get(&route.name) != Some(route);
        let removed = old_routes.keys().filter(|name| !new_routes.contains_key(*name));
        Some(Self {
            after: base.version,
            version: target.version,
            written: target.routes.iter().filter(is_changed).cloned().collect(),
            removed: removed.map(|name| (*name).clone()).collect(),
            services: (base.services != target.services).then(|| target.services.clone()),
            limits: (base.limits != target.limits).then_some(target.limits),
            count: target.routes.len(),
            through: Vec::new(),
            accounts: AccountDelta::between(base.accounts.as_deref(), target.accounts.as_deref()),
        })
    }

    /// Returns the target version.
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// Returns the intermediate versions that the delta was combined over, to which it applies as
    /// well.
    pub fn through(&self) -> &[RouteVersion] {
        &self.through
    }

    /// Returns the same delta with the intermediate versions that were sent alongside it.
    pub fn with_through(self, through: Vec<RouteVersion>) -> Self {
        Self { through, ..self }
    }

    /// Returns the changes of the accounts.
    pub fn accounts(&self) -> &AccountDelta {
        &self.accounts
    }

    /// Returns the same delta with the changes of the accounts.
    pub fn with_accounts(self, accounts: AccountDelta) -> Self {
        Self { accounts, ..self }
    }

    /// Whether the delta applies to a version.
    fn applies_to(&self, version: RouteVersion) -> bool {
        version == self.after || self.through.contains(&version)
    }

    /// Returns how many routes and accounts the delta writes or removes.
    pub fn size(&self) -> usize {
        self.written.len() + self.removed.len() + self.accounts.size()
    }

    /// Applies the delta to the description that is held. Returns the target description.
    ///
    /// # Errors
    ///
    /// If the delta does not apply to the version that is held, or a different description with
    /// this version is held.
    pub fn apply(&self, base: &RouteDescription) -> Result<RouteDescription, DeltaError> {
        if !self.applies_to(base.version) {
            return Err(DeltaError::Gap { after: self.after, base: base.version });
        }
        let removed: BTreeSet<&RouteName> = self.removed.iter().collect();
        let mut written: BTreeMap<&RouteName, &Arc<OpaqueRoute>> =
            self.written.iter().map(|route| (&route.name, route)).collect();
        let kept = base.routes.iter().filter(|route| !removed.contains(&route.name));
        let mut routes: Vec<Arc<OpaqueRoute>> =
            kept.map(|route| written.remove(&route.name).unwrap_or(route).clone()).collect();
        routes.extend(self.written.iter().filter(|it| written.contains_key(&it.name)).cloned());
        if routes.len() != self.count {
            return Err(DeltaError::Count { produced: routes.len(), expected: self.count });
        }
        Ok(RouteDescription {
            version: self.version,
            routes,
            services: self.services.clone().unwrap_or_else(|| base.services.clone()),
            limits: self.limits.unwrap_or(base.limits),
            accounts: match &self.accounts {
                AccountDelta::Same => base.accounts.clone(),
                changed => changed.apply(base.accounts.as_deref()).map(Arc::new),
            },
        })
    }

    /// Combines this delta and the next one into one, without what the next one overwrites.
    ///
    /// # Errors
    ///
    /// If the next delta does not start where this one ends.
    pub fn followed_by(&self, next: &Self) -> Result<Self, DeltaError> {
        if !next.applies_to(self.version) {
            return Err(DeltaError::Gap { after: next.after, base: self.version });
        }
        let written_later: BTreeSet<&RouteName> = next.written.iter().map(|it| &it.name).collect();
        let removed_later: BTreeSet<&RouteName> = next.removed.iter().collect();
        let is_final =
            |name: &RouteName| !written_later.contains(name) && !removed_later.contains(name);
        let written = self.written.iter().filter(|route| is_final(&route.name));
        let removed = self.removed.iter().filter(|name| is_final(name));
        let later = next.through.iter().filter(|version| **version > self.version);
        let through = self.through.iter().chain([&self.version]).chain(later);
        Ok(Self {
            after: self.after,
            version: next.version,
            through: through.copied().collect(),
            written: written.chain(&next.written).cloned().collect(),
            removed: removed.chain(&next.removed).cloned().collect(),
            services: next.services.clone().or_else(|| self.services.clone()),
            limits: next.limits.or(self.limits),
            count: next.count,
            accounts: self.accounts.followed_by(&next.accounts),
        })
    }
}

/// Returns the routes by name; `None` if two share one.
fn by_name(description: &RouteDescription) -> Option<BTreeMap<&RouteName, &Arc<OpaqueRoute>>> {
    let routes: BTreeMap<&RouteName, &Arc<OpaqueRoute>> =
        description.routes.iter().map(|route| (&route.name, route)).collect();
    (routes.len() == description.routes.len()).then_some(routes)
}
