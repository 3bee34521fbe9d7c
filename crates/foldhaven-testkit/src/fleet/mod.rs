//! Starts and ends a complete deployment as separate processes on addresses in 127.0.0.0/8.

mod layout;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use foldhaven_core::description::Description;
use foldhaven_core::ids::DataCentreName;
use foldhaven_core::membership::{VmAddresses, exchange_partners};
use foldhaven_core::policy::PolicyKind;
use foldhaven_wire::caller::EntriesAnswer;
use foldhaven_wire::operator::StatusAnswer;
use foldhaven_wire::platform::{DirectoryEntry, UpstreamEntry, UpstreamKind, ValueBundle};
use foldhavend::settings::{DaemonSettings, TimeSettings};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tempfile::TempDir;

use self::layout::{AddressBlock, UPSTREAM_PORT, layout_upstreams, layout_vms};
use crate::relay::{LinkEnds, LinkRelay};
use crate::stand_in::engine_state::ModelProfile;
use crate::stand_in::ledger::{LedgerLine, read_ledgers};
use crate::stand_in::platform::{PlatformContent, PlatformCounts, PlatformMode};

/// Name of the platform in scenarios.
pub const PLATFORM: &str = "platform";
/// Maximum time to wait for each process, and then for the whole fleet, to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Size and behaviour of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Entry VMs per data centre.
    pub vms: usize,
    /// Instances of each plain service per data centre.
    pub services: usize,
    /// Whether links go through the relay, which adds the delays of the description.
    pub relay: bool,
    /// Routing policy.
    pub policy: PolicyKind,
    /// Time settings of the daemons.
    pub times: TimeSettings,
    /// Minimum age of the load reports of engines.
    pub report_lag: Duration,
    /// Capacity of an engine's prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay after which a change shows in the platform's lists.
    pub list_lag: Duration,
    /// Log level of the daemons.
    pub log: String,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            vms: 3,
            services: 1,
            relay: true,
            policy: PolicyKind::Planner,
            times: TimeSettings::default(),
            report_lag: Duration::from_millis(200),
            cache_blocks: 4_096,
            list_lag: Duration::from_millis(500),
            log: "info".to_owned(),
        }
    }
}

/// Kills its process on drop.
struct ProcessGuard {
    child: Child,
}

