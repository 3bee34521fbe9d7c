//! Random fault schedules in the scenario language, generated from a seed, and shrinking of those
//! that fail.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::steps::{EditSpec, LeaveChannel, Scenario, SendSpec, Step, StepKind};
use crate::stand_in::platform::PlatformMode;

const REGIONS: [&str; 3] = ["west", "mid", "east"];
/// Entry VMs per data centre.
const VMS: usize = 2;
/// Range of the number of faults in a schedule.
const FAULTS: std::ops::RangeInclusive<usize> = 4..=8;

/// Generates a random fault schedule.
pub struct ChaosSchedule {
    rng: StdRng,
    steps: Vec<StepKind>,
    has_leaving_upstream: bool,
    notices: usize,
}

impl ChaosSchedule {
    /// Returns the scenario of a seed, for the fleet of `tests/scenarios/small.yaml`.
    pub fn draw(seed: u64) -> Scenario {
        let mut schedule = Self {
            rng: StdRng::seed_from_u64(seed),
            steps: Vec::new(),
            has_leaving_upstream: false,
            notices: 0,
        };
        schedule.add_loads();
        let faults = schedule.rng.random_range(FAULTS);
        for _ in 0..faults {
            schedule.add_fault();
            schedule.add_notice();
            let pause = schedule.rng.random_range(100..1_200);
            schedule.steps.push(StepKind::Hold(Duration::from_millis(pause)));
        }
        schedule.add_recovery();
        let steps = schedule.steps.into_iter().enumerate();
        let steps = steps.map(|(at, kind)| Step { line: at + 3, kind }).collect();
        Scenario { name: format!("seed-{seed}"), vms: VMS, steps }
    }

    fn random_region(&mut self) -> String {
        (*REGIONS.choose(&mut self.rng).expect("there are regions")).to_owned()
    }

    fn random_vm(&mut self) -> String {
        let region = self.random_region();
        format!("{region}-1-vm-{}", self.rng.random_range(1..=VMS))
    }

    fn add_loads(&mut self) {
        for (name, account, class, rate) in [
            ("digests", "west-bar", "digest", 6.0),
            ("bound", "mid-bound", "digest", 4.0),
            ("listings", "east-bar", "listing", 6.0),
            ("notices", "mid-bar", "notice", 4.0),
        ] {
            let spec = SendSpec {
                account: account.to_owned(),
                class: class.to_owned(),
                ..SendSpec::default()
            };
            self.steps.push(StepKind::Load(name.to_owned(), spec, rate));
        }
    }

    fn add_fault(&mut self) {
        let (vm, region) = (self.random_vm(), self.random_region());
        let kind = match self.rng.random_range(0..14) {
            0 => StepKind::Kill(vm),
            1 => StepKind::Restart(vm),
            2 | 3 => StepKind::Freeze(vm),
            4 => StepKind::Thaw("all".to_owned()),
            5 => StepKind::Cut(region, "others".to_owned(), false),
            6 => StepKind::Cut(region, self.random_region(), true),
            7 => StepKind::Cut("all".to_owned(), "platform".to_owned(), false),
            8 => StepKind::Heal,
            9 => StepKind::Publish(EditSpec::Residency("open".to_owned(), self.random_regions())),
            10 => self.random_publish(),
            11 => StepKind::Platform(self.random_mode()),
            12 if !self.has_leaving_upstream => {
                self.has_leaving_upstream = true;
                let channels = [LeaveChannel::List, LeaveChannel::Upstream, LeaveChannel::Both];
                let channel = *channels.choose(&mut self.rng).expect("there are channels");
                StepKind::Leave(format!("{region}-1-engine-1"), channel)
            }
            _ => StepKind::Delay(region, "others".to_owned(), Duration::from_millis(300)),
        };
        self.steps.push(kind);
    }

    fn random_regions(&mut self) -> Vec<String> {
        let mut regions: Vec<String> = REGIONS.iter().map(|it| (*it).to_owned()).collect();
        let removed = self.rng.random_range(0..4);
        if removed < regions.len() {
            regions.remove(removed);
        }
        regions
    }

    fn random_publish(&mut self) -> StepKind {
        let edits = [EditSpec::Bump, EditSpec::Bad, EditSpec::Race, EditSpec::Old];
        StepKind::Publish(edits.choose(&mut self.rng).expect("there are edits").clone())
    }

    fn random_mode(&mut self) -> PlatformMode {
        use PlatformMode::{Down, Flapping, Slow, Stale, Up};
        *[Up, Stale, Down, Flapping, Slow].choose(&mut self.rng).expect("there are modes")
    }

    /// Adds a request that is not repeatable and is sent again to another VM.
    fn add_notice(&mut self) {
        self.notices += 1;
        let name = format!("notice-{}", self.notices);
        let region = self.random_region();
        let first = format!("{region}-1-vm-1");
        let spec = SendSpec {
            account: "west-bar".to_owned(),
            class: "notice".to_owned(),
            entry: Some(first.clone()),
            ticket_from: Some(first),
            path: "slow/x?ms=300".to_owned(),
            deadline: Some(Duration::from_secs(3)),
            ..SendSpec::default()
        };
        self.steps.push(StepKind::Send(name.clone(), spec));
        let again = SendSpec {
            account: "west-bar".to_owned(),
            entry: Some(format!("{region}-1-vm-2")),
            repeat_of: Some(name.clone()),
            ..SendSpec::default()
        };
        self.steps.push(StepKind::Send(format!("{name}-again"), again));
    }

    /// Ends all faults and adds loads that must succeed after the recovery.
    fn add_recovery(&mut self) {
        let all = || "all".to_owned();
        self.steps.extend([
            StepKind::Heal,
            StepKind::Thaw(all()),
            StepKind::Platform(PlatformMode::Up),
        ]);
        for region in REGIONS {
            for number in 1..=VMS {
                self.steps.push(StepKind::Restart(format!("{region}-1-vm-{number}")));
            }
        }
        self.steps.push(StepKind::Publish(EditSpec::Bump));
        self.steps.push(StepKind::InForce(all(), Duration::from_secs(12)));
        let spec = |account: &str, class: &str| SendSpec {
            account: account.to_owned(),
            class: class.to_owned(),
            ..SendSpec::default()
        };
        for (name, account, class) in
            [("after", "east-bar", "digest"), ("after-bound", "mid-bound", "digest")]
        {
            self.steps.push(StepKind::Load(name.to_owned(), spec(account, class), 6.0));
        }
        self.steps.push(StepKind::Hold(Duration::from_secs(2)));
        for name in ["digests", "bound", "listings", "notices"] {
            self.steps.push(StepKind::EndLoad(name.to_owned(), 0.0));
        }
        for name in ["after", "after-bound"] {
            self.steps.push(StepKind::EndLoad(name.to_owned(), 0.5));
        }
    }
}

/// Removes single steps as long as the scenario still fails. `fails` runs a scenario and returns
/// whether it failed.
pub async fn shrink_schedule(
    scenario: Scenario,
    mut fails: impl AsyncFnMut(&Scenario) -> bool,
) -> Scenario {
    let mut smallest = scenario;
    let mut at = smallest.steps.len();
    while at > 0 {
        at -= 1;
        let mut smaller = smallest.clone();
        smaller.steps.remove(at);
        if fails(&smaller).await {
            smallest = smaller;
        }
    }
    smallest
}
