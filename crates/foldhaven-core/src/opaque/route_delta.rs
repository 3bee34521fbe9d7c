//! What changes between two versions of a description, so that VMs tell each other no more than that.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::account_table::AccountDelta;
use super::route_table::{
    CallerLimits, OpaqueRoute, OpaqueService, RouteDescription, RouteVersion,
};
use crate::ids::RouteName;

/// Why a difference does not lead from the description that is held to a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum DeltaError {
    /// the difference begins at version {after} and says nothing of what {held}, which is held, changed
    Gap {
        /// The version that it begins at.
        after: RouteVersion,
        /// The version that is held.
        base: RouteVersion,
    },
    /// the difference makes {made} routes where there are {wanted}
    Count {
        /// How many routes came out.
        produced: usize,
        /// How many the description has.
        expected: usize,
    },
}

/// The difference between two versions of a description.
///
/// It leads from the version that it begins at, and from those that it was put together over. It does not lead from other
/// versions between the two: what one of them changed and the newer version has as it was before is not in it. VMs read
/// at their own pace, and one skips versions that another one holds; applied there, such a difference made descriptions of
/// the newest name with routes of an older one, which nothing showed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteDelta {
    after: RouteVersion,
    version: RouteVersion,
    /// The routes that are new or differ.
    written: Vec<Arc<OpaqueRoute>>,
    removed: Vec<RouteName>,
    /// All services, when any of them differs.
    services: Option<Vec<OpaqueService>>,
    limits: Option<CallerLimits>,
    /// How many routes the newer version has.
    count: usize,
    /// The versions that it was put together over. A datagram tells a difference of one step, which has none; where there are
    /// some, they are told beside it.
    #[serde(skip)]
    through: Vec<RouteVersion>,
    /// What changes of the accounts; told beside the rest.
    #[serde(skip)]
    accounts: AccountDelta,
}

impl RouteDelta {
    /// The difference between two descriptions; nothing when routes in one of them share a name, so that
    /// names do not tell them apart.
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

    /// The version that it leads to.
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// The versions that it was put together over, from which it leads as well.
    pub fn through(&self) -> &[RouteVersion] {
        &self.through
    }

    /// The same difference, told to be put together over these versions.
    pub fn with_through(self, through: Vec<RouteVersion>) -> Self {
        Self { through, ..self }
    }

    /// What changes of the accounts.
    pub fn accounts(&self) -> &AccountDelta {
        &self.accounts
    }

    /// The same difference with what changes of the accounts.
    pub fn with_accounts(self, accounts: AccountDelta) -> Self {
        Self { accounts, ..self }
    }

    /// Whether it leads from a version to the newer one.
    fn applies_to(&self, version: RouteVersion) -> bool {
        version == self.after || self.through.contains(&version)
    }

    /// How many routes and accounts it writes or removes.
    pub fn size(&self) -> usize {
        self.written.len() + self.removed.len() + self.accounts.size()
    }

    /// The newer description, from the one that is held.
    ///
    /// # Errors
    ///
    /// When it does not lead from the version that is held, or the description that is held is another one.
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

    /// One difference in place of this one and the next: what the next one writes again is dropped.
    ///
    /// # Errors
    ///
    /// When the next one does not lead from where this one ends.
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

/// The routes by their names; nothing when two share one.
fn by_name(description: &RouteDescription) -> Option<BTreeMap<&RouteName, &Arc<OpaqueRoute>>> {
    let routes: BTreeMap<&RouteName, &Arc<OpaqueRoute>> =
        description.routes.iter().map(|route| (&route.name, route)).collect();
    (routes.len() == description.routes.len()).then_some(routes)
}
