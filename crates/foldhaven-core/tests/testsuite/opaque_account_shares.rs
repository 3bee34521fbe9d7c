//! How accounts share the room of one level.
//!
//! The load: sixteen accounts whose requests together fill a part of the room; one of them then
//! sends ten times its usual.

use std::time::Duration;

use foldhaven_core::opaque::account_demand::AccountTag;
use foldhaven_core::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use foldhaven_core::opaque::request_class::RequestClass;
use foldhaven_core::opaque::service_room::ServiceRoom;
use foldhaven_core::opaque::waiting_room::{
    ROUND_INTERVAL, RoomView, TicketId, WaitingRequest, WaitingRoom,
};
use foldhaven_core::time::MonoTime;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::opaque_support::{at, class};

const ACCOUNTS: usize = 16;
const HOT: usize = 0;
const PATIENCE: Duration = Duration::from_millis(500);
const RUN: Duration = Duration::from_secs(10);
/// Requests that can start per round.
const SLOTS_PER_ROUND: f64 = 4.0;

fn request(account: Option<usize>, since: MonoTime, late_at: MonoTime) -> WaitingRequest {
    let account = account.map(|number| AccountTag(number as u32));
    let class = RequestClass { account, ..class(PriorityLevel::default(), 0) };
    WaitingRequest { class, since, late_at }
}

fn view(slots: u32) -> RoomView {
    let room = ServiceRoom { slots, prefill_tokens: u32::MAX, memory_tokens: u32::MAX };
    RoomView { room: [room; LEVEL_COUNT], ..RoomView::default() }
}

/// Returns the share of the requests of each account that start before their callers leave, with
/// the given requests per round of each.
fn play(per_round: [f64; ACCOUNTS], seed: u64) -> [f64; ACCOUNTS] {
    let mut random = StdRng::seed_from_u64(seed);
    let mut room = WaitingRoom::default();
    let mut waiting: Vec<(TicketId, usize, MonoTime)> = Vec::new();
    let (mut arrived, mut served) = ([0.0_f64; ACCOUNTS], [0.0; ACCOUNTS]);
    let (mut now, end) = (at(0), at(0) + RUN);
    while now < end {
        for account in 0..ACCOUNTS {
            let count = per_round[account];
            let more = u32::from(random.random::<f64>() < count.fract());
            for _ in 0..count as u32 + more {
                arrived[account] += 1.0;
                let id = room.enter(request(Some(account), now, now + PATIENCE));
                waiting.push((id, account, now));
            }
        }
        room.run_round(&view(SLOTS_PER_ROUND as u32), 0.0, now);
        waiting.retain(|(id, account, since)| {
            let starts = room.take_turn(*id);
            if starts {
                served[*account] += 1.0;
                room.record_account_start(Some(AccountTag(*account as u32)), now);
            }
            let leaves = starts || now.since(*since) >= PATIENCE;
            if leaves {
                room.leave(*id);
            }
            !leaves
        });
        now = now + ROUND_INTERVAL;
    }
    std::array::from_fn(|account| served[account] / arrived[account].max(1.0))
}

// Guards against one account that sends ten times its usual and takes the room of those that send
// as before: they keep what they had, and it gets what they leave.
#[rstest]
fn a_hot_account_takes_only_what_others_leave(
    #[values(1.3, 2.0)] load: f64,
    #[values(1, 2)] seed: u64,
) {
    // The sum is `load` times the room: fifteen at their usual, and one at ten times that.
    let usual = load * SLOTS_PER_ROUND / (ACCOUNTS + 9) as f64;
    let before = play([usual; ACCOUNTS], seed);
    let mut per_round = [usual; ACCOUNTS];
    per_round[HOT] *= 10.0;
    let shares = play(per_round, seed);
    if load < 1.6 {
        assert!(before.iter().all(|share| *share > 0.97), "{before:?}");
    }
    for account in 1..ACCOUNTS {
        assert!(shares[account] + 0.03 >= before[account], "{account}: {shares:?} of {before:?}");
    }
    assert!(shares[HOT] < 0.75, "{shares:?}");
    // All of the room is used.
    let demand: f64 = shares.iter().zip(per_round).map(|(share, count)| share * count).sum();
    assert!(demand > 0.95 * SLOTS_PER_ROUND, "{demand}");
}

// Guards against a light account that is refused for the long queue of another one, which does not
// go before it.
#[test]
fn the_queue_of_one_account_does_not_delay_another() {
    let mut room = WaitingRoom::default();
    for index in 0..200 {
        room.enter(request(Some(HOT), at(index), at(60_000)));
    }
    for _ in 0..20 {
        room.record_start(PriorityLevel::default(), at(1_000));
        room.record_account_start(Some(AccountTag(HOT as u32)), at(1_000));
    }
    let now = at(1_000);
    // Twenty slots, all taken for 2 s each.
    let mut in_flight = [0; LEVEL_COUNT];
    in_flight[0] = 20;
    let full = RoomView { in_flight, slot_time: Duration::from_secs(2), ..RoomView::default() };
    room.run_round(&full, 0.0, now);
    let hot = room.expected_wait(&request(Some(HOT), now, at(60_000)), now);
    assert!(hot.unwrap() > Duration::from_secs(10), "{hot:?}");
    let other = room.expected_wait(&request(Some(1), now, at(60_000)), now);
    assert!(other.unwrap() <= Duration::from_millis(100), "{other:?}");
}

// Guards against another order where requests have no accounts, or all the same.
#[rstest]
fn with_one_account_the_order_is_that_of_waiting(#[values(None, Some(3))] account: Option<usize>) {
    let mut room = WaitingRoom::default();
    let arrivals = [50, 10, 40, 20, 30];
    let ids: Vec<TicketId> =
        arrivals.iter().map(|since| room.enter(request(account, at(*since), at(9_000)))).collect();
    let mut order = Vec::new();
    for round in 0..5 {
        let now = at(100 + 20 * round);
        room.run_round(&view(1), 0.0, now);
        let index = (0..ids.len()).find(|index| room.take_turn(ids[*index])).unwrap();
        room.leave(ids[index]);
        room.record_account_start(account.map(|it| AccountTag(it as u32)), now);
        order.push(index);
    }
    assert_eq!(order, [1, 3, 4, 2, 0]);
}
