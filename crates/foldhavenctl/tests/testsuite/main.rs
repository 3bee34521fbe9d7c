//! Tests of the commands that need no running VM.

use std::net::SocketAddr;

use foldhaven_core::burn::{BurnCount, BurnRow};
use foldhaven_core::ids::IncarnationId;
use foldhaven_wire::operator::{
    AccountRow, AccountsAnswer, BurnAnswer, DaemonState, MemberStatus, StatusAnswer,
};
use foldhavenctl::ExitStatus;
use foldhavenctl::burn::aggregate_burn;
use foldhavenctl::client::FleetState;
use foldhavenctl::cmd::accounts::accounts_text;
use foldhavenctl::cmd::members::{compare_views, views_table};
use foldhavenctl::cmd::report::report_table;
use foldhavenctl::cmd::status::vm_table;
use foldhavenctl::cmd::{make_command, run_command};
use foldhavenctl::html::burn_page;
use rstest::rstest;

fn answer(vm: &str, bad: u64) -> BurnAnswer {
    let count =
        BurnCount { total: 200, bad, refused: bad / 2, worth: 400.0, lost: 2.0 * bad as f64 };
    BurnAnswer {
        vm: vm.parse().unwrap(),
        data_centre: "west-1".parse().unwrap(),
        rows: vec![BurnRow {
            account: "bar".parse().unwrap(),
            class: "digest".parse().unwrap(),
            short: count,
            long: count,
        }],
        targets: vec![("digest".to_owned(), 0.99)],
    }
}

