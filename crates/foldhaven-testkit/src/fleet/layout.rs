//! Assigns addresses to the processes of a fleet. Each fleet uses an address block that follows
//! from the process id and the number of the fleet, and each process its own address in it.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use foldhaven_core::description::Description;
use foldhaven_core::membership::VmAddresses;
use foldhaven_wire::platform::{UpstreamEntry, UpstreamKind};
use foldhavend::settings::DaemonSettings;

use super::{FleetOptions, FleetVm};

// Each process has its own address, so all VMs and all upstreams can use the same ports.
const CALLER_PORT: u16 = 7000;
const PEER_PORT: u16 = 7001;
const CONTROL_PORT: u16 = 7002;
pub(super) const UPSTREAM_PORT: u16 = 7200;
/// Number of fleets that this process has started.
static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// Allocates addresses from one block of 127.0.0.0/8.
pub(super) struct AddressBlock {
    block: [u8; 2],
    next: u8,
}

impl AddressBlock {
    pub(super) fn new() -> Self {
        let count = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let number = std::process::id().wrapping_mul(97).wrapping_add(count.wrapping_mul(7));
        let block = [(1 + number % 250) as u8, ((number / 250) % 250) as u8];
        Self { block, next: 1 }
    }

    pub(super) fn next(&mut self) -> IpAddr {
        let [second, third] = self.block;
        let address = Ipv4Addr::new(127, second, third, self.next);
        self.next += 1;
        address.into()
    }
}

/// Returns the entry VMs of a fleet by name, with their settings.
pub(super) fn layout_vms(
    description: &Description,
    options: &FleetOptions,
    platform: SocketAddr,
    block: &mut AddressBlock,
) -> BTreeMap<String, FleetVm> {
    let mut vms = Vec::new();
    for region in &description.regions {
        for centre in &region.data_centres {
            for number in 1..=options.vms {
                let ip = block.next();
                let addresses = VmAddresses {
                    caller: SocketAddr::new(ip, CALLER_PORT),
                    peer: SocketAddr::new(ip, PEER_PORT),
                    control: SocketAddr::new(ip, CONTROL_PORT),
                };
                vms.push((
                    region.name.to_string(),
                    DaemonSettings {
                        vm: format!("{centre}-vm-{number}").parse().expect("a valid VM name"),
                        data_centre: centre.clone(),
                        addresses,
                        platform,
                        seeds: Vec::new(),
                        reroutes: BTreeMap::new(),
                        policy: options.policy,
                        times: options.times.clone(),
                        log: options.log.clone(),
                        threads: 2,
                    },
                ));
            }
        }
    }
    let controls: Vec<_> = vms
        .iter()
        .map(|(_, vm)| (vm.vm.clone(), vm.data_centre.clone(), vm.addresses.control))
        .collect();
    for (_, vm) in &mut vms {
        let mut others: Vec<_> = controls.iter().filter(|(name, ..)| *name != vm.vm).collect();
        others.sort_by_key(|(_, centre, _)| *centre != vm.data_centre);
        vm.seeds = others.into_iter().map(|(.., control)| *control).collect();
    }
    let vms_by_name = vms
        .into_iter()
        .map(|(region, settings)| (settings.vm.to_string(), FleetVm { settings, region }));
    vms_by_name.collect()
}

/// Returns the engines and services of a fleet.
pub(super) fn layout_upstreams(
    description: &Description,
    options: &FleetOptions,
    block: &mut AddressBlock,
) -> Vec<UpstreamEntry> {
    let mut upstreams = Vec::new();
    let centres = description.regions.iter().flat_map(|region| &region.data_centres);
    for centre in centres {
        let deployments = description.deployments.iter().filter(|it| it.data_centre == *centre);
        let engines: u32 = deployments.map(|deployment| deployment.engines).sum();
        let mut add = |name: String, kind: UpstreamKind| {
            upstreams.push(UpstreamEntry {
                name: name.parse().expect("a valid upstream name"),
                data_centre: centre.clone(),
                kind,
                address: SocketAddr::new(block.next(), UPSTREAM_PORT),
                incarnation: 1,
                leaving: false,
            });
        };
        for number in 1..=engines {
            add(format!("{centre}-engine-{number}"), UpstreamKind::Engine);
        }
        for service in &description.services {
            for number in 1..=options.services {
                let kind = UpstreamKind::Service(service.name.clone());
                add(format!("{centre}-{}-{number}", service.name), kind);
            }
        }
    }
    upstreams
}
