//! Tests of wait estimates, prefixes, retries, pauses, health, fairness and burn rates.

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
fn a_free_slot_means_no_wait_and_recent_dispatches_occupy_slots() {
    let free = engine("e", 3, 900);
    assert_eq!(expected_wait(&free, RecentWork::default(), now()), Duration::ZERO);
    let recent = RecentWork { requests: 3.0, work: Duration::from_millis(900) };
    assert!(expected_wait(&free, recent, now()) > Duration::from_millis(100));
}

#[test]
fn the_expected_wait_decreases_with_the_age_of_a_report() {
    let busy = engine("e", 8, 8_000);
    let early = expected_wait(&busy, RecentWork::default(), now());
    let late = expected_wait(&busy, RecentWork::default(), later(1_000));
    assert!(late < early, "{late:?} after {early:?}");
}

#[test]
fn the_probability_of_being_late_rises_as_the_deadline_gets_closer() {
    let second = Duration::from_secs(1);
    let chance = |deadline: f64| chance_late(second, second.mul_f64(deadline), 0.2);
    assert!(chance(2.0) < 0.01 && chance(0.5) > 0.99);
    assert!((chance(1.0) - 0.5).abs() < 1e-9);
}

#[test]
fn the_bias_of_estimates_is_learned() {
    let mut calibration = EstimateCalibration::default();
    (0..400)
        .for_each(|_| calibration.record(Duration::from_millis(100), Duration::from_millis(150)));
    assert!((calibration.bias() - 1.5).abs() < 0.02);
    assert!(calibration.spread() < 0.1);
}

#[test]
fn prefixes_are_indexed_until_they_are_evicted_or_expire() {
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
fn a_view_from_before_a_pause_is_not_used() {
    let mut detector = PauseDetector::new(Duration::from_millis(500), now());
    assert_eq!(detector.tick(later(100)), None);
    assert!(detector.may_act(later(200), now()));
    assert!(!detector.may_act(later(5_000), now()), "a pause that is not detected yet");
    assert!(detector.tick(later(5_000)).is_some());
    assert!(!detector.may_act(later(5_050), now()), "a view from before the pause");
    assert!(detector.may_act(later(5_100), later(5_060)));
}

#[test]
fn repeated_failures_eject_a_target_for_longer_each_time() {
    let mut health = HealthTracker::default();
    health.record_failure("e", false, now());
    assert!(!health.is_ejected("e", now()));
    health.record_failure("e", true, now());
    assert!(health.is_ejected("e", later(400)) && !health.is_ejected("e", later(600)));
    health.record_failure("e", false, later(600));
    assert!(health.is_ejected("e", later(1_500)));
    health.record_success("e");
    assert!(!health.is_ejected("e", later(1_500)));
}

#[test]
fn an_account_that_used_more_than_its_share_pays_more() {
    let mut usage = UsageTracker::default();
    let (greedy, modest) = ("greedy".parse().unwrap(), "modest".parse().unwrap());
    (0..9).for_each(|_| usage.record(&greedy, 1.0, Duration::from_secs(1), now()));
    usage.record(&modest, 1.0, Duration::from_secs(1), now());
    assert!(usage.price_factor(&greedy, 1.0) > 1.5);
    assert!(usage.price_factor(&modest, 1.0) < 0.5);
    assert!(usage.price_factor(&greedy, 9.0) <= 1.0, "a larger share pays less");
}

#[test]
fn burn_rates_are_counted_over_their_windows() {
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
