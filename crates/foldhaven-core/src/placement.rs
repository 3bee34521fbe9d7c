//! Assignment of models to engines, and the fenced orders that implement it.
//!
//! The assignment is a pure function of the description and the live view, so every daemon computes
//! the same one. The daemon with the highest rank for an engine is its issuer. If two daemons both
//! act as the issuer, they issue the same orders, and an engine refuses those whose fence is
//! smaller than that of the last order it accepted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::description::DescriptionIndex;
use crate::ids::{DataCentreName, IncarnationId, ModelName, UpstreamName, VmName};
use crate::load::{EngineLoad, OrderFence};
use crate::rank::{rank_by, rank_hash};

/// Maximum number of engines of one data centre that load weights at once. It limits the load on
/// the weight store.
pub const MAX_LOADING_ENGINES: usize = 2;

/// The action of an order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "action")]
pub enum OrderAction {
    /// Load a version of a model in addition to the models that the engine holds. Harmless if
    /// executed twice or late.
    Load {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        version: String,
    },
    /// Unload a version of a model.
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
    /// The fence, which orders this order among others to the engine.
    pub fence: OrderFence,
    /// What the engine must do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Assigns each engine of a data centre at most one model.
///
/// Engines that already hold the model are preferred, then those with the highest rank, so that a
/// change of the description moves as few models as possible.
pub fn assign_models(
    index: &DescriptionIndex,
    centre: &DataCentreName,
    engines: &[EngineLoad],
) -> BTreeMap<UpstreamName, ModelName> {
    let mut assigned = BTreeMap::new();
    let is_usable = |load: &&EngineLoad| !load.leaving;
    for deployment in index.deployments_in(centre) {
        let key = deployment.model.as_str();
        let loads = engines.iter().filter(is_usable);
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

/// Returns the VM whose daemon polls an engine and issues its orders, `None` if no VM serves.
pub fn issuer_of<'a>(engine: &UpstreamName, serving: &'a [VmName]) -> Option<&'a VmName> {
    serving.iter().max_by_key(|vm| rank_hash(&[engine.as_str(), vm.as_str()]))
}

/// Returns the orders that are due now for the engines of which `issuer` is the issuer.
///
/// An engine that does not check fences gets load orders only. At most [`MAX_LOADING_ENGINES`]
/// engines of the data centre load at once.
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
        let is_current = held.is_some_and(|held| held.version == config.version);
        let is_issuer = issuer_of(&load.engine, serving) == Some(issuer.0);
        let fence = next_fence(index, load, issuer.1);
        if !is_current {
            loading += 1;
            if is_issuer && loading <= MAX_LOADING_ENGINES {
                let (model, version) = (model.clone(), config.version.clone());
                let action = OrderAction::Load { model, version };
                orders.push(EngineOrder { engine: load.engine.clone(), fence, action });
            }
        } else if is_issuer && load.holds(config) && checks_fences(index, &load.engine) {
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
