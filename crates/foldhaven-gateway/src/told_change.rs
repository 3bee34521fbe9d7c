//! The serialized form of platform changes that VMs send to each other.
//!
//! Descriptions with accounts are separate variants at the end: daemons that do not know them read
//! all other variants as before, and reject these as a whole, instead of adopting routes without
//! the keys that protect them. So are records of upstreams that name their software version.

use std::sync::Arc;

use foldhaven_core::ids::{DataCentreName, SoftwareVersion, UpstreamName};
use foldhaven_core::opaque::account_table::{AccountDelta, AccountDescription};
use foldhaven_core::opaque::route_delta::RouteDelta;
use foldhaven_core::opaque::route_table::RouteDescription;
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use serde::{Deserialize, Serialize};

use crate::feed::FeedChange;

/// The serialized form of a [`FeedChange`]. A variant is identified by its position: new ones are
/// added at the end.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ToldChange {
    Description(Box<RouteDescription>),
    DescriptionDelta(Box<RouteDelta>),
    UpstreamWritten(UpstreamRecord),
    UpstreamRemoved(UpstreamName),
    UpstreamUnusable(UpstreamName),
    EvacuationStarted(DataCentreName),
    EvacuationEnded(DataCentreName),
    KeyedDescription(Box<RouteDescription>, Arc<AccountDescription>),
    KeyedDelta(Box<RouteDelta>, AccountDelta),
    VersionedUpstream(UpstreamRecord, SoftwareVersion),
}

impl From<FeedChange> for ToldChange {
    fn from(change: FeedChange) -> Self {
        match change {
            FeedChange::Description(it) => match it.accounts.clone() {
                Some(accounts) => Self::KeyedDescription(it, accounts),
                None => Self::Description(it),
            },
            FeedChange::DescriptionDelta(it) => match it.accounts().clone() {
                AccountDelta::Same => Self::DescriptionDelta(it),
                accounts => Self::KeyedDelta(it, accounts),
            },
            FeedChange::UpstreamWritten(record) => match record.software.clone() {
                Some(software) => Self::VersionedUpstream(record, software),
                None => Self::UpstreamWritten(record),
            },
            FeedChange::UpstreamRemoved(name) => Self::UpstreamRemoved(name),
            FeedChange::UpstreamUnusable(name) => Self::UpstreamUnusable(name),
            FeedChange::EvacuationStarted(centre) => Self::EvacuationStarted(centre),
            FeedChange::EvacuationEnded(centre) => Self::EvacuationEnded(centre),
        }
    }
}

impl From<ToldChange> for FeedChange {
    fn from(change: ToldChange) -> Self {
        match change {
            ToldChange::Description(it) => Self::Description(it),
            ToldChange::DescriptionDelta(it) => Self::DescriptionDelta(it),
            ToldChange::UpstreamWritten(record) => Self::UpstreamWritten(record),
            ToldChange::UpstreamRemoved(name) => Self::UpstreamRemoved(name),
            ToldChange::UpstreamUnusable(name) => Self::UpstreamUnusable(name),
            ToldChange::EvacuationStarted(centre) => Self::EvacuationStarted(centre),
            ToldChange::EvacuationEnded(centre) => Self::EvacuationEnded(centre),
            ToldChange::KeyedDescription(mut it, accounts) => {
                it.accounts = Some(accounts);
                Self::Description(it)
            }
            ToldChange::VersionedUpstream(record, software) => {
                Self::UpstreamWritten(UpstreamRecord { software: Some(software), ..record })
            }
            ToldChange::KeyedDelta(it, accounts) => {
                Self::DescriptionDelta(Box::new(it.with_accounts(accounts)))
            }
        }
    }
}
