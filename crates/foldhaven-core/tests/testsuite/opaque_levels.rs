//! Priority levels: how they follow from declared priorities, and what VMs tell each other of them.

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::level_loads::{LevelLoads, LevelShare};
use foldhaven_core::opaque::load_reports::{
    LevelReport, LoadReport, LoadTable, UpstreamShare, report_interval,
};
use foldhaven_core::opaque::peer_table::{ServiceTag, VmTag};
use foldhaven_core::opaque::performance::QueueState;
use foldhaven_core::opaque::priority_level::{LEVEL_COUNT, LevelTable, PriorityLevel};
use foldhaven_core::opaque::queue_rank::PrefillBacklog;
use foldhaven_core::units::CoreShare;
use rstest::rstest;

use crate::opaque_support::at;

fn level(number: u8) -> PriorityLevel {
    PriorityLevel::new(number)
}

fn share(number: u8, in_flight: u16, prefill_backlog: u32) -> LevelShare {
    LevelShare { level: level(number), in_flight, prefill_backlog, memory_tokens: prefill_backlog }
}

// Guards against an account's priority replacing that of the route, or following it.
#[test]
fn the_account_goes_before_the_route() {
    let table = LevelTable::new(&[Some(1), Some(1), Some(0)], &[2, 0, 1]);
    let ordered = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1), (1, 2)];
    let levels = ordered.map(|(account, route)| table.level(Some(account), route).number());
    assert_eq!(levels, [0, 1, 2, 3, 4, 5]);
}

// Guards against an account without priority that outranks all others or starves behind them.
#[rstest]
#[case::like_most(&[Some(1), Some(1), Some(0), None], Some(1))]
#[case::of_two_usual_ones_the_less_urgent(&[Some(3), Some(0), None], Some(3))]
#[case::none_declares_one(&[None, None], Some(0))]
fn an_account_without_priority_is_usual(
    #[case] accounts: &[Option<u8>],
    #[case] usual: Option<u8>,
) {
    let table = LevelTable::new(accounts, &[0, 1]);
    assert_eq!(table.level(None, 1), table.level(usual, 1));
}

// Guards against VMs that list accounts and routes in another order and disagree on levels.
#[test]
fn levels_do_not_depend_on_the_order_of_the_description() {
    let forwards = LevelTable::new(&[Some(0), None, Some(2)], &[0, 1, 2]);
    let backwards = LevelTable::new(&[Some(2), None, Some(0)], &[2, 1, 0]);
    assert_eq!(forwards, backwards);
}

// Guards against levels beyond those that upstreams know, and against an inverted order.
#[test]
fn more_priorities_than_levels_share_them_in_order() {
    let accounts: Vec<Option<u8>> = (0..40).map(Some).collect();
    let table = LevelTable::new(&accounts, &[0, 7, 255]);
    let mut previous = level(0);
    for account in 0..40 {
        for route in [0, 7, 255] {
            let next = table.level(Some(account), route);
            assert!(next >= previous, "{account} {route}");
            previous = next;
        }
    }
    assert_eq!(usize::from(previous.number()), LEVEL_COUNT - 1);
}

// Guards against a change of behaviour for services whose requests are all alike.
#[rstest]
#[case::one_route(&[], &[3], false)]
#[case::equal_routes(&[None, Some(0)], &[3, 3], false)]
#[case::two_routes(&[], &[3, 4], true)]
#[case::two_accounts(&[Some(0), Some(1)], &[3], true)]
fn levels_need_different_priorities(
    #[case] accounts: &[Option<u8>],
    #[case] routes: &[u8],
    #[case] is_ranked: bool,
) {
    assert_eq!(LevelTable::new(accounts, routes).is_ranked(), is_ranked);
}

#[test]
fn levels_parse_as_they_print() {
    for level in PriorityLevel::all() {
        assert_eq!(level.to_string().parse(), Ok(level));
    }
    assert!("10".parse::<PriorityLevel>().is_err());
    assert!("-1".parse::<PriorityLevel>().is_err());
}

