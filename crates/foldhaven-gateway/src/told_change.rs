//! Changes of the platform as VMs write them to each other.
//!
//! Descriptions with accounts are kinds of their own, at the end: daemons that know of none read all others as before, and drop
//! these whole in place of taking routes without the keys that guard them.

use std::sync::Arc;

use foldhaven_core::ids::{DataCentreName, UpstreamName};
use foldhaven_core::opaque::account_table::{AccountDelta, AccountDescription};
use foldhaven_core::opaque::route_delta::RouteDelta;
use foldhaven_core::opaque::route_table::RouteDescription;
use foldhaven_core::opaque::upstream_table::UpstreamRecord;
use serde::{Deserialize, Serialize};

use crate::feed::FeedChange;

/// One change as it is written. A kind is known by its place: new ones go to the end.
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
            FeedChange::UpstreamWritten(record) => Self::UpstreamWritten(record),
            FeedChange::UpstreamRemoved(name) => Self::UpstreamRemoved(name),
            FeedChange::UpstreamUnusable(name) => Self::UpstreamUnusable(name),
            FeedChange::EvacuationStarted(centre) => Self::EvacuationStarted(centre),
            FeedChange::EvacuationEnded(centre) => Self::EvacuationEnded(centre),
        }
    }
}

impl From<ToldChange> for FeedChange {
    fn from(told: ToldChange) -> Self {
        match told {
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
            ToldChange::KeyedDelta(it, accounts) => {
                Self::DescriptionDelta(Box::new(it.with_accounts(accounts)))
            }
        }
    }
}
