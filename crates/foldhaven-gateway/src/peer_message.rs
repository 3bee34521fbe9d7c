//! What VMs tell each other in datagrams, and how it is written.
//!
//! A kind is known by its place in [`PeerMessage`]: new kinds go to the end, and what a kind holds does not change. Daemons of
//! two versions then understand all kinds that both know, and drop others with a count and a bounded log line.

use std::io;

use bincode::Options;
use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::account_demand::{LocalDemand, RegionDemand};
use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::load_reports::LoadReport;
use foldhaven_core::opaque::peer_table::{
    HeartbeatMessage, RevisionAnnouncement, ViewDigest, ViewList,
};
use foldhaven_core::opaque::region_reports::RegionReport;
use foldhaven_core::opaque::sender_agreement::AgreementNotice;
use foldhaven_core::opaque::suspects::SuspectRecord;
use foldhaven_core::opaque::upstream_signals::{LeavingNotice, LimitNotice};
use serde::{Deserialize, Serialize};

use crate::codec::peer_codec;
use crate::feed::{ChangeSet, NumberedChange};

/// The largest datagram that is read, in bytes.
pub const MAX_DATAGRAM: usize = 16 << 10;

/// What one VM tells another of suspected requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SuspectMessage {
    /// The region of the teller.
    pub region: RegionName,
    /// What it knows; nothing in the answer to a VM that has just started, where nothing is suspected.
    pub records: Vec<SuspectRecord>,
}

/// What VMs tell each other in a datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Beat(HeartbeatMessage),
    /// The requests of a VM at the upstreams of its region.
    Load(LoadReport),
    /// Where long prompts were sent, for another region.
    Placements(Vec<PromptPlacement>),
    /// What the platform published.
    Changes(ChangeSet),
    /// Changes that must not wait for those before them.
    Early(Vec<NumberedChange>),
    /// What a delegate tells of its region.
    Region(RegionReport),
    /// Requests under which upstreams ended.
    Suspects(SuspectMessage),
    /// Which VMs of its region one knows, in short.
    View(ViewDigest),
    /// The same in full.
    ViewList(ViewList),
    /// Which list of senders a VM holds.
    Pact(AgreementNotice),
    /// How far a VM knows the platform's changes.
    News(RevisionAnnouncement),
    /// What callers of limited accounts want at a VM of the region.
    Demand(LocalDemand),
    /// The same for a whole other region.
    RegionDemand(RegionDemand),
    /// The limits that upstreams of the region name.
    Limits(Vec<LimitNotice>),
    /// Upstreams of the region that have said that they leave.
    Leavers(Vec<LeavingNotice>),
}

impl PeerMessage {
    /// Its bytes.
    ///
    /// # Errors
    ///
    /// When they do not fit a datagram.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let bytes = peer_codec().serialize(self).map_err(io::Error::other)?;
        match bytes.len() <= MAX_DATAGRAM {
            true => Ok(bytes),
            false => Err(io::Error::other(format!("{} bytes do not fit a datagram", bytes.len()))),
        }
    }

    /// The message of these bytes.
    ///
    /// # Errors
    ///
    /// When they are of a kind that is not known, or of another form.
    pub fn read(bytes: &[u8]) -> bincode::Result<Self> {
        peer_codec().deserialize(bytes)
    }
}
