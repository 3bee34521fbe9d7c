//! Tests of residency and of the path of forwarded requests.

use std::collections::BTreeSet;

use foldhaven_core::description::{DescriptionStamp, ResidencyConfig};
use foldhaven_core::ids::{DataCentreName, RegionName};
use foldhaven_core::refusal::RefusalReason;
use foldhaven_core::residency::{
    ForwardFault, ForwardPath, ResidencyRule, SearchScope, UnroutableRequest, check_forward,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::index;

fn stamp(generation: u64) -> DescriptionStamp {
    format!("{generation}-{}", "0".repeat(32)).parse().unwrap()
}

#[rstest]
#[case(&[], 1, Some(ForwardFault::NoPath))]
#[case(&["south-1"], 1, None)]
#[case(&["north-1"], 1, Some(ForwardFault::Loop))]
#[case(&["south-1", "north-1"], 1, Some(ForwardFault::Loop))]
#[case(&["south-1", "east-1"], 1, Some(ForwardFault::TooLong(2)))]
#[case(&["south-1"], 2, None)]
fn a_forwarded_request_is_accepted_only_from_its_origin(
    #[case] visited: &[&str],
    #[case] ours: u64,
    #[case] fault: Option<ForwardFault>,
) {
    let visited = visited.iter().map(|name| name.parse().unwrap()).collect();
    let path = ForwardPath { visited, stamp: stamp(1) };
    let result = check_forward(&path, &"north-1".parse().unwrap(), stamp(ours));
    assert_eq!(result.err(), fault);
}

#[test]
fn a_request_from_a_sender_with_a_newer_description_is_refused() {
    let visited = vec!["south-1".parse().unwrap()];
    let path = ForwardPath { visited, stamp: stamp(2) };
    let fault = check_forward(&path, &"north-1".parse().unwrap(), stamp(1)).unwrap_err();
    assert_eq!(fault, ForwardFault::SenderNewer { theirs: stamp(2), ours: stamp(1) });
}

#[test]
fn an_accounts_own_rule_takes_precedence_over_the_rule_of_the_class() {
    let index = index();
    let class = index.class(&"digest".parse().unwrap()).unwrap();
    let north = "north".parse().unwrap();
    let south = "south".parse().unwrap();
    for (account, permits_south) in [("bar", true), ("sealed", false)] {
        let account = index.account(&account.parse().unwrap()).unwrap();
        let rule = index.residency_of(account, class).unwrap();
        assert!(rule.permits(&account.home, &north));
        assert_eq!(rule.permits(&account.home, &south), permits_south);
    }
}

proptest! {
    /// Guards against reporting a lack of engines as `residency`, which tells callers never to
    /// retry.
    #[test]
    fn residency_is_reported_only_if_the_description_forbids_the_request(
        regions in proptest::sample::subsequence(vec!["north", "south", "unknown"], 0..=3),
        home in any::<bool>(),
        account_home in proptest::sample::select(vec!["north", "south", "unknown"]),
        centre in proptest::sample::select(vec!["north-1", "south-1", "unknown-1"]),
        is_origin in any::<bool>(),
    ) {
        let permitted: BTreeSet<RegionName> = regions
            .iter()
            .chain(home.then_some(&account_home))
            .map(|name| name.parse().unwrap())
            .collect();
        let rule = ResidencyRule::new(&ResidencyConfig {
            name: "drawn".parse().unwrap(),
            regions: regions.iter().map(|name| name.parse().unwrap()).collect(),
            home,
        });
        let account_home: RegionName = account_home.parse().unwrap();
        let centre: DataCentreName = centre.parse().unwrap();
        let scope = match is_origin {
            true => SearchScope::Anywhere,
            false => SearchScope::DataCentre(&centre),
        };
        let request = UnroutableRequest { rule: &rule, home: &account_home, scope };
        let scope_regions: Vec<RegionName> = match (is_origin, centre.as_str()) {
            (true, _) => vec!["north".parse().unwrap(), "south".parse().unwrap()],
            (false, "north-1") => vec!["north".parse().unwrap()],
            (false, "south-1") => vec!["south".parse().unwrap()],
            (false, _) => Vec::new(),
        };
        let is_forbidden = !scope_regions.is_empty() && scope_regions.iter().all(|it| !permitted.contains(it));
        let expected = match is_forbidden {
            true => RefusalReason::Residency,
            false => RefusalReason::NoUpstream,
        };
        prop_assert_eq!(request.reason(&index()), expected);
    }
}

/// Guards against passing on a peer's refusal that concerns only its own data centre or the
/// forwarding path as a final refusal of the caller's request.
#[test]
fn a_refusal_that_concerns_only_the_peer_is_not_final_for_the_caller() {
    for reason in [RefusalReason::Residency, RefusalReason::ForwardPath] {
        assert!(!reason.is_transient(), "{reason}");
        assert!(reason.for_caller().is_transient(), "{reason}");
    }
    for reason in [RefusalReason::UnknownAccount, RefusalReason::Capacity] {
        assert_eq!(reason.for_caller(), reason);
    }
}
