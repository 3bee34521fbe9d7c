//! Tests of parsing, validating, ordering, splitting and comparing descriptions.

use foldhaven_core::description::{
    DescriptionIndex, SectionSet, SectionsError, describe_changes, parse_description,
};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{TEXT, description};

/// Returns the faults of the small description after one replacement, one per line.
fn faults_after(from: &str, to: &str) -> String {
    assert!(TEXT.contains(from), "the text to replace does not occur");
    let text = TEXT.replacen(from, to, 1);
    let faults = parse_description("small.yaml", &text).expect_err("the description is invalid");
    let lines: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
    lines.join("\n")
}

#[rstest]
#[case::unknown_rule(
    "residency: open",
    "residency: shut",
    "small.yaml:22: classes[digest].residency: expected one of bound, open, got shut"
)]
#[case::unknown_model(
    "{ model: writer, data_centre: south-1",
    "{ model: reader, data_centre: south-1",
    "small.yaml:10: deployments[reader].model: expected one of writer, got reader"
)]
#[case::unknown_home(
    "home: north }",
    "home: east }",
    "small.yaml:26: accounts[bar].home: expected one of north, south, got east"
)]
#[case::zero_slots(
    "slots: 4",
    "slots: 0",
    "small.yaml:7: models[writer].slots: expected at least one slot, got 0"
)]
#[case::twice(
    "name: sealed",
    "name: bar",
    "small.yaml:26: accounts[bar]: expected the name once, found it again"
)]
#[case::negative(
    "worth: 10",
    "worth: -1",
    "small.yaml:21: classes[digest].worth: expected a number of at least zero, got -1"
)]
#[case::long_deadline(
    "deadline: 5s",
    "deadline: 2h",
    "small.yaml:20: classes[digest].deadline: expected 1ms to 600s, got 7200s"
)]
#[case::model_not_repeatable(
    "max_output_tokens: 100",
    "max_output_tokens: 100\n    repeatable: false",
    "small.yaml:24: classes[digest].repeatable: expected true for a class of kind model, got false"
)]
fn faults_name_file_line_field_and_what_was_expected(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    assert_eq!(faults_after(from, to), expected);
}

#[rstest]
#[case::unknown_field("name: small", "nam: small")]
#[case::bad_unit("deadline: 5s", "deadline: 5 parsecs")]
#[case::bad_name("name: bar", "name: \"b a r\"")]
#[case::no_yaml("name: small", "name: [")]
#[case::wrong_type("generation: 3", "generation: many")]
fn text_that_does_not_match_the_schema_is_refused_with_its_position(
    #[case] from: &str,
    #[case] to: &str,
) {
    let fault = faults_after(from, to);
    assert!(fault.starts_with("small.yaml: "), "{fault}");
    assert!(fault.contains("line") || fault.contains("-->"), "{fault}");
}

#[test]
fn an_oversize_description_is_refused() {
    let text = format!("{TEXT}# {}", "x".repeat(1 << 20));
    let faults = parse_description("small.yaml", &text).unwrap_err();
    assert!(faults[0].to_string().contains("at most 1048576 bytes"));
}

#[test]
fn the_examples_are_valid() {
    for name in ["kilima", "guild"] {
        let path = format!("{}/../../examples/{name}.yaml", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap();
        parse_description(&path, &text).unwrap();
    }
}

#[test]
fn a_description_can_be_split_and_joined() {
    let (manifest, sections) = SectionSet::split(&description());
    assert_eq!(sections.join(&manifest).unwrap(), description());
    assert_eq!(manifest.stamp(), DescriptionIndex::new(description()).stamp);
}

#[test]
fn one_changed_account_changes_one_account_section() {
    let (_, before) = SectionSet::split(&description());
    let mut next = description();
    next.generation += 1;
    next.accounts[0].share = 3.0;
    let (manifest, _) = SectionSet::split(&next);
    assert_eq!(manifest.missing_from(&before).len(), 2, "the generation and one account section");
}

#[test]
fn an_invalid_or_missing_section_is_refused() {
    let (manifest, _) = SectionSet::split(&description());
    let empty = SectionSet::default();
    assert!(matches!(empty.join(&manifest), Err(SectionsError::Missing(_))));
    let mut other = description();
    other.classes[0].residency = "gone".parse().unwrap();
    let (manifest, sections) = SectionSet::split(&other);
    assert!(matches!(sections.join(&manifest), Err(SectionsError::Check(_))));
}

#[test]
fn changes_are_listed_by_their_paths() {
    let mut next = description();
    next.generation += 1;
    next.classes[0].worth = 12.0;
    next.accounts.pop();
    let lines: Vec<String> =
        describe_changes(&description(), &next).iter().map(|change| change.to_string()).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    - accounts[sealed]: {"home":"north","name":"sealed","residency":"bound","share":1.0}
    ~ classes[digest].worth: 10.0 -> 12.0
    "#);
}

proptest! {
    /// Any order of arrival ends with the same description in force, and the description in force
    /// never goes back.
    #[test]
    fn every_order_of_arrival_ends_the_same(order in Just((0..6usize).collect::<Vec<_>>()).prop_shuffle()) {
        let stamps: Vec<_> = (0..6u64).map(|number| {
            let mut edited = description();
            edited.generation = 4 + number / 2;
            edited.objective.cost = number as f64;
            DescriptionIndex::new(edited).stamp
        }).collect();
        let mut in_force = None;
        for at in order {
            let before = in_force;
            in_force = in_force.max(Some(stamps[at]));
            prop_assert!(in_force >= before);
        }
        prop_assert_eq!(in_force, stamps.iter().max().copied());
        prop_assert_eq!(in_force.unwrap().generation, 6);
    }
}
