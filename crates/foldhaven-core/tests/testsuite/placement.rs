//! Tests of the assignment of models to engines and of the resulting orders.

use foldhaven_core::ids::{IncarnationId, VmName};
use foldhaven_core::load::{EngineLoad, OrderFence};
use foldhaven_core::placement::{OrderAction, assign_models, due_orders, issuer_of};

use crate::support::{description, engine, index};

fn vms(names: &[&str]) -> Vec<VmName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

fn empty_engine(name: &str) -> EngineLoad {
    EngineLoad { models: Vec::new(), ..engine(name, 0, 0).load }
}

fn orders_of(
    loads: &[EngineLoad],
    issuer: &str,
    serving: &[VmName],
) -> Vec<foldhaven_core::placement::EngineOrder> {
    let issuer = (&issuer.parse().unwrap(), IncarnationId(9));
    due_orders(&index(), &"north-1".parse().unwrap(), loads, issuer, serving)
}

#[test]
fn engines_that_hold_a_model_keep_it() {
    let centre = "north-1".parse().unwrap();
    let loads =
        [empty_engine("e1"), engine("e2", 0, 0).load, empty_engine("e3"), engine("e4", 0, 0).load];
    let assigned = assign_models(&index(), &centre, &loads);
    let names: Vec<&str> = assigned.keys().map(|name| name.as_str()).collect();
    assert_eq!(names, ["e2", "e4"]);
}

#[test]
fn every_engine_has_one_issuer_on_which_all_members_agree() {
    let serving = vms(&["a", "b", "c"]);
    let loads: Vec<EngineLoad> = ["e1", "e2"].map(empty_engine).to_vec();
    let orders: Vec<_> =
        ["a", "b", "c"].iter().flat_map(|vm| orders_of(&loads, vm, &serving)).collect();
    assert_eq!(orders.len(), 2);
    for order in orders {
        assert!(issuer_of(&order.engine, &serving).is_some());
        assert!(matches!(order.action, OrderAction::Load { .. }));
    }
}

#[test]
fn a_new_fence_is_larger_than_the_last_one_of_any_issuer() {
    let serving = vms(&["a"]);
    let last = OrderFence { generation: 3, sequence: 41, incarnation: 99 };
    let loads = [EngineLoad { fence: last, ..empty_engine("e1") }];
    assert!(orders_of(&loads, "a", &serving)[0].fence > last);
}

#[test]
fn the_number_of_engines_that_load_at_once_is_limited() {
    let mut large = description();
    large.deployments[0].engines = 10;
    let index = foldhaven_core::description::DescriptionIndex::new(large);
    let loads: Vec<EngineLoad> =
        (0..10).map(|number| empty_engine(&format!("e{number}"))).collect();
    let serving = vms(&["a"]);
    let issuer = (&serving[0], IncarnationId(1));
    let orders = due_orders(&index, &"north-1".parse().unwrap(), &loads, issuer, &serving);
    assert_eq!(orders.len(), 2);
}

#[test]
fn an_engine_that_does_not_check_fences_gets_no_unload_order() {
    let mut old = engine("e1", 0, 0).load;
    let stale = foldhaven_core::load::HeldModel {
        model: "writer".parse().unwrap(),
        version: "1".to_owned(),
        ready: true,
    };
    old.models.push(stale);
    let serving = vms(&["a"]);
    let unload = orders_of(std::slice::from_ref(&old), "a", &serving);
    assert!(matches!(unload[0].action, OrderAction::Unload { .. }));
    let mut unchecked = description();
    unchecked.fences.unchecked.push("e1".parse().unwrap());
    let index = foldhaven_core::description::DescriptionIndex::new(unchecked);
    let issuer = (&serving[0], IncarnationId(1));
    let orders = due_orders(&index, &"north-1".parse().unwrap(), &[old], issuer, &serving);
    assert!(orders.is_empty());
}
