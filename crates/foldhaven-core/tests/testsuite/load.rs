//! Estimates, prefixes, retries, pauses, health, fairness and burn.

use std::num::NonZeroUsize;
use std::time::Duration;

use foldhaven_core::burn::{BurnEvent, BurnMeter};
use foldhaven_core::fairness::UsageTracker;
use foldhaven_core::health::HealthTracker;
use foldhaven_core::load::{EstimateCalibration, RecentWork, chance_late, expected_wait};
use foldhaven_core::pause::PauseDetector;
use foldhaven_core::prefix::{BLOCK_BYTES, PrefixIndex, block_hashes};
use foldhaven_core::retry::RetryBudget;
use foldhaven_core::time::MonoTime;

use crate::support::{engine, now};

fn later(millis: u64) -> MonoTime {
    now() + Duration::from_millis(millis)
}

#[test]
fn a_free_slot_means_no_wait_and_own_dispatches_fill_slots() {
    let free = engine("e", 3, 900);
    assert_eq!(expected_wait(&free, RecentWork::default(), now()), Duration::ZERO);
    let recent = RecentWork { requests: 3.0, work: Duration::from_millis(900) };
    assert!(expected_wait(&free, recent, now()) > Duration::from_millis(100));
}

#[test]
fn a_report_ages_as_the_engine_works() {
    let busy = engine("e", 8, 8_000);
    let early = expected_wait(&busy, RecentWork::default(), now());
    let late = expected_wait(&busy, RecentWork::default(), later(1_000));
    assert!(late < early, "{late:?} after {early:?}");
}

#[test]
fn being_late_is_more_likely_the_closer_the_deadline() {
    let second = Duration::from_secs(1);
    let chance = |deadline: f64| chance_late(second, second.mul_f64(deadline), 0.2);
    assert!(chance(2.0) < 0.01 && chance(0.5) > 0.99);
    assert!((chance(1.0) - 0.5).abs() < 1e-9);
}

#[test]
fn the_bias_of_estimates_is_learnt() {
    let mut error = EstimateCalibration::default();
    (0..400).for_each(|_| error.record(Duration::from_millis(100), Duration::from_millis(150)));
    assert!((error.bias() - 1.5).abs() < 0.02);
    assert!(error.spread() < 0.1);
}

#[test]
fn prefixes_are_known_until_they_are_evicted_or_old() {
    let mut index = PrefixIndex::new(NonZeroUsize::new(100).unwrap(), Duration::from_secs(10));
    let blocks = block_hashes("m", &"x".repeat(BLOCK_BYTES * 3 + 5));
    assert_eq!(blocks.len(), 3);
    let engine = "e-1".parse().unwrap();
    index.insert(&engine, &blocks, now());
    assert_eq!(index.cached_tokens(&engine, &blocks, later(1)), 768);
    assert_eq!(index.cached_tokens(&"e-2".parse().unwrap(), &blocks, later(1)), 0);
    assert_eq!(index.cached_tokens(&engine, &blocks, later(11_000)), 0);
    index.remove_blocks(&engine, &blocks[1..2]);
    assert_eq!(index.cached_tokens(&engine, &blocks, later(1)), 256);
    index.remove_engine(&engine);
    assert_eq!(index.cached_tokens(&engine, &blocks, later(1)), 0);
}

#[test]
fn retries_are_a_share_of_successes() {
    let mut budget = RetryBudget::new(0.1, 5.0);
    assert_eq!((0..20).filter(|_| budget.try_withdraw()).count(), 5);
    (0..25).for_each(|_| budget.deposit());
    assert_eq!((0..20).filter(|_| budget.try_withdraw()).count(), 2);
}

#[test]
fn after_a_pause_nothing_is_done_on_the_old_view() {
    let mut detector = PauseDetector::new(Duration::from_millis(500), now());
    assert_eq!(detector.tick(later(100)), None);
    assert!(detector.may_act(later(200), now()));
    assert!(!detector.may_act(later(5_000), now()), "asleep, and not yet noticed");
    assert!(detector.tick(later(5_000)).is_some());
    assert!(!detector.may_act(later(5_050), now()), "awake, with the old view");
    assert!(detector.may_act(later(5_100), later(5_060)));
}

#[test]
fn a_target_that_fails_is_left_alone_for_longer_each_time() {
    let mut book = HealthTracker::default();
    book.record_failure("e", false, now());
    assert!(!book.is_ejected("e", now()));
    book.record_failure("e", true, now());
    assert!(book.is_ejected("e", later(400)) && !book.is_ejected("e", later(600)));
    book.record_failure("e", false, later(600));
    assert!(book.is_ejected("e", later(1_500)));
    book.record_success("e");
    assert!(!book.is_ejected("e", later(1_500)));
}

#[test]
fn who_used_more_than_its_part_pays_more() {
    let mut book = UsageTracker::default();
    let (greedy, modest) = ("greedy".parse().unwrap(), "modest".parse().unwrap());
    (0..9).for_each(|_| book.record(&greedy, 1.0, Duration::from_secs(1), now()));
    book.record(&modest, 1.0, Duration::from_secs(1), now());
    assert!(book.price_factor(&greedy, 1.0) > 1.5);
    assert!(book.price_factor(&modest, 1.0) < 0.5);
    assert!(book.price_factor(&greedy, 9.0) <= 1.0, "a larger share pays less");
}

#[test]
fn burn_is_counted_over_its_windows() {
    let mut meter = BurnMeter::default();
    let (account, class) = ("a".parse().unwrap(), "c".parse().unwrap());
    for number in 0..100 {
        let event = if number < 4 { BurnEvent::Bad } else { BurnEvent::Good };
        meter.record(&account, &class, event, 2.0, now());
    }
    let rows = meter.rows(now());
    assert!((rows[0].short.burn_rate(0.99) - 4.0).abs() < 1e-6);
    assert!((rows[0].short.budget_left(0.99) + 3.0).abs() < 1e-6);
    assert_eq!((rows[0].long.lost, rows[0].long.worth), (8.0, 200.0));
    let rows = meter.rows(later(600_000));
    assert_eq!((rows[0].short.total, rows[0].long.total), (0, 100));
    assert!(meter.rows(later(4_000_000)).is_empty());
}
