//! Deltas between descriptions, as VMs send them to each other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::AccountName;
use foldhaven_core::opaque::account_table::{AccountDescription, ClientAccount, KeyFingerprint};
use foldhaven_core::opaque::route_delta::{DeltaError, RouteDelta};
use foldhaven_core::opaque::route_table::{
    CallerLimits, OpaqueRoute, OpaqueService, RouteDescription, RouteVersion,
};
use proptest::prelude::*;

use crate::opaque_routes::route;

fn limits(header_bytes: usize) -> CallerLimits {
    CallerLimits {
        header_bytes,
        body_bytes: 1,
        header_time: Duration::ZERO,
        idle_time: Duration::ZERO,
    }
}

fn service(name: &str) -> OpaqueService {
    OpaqueService {
        name: name.parse().unwrap(),
        health_path: String::new(),
        connection_limit: 1,
        cold_time: Duration::ZERO,
        cold_rate: 0.0,
        prompt_memory: None,
        fetch_rate: None,
    }
}

/// Creates a description with routes named by number, whose time-outs distinguish their versions.
fn description(version: u64, routes: &[(u8, u64)]) -> RouteDescription {
    let make = |(number, seconds): &(u8, u64)| {
        let timeout = Duration::from_secs(*seconds);
        let named = route(&format!("r{number}"), "a.example", &format!("/{number}/"), &[]);
        Arc::new(OpaqueRoute { timeout, ..named })
    };
    RouteDescription {
        version: RouteVersion(version),
        routes: routes.iter().map(make).collect(),
        services: vec![service("one")],
        limits: limits(1),
        accounts: None,
    }
}

/// Creates accounts named by number, each with keys named by number.
fn accounts(drawn: &std::collections::BTreeMap<u8, Vec<u8>>, open: u8) -> AccountDescription {
    let make = |(number, keys): (&u8, &Vec<u8>)| {
        let name: AccountName = format!("a{number}").parse().unwrap();
        let account = ClientAccount {
            name: name.clone(),
            keys: keys.iter().map(|key| KeyFingerprint::of(&[*number, *key])).collect(),
            priority: None,
            homes: Vec::new(),
            limit: None,
        };
        (name, Arc::new(account))
    };
    AccountDescription {
        accounts: drawn.iter().map(make).collect(),
        open_routes: (0..open).map(|number| format!("r{number}").parse().unwrap()).collect(),
    }
}

/// Sorts the routes by name.
fn sorted(mut description: RouteDescription) -> RouteDescription {
    description.routes.sort_by(|left, right| left.name.cmp(&right.name));
    description
}

/// Generates consecutive versions of a description with random routes.
fn versions() -> impl Strategy<Value = Vec<RouteDescription>> {
    let routes = prop::collection::btree_map(0..12_u8, 1..4_u64, 0..10);
    let keyed = prop::collection::btree_map(0..6_u8, prop::collection::vec(0..4_u8, 0..3), 0..5);
    let keyed = prop::option::weighted(0.8, (keyed, 0..3_u8));
    let history = prop::collection::vec((routes, 1..3_usize, keyed), 1..7);
    history.prop_map(|history| {
        let versions = history.into_iter().enumerate();
        let make = |(at, (routes, services, keyed)): (usize, (_, usize, Option<_>))| {
            let routes: std::collections::BTreeMap<u8, u64> = routes;
            let routes: Vec<(u8, u64)> = routes.into_iter().collect();
            let names = ["one", "two"];
            RouteDescription {
                services: names[..services].iter().map(|name| service(name)).collect(),
                limits: limits(services),
                accounts: keyed.map(|(drawn, open)| Arc::new(accounts(&drawn, open))),
                ..description(at as u64 + 1, &routes)
            }
        };
        versions.map(make).collect()
    })
}

