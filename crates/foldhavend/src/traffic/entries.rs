//! The list of entry VMs that a caller should use.

use foldhaven_core::ids::{DataCentreName, RegionName};
use foldhaven_core::membership::MemberState;
use foldhaven_wire::caller::{EntriesAnswer, EntryVm};

use crate::shared::SharedState;
use crate::views::PublishedView;

/// Weight of a VM without requests in flight.
const FULL_WEIGHT: u32 = 100;
/// Number of requests in flight that halves the weight of a VM.
const HALF_WEIGHT_REQUESTS: u32 = 64;

/// Returns the serving VMs in order of preference: the home region of the caller's account if it
/// is known, then this data centre, this region, and all others. VMs of equal preference are
/// ordered by weight.
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
            weight: entry_weight(shared.in_flight()),
            preference: preference(view, here, home),
        });
    }
    let live = view.members.iter().filter(|member| member.state == MemberState::Live);
    entries.extend(live.map(|member| EntryVm {
        vm: member.vm.clone(),
        data_centre: here.clone(),
        address: member.addresses.caller,
        weight: entry_weight(member.in_flight),
        preference: preference(view, here, home),
    }));
    if shared.is_fresh(view) {
        entries.extend(remote_entries(view, home));
    }
    entries.sort_by(|left, right| {
        let order = left.preference.cmp(&right.preference);
        order.then(right.weight.cmp(&left.weight)).then(left.vm.cmp(&right.vm))
    });
    let valid_for_ms = shared.settings.times.entries_hold.0.as_millis() as u64;
    EntriesAnswer { entries, valid_for_ms, tickets: Vec::new() }
}

/// Returns the VMs of other data centres. Their load is unknown here, so each has the full weight.
fn remote_entries<'a>(
    view: &'a PublishedView,
    home: Option<&'a RegionName>,
) -> impl Iterator<Item = EntryVm> + 'a {
    view.route.centres.iter().flat_map(move |centre| {
        let name = &centre.summary.data_centre;
        centre.summary.vms.iter().map(move |contact| EntryVm {
            vm: contact.vm.clone(),
            data_centre: name.clone(),
            address: contact.addresses.caller,
            weight: FULL_WEIGHT,
            preference: preference(view, name, home),
        })
    })
}

fn entry_weight(in_flight: u32) -> u32 {
    (FULL_WEIGHT * HALF_WEIGHT_REQUESTS / (HALF_WEIGHT_REQUESTS + in_flight)).max(1)
}

/// Returns 0 for the home region, 1 for this data centre, 2 for this region and 3 for others.
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