// Guards against an urgent request that counts less urgent ones as going before it.
#[test]
fn a_request_sees_only_what_goes_before_it() {
    let mut levels = LevelLoads::default();
    levels.add(&share(0, 2, 100));
    levels.add(&share(4, 9, 50_000));
    let queue = QueueState {
        slots: 16,
        in_flight: 12,
        prefill_backlog: PrefillBacklog { timely: 50_000, deferred: 700 },
        levels,
        ..QueueState::default()
    };
    let urgent = queue.through(level(0));
    // One request with 600 tokens is of unknown level and goes before all others.
    assert_eq!((urgent.in_flight, urgent.prefill_backlog.timely), (3, 700));
    let last = queue.through(level(9));
    assert_eq!((last.in_flight, last.prefill_backlog.timely), (12, 50_700));
}

const UPSTREAM: UpstreamTag = UpstreamTag(7);

fn load_report(vm: &str, sequence: u32, in_flight: u16) -> LoadReport {
    LoadReport {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        shares: vec![(UPSTREAM, UpstreamShare { in_flight, ..UpstreamShare::default() })],
        placements: Vec::new(),
        regions: Vec::new(),
        busy: CoreShare::default(),
    }
}

fn level_report(vm: &str, sequence: u32, levels: Vec<LevelShare>) -> LevelReport {
    LevelReport {
        vm: VmTag::of(&vm.parse().unwrap()),
        incarnation: IncarnationId(1),
        sequence,
        levels: vec![levels],
        waiting: vec![(ServiceTag(5), vec![(level(3), 4)])],
    }
}

// Guards against levels of an old report, of a lost one or of another length that are mixed with a
// newer load.
#[test]
fn levels_belong_to_their_load_report() {
    let mut table = LoadTable::default();
    assert!(table.apply_levels(level_report("a", 1, vec![share(1, 2, 30)])).is_none(), "no load");
    table.apply(load_report("a", 1, 2), at(0));
    assert!(table.apply_levels(level_report("a", 1, vec![share(1, 2, 30)])).is_some());
    assert_eq!(table.total_levels(UPSTREAM).in_flight(), 2);
    table.apply(load_report("a", 2, 5), at(50));
    assert!(table.apply_levels(level_report("a", 1, vec![share(1, 9, 30)])).is_none(), "old");
    let mut longer = level_report("a", 2, vec![share(1, 9, 30)]);
    longer.levels.push(Vec::new());
    assert!(table.apply_levels(longer).is_none(), "another length");
    assert_eq!(table.total_levels(UPSTREAM).in_flight(), 2, "kept until the next one");
}

// Guards against a VM that dies and whose waiting requests and levels stay for ever.
#[test]
fn levels_die_with_silence() {
    let mut table = LoadTable::default();
    for vm in ["a", "b"] {
        table.apply(load_report(vm, 1, 2), at(0));
        table.apply_levels(level_report(vm, 1, vec![share(1, 2, 30)]));
    }
    assert_eq!(table.waiting()[&ServiceTag(5)][3], 8);
    let interval = report_interval(2);
    table.apply(load_report("b", 2, 1), at(0) + interval * 7);
    assert_eq!(table.remove_stale(interval, at(0) + interval * 9), vec![UPSTREAM, UPSTREAM]);
    assert_eq!(table.total_levels(UPSTREAM).in_flight(), 2);
    assert_eq!(table.waiting()[&ServiceTag(5)][3], 4);
}

// Guards against counts that wrap when many VMs report many requests.
#[test]
fn counts_saturate() {
    let mut loads = LevelLoads::default();
    (0..3).for_each(|_| loads.add(&share(0, u16::MAX, u32::MAX)));
    assert_eq!(loads.in_flight(), u32::from(u16::MAX));
    assert_eq!(loads.prefill_backlog_through(level(9)), u32::MAX);
    loads.remove(&share(0, 5, 5));
    loads.remove(&share(1, 5, 5));
    assert_eq!(loads.in_flight(), u32::from(u16::MAX) - 5);
}
