//! Asks daemons, starting from a few and finding the others through them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::description::{Description, DescriptionStamp};
use foldhaven_wire::operator::StatusAnswer;
use futures::future::join_all;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// What was found of a whole deployment.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    /// The status of each VM that answered, by its peer address.
    pub vms: BTreeMap<SocketAddr, StatusAnswer>,
    /// The addresses that did not answer.
    pub unreachable: BTreeSet<SocketAddr>,
}

impl FleetState {
    /// The highest stamp in force anywhere, with a VM that has it.
    pub fn highest(&self) -> Option<(DescriptionStamp, SocketAddr)> {
        let stamps = self.vms.iter().filter_map(|(address, status)| {
            let stamp = status.stamp.as_ref()?.parse().ok()?;
            Some((stamp, *address))
        });
        stamps.max()
    }
}

/// Asks daemons over HTTP.
pub struct OperatorClient {
    client: reqwest::Client,
    first: Vec<SocketAddr>,
}

impl OperatorClient {
    /// A client that starts from these peer addresses.
    ///
    /// # Errors
    ///
    /// When no address is given or the HTTP client cannot be set up.
    pub fn new(first: Vec<SocketAddr>) -> Result<Self, CtlError> {
        if first.is_empty() {
            let expected = "expected --vm ADDRESS or FOLDHAVEN_VMS=ADDRESS,...";
            return Err(CtlError::Usage(expected.to_owned()));
        }
        let client = reqwest::Client::builder().timeout(ANSWER_LIMIT).build();
        let client = client.map_err(|error| CtlError::Usage(error.to_string()))?;
        Ok(Self { client, first })
    }

    /// The addresses to start from.
    pub fn first(&self) -> &[SocketAddr] {
        &self.first
    }

    /// Reads a JSON answer of one VM.
    ///
    /// # Errors
    ///
    /// When the VM does not answer, or answers something else.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, CtlError> {
        let asked = self.client.get(format!("http://{peer}{path}"));
        self.send(step, peer, asked).await
    }

    /// Has one VM do something, and reads its JSON answer.
    ///
    /// # Errors
    ///
    /// When the VM does not answer, or answers something else.
    pub async fn post<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, CtlError> {
        let asked = self.client.post(format!("http://{peer}{path}"));
        self.send(step, peer, asked).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        asked: reqwest::RequestBuilder,
    ) -> Result<T, CtlError> {
        let fault = |message: String| CtlError::Peer { step, peer: peer.to_string(), message };
        let sent = asked.send().await;
        let response = sent.map_err(|error| fault(error.to_string()))?;
        let status = response.status();
        let body = response.text().await.map_err(|error| fault(error.to_string()))?;
        if !status.is_success() {
            return Err(fault(format!("status {status}: {body}")));
        }
        serde_json::from_str(&body).map_err(|error| fault(error.to_string()))
    }

    /// Asks every VM that can be found, through the members and data centres that others name.
    ///
    /// # Errors
    ///
    /// When none of the first addresses answers.
    pub async fn survey(&self) -> Result<FleetState, CtlError> {
        let mut state = FleetState::default();
        let mut waiting: BTreeSet<SocketAddr> = self.first.iter().copied().collect();
        while !waiting.is_empty() {
            let asked: Vec<SocketAddr> = std::mem::take(&mut waiting).into_iter().collect();
            let path = "/operator/v1/status";
            let reads = asked.iter().map(|peer| self.get("reading the state", *peer, path));
            for (peer, read) in asked.iter().zip(join_all(reads).await) {
                let read: Result<StatusAnswer, CtlError> = read;
                match read {
                    Ok(status) => {
                        waiting.extend(named_peers(&status));
                        state.vms.insert(*peer, status);
                    }
                    Err(_) => drop(state.unreachable.insert(*peer)),
                }
            }
            waiting
                .retain(|peer| !state.vms.contains_key(peer) && !state.unreachable.contains(peer));
        }
        if state.vms.is_empty() {
            let tried: Vec<String> = self.first.iter().map(|it| it.to_string()).collect();
            return Err(CtlError::Unreachable(tried.join(", ")));
        }
        Ok(state)
    }

    /// The description with the highest stamp in force anywhere; nothing when there is none.
    ///
    /// # Errors
    ///
    /// When the VM that has it does not answer any more.
    pub async fn in_force(
        &self,
        state: &FleetState,
    ) -> Result<Option<(DescriptionStamp, Description)>, CtlError> {
        let Some((stamp, peer)) = state.highest() else { return Ok(None) };
        let path = "/operator/v1/description";
        let description = self.get("reading the description", peer, path).await?;
        Ok(Some((stamp, description)))
    }
}

fn named_peers(status: &StatusAnswer) -> Vec<SocketAddr> {
    let members = status.members.iter().map(|member| &member.peer);
    let others = status.centres.iter().flat_map(|centre| &centre.peers);
    members.chain(others).filter_map(|address| address.parse().ok()).collect()
}
