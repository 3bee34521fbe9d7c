//! A small model of several VMs and one request, run with random sequences of sends, exits,
//! messages, losses, partitions and restarts.

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
/// Milliseconds from the sending of a request to the exit of its upstream.
const EXIT_DELAY_MS: u64 = 60;
/// Milliseconds between two rounds in which VMs resend records.
const ROUND_MS: u64 = 500;
/// Sends count as late from this many milliseconds after the third exit on.
const PROPAGATION_MS: u64 = 2_000;

fn fingerprint_of(body: &str) -> RequestFingerprint {
    let parts =
        FingerprintParts { host: "desk", method: "POST", target: "/x", body: body.as_bytes() };
    RequestFingerprint::of(&parts)
}

/// One step of a run.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The request arrives at a VM.
    Send { vm: usize },
    /// This many milliseconds pass.
    Advance { ms: u64 },
    /// The oldest message in transit is lost.
    Lose,
    /// The newest message in transit overtakes all others.
    Reorder,
    /// A message in transit is duplicated.
    Duplicate,
    /// A VM restarts and requests the records of another one.
    Restart { vm: usize },
    /// A VM is partitioned from all others for this many milliseconds.
    Partition { vm: usize, ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = 0..VMS;
    let step = prop_oneof![
        12 => vm.clone().prop_map(|vm| Step::Send { vm }),
        8 => (1_u64..150).prop_map(|ms| Step::Advance { ms }),
        1 => (150_u64..4_000).prop_map(|ms| Step::Advance { ms }),
        2 => Just(Step::Lose),
        2 => Just(Step::Reorder),
        1 => Just(Step::Duplicate),
        1 => vm.clone().prop_map(|vm| Step::Restart { vm }),
        1 => (vm, 100_u64..6_000).prop_map(|(vm, ms)| Step::Partition { vm, ms }),
    ];
    proptest::collection::vec(step, 40..220)
}

struct Message {
    to: usize,
    due: u64,
    record: SuspectRecord,
}

/// The VMs, and the messages between them.
struct Model {
    now: u64,
    tables: Vec<SuspectTable>,
    partitioned_until: Vec<u64>,
    messages: Vec<Message>,
    /// Upstreams that will exit: the time, the VM that sent to it, and the upstream.
    exiting: Vec<(u64, usize, UpstreamTag)>,
    /// Times of past exits, and the VM that observed each.
    exits: Vec<(u64, usize)>,
    /// Number of upstreams sent to; each send uses another one.
    upstreams: u32,
    /// Number of times that connected VMs sent the request although they could know all exits
    /// needed to quarantine it.
    late_sends: usize,
    is_poison: bool,
    sends_updates: bool,
}

impl Model {
    fn new(is_poison: bool, sends_updates: bool) -> Self {
        let tables = (0..VMS).map(|vm| SuspectTable::new(VmTag(vm as u32))).collect();
        Self {
            now: 0,
            tables,
            partitioned_until: vec![0; VMS],
            messages: Vec::new(),
            exiting: Vec::new(),
            exits: Vec::new(),
            upstreams: 0,
            late_sends: 0,
            is_poison,
            sends_updates,
        }
    }

    fn time(&self) -> MonoTime {
        at(self.now)
    }

    fn apply(&mut self, step: Step, fingerprint: RequestFingerprint) {
        match step {
            Step::Send { vm } => self.send(vm, fingerprint),
            Step::Advance { ms } => self.advance(ms, fingerprint),
            Step::Lose if !self.messages.is_empty() => drop(self.messages.remove(0)),
            Step::Reorder => {
                if let Some(last) = self.messages.pop() {
                    self.messages.insert(0, last);
                }
            }
            Step::Duplicate => {
                if let Some(Message { to, due, record }) = self.messages.first() {
                    let again = Message { to: *to, due: due + 30, record: record.clone() };
                    self.messages.push(again);
                }
            }
            Step::Restart { vm } => self.restart(vm),
            Step::Partition { vm, ms } => self.partitioned_until[vm] = self.now + ms,
            Step::Lose => {}
        }
    }

    fn is_connected(&self, vm: usize) -> bool {
        self.now >= self.partitioned_until[vm] + PROPAGATION_MS || self.partitioned_until[vm] == 0
    }

    fn send(&mut self, vm: usize, fingerprint: RequestFingerprint) {
        let now = self.time();
        if let SuspectVerdict::Refused { .. } = self.tables[vm].decide(&fingerprint, now) {
            return;
        }
        if self.is_connected(vm) && self.visible_exits() >= REFUSE_EXITS {
            self.late_sends += 1;
        }
        self.upstreams += 1;
        let upstream = UpstreamTag(self.upstreams);
        match self.is_poison {
            true => self.exiting.push((self.now + EXIT_DELAY_MS, vm, upstream)),
            false => {
                self.tables[vm].record_success(fingerprint, now);
            }
        }
        self.send_updates(vm);
    }

    /// Sends the updates of a VM to all others.
    fn send_updates(&mut self, vm: usize) {
        let mut updates = self.tables[vm].take_updates();
        updates.extend(self.tables[vm].take_shared_updates());
        if self.sends_updates {
            updates.into_iter().for_each(|update| self.send_record(vm, update.record));
        }
    }

