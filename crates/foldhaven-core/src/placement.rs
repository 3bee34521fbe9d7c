//! Which engines hold which models, and the fenced orders that bring that about.
//!
//! The assignment is a pure function of the description and the live view, the same on every
//! daemon. Each engine has one issuer by rank; two that both believe they are it issue the same
//! orders, and the fence puts them in order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::description::DescriptionIndex;
use crate::ids::{DataCentreName, IncarnationId, ModelName, UpstreamName, VmName};
use crate::load::{EngineLoad, OrderFence};
use crate::rank::{rank_by, rank_hash};

/// How many engines of one data centre may load weights at once, for the weight store's sake.
pub const MAX_LOADING_ENGINES: usize = 2;

/// What an engine is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum OrderAction {
    /// Load a version of a model next to what it holds. Harmless twice and late.
    Load {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        version: String,
    },
    /// Drop a version of a model.
    Unload {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        version: String,
    },
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The engine.
    pub engine: UpstreamName,
    /// The fence that puts it in order with others.
    pub fence: OrderFence,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Assigns each engine of a data centre at most one model.
///
/// An engine that holds the model already goes first, then the one that ranks highest, so that a
/// change of the description moves as few models as it can.
pub fn assign_models(
    index: &DescriptionIndex,
    centre: &DataCentreName,
    engines: &[EngineLoad],
) -> BTreeMap<UpstreamName, ModelName> {
    let mut assigned = BTreeMap::new();
    let usable = |load: &&EngineLoad| !load.leaving;
    for deployment in index.deployments_in(centre) {
        let key = deployment.model.as_str();
        let loads = engines.iter().filter(usable);
        let mut ranked = rank_by(key, loads, |load| load.engine.as_str());
        let holds = |load: &EngineLoad| load.models.iter().any(|it| it.model == deployment.model);
        ranked.sort_by_key(|load| !holds(load));
        let free = ranked.into_iter().filter(|load| !assigned.contains_key(&load.engine));
        let chosen: Vec<&EngineLoad> = free.take(deployment.engines as usize).collect();
        for load in chosen {
            assigned.insert(load.engine.clone(), deployment.model.clone());
        }
    }
    assigned
}

/// The daemon that polls an engine and gives it orders.
pub fn issuer_of<'a>(engine: &UpstreamName, serving: &'a [VmName]) -> Option<&'a VmName> {
    serving.iter().max_by_key(|vm| rank_hash(&[engine.as_str(), vm.as_str()]))
}

/// The orders that are due now, for the engines of which `issuer` is the issuer.
///
/// An engine that does not check fences is only told to load. At most [`MAX_LOADING_ENGINES`] engines of
/// the data centre load at once.
pub fn due_orders(
    index: &DescriptionIndex,
    centre: &DataCentreName,
    engines: &[EngineLoad],
    issuer: (&VmName, IncarnationId),
    serving: &[VmName],
) -> Vec<EngineOrder> {
    let assigned = assign_models(index, centre, engines);
    let is_loading = |load: &&EngineLoad| load.models.iter().any(|held| !held.ready);
    let mut loading = engines.iter().filter(is_loading).count();
    let mut orders = Vec::new();
    for load in engines {
        let Some(model) = assigned.get(&load.engine) else { continue };
        let Some(config) = index.model(model) else { continue };
        let held = load.models.iter().find(|held| held.model == *model);
        let current = held.is_some_and(|held| held.version == config.version);
        let own = issuer_of(&load.engine, serving) == Some(issuer.0);
        let fence = next_fence(index, load, issuer.1);
        if !current {
            loading += 1;
            if own && loading <= MAX_LOADING_ENGINES {
                let (model, version) = (model.clone(), config.version.clone());
                let action = OrderAction::Load { model, version };
                orders.push(EngineOrder { engine: load.engine.clone(), fence, action });
            }
        } else if own && load.holds(config) && checks_fences(index, &load.engine) {
            let surplus = load.models.iter().find(|held| {
                held.ready && (held.model != *model || held.version != config.version)
            });
            if let Some(held) = surplus {
                let (model, version) = (held.model.clone(), held.version.clone());
                let action = OrderAction::Unload { model, version };
                orders.push(EngineOrder { engine: load.engine.clone(), fence, action });
            }
        }
    }
    orders
}

fn checks_fences(index: &DescriptionIndex, engine: &UpstreamName) -> bool {
    !index.description.fences.unchecked.contains(engine)
}

fn next_fence(
    index: &DescriptionIndex,
    load: &EngineLoad,
    incarnation: IncarnationId,
) -> OrderFence {
    OrderFence {
        generation: index.stamp.generation,
        sequence: load.fence.sequence + 1,
        incarnation: incarnation.0,
    }
}
