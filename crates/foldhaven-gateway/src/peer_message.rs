//! The datagrams that VMs send to each other, and their serialized form.
//!
//! A variant of [`PeerMessage`] is identified by its position: new ones are added at the end, and
//! the content of a variant never changes. Daemons of two versions thus understand all variants
//! that both know. Others are dropped, counted and logged at a limited rate.

use std::io;

use bincode::Options;
use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::account_demand::{LocalDemand, RegionDemand};
use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::brittle_services::BrittleNotice;
use foldhaven_core::opaque::load_reports::{LevelReport, LoadReport};
use foldhaven_core::opaque::lost_paths::LostPathNotice;
use foldhaven_core::opaque::peer_table::{
    HeartbeatMessage, RevisionAnnouncement, ViewDigest, ViewList,
};
use foldhaven_core::opaque::region_reports::RegionReport;
use foldhaven_core::opaque::room_reports::{LevelRoomReport, RoomReport};
use foldhaven_core::opaque::sender_agreement::AgreementNotice;
use foldhaven_core::opaque::software::SoftwareHistory;
use foldhaven_core::opaque::speed_reports::SpeedReport;
use foldhaven_core::opaque::stream_origins::{AttemptTag, OriginAnswer, OriginNotice};
use foldhaven_core::opaque::suspects::SuspectRecord;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use serde::{Deserialize, Serialize};

use crate::codec::peer_codec;
use crate::feed::{ChangeSet, NumberedChange};

/// Maximum size of a datagram in bytes.
pub const MAX_DATAGRAM: usize = 16 << 10;

/// The suspects of one kind that one VM sends to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectMessage {
    /// The region of the sender.
    pub region: RegionName,
    /// The records. Empty in the answer to a VM that has just started if no request is suspected.
    pub records: Vec<SuspectRecord>,
}

/// The notices of lost paths that one VM sends to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PathMessage {
    /// The region of the sender.
    pub region: RegionName,
    /// The notices, of VMs of any region.
    pub notices: Vec<LostPathNotice>,
}

/// The content of a datagram between VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Beat(HeartbeatMessage),
    /// The number of requests that a VM has at each upstream of its region.
    Load(LoadReport),
    /// The destinations of long prompts, for another region.
    Placements(Vec<PromptPlacement>),
    /// Changes of the platform state.
    Changes(ChangeSet),
    /// Changes that are applied without waiting for earlier ones.
    Early(Vec<NumberedChange>),
    /// The report of a delegate about its region.
    Region(RegionReport),
    /// Suspected requests.
    Suspects(SuspectMessage),
    /// A digest of a VM's view of the VMs in its region.
    View(ViewDigest),
    /// The full list of VMs in that view.
    ViewList(ViewList),
    /// The list of senders that a VM has adopted.
    Pact(AgreementNotice),
    /// The revision of the platform state that a VM knows.
    News(RevisionAnnouncement),
    /// The demand of limited accounts at a VM of the region.
    Demand(LocalDemand),
    /// The total demand of limited accounts in another region.
    RegionDemand(RegionDemand),
    /// The rate limits that upstreams of the region have announced.
    Limits(Vec<LimitNotice>),
    /// Upstreams of the region that have announced that they are leaving.
    Leavers(Vec<LeavingNotice>),
    /// VMs that have lost their paths to upstreams.
    Paths(PathMessage),
    /// Where streams of the sender began, for a VM that holds this.
    Origins(Vec<OriginNotice>),
    /// Asks where the streams of these attempts began.
    OriginQuestions(Vec<AttemptTag>),
    /// The answers to such questions.
    OriginAnswers(Vec<OriginAnswer>),
    /// Suspected segments of prompts.
    SuspectSegments(SuspectMessage),
    /// The speeds of upstreams of the region as measured by a VM.
    Speeds(SpeedReport),
    /// The priority levels of the requests in the load report that was sent before.
    Levels(LevelReport),
    /// The room that a region offers to others, as earlier daemons tell it.
    Rooms(RoomReport),
    /// The room of a region for each level.
    LevelRooms(LevelRoomReport),
    /// The services of the region whose upstreams are brittle.
    Brittle(Vec<BrittleNotice>),
    /// Asks which software versions served recently.
    SoftwareQuestion,
    /// The software versions that served recently.
    Software(SoftwareHistory),
}

impl PeerMessage {
    /// What the names of all metrics of [`PeerMessage::sent_bytes_metric`] begin with.
    pub const SENT_BYTES_PREFIX: &str = "sent_bytes_";
    /// The metric that counts the bytes of changes of the platform state.
    pub const CHANGES_METRIC: &str = "sent_bytes_changes";

    /// Returns the name of the metric that counts the bytes of such messages.
    pub fn sent_bytes_metric(&self) -> &'static str {
        match self {
            Self::Beat(_) => "sent_bytes_heartbeat",
            Self::Load(_) => "sent_bytes_load",
            Self::Levels(_) => "sent_bytes_levels",
            Self::Rooms(_) | Self::LevelRooms(_) => "sent_bytes_rooms",
            Self::Placements(_) => "sent_bytes_placements",
            Self::Changes(_) | Self::Early(_) => Self::CHANGES_METRIC,
            Self::Region(_) => "sent_bytes_region",
            Self::Suspects(_) | Self::SuspectSegments(_) => "sent_bytes_suspects",
            Self::View(_) => "sent_bytes_view",
            Self::ViewList(_) => "sent_bytes_view_list",
            Self::Pact(_) => "sent_bytes_senders",
            Self::News(_) => "sent_bytes_revision",
            Self::Demand(_) | Self::RegionDemand(_) => "sent_bytes_demand",
            Self::Limits(_) => "sent_bytes_limits",
            Self::Brittle(_) => "sent_bytes_brittle",
            Self::Leavers(_) => "sent_bytes_leaving",
            Self::Paths(_) => "sent_bytes_paths",
            Self::Origins(_) | Self::OriginQuestions(_) | Self::OriginAnswers(_) => {
                "sent_bytes_origins"
            }
            Self::SoftwareQuestion | Self::Software(_) => "sent_bytes_software",
            Self::Speeds(_) => "sent_bytes_speeds",
        }
    }

    /// Serializes the message.
    ///
    /// # Errors
    ///
    /// If the message does not fit into a datagram.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let bytes = peer_codec().serialize(self).map_err(io::Error::other)?;
        match bytes.len() <= MAX_DATAGRAM {
            true => Ok(bytes),
            false => {
                Err(io::Error::other(format!("{} bytes do not fit into a datagram", bytes.len())))
            }
        }
    }

    /// Deserializes a message.
    ///
    /// # Errors
    ///
    /// If the message is malformed or of an unknown variant.
    pub fn read(bytes: &[u8]) -> bincode::Result<Self> {
        peer_codec().deserialize(bytes)
    }
}