impl ProcessGuard {
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // An error means that the process has exited and needs no signal.
        let _ = kill(pid, signal);
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry VM of a fleet.
#[derive(Debug, Clone)]
pub struct FleetVm {
    /// Settings of its daemon.
    pub settings: DaemonSettings,
    /// Region of the VM.
    pub region: String,
}

/// A running deployment.
pub struct Fleet {
    /// Description with which the fleet was started.
    pub description: Description,
    /// Entry VMs by name.
    pub vms: BTreeMap<String, FleetVm>,
    /// Upstreams as in the platform's list.
    pub upstreams: Vec<UpstreamEntry>,
    /// Links between processes.
    pub relay: LinkRelay,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// HTTP client without default timeouts.
    pub client: reqwest::Client,
    processes: BTreeMap<String, ProcessGuard>,
    folder: TempDir,
    program: PathBuf,
    options: FleetOptions,
}

impl Fleet {
    /// Starts the platform, the upstreams and the daemons, and waits until all daemons serve and
    /// all models are loaded.
    ///
    /// `program` is the binary of the testkit, which contains every process as a subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready in time.
    pub async fn start(
        program: PathBuf,
        description: Description,
        options: FleetOptions,
    ) -> io::Result<Self> {
        let mut block = AddressBlock::new();
        let platform = SocketAddr::new(block.next(), UPSTREAM_PORT);
        let vms = layout_vms(&description, &options, platform, &mut block);
        let upstreams = layout_upstreams(&description, &options, &mut block);
        let mut fleet = Self {
            description,
            vms,
            upstreams,
            relay: LinkRelay::new(block.next()),
            platform,
            client: reqwest::Client::builder().build().map_err(io::Error::other)?,
            processes: BTreeMap::new(),
            folder: TempDir::new()?,
            program,
            options,
        };
        fleet.start_platform()?;
        fleet.wait_http(platform, "/admin/counts").await?;
        for entry in fleet.upstreams.clone() {
            fleet.start_upstream(&entry)?;
        }
        for entry in fleet.upstreams.clone() {
            fleet.wait_port(entry.address).await?;
        }
        fleet.open_links();
        for name in fleet.vms.keys().cloned().collect::<Vec<_>>() {
            fleet.start_vm(&name)?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the folder with ledgers, settings and logs.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    fn start_platform(&mut self) -> io::Result<()> {
        let weights = self.description.models.iter().map(|model| {
            let (prefill, decode) = (model.prefill.0, model.decode.0);
            (model.name.to_string(), ModelProfile { prefill, decode, slots: model.slots })
        });
        let content = PlatformContent {
            values: ValueBundle::of(&self.description).1,
            upstreams: self.upstreams.clone(),
            directory: self.vms.values().map(directory_entry).collect(),
            weights: weights.collect(),
            weight_ms: 150,
            weight_readers: 6,
            list_lag_ms: self.options.list_lag.as_millis() as u64,
        };
        let path = self.folder.path().join("platform.json");
        std::fs::write(&path, serde_json::to_vec(&content)?)?;
        let arguments = vec![
            "platform".to_owned(),
            "--address".to_owned(),
            self.platform.to_string(),
            "--content".to_owned(),
            path.display().to_string(),
        ];
        self.spawn(PLATFORM, &arguments)
    }

    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_upstream(&mut self, entry: &UpstreamEntry) -> io::Result<()> {
        let ledger = self.folder.path().join(format!("{}.ledger", entry.name));
        let is_engine = entry.kind == UpstreamKind::Engine;
        let mut arguments = vec![if is_engine { "engine" } else { "service" }.to_owned()];
        let pairs = [
            ("--name", entry.name.to_string()),
            ("--data-centre", entry.data_centre.to_string()),
            ("--address", entry.address.to_string()),
            ("--ledger", ledger.display().to_string()),
        ];
        arguments.extend(pairs.into_iter().flat_map(|(name, value)| [name.to_owned(), value]));
        if is_engine {
            let checks_fences = !self.description.fences.unchecked.contains(&entry.name);
            let pairs = [
                ("--platform", self.platform.to_string()),
                ("--cache-blocks", self.options.cache_blocks.to_string()),
                ("--report-lag-ms", self.options.report_lag.as_millis().to_string()),
                ("--checks-fences", checks_fences.to_string()),
                ("--incarnation", entry.incarnation.to_string()),
            ];
            arguments.extend(pairs.into_iter().flat_map(|(name, value)| [name.to_owned(), value]));
        }
        self.spawn(entry.name.as_str(), &arguments)
    }

    /// Starts the daemon of a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start_vm(&mut self, name: &str) -> io::Result<()> {
        let vm = self.vms.get(name).ok_or_else(|| unknown_process(name))?;
        let path = self.folder.path().join(format!("{name}.yaml"));
        let text = serde_saphyr::to_string(&vm.settings).map_err(io::Error::other)?;
        std::fs::write(&path, text)?;
        let path = path.display().to_string();
        self.spawn(name, &["vm".to_owned(), "--settings".to_owned(), path])
    }

    fn spawn(&mut self, name: &str, arguments: &[String]) -> io::Result<()> {
        let log = self.folder.path().join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .args(arguments)
            // The pipe closes whenever this process ends, which makes the child exit as well.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.processes.insert(name.to_owned(), ProcessGuard { child });
        Ok(())
    }

    /// Opens a relayed link for each connection that a daemon may dial and sets the link addresses
    /// in its settings.
    fn open_links(&mut self) {
        if !self.options.relay {
            return;
        }
        let vms = self.vms.clone();
        for (name, vm) in &vms {
            let mut reroutes = BTreeMap::new();
            let ends = |to: &str| LinkEnds { from: name.clone(), to: to.to_owned() };
            let platform_delay = Duration::from_millis(1);
            let platform = self.relay.open(ends(PLATFORM), self.platform, platform_delay);
            reroutes.insert(self.platform, platform);
            for (other, target) in vms.iter().filter(|(other, _)| *other != name) {
                let delay = self.delay_between(vm, target);
                let VmAddresses { peer, control, .. } = &target.settings.addresses;
                for address in [*peer, *control] {
                    reroutes.insert(address, self.relay.open(ends(other), address, delay));
                }
            }
            let centre = &vm.settings.data_centre;
            for entry in self.upstreams.iter().filter(|entry| entry.data_centre == *centre) {
                let link = ends(entry.name.as_str());
                let address = self.relay.open(link, entry.address, Duration::ZERO);
                reroutes.insert(entry.address, address);
            }
            if let Some(vm) = self.vms.get_mut(name) {
                vm.settings.reroutes = reroutes;
            }
        }
    }

    fn delay_between(&self, one: &FleetVm, other: &FleetVm) -> Duration {
        let network = &self.description.network;
        if one.settings.data_centre == other.settings.data_centre {
            return Duration::ZERO;
        }
        if one.region == other.region { network.same_region.0 } else { network.cross_region.0 }
    }

    async fn wait_http(&self, address: SocketAddr, path: &str) -> io::Result<()> {
        let url = format!("http://{address}{path}");
        let wait = async {
            while self.client.get(&url).send().await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, wait).await;
        result.map_err(|_| io::Error::other(format!("{url} does not answer")))
    }

    async fn wait_port(&self, address: SocketAddr) -> io::Result<()> {
        let wait = async {
            while tokio::net::TcpStream::connect(address).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, wait).await;
        result.map_err(|_| io::Error::other(format!("nothing listens at {address}")))
    }

    async fn wait_ready(&self) -> io::Result<()> {
        let wait = async {
            for name in self.vms.keys() {
                while !self.is_ready(name).await {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        let result = tokio::time::timeout(READY_TIMEOUT, wait).await;
        result.map_err(|_| io::Error::other("the fleet did not become ready"))
    }

    /// Returns whether a VM serves, sees all models of its data centre loaded, all VMs of its data
    /// centre, and a complete set of serving VMs in the data centres it exchanges summaries with.
    async fn is_ready(&self, name: &str) -> bool {
        let Some(status) = self.status(name).await else { return false };
        let centre = &status.data_centre;
        let deployments = self.description.deployments.iter();
        let is_deployed = deployments.filter(|it| it.data_centre == *centre).all(|deployment| {
            let has_model = |status: &&foldhaven_wire::operator::UpstreamStatus| {
                let model = deployment.model.as_str();
                status.holds.iter().any(|held| held.split('@').next() == Some(model))
            };
            status.upstreams.iter().filter(has_model).count() >= deployment.engines as usize
        });
        let visible_centres: BTreeSet<DataCentreName> =
            status.centres.iter().map(|it| it.data_centre.clone()).collect();
        let is_complete = |centre: &foldhaven_wire::operator::CentreStatus| {
            centre.serving as usize == self.options.vms
        };
        status.stamp.is_some()
            && is_deployed
            && status.members.len() == self.options.vms - 1
            && self.exchange_partners(centre).is_subset(&visible_centres)
            && status.centres.iter().all(is_complete)
    }

    /// Returns the data centres with which the delegates of a data centre start exchanges.
    fn exchange_partners(&self, centre: &DataCentreName) -> BTreeSet<DataCentreName> {
        let regions = self.description.regions.iter();
        let located = regions.flat_map(|it| it.data_centres.iter().map(|dc| (dc, &it.name)));
        let centres: Vec<_> = located.map(|(dc, region)| (dc.clone(), region.clone())).collect();
        exchange_partners(centre, &centres)
    }

    /// Returns the status of a VM, or `None` if it does not answer within one second.
    pub async fn status(&self, name: &str) -> Option<StatusAnswer> {
        let address = self.vms.get(name)?.settings.addresses.peer;
        let url = format!("http://{address}/operator/v1/status");
        let request = self.client.get(url).timeout(Duration::from_secs(1));
        request.send().await.ok()?.json().await.ok()
    }

    /// Returns the entry VMs and tickets that a VM gives to callers, or `None` if it does not
    /// answer within two seconds.
    pub async fn entries(
        &self,
        name: &str,
        account: &str,
        tickets: usize,
    ) -> Option<EntriesAnswer> {
        let address = self.vms.get(name)?.settings.addresses.caller;
        let url = format!("http://{address}/v1/entries?account={account}&tickets={tickets}");
        let request = self.client.get(url).timeout(Duration::from_secs(2));
        request.send().await.ok()?.json().await.ok()
    }

    /// Kills a process immediately.
    pub fn kill(&mut self, name: &str) {
        self.processes.remove(name);
        self.relay.refuse_until_restart(name);
    }

    /// Suspends a process, like a paused VM.
    pub fn freeze(&self, name: &str) {
        self.signal(name, Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn thaw(&self, name: &str) {
        self.signal(name, Signal::SIGCONT);
    }

    /// Asks a daemon to shut down gracefully.
    pub fn stop(&self, name: &str) {
        self.signal(name, Signal::SIGTERM);
    }

    fn signal(&self, name: &str, signal: Signal) {
        if let Some(process) = self.processes.get(name) {
            process.signal(signal);
        }
    }

    /// Returns the exit code of a process that has exited by itself.
    pub fn exit_code(&mut self, name: &str) -> Option<i32> {
        let process = self.processes.get_mut(name)?;
        process.child.try_wait().ok().flatten()?.code()
    }

    /// Returns the id of a running process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(|process| process.child.id())
    }

    /// Publishes values, as an operator does.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stand-in does not answer.
    pub async fn publish(&self, bundle: &ValueBundle) -> reqwest::Result<()> {
        self.post_admin("publish", bundle).await
    }

    /// Sets the mode of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stand-in does not answer.
    pub async fn set_platform(&self, mode: PlatformMode) -> reqwest::Result<()> {
        self.post_admin("mode", &mode).await
    }

    /// Replaces the platform's list of upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stand-in does not answer.
    pub async fn publish_upstreams(&self) -> reqwest::Result<()> {
        self.post_admin("upstreams", &self.upstreams).await
    }

    async fn post_admin(&self, path: &str, body: &impl serde::Serialize) -> reqwest::Result<()> {
        let url = format!("http://{}/admin/{path}", self.platform);
        self.client.post(url).json(body).send().await?.error_for_status().map(drop)
    }

    /// Returns the call counts of the platform, or `None` if it does not answer.
    pub async fn platform_counts(&self) -> Option<PlatformCounts> {
        let url = format!("http://{}/admin/counts", self.platform);
        self.client.get(url).send().await.ok()?.json().await.ok()
    }

    /// Tells an upstream to refuse new requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream is unknown or does not answer.
    pub async fn leave_upstream(&self, name: &str) -> io::Result<()> {
        let entry = self.upstreams.iter().find(|entry| entry.name.as_str() == name);
        let address = entry.ok_or_else(|| unknown_process(name))?.address;
        let url = format!("http://{address}/admin/leave");
        self.client.post(url).send().await.map(drop).map_err(io::Error::other)
    }

    /// Returns what all upstreams have recorded so far.
    pub fn ledger(&self) -> Vec<LedgerLine> {
        read_ledgers(self.folder.path()).unwrap_or_default()
    }
}

fn unknown_process(name: &str) -> io::Error {
    io::Error::other(format!("no process of the fleet is called {name}"))
}

fn directory_entry(vm: &FleetVm) -> DirectoryEntry {
    DirectoryEntry {
        vm: vm.settings.vm.clone(),
        region: vm.region.parse().expect("a valid region name"),
        data_centre: vm.settings.data_centre.clone(),
        caller: vm.settings.addresses.caller,
    }
}
