//! What the VMs of the simulation tell each other, and what becomes of it on its way.

use std::time::Duration;

use foldhaven_core::opaque::suspects::{
    MAX_RECORDS_PER_MESSAGE, RecordSource, SuspectRecord, SuspectUpdate, UpdateScope,
};
use rand::Rng;

use super::plan::TellPolicy;
use super::world::{HarmEvent, NEAR_DELAY, World};

/// One way between two regions.
const FAR_DELAY: Duration = Duration::from_millis(60);
/// Between two rounds in which a VM tells again.
pub(super) const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How many near VMs are told in one.
const REPEAT_FAN_OUT: usize = 4;
/// What several VMs may tell waits for up to this.
const SHARED_PAUSE_MS: u64 = 80;
/// How many VMs of another region are told of news.
const TOLD_OF_EACH_REGION: usize = 2;
/// The bytes of a record, and of a message around its records.
const RECORD_BYTES: usize = 40;
const MESSAGE_BYTES: usize = 40;

impl World {
    /// A VM hears what another one knows.
    pub(super) fn hear(&mut self, vm: usize, from: usize, records: &[SuspectRecord]) {
        if self.vms[vm].is_down {
            return;
        }
        let source = match self.vms[vm].region == self.vms[from].region {
            true => RecordSource::Local,
            false => RecordSource::Remote,
        };
        for record in records {
            let heard = self.vms[vm].table.merge_record(record, source, self.now);
            debug_assert!(heard.is_ok(), "{heard:?}");
        }
        self.tell_news(vm);
    }

    /// A VM tells what is news at it.
    pub(super) fn tell_news(&mut self, vm: usize) {
        let news = self.vms[vm].table.take_updates();
        self.tell(vm, &news);
        let pause = Duration::from_millis(self.random.random_range(0..SHARED_PAUSE_MS));
        if self.vms[vm].table.has_shared_updates() {
            self.schedule(pause, HarmEvent::TellShared { vm });
        }
    }

    /// Tells the region of a VM, and a few VMs of each other one.
    pub(super) fn tell(&mut self, vm: usize, news: &[SuspectUpdate]) {
        if news.is_empty() || self.policy != TellPolicy::Joined {
            return;
        }
        let all: Vec<SuspectRecord> = news.iter().map(|news| news.record.clone()).collect();
        let wide = news.iter().filter(|news| news.scope == UpdateScope::Global);
        let wide: Vec<SuspectRecord> = wide.map(|news| news.record.clone()).collect();
        let region = self.vms[vm].region;
        for other in (region..self.plan.vms).step_by(self.plan.regions) {
            self.send_records(vm, other, &all);
        }
        for other in (0..self.plan.regions).filter(|other| *other != region) {
            for _ in 0..TOLD_OF_EACH_REGION {
                let told = self.draw_of(other);
                self.send_records(vm, told, &wide);
            }
        }
    }

    /// A VM tells a few others again.
    pub(super) fn repeat(&mut self, vm: usize) {
        self.schedule(REPEAT_INTERVAL, HarmEvent::Repeat { vm });
        if self.vms[vm].is_down || self.policy != TellPolicy::Joined {
            return;
        }
        let now = self.now;
        self.vms[vm].table.remove_expired(now);
        let records = self.vms[vm].table.next_resent(now);
        let region = self.vms[vm].region;
        for _ in 0..REPEAT_FAN_OUT {
            let other = self.draw_of(region);
            self.send_records(vm, other, &records);
        }
        let is_delegate = vm / self.plan.regions < 2;
        for other in (0..self.plan.regions).filter(|other| is_delegate && *other != region) {
            let told = self.draw_of(other);
            self.send_records(vm, told, &records);
        }
    }

    /// Some VM of a region.
    fn draw_of(&mut self, region: usize) -> usize {
        let count = (self.plan.vms - region).div_ceil(self.plan.regions);
        region + self.random.random_range(0..count) * self.plan.regions
    }

    fn send_records(&mut self, from: usize, vm: usize, records: &[SuspectRecord]) {
        if records.is_empty() || from == vm {
            return;
        }
        let messages = records.len().div_ceil(MAX_RECORDS_PER_MESSAGE);
        let bytes = messages * MESSAGE_BYTES + records.len() * RECORD_BYTES;
        *self.told.entry((from, self.now.0 / 1_000_000)).or_default() += bytes;
        if self.random.random_bool(self.plan.lossy) {
            return;
        }
        let is_near = self.vms[from].region == self.vms[vm].region;
        let delay = if is_near { NEAR_DELAY } else { FAR_DELAY };
        self.schedule(delay, HarmEvent::Hear { vm, from, records: records.to_vec() });
    }
}
