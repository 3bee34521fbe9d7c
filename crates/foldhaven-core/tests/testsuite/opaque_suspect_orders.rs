//! A small model of several VMs and one request, over drawn orders of sendings, ends, messages, losses, cuts and restarts.

use std::time::Duration;

use foldhaven_core::opaque::affinity::UpstreamTag;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::request_fingerprint::{FingerprintParts, RequestFingerprint};
use foldhaven_core::opaque::suspects::{
    REFUSE_EXITS, RecordSource, SuspectRecord, SuspectTable, SuspectVerdict,
};
use foldhaven_core::time::MonoTime;
use proptest::prelude::*;

use crate::opaque_support::at;

const VMS: usize = 5;
/// From the sending of a request to the end of its upstream.
const DYING_MS: u64 = 60;
/// VMs tell again so often.
const ROUND_MS: u64 = 500;
/// From so long after the third end on, sendings count.
const KNOWN_MS: u64 = 2_000;

fn print_of(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

/// One thing that happens.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The request comes to a VM.
    Send { vm: usize },
    /// So many milliseconds pass.
    Pass { ms: u64 },
    /// The oldest message on its way is lost.
    Lose,
    /// The newest message on its way overtakes all others.
    Overtake,
    /// A message on its way comes twice.
    Double,
    /// A VM starts again and asks another one.
    Restart { vm: usize },
    /// A VM hears nothing for so many milliseconds.
    Cut { vm: usize, ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..VMS;
    let step = prop_oneof![
        12 => vm.clone().prop_map(|vm| Step::Send { vm }),
        8 => (1_u64..150).prop_map(|ms| Step::Pass { ms }),
        1 => (150_u64..4_000).prop_map(|ms| Step::Pass { ms }),
        2 => Just(Step::Lose),
        2 => Just(Step::Overtake),
        1 => Just(Step::Double),
        1 => vm.clone().prop_map(|vm| Step::Restart { vm }),
        1 => (vm, 100_u64..6_000).prop_map(|(vm, ms)| Step::Cut { vm, ms }),
    ];
    proptest::collection::vec(step, 40..220)
}

struct Message {
    to: usize,
    due: u64,
    record: SuspectRecord,
}

/// VMs, and the messages between them.
struct Model {
    now: u64,
    tables: Vec<SuspectTable>,
    cut_until: Vec<u64>,
    messages: Vec<Message>,
    /// Upstreams that end, with the VM that sent and when.
    dying: Vec<(u64, usize, UpstreamTag)>,
    /// When upstreams ended, and at which VM that was seen.
    exits: Vec<(u64, usize)>,
    /// How many upstreams were sent to; each is another one.
    upstreams: u32,
    /// How often VMs in touch sent the request on although all that is needed to hold it back could be known to them.
    late_sends: usize,
    is_deadly: bool,
    tells: bool,
}

impl Model {
    fn new(is_deadly: bool, tells: bool) -> Self {
        let tables = (0..VMS).map(|vm| SuspectTable::new(VmTag(vm as u32))).collect();
        Self {
            now: 0,
            tables,
            cut_until: vec![0; VMS],
            messages: Vec::new(),
            dying: Vec::new(),
            exits: Vec::new(),
            upstreams: 0,
            late_sends: 0,
            is_deadly,
            tells,
        }
    }

    fn time(&self) -> MonoTime {
        at(self.now)
    }

    fn act(&mut self, step: Step, fingerprint: RequestFingerprint) {
        match step {
            Step::Send { vm } => self.send(vm, fingerprint),
            Step::Pass { ms } => self.pass(ms, fingerprint),
            Step::Lose if !self.messages.is_empty() => drop(self.messages.remove(0)),
            Step::Overtake => {
                if let Some(last) = self.messages.pop() {
                    self.messages.insert(0, last);
                }
            }
            Step::Double => {
                if let Some(Message { to, due, record }) = self.messages.first() {
                    let again = Message { to: *to, due: due + 30, record: record.clone() };
                    self.messages.push(again);
                }
            }
            Step::Restart { vm } => self.restart(vm),
            Step::Cut { vm, ms } => self.cut_until[vm] = self.now + ms,
            Step::Lose => {}
        }
    }

    fn is_in_touch(&self, vm: usize) -> bool {
        self.now >= self.cut_until[vm] + KNOWN_MS || self.cut_until[vm] == 0
    }

    fn send(&mut self, vm: usize, fingerprint: RequestFingerprint) {
        let now = self.time();
        if let SuspectVerdict::Refused { .. } = self.tables[vm].decide(&fingerprint, now) {
            return;
        }
        if self.is_in_touch(vm) && self.knowable_ends() >= REFUSE_EXITS {
            self.late_sends += 1;
        }
        self.upstreams += 1;
        let upstream = UpstreamTag(self.upstreams);
        match self.is_deadly {
            true => self.dying.push((self.now + DYING_MS, vm, upstream)),
            false => {
                self.tables[vm].record_success(fingerprint, now);
            }
        }
        self.tell(vm);
    }

    /// Tells all others what is news at a VM.
    fn tell(&mut self, vm: usize) {
        let mut news = self.tables[vm].take_updates();
        news.extend(self.tables[vm].take_shared_updates());
        if self.tells {
            news.into_iter().for_each(|news| self.post(vm, news.record));
        }
    }

    fn post(&mut self, from: usize, record: SuspectRecord) {
        for to in (0..VMS).filter(|to| *to != from) {
            if self.now < self.cut_until[from] || self.now < self.cut_until[to] {
                continue;
            }
            self.messages.push(Message { to, due: self.now + 5, record: record.clone() });
        }
    }

    fn restart(&mut self, vm: usize) {
        let asked = (vm + 1) % VMS;
        let known = self.tables[asked].startup_records();
        self.tables[vm] = SuspectTable::new(VmTag(vm as u32));
        self.dying.retain(|(_, sender, _)| *sender != vm);
        // What it had seen a moment ago may have gone with it.
        let now = self.now;
        self.exits.retain(|(at, seer)| *seer != vm || now > at + KNOWN_MS);
        if self.tells {
            let now = self.time();
            for record in known {
                self.tables[vm].merge_record(&record, RecordSource::Local, now).unwrap();
            }
        }
    }

    fn pass(&mut self, ms: u64, fingerprint: RequestFingerprint) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver();
            self.end_upstreams(fingerprint);
            if self.now.is_multiple_of(ROUND_MS) {
                self.repeat();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.time();
        while let Some(at) = self.messages.iter().position(|it| it.due <= self.now) {
            let Message { to, record, .. } = self.messages.remove(at);
            self.tables[to].merge_record(&record, RecordSource::Local, now).unwrap();
            self.tell(to);
        }
    }

    fn end_upstreams(&mut self, fingerprint: RequestFingerprint) {
        while let Some(at) = self.dying.iter().position(|(due, ..)| *due <= self.now) {
            let (_, vm, upstream) = self.dying.swap_remove(at);
            self.exits.push((self.now, vm));
            let now = self.time();
            self.tables[vm].record_exit(fingerprint, upstream, now);
            self.tell(vm);
        }
    }

    fn repeat(&mut self) {
        let now = self.time();
        for vm in 0..VMS {
            let records = self.tables[vm].next_resent(now);
            if self.tells {
                records.into_iter().for_each(|record| self.post(vm, record));
            }
        }
    }

    /// The ends that all VMs in touch can know: they are two seconds old, and whoever saw them has been in touch for as long.
    fn knowable_ends(&self) -> usize {
        let is_knowable =
            |(at, seer): &&(u64, usize)| self.now > at + KNOWN_MS && self.is_in_touch(*seer);
        self.exits.iter().filter(is_knowable).count()
    }
}

/// How many orders are drawn; `SUSPECT_ORDERS` draws others by hand.
fn cases() -> u32 {
    std::env::var("SUSPECT_ORDERS").ok().and_then(|it| it.parse().ok()).unwrap_or(48)
}

/// Plays some steps, and then sends every 40 ms, at one VM after another, for 30 s.
fn play(steps: &[Step], is_deadly: bool, tells: bool) -> Model {
    let fingerprint = print_of("a");
    let mut model = Model::new(is_deadly, tells);
    steps.iter().for_each(|step| model.act(*step, fingerprint));
    for number in 0..750 {
        model.act(Step::Send { vm: number % VMS }, fingerprint);
        model.pass(40, fingerprint);
    }
    model
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    /// All VMs together send a deadly request on three times at most once its third end is known, in whatever order things
    /// happen.
    #[test]
    fn vms_hold_a_deadly_request_back_together(steps in steps()) {
        let model = play(&steps, true, true);
        prop_assert!(model.late_sends <= 3, "{} late sends, ends {:?}", model.late_sends, model.exits);
    }

    /// A request under which nothing ends is never held back.
    #[test]
    fn nothing_is_held_back_without_an_end(steps in steps()) {
        let model = play(&steps, false, true);
        prop_assert!(model.tables.iter().all(|table| table.quarantined_count() == 0));
    }

    /// A request that was blamed falsely is sent on freely again by all VMs a while after it harms nobody.
    #[test]
    fn false_blame_heals(steps in steps()) {
        let fingerprint = print_of("a");
        let mut model = play(&steps, true, true);
        model.pass(DYING_MS, fingerprint);
        model.is_deadly = false;
        for number in 0..12_000 {
            model.act(Step::Send { vm: number % VMS }, fingerprint);
            model.pass(100, fingerprint);
        }
        let now = model.time();
        for table in &mut model.tables {
            prop_assert_eq!(table.decide(&fingerprint, now + Duration::from_millis(1)), SuspectVerdict::Allowed);
        }
    }
}

/// The bound is one of telling: VMs that keep to themselves each lose three upstreams.
#[test]
fn without_messages_each_vm_makes_up_its_own_mind() {
    let sends: Vec<Step> =
        (0..60).flat_map(|it| [Step::Send { vm: it % VMS }, Step::Pass { ms: 40 }]).collect();
    assert!(play(&sends, true, false).exits.len() >= VMS * REFUSE_EXITS);
    assert!(play(&sends, true, true).exits.len() < 2 * REFUSE_EXITS);
}
