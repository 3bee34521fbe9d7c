//! Which entry VMs a caller is told to use.

use foldhaven_core::ids::{DataCentreName, RegionName};
use foldhaven_core::membership::MemberState;
use foldhaven_wire::caller::{EntriesAnswer, EntryVm};

use crate::shared::SharedState;
use crate::views::PublishedView;

/// The weight of a VM with nothing under way.
const FULL_WEIGHT: u32 = 100;
/// Requests under way that halve the weight of a VM.
const HALF_WEIGHT: u32 = 64;

/// Ranks the VMs that serve: this data centre first, then this region, then others. The home
/// region of the caller's account, if it is known, goes before all.
pub fn list_entries(
    shared: &SharedState,
    view: &PublishedView,
    home: Option<&RegionName>,
) -> EntriesAnswer {
    let mut entries = Vec::new();
    let here = &shared.settings.data_centre;
    if !shared.is_leaving() {
        entries.push(EntryVm {
            vm: shared.settings.vm.clone(),
            data_centre: here.clone(),
            address: shared.settings.addresses.caller,
            weight: weight_of(shared.in_flight()),
            preference: preference(view, here, home),
        });
    }
    let live = view.members.iter().filter(|member| member.state == MemberState::Live);
    entries.extend(live.map(|member| EntryVm {
        vm: member.vm.clone(),
        data_centre: here.clone(),
        address: member.addresses.caller,
        weight: weight_of(member.in_flight),
        preference: preference(view, here, home),
    }));
    if shared.is_fresh(view) {
        entries.extend(other_entries(view, home));
    }
    entries.sort_by(|left, right| {
        let order = left.preference.cmp(&right.preference);
        order.then(right.weight.cmp(&left.weight)).then(left.vm.cmp(&right.vm))
    });
    let holds_ms = shared.settings.times.entries_hold.0.as_millis() as u64;
    EntriesAnswer { entries, holds_ms, tickets: Vec::new() }
}

fn other_entries<'a>(
    view: &'a PublishedView,
    home: Option<&'a RegionName>,
) -> impl Iterator<Item = EntryVm> + 'a {
    view.route.centres.iter().flat_map(move |centre| {
        let name = &centre.summary.data_centre;
        centre.summary.vms.iter().map(move |brief| EntryVm {
            vm: brief.vm.clone(),
            data_centre: name.clone(),
            address: brief.addresses.caller,
            weight: FULL_WEIGHT,
            preference: preference(view, name, home),
        })
    })
}

fn weight_of(in_flight: u32) -> u32 {
    (FULL_WEIGHT * HALF_WEIGHT / (HALF_WEIGHT + in_flight)).max(1)
}

/// 0 for the home region, 1 for this data centre, 2 for this region, 3 for others.
fn preference(view: &PublishedView, centre: &DataCentreName, home: Option<&RegionName>) -> u32 {
    let index = &view.route.index;
    let region = index.region_of(centre);
    if region.is_some() && region == home {
        return 0;
    }
    match (*centre == view.route.centre, region == index.region_of(&view.route.centre)) {
        (true, _) => 1,
        (false, true) => 2,
        (false, false) => 3,
    }
}