#[test]
fn report_aggregates_all_vms_and_lists_unreachable_ones() {
    let report =
        aggregate_burn(&[answer("vm-1", 6), answer("vm-2", 0)], vec!["127.0.0.9:1".to_owned()]);
    insta::assert_snapshot!(report_table(&report), @r"
    account  class   target  budget left  burn 5m  burn 1h  requests  bad  refused  worst VMs
    bar      digest  99.00%  -50%         1.50     1.50     400       6    3        vm-1 (6)
    not reached, and missing above: 127.0.0.9:1
    ");
}

#[test]
fn html_page_loads_no_external_resources() {
    let report = aggregate_burn(&[answer("vm-1", 6)], Vec::new());
    let page = burn_page(&report).unwrap();
    assert!(page.starts_with("<!doctype html>") && page.trim_end().ends_with("</html>"));
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(!page.contains("src=") && !page.contains("href="), "nothing is loaded from elsewhere");
}

/// Returns the status of a VM that knows these other VMs.
fn status(vm: &str, members: &[&str], state: DaemonState) -> StatusAnswer {
    let member = |name: &&str| MemberStatus {
        vm: name.parse().unwrap(),
        state: "live".to_owned(),
        stamp: None,
        peer: "127.0.0.1:1".to_owned(),
    };
    StatusAnswer {
        vm: vm.parse().unwrap(),
        data_centre: "west-1".parse().unwrap(),
        incarnation: IncarnationId(1),
        state,
        stamp: None,
        content: None,
        view_staleness_ms: None,
        refused: None,
        in_flight: 0,
        members: members.iter().map(member).collect(),
        upstreams: Vec::new(),
        centres: Vec::new(),
    }
}

/// Guards against a `status` that hides VMs with the same stamp but different content, or the
/// staleness of a VM's view.
#[test]
fn status_marks_differing_content_and_shows_staleness() {
    let of = |vm: &str, content: &str, age: u64| StatusAnswer {
        stamp: Some("13".to_owned()),
        content: Some(content.to_owned()),
        view_staleness_ms: Some(age),
        ..status(vm, &[], DaemonState::Serving)
    };
    let statuses = [of("vm-1", "aa", 900), of("vm-2", "aa", 7_300), of("vm-3", "bb", 40)];
    let addresses = (1..).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let vms = addresses.zip(statuses).collect();
    let table = vm_table(&FleetState { vms, ..FleetState::default() });
    let row = |vm: &str| table.lines().find(|line| line.starts_with(vm)).unwrap().to_owned();
    assert!(row("vm-1").contains("0.9 s ago") && !row("vm-1").contains("differs"));
    assert!(row("vm-2").contains("7.3 s ago"));
    assert!(row("vm-3").contains("13 differs"), "{table}");
}

/// Two VMs know a third one but not each other, as can happen when all start at once and the third
/// starts last.
#[test]
fn members_marks_vms_with_incomplete_views() {
    let statuses = [
        status("vm-1", &["vm-3"], DaemonState::Serving),
        status("vm-2", &["vm-3", "vm-9"], DaemonState::Serving),
        status("vm-3", &["vm-1", "vm-2"], DaemonState::Serving),
        status("vm-4", &["vm-1", "vm-2", "vm-3"], DaemonState::Leaving),
    ];
    let addresses = (1..).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let vms = addresses.zip(statuses).collect();
    let views = compare_views(&FleetState { vms, ..FleetState::default() });
    insta::assert_snapshot!(views_table(&views), @r"
    vm    data centre  knows  lacks  not found  view
    vm-1  west-1       1      vm-2   -          DIFFERS
    vm-2  west-1       2      vm-1   vm-9       DIFFERS
    vm-3  west-1       2      -      -          agrees
    vm-4  west-1       3      -      -          agrees
    ");
}

#[rstest]
#[case(&["check", "no-such-file.yaml"], ExitStatus::Failure)]
#[case(&["check", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")], ExitStatus::BadInput)]
#[case(&["check", concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kilima.yaml")], ExitStatus::Success)]
#[case(&["status"], ExitStatus::BadInput)]
#[case(&["members"], ExitStatus::BadInput)]
#[case(&["members", "--vm", "127.0.0.1:1"], ExitStatus::Failure)]
#[case(&["status", "--vm", "127.0.0.1:1"], ExitStatus::Failure)]
#[case(&["completions", "bash"], ExitStatus::Success)]
fn commands_return_the_documented_exit_codes(#[case] words: &[&str], #[case] status: ExitStatus) {
    let words = std::iter::once(&"foldhavenctl").chain(words);
    let matches = make_command().try_get_matches_from(words).unwrap();
    assert_eq!(run_command(&matches), status);
}

#[test]
fn every_command_has_an_example_in_its_help() {
    for command in make_command().get_subcommands_mut() {
        let help = command.render_long_help().to_string();
        assert!(help.contains("Example"), "{}: {help}", command.get_name());
    }
}

/// The number of VMs and regions that are not heard from determines how small the VM's shares are,
/// so it is shown above them.
#[test]
fn accounts_are_shown_with_the_vms_that_share_their_limits() {
    let limited = AccountRow {
        account: "desk".to_owned(),
        keys: 2,
        homes: vec!["north".to_owned()],
        unit: Some("tokens".to_owned()),
        per_s: Some(1000.0),
        burst: Some(500.0),
        share_per_s: Some(62.5),
        share_age_ms: Some(120),
        level: Some(-4.0),
        demand_per_s: Some(80.0),
        let_through: 1234.0,
        refused: 7,
    };
    let free = AccountRow {
        account: "free".to_owned(),
        keys: 1,
        homes: Vec::new(),
        unit: None,
        per_s: None,
        burst: None,
        share_per_s: None,
        share_age_ms: None,
        level: None,
        demand_per_s: None,
        let_through: 0.0,
        refused: 0,
    };
    let answer = AccountsAnswer {
        vm: "vm-1".parse().unwrap(),
        regions: 3,
        silent_regions: 1,
        vms: 9,
        silent_vms: 2,
        is_informed: false,
        rows: vec![limited, free],
    };
    insta::assert_snapshot!(accounts_text(&answer), @r"
    vm-1: 9 VMs in the region, 2 not heard; 3 regions, 1 not heard or not hearing this one, still learning who there is
    account  keys  homes  limit a second  part  age     wanted  left  let through  refused
    desk     2     north  1000 tokens     62.5  120 ms  80.0    -4.0  1234         7
    free     1     all    none            -     -       -       -     0            0
    ");
}
