//! Routes of opaque requests, and the VMs that the directory selects.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{RegionName, ServiceName};
use foldhaven_core::opaque::directory::{LocalService, select_vms};
use foldhaven_core::opaque::peer_table::{PeerHeartbeat, PeerPhase};
use foldhaven_core::opaque::route_table::{
    CallerLimits, OpaqueRoute, RepeatKind, RouteDescription, RouteTable, RouteVersion,
    WeightedService,
};
use foldhaven_core::units::CoreShare;
use rstest::rstest;

use crate::opaque_support::heartbeat;

pub fn route(name: &str, host: &str, prefix: &str, homes: &[&str]) -> OpaqueRoute {
    OpaqueRoute {
        name: name.parse().unwrap(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        repeat: RepeatKind::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(400),
        event_gap: None,
        priority: 0,
        max_attempts: 1,
        services: vec![weighted("one", 90.0), weighted("two", 10.0), weighted("none", 0.0)],
        homes: homes.iter().map(|home| home.parse().unwrap()).collect(),
        affinity: false,
    }
}

fn weighted(service: &str, weight: f64) -> WeightedService {
    WeightedService { service: service.parse().unwrap(), weight }
}

fn table(routes: Vec<OpaqueRoute>) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    };
    RouteTable::new(RouteDescription {
        version: RouteVersion(1),
        routes: routes.into_iter().map(Arc::new).collect(),
        services: Vec::new(),
        limits,
        accounts: None,
    })
}

#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("A.Example:8080", "/x/", Some("short"))]
#[case("b.example", "/x/y/", Some("other"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/z/x/", None)]
#[case("c.example", "/x/", None)]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table(vec![
        route("short", "a.example", "/x/", &[]),
        route("long", "a.example", "/x/y/", &[]),
        route("other", "b.example", "/x/", &[]),
    ]);
    assert_eq!(table.find(host, path).map(|route| route.name.as_str()), expected);
}

#[rstest]
#[case(0.0, "one")]
#[case(0.89, "one")]
#[case(0.91, "two")]
#[case(0.999_999, "two")]
fn services_are_picked_by_weight(#[case] draw: f64, #[case] expected: &str) {
    let route = route("r", "a.example", "/", &[]);
    assert_eq!(route.pick_service(draw).map(ServiceName::as_str), Some(expected));
}

#[test]
fn route_without_weights_has_no_service() {
    let mut route = route("r", "a.example", "/", &[]);
    route.services = vec![weighted("none", 0.0)];
    assert_eq!(route.pick_service(0.5), None);
}

#[test]
fn home_regions_bind_routes_and_are_counted_per_host() {
    let table = table(vec![
        route("open", "a.example", "/o/", &[]),
        route("both", "a.example", "/b/", &["north", "south"]),
        route("north", "a.example", "/n/", &["north"]),
    ]);
    let count = |region: &str| table.bound_routes_in("a.example", &region.parse().unwrap());
    assert_eq!((count("north"), count("south"), count("east")), (2, 1, 0));
    let bound = table.find("a.example", "/n/").unwrap();
    assert!(bound.permits(&"north".parse().unwrap()));
    assert!(!bound.permits(&"south".parse().unwrap()));
}

/// The addresses that a VM of the region `north` returns, without any demand yet.
fn select_for(
    heartbeats: &[PeerHeartbeat],
    region: &RegionName,
    bound: impl Fn(&RegionName) -> usize,
    has_bound: bool,
) -> Vec<SocketAddr> {
    let (responder, own_region) = ("n1".parse().unwrap(), "north".parse().unwrap());
    let local = LocalService {
        responder: &responder,
        region: &own_region,
        demand: CoreShare::default(),
        unresponsive: &BTreeSet::new(),
    };
    select_vms(heartbeats, region, &local, bound, has_bound)
}

#[rstest]
#[case::own_region(&[("n1", "north"), ("s1", "south")], "north", &["n1"])]
#[case::no_vm_in_own_region(&[("s1", "south"), ("e1", "east")], "north", &["s1"])]
#[case::no_vms(&[], "north", &[])]
fn callers_get_local_vms_then_home_regions(
    #[case] vms: &[(&str, &str)],
    #[case] region: &str,
    #[case] expected: &[&str],
) {
    let heartbeats: Vec<PeerHeartbeat> =
        vms.iter().map(|(vm, region)| heartbeat(vm, region, 1)).collect();
    let region: RegionName = region.parse().unwrap();
    let bound = |region: &RegionName| usize::from(region.as_str() == "south");
    let named = select_for(&heartbeats, &region, bound, true);
    let expected_addresses: Vec<_> = heartbeats
        .iter()
        .filter(|heartbeat| expected.contains(&heartbeat.vm.as_str()))
        .map(|it| it.caller)
        .collect();
    assert_eq!(named, expected_addresses);
}

/// Guards against callers of region-bound routes being directed to a region that must not run them:
/// with one VM per region, this happened while two of the three restarted in turn.
#[rstest]
#[case::no_bound_route(false, 1)]
#[case::bound_elsewhere(true, 0)]
fn host_with_bound_routes_never_directs_callers_to_other_regions(
    #[case] has_bound: bool,
    #[case] named: usize,
) {
    let leaving = PeerHeartbeat { phase: PeerPhase::Leaving, ..heartbeat("s1", "south", 1) };
    let heartbeats = [leaving, heartbeat("e1", "east", 1)];
    let bound = |region: &RegionName| usize::from(region.as_str() == "south");
    let answer = select_for(&heartbeats, &"north".parse().unwrap(), bound, has_bound);
    assert_eq!(answer.len(), named);
}

#[test]
fn starting_and_leaving_vms_are_not_selected() {
    let heartbeats = [PeerPhase::Starting, PeerPhase::Leaving]
        .map(|phase| PeerHeartbeat { phase, ..heartbeat("n1", "north", 1) });
    assert!(select_for(&heartbeats, &"north".parse().unwrap(), |_| 0, false).is_empty());
}