    fn send_record(&mut self, from: usize, record: SuspectRecord) {
        for to in (0..VMS).filter(|to| *to != from) {
            if self.now < self.partitioned_until[from] || self.now < self.partitioned_until[to] {
                continue;
            }
            self.messages.push(Message { to, due: self.now + 5, record: record.clone() });
        }
    }

    fn restart(&mut self, vm: usize) {
        let source = (vm + 1) % VMS;
        let known = self.tables[source].startup_records();
        self.tables[vm] = SuspectTable::new(VmTag(vm as u32));
        self.exiting.retain(|(_, sender, _)| *sender != vm);
        // The exits that it observed recently may be lost with it.
        let now = self.now;
        self.exits.retain(|(at, observer)| *observer != vm || now > at + PROPAGATION_MS);
        if self.sends_updates {
            let now = self.time();
            for record in known {
                self.tables[vm].merge_record(&record, RecordSource::Local, now).unwrap();
            }
        }
    }

    fn advance(&mut self, ms: u64, fingerprint: RequestFingerprint) {
        for _ in 0..ms {
            self.now += 1;
            self.deliver();
            self.exit_upstreams(fingerprint);
            if self.now.is_multiple_of(ROUND_MS) {
                self.resend();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.time();
        while let Some(at) = self.messages.iter().position(|it| it.due <= self.now) {
            let Message { to, record, .. } = self.messages.remove(at);
            self.tables[to].merge_record(&record, RecordSource::Local, now).unwrap();
            self.send_updates(to);
        }
    }

    fn exit_upstreams(&mut self, fingerprint: RequestFingerprint) {
        while let Some(at) = self.exiting.iter().position(|(due, ..)| *due <= self.now) {
            let (_, vm, upstream) = self.exiting.swap_remove(at);
            self.exits.push((self.now, vm));
            let now = self.time();
            self.tables[vm].record_exit(fingerprint, upstream, now);
            self.send_updates(vm);
        }
    }

    fn resend(&mut self) {
        let now = self.time();
        for vm in 0..VMS {
            let records = self.tables[vm].next_resent(now);
            if self.sends_updates {
                records.into_iter().for_each(|record| self.send_record(vm, record));
            }
        }
    }

    /// Returns the number of exits that all connected VMs can know: they are two seconds old, and
    /// the observer of each has been connected for as long.
    fn visible_exits(&self) -> usize {
        let is_visible = |(at, observer): &&(u64, usize)| {
            self.now > at + PROPAGATION_MS && self.is_connected(*observer)
        };
        self.exits.iter().filter(is_visible).count()
    }
}

/// Number of random sequences; the variable `SUSPECT_ORDERS` sets another one.
fn cases() -> u32 {
    std::env::var("SUSPECT_ORDERS").ok().and_then(|it| it.parse().ok()).unwrap_or(48)
}

/// Runs the steps, and then sends every 40 ms, at one VM after another, for 30 s.
fn run(steps: &[Step], is_poison: bool, sends_updates: bool) -> Model {
    let fingerprint = fingerprint_of("a");
    let mut model = Model::new(is_poison, sends_updates);
    steps.iter().for_each(|step| model.apply(*step, fingerprint));
    for number in 0..750 {
        model.apply(Step::Send { vm: number % VMS }, fingerprint);
        model.advance(40, fingerprint);
    }
    model
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    /// All VMs together send a poison request at most three times once its third exit is known, in
    /// whatever order things happen.
    #[test]
    fn vms_quarantine_a_poison_request_together(steps in steps()) {
        let model = run(&steps, true, true);
        prop_assert!(model.late_sends <= 3, "{} late sends, exits {:?}", model.late_sends, model.exits);
    }

    /// A request that crashes no upstream is never quarantined.
    #[test]
    fn nothing_is_quarantined_without_an_exit(steps in steps()) {
        let model = run(&steps, false, true);
        prop_assert!(model.tables.iter().all(|table| table.quarantined_count() == 0));
    }

    /// A wrongly blamed request is forwarded freely by all VMs some time after it stops crashing
    /// upstreams.
    #[test]
    fn a_wrongly_blamed_request_recovers(steps in steps()) {
        let fingerprint = fingerprint_of("a");
        let mut model = run(&steps, true, true);
        model.advance(EXIT_DELAY_MS, fingerprint);
        model.is_poison = false;
        for number in 0..12_000 {
            model.apply(Step::Send { vm: number % VMS }, fingerprint);
            model.advance(100, fingerprint);
        }
        let now = model.time();
        for table in &mut model.tables {
            prop_assert_eq!(table.decide(&fingerprint, now + Duration::from_millis(1)), SuspectVerdict::Allowed);
        }
    }
}

/// The bound depends on the messages: without them each VM loses three upstreams.
#[test]
fn without_messages_each_vm_decides_alone() {
    let sends: Vec<Step> =
        (0..60).flat_map(|it| [Step::Send { vm: it % VMS }, Step::Advance { ms: 40 }]).collect();
    assert!(run(&sends, true, false).exits.len() >= VMS * REFUSE_EXITS);
    assert!(run(&sends, true, true).exits.len() < 2 * REFUSE_EXITS);
}
