//! The order in which waiting requests go, and for how long they wait.

use std::time::Duration;

use foldhaven_core::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use foldhaven_core::opaque::service_room::ServiceRoom;
use foldhaven_core::opaque::waiting_room::{
    ROUND_INTERVAL, RoomView, TicketId, WaitingRequest, WaitingRoom,
};
use foldhaven_core::time::MonoTime;

use crate::opaque_support::{at, class};

const TOKENS: u32 = 1_000;
/// A draw that uses no fraction of the room.
const NO_FRACTION: f64 = 0.999;

fn request(level: u8, since: u64, late_at: u64) -> WaitingRequest {
    WaitingRequest {
        class: class(PriorityLevel::new(level), TOKENS),
        since: at(since),
        late_at: at(late_at),
    }
}

/// Returns a view of one VM alone with free slots for each level.
fn view(slots: u32, own_in_flight: u32) -> RoomView {
    let room = ServiceRoom { slots, prefill_tokens: slots * TOKENS + 1, memory_tokens: u32::MAX };
    RoomView { room: [room; LEVEL_COUNT], own_in_flight, ..RoomView::default() }
}

/// Runs a round with free slots, and returns who was let go.
fn let_go(room: &mut WaitingRoom, ids: &[TicketId], view: &RoomView, now: MonoTime) -> Vec<usize> {
    room.run_round(view, NO_FRACTION, now);
    (0..ids.len()).filter(|index| room.take_turn(ids[*index])).collect()
}

// Guards against an order by arrival alone, or by lateness before priority.
#[test]
fn requests_go_by_level_then_lateness_then_waiting_time() {
    let requests = [
        request(2, 0, 900),
        request(1, 5, 100),
        request(1, 6, 900),
        request(1, 4, 900),
        request(0, 9, 100),
    ];
    let mut room = WaitingRoom::default();
    let ids: Vec<TicketId> = requests.iter().map(|it| room.enter(*it, at(10))).collect();
    let now = at(200);
    let mut order = Vec::new();
    for slots in 1..=5 {
        let mut fresh = let_go(&mut room, &ids, &view(slots, 0), now);
        fresh.retain(|index| !order.contains(index));
        order.extend(fresh);
    }
    assert_eq!(order, [4, 3, 2, 1, 0]);
}

// Guards against a caller that comes again after a refusal and queues behind those who came later.
#[test]
fn who_comes_again_keeps_its_place() {
    let mut room = WaitingRoom::default();
    let newcomer = room.enter(request(1, 900, 5_000), at(900));
    let returning = room.enter(request(1, 100, 5_000), at(1_000));
    assert_eq!(let_go(&mut room, &[newcomer, returning], &view(1, 0), at(1_000)), [1]);
}

// Guards against a late second try that starts and is displaced again and again while timely ones
// of its level keep coming: it starts once there is room beside them, and until then it waits here.
#[test]
fn a_late_second_try_starts_beside_steady_timely_ones() {
    let mut room = WaitingRoom::default();
    room.set_floor_share(0.0);
    let late = room.enter(request(0, 0, 0), at(1_000));
    for round in 0..50 {
        let now = at(1_000) + ROUND_INTERVAL * round;
        let timely = room.enter(request(0, 1_000, 99_000), now);
        // There is room for one request a round, and for a second one in the last round.
        let slots = if round < 49 { 1 } else { 2 };
        let has_gone = let_go(&mut room, &[late, timely], &view(slots, 0), now);
        match round < 49 {
            true => assert_eq!(has_gone, [1], "round {round}"),
            false => assert_eq!(has_gone, [0, 1]),
        }
        room.leave(timely);
    }
}

// Guards against a wait until the deadline: with a known rate, the expected wait grows with those
// ahead, and a level whose requests do not leave is expected to wait for long.
#[test]
fn the_expected_wait_follows_the_rate_of_the_level() {
    let mut room = WaitingRoom::default();
    let ids: Vec<TicketId> = (0..30).map(|n| room.enter(request(1, n, 9_000), at(n))).collect();
    let behind = request(1, 40, 9_000);
    assert_eq!(room.expected_wait(&behind, at(40)), None, "no rate is known yet");
    for tick in 0..500 {
        room.record_start(PriorityLevel::new(1), at(tick * 20));
    }
    // 50 leave a second, and 30 are ahead.
    let wait = room.expected_wait(&behind, at(8_980)).unwrap();
    let expected = Duration::from_millis(500)..Duration::from_millis(800);
    assert!(expected.contains(&wait), "{wait:?}");
    let starved: Vec<TicketId> =
        (0..5).map(|n| room.enter(request(2, n, 9_000), at(8_000))).collect();
    let wait = room.expected_wait(&request(2, 40, 9_000), at(8_980)).unwrap();
    assert!(wait > Duration::from_secs(10), "{wait:?}");
    starved.into_iter().for_each(|id| room.leave(id));
    ids.into_iter().for_each(|id| room.leave(id));
    assert!(room.is_empty());
    assert_eq!(room.expected_wait(&behind, at(8_980)), None, "nobody waits");
}

// Guards against a lowest level that never starts while more urgent ones take all room.
#[test]
fn the_floor_lets_the_least_urgent_start() {
    let mut room = WaitingRoom::default();
    room.set_floor_share(0.1);
    let last = room.enter(request(9, 0, 0), at(0));
    let mut rounds = 0;
    let mut in_flight = 100;
    loop {
        rounds += 1;
        let urgent = room.enter(request(0, 0, 99_000), at(0));
        // Each round, one of this VM's requests ends, and an urgent one takes its slot.
        let mut view = view(1, in_flight);
        view.room[9] = ServiceRoom::default();
        in_flight = 100 - u32::from(rounds > 1);
        room.run_round(&view, 0.0, at(0) + ROUND_INTERVAL * rounds);
        let has_started = room.take_turn(last);
        room.leave(urgent);
        if has_started || rounds > 60 {
            break;
        }
    }
    assert!((5..=40).contains(&rounds), "{rounds}");
}

// Guards against steps that grow with more than the waiting requests: a round of twice as many
// looks at twice as many.
#[test]
fn a_round_lets_no_more_go_than_there_is_room_for() {
    for waiting in [500, 1_000] {
        let mut room = WaitingRoom::default();
        let ids: Vec<TicketId> =
            (0..waiting).map(|n| room.enter(request(1, n, 9_000), at(n))).collect();
        let has_gone = let_go(&mut room, &ids, &view(40, 0), at(9_000));
        assert_eq!(has_gone, (0..40).collect::<Vec<_>>());
    }
}