proptest! {
    #[test]
    fn delta_applies_to_every_version_that_it_spans(versions in versions()) {
        let steps: Vec<RouteDelta> = versions
            .windows(2)
            .map(|pair| RouteDelta::between(&pair[0], &pair[1]).unwrap())
            .collect();
        let newest = versions.last().unwrap();
        let Some((first, rest)) = steps.split_first() else { return Ok(()) };
        let combined =
            rest.iter().try_fold(first.clone(), |combined, next| combined.followed_by(next));
        let combined = combined.unwrap();
        prop_assert_eq!(combined.version(), newest.version);
        for base in &versions[..versions.len() - 1] {
            prop_assert_eq!(sorted(combined.apply(base).unwrap()), sorted(newest.clone()));
        }
        // However many versions it spans, the delta is no larger than the number of routes and
        // accounts in any of them.
        let all = versions.iter().flat_map(|version| &version.routes);
        let names: BTreeSet<&str> = all.map(|route| route.name.as_str()).collect();
        let all = versions.iter().filter_map(|version| version.accounts.as_ref());
        let accounts: BTreeSet<&AccountName> = all.flat_map(|it| it.accounts.keys()).collect();
        prop_assert!(combined.size() <= names.len() + accounts.len());
    }
}

#[test]
fn delta_contains_only_changes() {
    let base = description(3, &[(1, 1), (2, 1), (3, 1)]);
    let target = description(7, &[(1, 1), (2, 9), (4, 1)]);
    let delta = RouteDelta::between(&base, &target).unwrap();
    assert_eq!(delta.size(), 3, "one is written again, one is new, one is gone");
    assert_eq!(delta.apply(&base).unwrap(), target);
}

#[test]
fn delta_is_rejected_if_versions_are_missing() {
    let versions = [description(3, &[(1, 1)]), description(7, &[(2, 1)]), description(9, &[])];
    let first = RouteDelta::between(&versions[0], &versions[1]).unwrap();
    let second = RouteDelta::between(&versions[1], &versions[2]).unwrap();
    let gap = DeltaError::Gap { after: RouteVersion(7), base: RouteVersion(3) };
    assert_eq!(second.apply(&versions[0]), Err(gap));
    let gap = DeltaError::Gap { after: RouteVersion(7), base: RouteVersion(3) };
    let earlier = RouteDelta::between(&versions[0], &versions[0]).unwrap();
    assert_eq!(earlier.followed_by(&second), Err(gap));
    // A different description with the same version is detected by its number of routes.
    let other = description(3, &[(1, 1), (5, 1)]);
    assert_eq!(first.apply(&other), Err(DeltaError::Count { produced: 2, expected: 1 }));
}

#[test]
fn duplicate_route_names_have_no_delta() {
    let base = description(1, &[(1, 1)]);
    assert_eq!(RouteDelta::between(&base, &description(2, &[(1, 1), (1, 2)])), None);
}

proptest! {
    /// Guards against VMs that hold the newest version number with routes that the newest version
    /// has dropped or changed. VMs read descriptions at their own pace, and one reads versions that
    /// another one skips. A delta that starts at a version before the VM's own lacks a route that
    /// the VM's version had changed and the newest one has changed back. Any delta must yield the
    /// newest description or be rejected, whatever version the VM has.
    #[test]
    fn delta_that_skips_versions_yields_the_newest_or_is_rejected(
        versions in versions(),
        skipped in prop::collection::vec(any::<bool>(), 7),
    ) {
        let newest = versions.last().unwrap();
        let read_versions: Vec<&RouteDescription> = versions[..versions.len() - 1]
            .iter()
            .zip(&skipped)
            .filter(|(_, is_skipped)| !**is_skipped)
            .map(|(version, _)| version)
            .chain([newest])
            .collect();
        let steps: Vec<RouteDelta> =
            read_versions
                .windows(2)
                .map(|pair| RouteDelta::between(pair[0], pair[1]).unwrap())
                .collect();
        let Some((first, rest)) = steps.split_first() else { return Ok(()) };
        let combined =
            rest.iter().try_fold(first.clone(), |combined, next| combined.followed_by(next));
        let combined = combined.unwrap();
        for base in &versions[..versions.len() - 1] {
            if let Ok(produced) = combined.apply(base) {
                prop_assert_eq!(
                    sorted(produced),
                    sorted(newest.clone()),
                    "from {:?}",
                    base.version
                );
            }
        }
    }
}

/// Guards against a route that replaces another one and is replaced by it again, where the number
/// of routes never changes.
#[test]
fn delta_from_before_a_reverted_change_is_rejected_after_it() {
    let versions = [
        description(7, &[(1, 1), (2, 1)]),
        description(10, &[(1, 1), (3, 1)]),
        description(13, &[(1, 2), (2, 1)]),
    ];
    let skipping = RouteDelta::between(&versions[0], &versions[2]).unwrap();
    let produced = skipping.apply(&versions[1]);
    assert!(produced.is_err(), "it produced {produced:?}");
}
