//! Exchange of suspect records between VMs, over a network with delays and message loss.

use std::time::Duration;

use foldhaven_core::opaque::suspects::{
    MAX_RECORDS_PER_MESSAGE, RecordSource, SuspectRecord, SuspectUpdate, UpdateScope,
};
use rand::Rng;

use super::plan::SharingPolicy;
use super::world::{LOCAL_DELAY, World, WorldEvent};

/// One-way network delay between two regions.
const REMOTE_DELAY: Duration = Duration::from_millis(60);
/// Interval between two rounds in which a VM resends records.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of VMs of the same region that receive resent records in a round.
const RESEND_FAN_OUT: usize = 4;
/// Maximum random delay of updates that several VMs could send, in milliseconds.
const MAX_SHARED_DELAY_MS: u64 = 80;
/// Number of VMs of each other region that receive an update.
const RECEIVERS_PER_REGION: usize = 2;
/// Size of a record, and of a message without its records, in bytes.
const RECORD_BYTES: usize = 40;
const MESSAGE_BYTES: usize = 40;

impl World {
    /// Merges records that a VM receives from another.
    pub(super) fn receive_records(&mut self, vm: usize, from: usize, records: &[SuspectRecord]) {
        if self.vms[vm].is_down {
            return;
        }
        let source = match self.vms[vm].region == self.vms[from].region {
            true => RecordSource::Local,
            false => RecordSource::Remote,
        };
        for record in records {
            let result = self.vms[vm].table.merge_record(record, source, self.now);
            debug_assert!(result.is_ok(), "{result:?}");
        }
        self.send_own_updates(vm);
    }

    /// Sends a VM's pending updates, and schedules those that other VMs could send, too.
    pub(super) fn send_own_updates(&mut self, vm: usize) {
        let updates = self.vms[vm].table.take_updates();
        self.send_updates(vm, &updates);
        let pause = Duration::from_millis(self.random.random_range(0..MAX_SHARED_DELAY_MS));
        if self.vms[vm].table.has_shared_updates() {
            self.schedule(pause, WorldEvent::SendSharedUpdates { vm });
        }
    }

    /// Sends updates to all VMs of the own region, and global ones to a few of each other region.
    pub(super) fn send_updates(&mut self, vm: usize, updates: &[SuspectUpdate]) {
        if updates.is_empty() || self.policy != SharingPolicy::Shared {
            return;
        }
        let all: Vec<SuspectRecord> =
            updates.iter().map(|updates| updates.record.clone()).collect();
        let global_records = updates.iter().filter(|updates| updates.scope == UpdateScope::Global);
        let global_records: Vec<SuspectRecord> =
            global_records.map(|updates| updates.record.clone()).collect();
        let region = self.vms[vm].region;
        for other in (region..self.plan.vms).step_by(self.plan.regions) {
            self.send_records(vm, other, &all);
        }
        for other in (0..self.plan.regions).filter(|other| *other != region) {
            for _ in 0..RECEIVERS_PER_REGION {
                let receiver = self.random_vm(other);
                self.send_records(vm, receiver, &global_records);
            }
        }
    }

    /// Resends records to a few VMs, and schedules the next round.
    pub(super) fn resend_records(&mut self, vm: usize) {
        self.schedule(RESEND_INTERVAL, WorldEvent::ResendRecords { vm });
        if self.vms[vm].is_down || self.policy != SharingPolicy::Shared {
            return;
        }
        let now = self.now;
        self.vms[vm].table.remove_expired(now);
        let records = self.vms[vm].table.next_resent(now);
        let region = self.vms[vm].region;
        for _ in 0..RESEND_FAN_OUT {
            let other = self.random_vm(region);
            self.send_records(vm, other, &records);
        }
        let is_delegate = vm / self.plan.regions < 2;
        for other in (0..self.plan.regions).filter(|other| is_delegate && *other != region) {
            let receiver = self.random_vm(other);
            self.send_records(vm, receiver, &records);
        }
    }

    /// Returns a random VM of a region.
    fn random_vm(&mut self, region: usize) -> usize {
        let count = (self.plan.vms - region).div_ceil(self.plan.regions);
        region + self.random.random_range(0..count) * self.plan.regions
    }

    fn send_records(&mut self, from: usize, vm: usize, records: &[SuspectRecord]) {
        if records.is_empty() || from == vm {
            return;
        }
        let messages = records.len().div_ceil(MAX_RECORDS_PER_MESSAGE);
        let bytes = messages * MESSAGE_BYTES + records.len() * RECORD_BYTES;
        *self.sent_bytes.entry((from, self.now.0 / 1_000_000)).or_default() += bytes;
        if self.random.random_bool(self.plan.message_loss) {
            return;
        }
        let is_local = self.vms[from].region == self.vms[vm].region;
        let delay = if is_local { LOCAL_DELAY } else { REMOTE_DELAY };
        self.schedule(delay, WorldEvent::ReceiveRecords { vm, from, records: records.to_vec() });
    }
}
