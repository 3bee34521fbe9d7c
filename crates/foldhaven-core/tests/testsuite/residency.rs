//! Residency and the path of forwarded requests.

use foldhaven_core::description::DescriptionStamp;
use foldhaven_core::residency::{ForwardFault, ForwardPath, check_forward};
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
fn a_forward_is_taken_from_its_origin_only(
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
fn a_sender_with_a_newer_description_is_not_judged_by_the_older_one() {
    let visited = vec!["south-1".parse().unwrap()];
    let path = ForwardPath { visited, stamp: stamp(2) };
    let fault = check_forward(&path, &"north-1".parse().unwrap(), stamp(1)).unwrap_err();
    assert_eq!(fault, ForwardFault::SenderNewer { theirs: stamp(2), ours: stamp(1) });
}

#[test]
fn an_accounts_own_rule_goes_before_the_one_of_the_class() {
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
