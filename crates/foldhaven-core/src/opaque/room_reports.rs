//! The reports in which regions tell each other the room of their upstreams.

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, RegionName};
use crate::opaque::peer_table::{ServiceTag, VmTag};
use crate::opaque::priority_level::PriorityLevel;
use crate::opaque::region_room::LevelRoom;
use crate::opaque::service_room::ServiceRoom;

/// The report of a delegate about the room in its region, as earlier daemons send it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoomReport {
    /// The region.
    pub region: RegionName,
    /// The delegate.
    pub delegate: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each report of one incarnation.
    pub sequence: u32,
    /// Whether a VM of the receiver's region relays it.
    pub is_relayed: bool,
    /// The room for the least urgent requests, by service, if no requests wait.
    pub rooms: Vec<(ServiceTag, ServiceRoom)>,
}

impl From<RoomReport> for LevelRoomReport {
    /// Room for the least urgent requests is room for all.
    fn from(report: RoomReport) -> Self {
        let of_service = |(service, room): (ServiceTag, ServiceRoom)| {
            let surplus = i32::try_from(room.slots).unwrap_or(i32::MAX);
            let room =
                |level| LevelRoom { level, surplus, capacity: room.slots, is_sent_away: false };
            (service, PriorityLevel::all().map(room).collect())
        };
        Self {
            region: report.region,
            delegate: report.delegate,
            incarnation: report.incarnation,
            sequence: report.sequence,
            is_relayed: report.is_relayed,
            rooms: report
                .rooms
                .into_iter()
                .filter(|(_, it)| !it.is_empty())
                .map(of_service)
                .collect(),
        }
    }
}

/// The report of a delegate about the room in its region for each level.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelRoomReport {
    /// The region.
    pub region: RegionName,
    /// The delegate.
    pub delegate: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each report of one incarnation.
    pub sequence: u32,
    /// Whether a VM of the receiver's region relays it.
    pub is_relayed: bool,
    /// The room for requests of other regions, by service and level.
    pub rooms: Vec<(ServiceTag, Vec<LevelRoom>)>,
}
