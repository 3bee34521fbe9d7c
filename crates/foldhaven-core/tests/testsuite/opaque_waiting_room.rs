//! The order in which waiting requests go, and for how long they wait.

use std::time::Duration;

use foldhaven_core::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use foldhaven_core::opaque::request_class::CallerWait;
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
    let ids: Vec<TicketId> = requests.iter().map(|it| room.enter(*it)).collect();
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
    let newcomer = room.enter(request(1, 900, 5_000));
    let returning = room.enter(request(1, 100, 5_000));
    assert_eq!(let_go(&mut room, &[newcomer, returning], &view(1, 0), at(1_000)), [1]);
}

// Guards against a caller that counts as late because of the time that a refusal cost it: it can be
// in time by its present try, and goes before those who came later.
#[test]
fn a_second_try_is_not_late_for_the_first_one() {
    let millis = Duration::from_millis;
    let new = |total, earlier| {
        let wait = CallerWait { total: millis(total), earlier_tries: millis(earlier) };
        let class = class(PriorityLevel::new(1), TOKENS);
        WaitingRequest::new(class, wait, millis(500), millis(100), at(5_000))
    };
    let (second, first) = (new(2_300, 2_300), new(0, 0));
    assert_eq!((second.late_at, first.late_at), (at(5_400), at(5_400)));
    assert_eq!(new(2_400, 2_300).late_at, at(5_300), "what this try has waited counts");
    assert_eq!(new(2_300, 0).late_at, at(5_000), "one long try is late");
    let mut room = WaitingRoom::default();
    let ids = [room.enter(first), room.enter(second)];
    assert_eq!(let_go(&mut room, &ids, &view(1, 0), at(5_010)), [1]);
}

// Guards against a late second try that starts and is displaced again and again while timely ones
// of its level keep coming: it starts once there is room beside them, and until then it waits here.
#[test]
fn a_late_second_try_starts_beside_steady_timely_ones() {
    let mut room = WaitingRoom::default();
    room.set_floor_share(0.0);
    let late = room.enter(request(0, 0, 0));
    for round in 0..50 {
        let now = at(1_000) + ROUND_INTERVAL * round;
        let timely = room.enter(request(0, 1_000, 99_000));
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

// Guards against a wait until the deadline, and against a refusal of what could start: the expected
// wait grows with those ahead, and falls with the slots that turn over.
#[test]
fn the_expected_wait_follows_the_turnover_of_the_slots() {
    let mut room = WaitingRoom::default();
    let ids: Vec<TicketId> = (0..30).map(|n| room.enter(request(1, n, 9_000))).collect();
    let behind = request(1, 40, 9_000);
    assert_eq!(room.expected_wait(&behind, at(40)), None, "nothing was seen yet");
    let mut view = view(0, 0);
    // Of the slots of this level and of a less urgent one, 50 become free in a second.
    view.slot_time = Duration::from_millis(1_000);
    view.in_flight[0] = 500;
    view.in_flight[1] = 20;
    view.in_flight[2] = 30;
    room.run_round(&view, NO_FRACTION, at(100));
    let wait = room.expected_wait(&behind, at(100)).unwrap();
    let expected = Duration::from_millis(500)..Duration::from_millis(800);
    assert!(expected.contains(&wait), "{wait:?}");
    // The last level gets none of the slots that more urgent ones hold.
    let starved: Vec<TicketId> = (0..5).map(|n| room.enter(request(9, n, 9_000))).collect();
    let wait = room.expected_wait(&request(9, 40, 9_000), at(100)).unwrap();
    assert!(wait > Duration::from_secs(10), "{wait:?}");
    starved.into_iter().for_each(|id| room.leave(id));
    ids.into_iter().for_each(|id| room.leave(id));
    assert!(room.is_empty());
    let first = room.enter(behind);
    assert_eq!(room.expected_wait(&behind, at(8_980)), None, "what was seen is outdated");
    room.leave(first);
}

// Guards against a VM with few waiting requests that expects no wait, although as many as there is
// room for wait at other VMs.
#[test]
fn the_expected_wait_counts_those_at_other_vms() {
    let mut room = WaitingRoom::default();
    (0..10).for_each(|n| {
        room.enter(request(1, n, 9_000));
    });
    let mut view = view(0, 0);
    view.slot_time = Duration::from_millis(500);
    view.in_flight[1] = 50;
    view.waiting_elsewhere[0] = 40;
    view.waiting_elsewhere[1] = 60;
    room.run_round(&view, NO_FRACTION, at(100));
    // 100 slots become free in a second.
    let last = room.expected_wait(&request(1, 40, 9_000), at(100)).unwrap();
    assert!((1_050..=1_150).contains(&last.as_millis()), "{last:?}");
    let first = room.expected_wait(&request(1, 0, 9_000), at(100)).unwrap();
    assert!((380..=480).contains(&first.as_millis()), "{first:?}");
}

// Guards against a lowest level that never starts while more urgent ones take all room.
#[test]
fn the_floor_lets_the_least_urgent_start() {
    let mut room = WaitingRoom::default();
    room.set_floor_share(0.1);
    let last = room.enter(request(9, 0, 0));
    let mut rounds = 0;
    let mut in_flight = 100;
    loop {
        rounds += 1;
        let urgent = room.enter(request(0, 0, 99_000));
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
        let ids: Vec<TicketId> = (0..waiting).map(|n| room.enter(request(1, n, 9_000))).collect();
        let has_gone = let_go(&mut room, &ids, &view(40, 0), at(9_000));
        assert_eq!(has_gone, (0..40).collect::<Vec<_>>());
    }
}
