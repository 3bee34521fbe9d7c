//! Queries daemons over HTTP, and discovers all VMs of a deployment from a few addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::description::{Description, DescriptionStamp};
use foldhaven_wire::operator::StatusAnswer;
use futures::future::join_all;
use serde::de::DeserializeOwned;

use crate::error::CtlError;

/// Timeout of one query.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of a deployment, as far as its VMs were reached.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    /// The status of each VM that answered, by its peer address.
    pub vms: BTreeMap<SocketAddr, StatusAnswer>,
    /// The addresses that did not answer.
    pub unreachable: BTreeSet<SocketAddr>,
}

impl FleetState {
    /// Returns the highest stamp in force at any VM, with the address of a VM that has it. `None`
    /// if no VM has a description.
    pub fn highest(&self) -> Option<(DescriptionStamp, SocketAddr)> {
        let stamps = self.vms.iter().filter_map(|(address, status)| {
            let stamp = status.stamp.as_ref()?.parse().ok()?;
            Some((stamp, *address))
        });
        stamps.max()
    }
}

/// A client for the operator API of daemons.
pub struct OperatorClient {
    client: reqwest::Client,
    seed_addresses: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Creates a client that starts from these peer addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if no address is given or the HTTP client cannot be set up.
    pub fn new(seed_addresses: Vec<SocketAddr>) -> Result<Self, CtlError> {
        if seed_addresses.is_empty() {
            let expected = "expected --vm ADDRESS or FOLDHAVEN_VMS=ADDRESS,...";
            return Err(CtlError::Usage(expected.to_owned()));
        }
        let client = reqwest::Client::builder().timeout(ANSWER_TIMEOUT).build();
        let client = client.map_err(|error| CtlError::Usage(error.to_string()))?;
        Ok(Self { client, seed_addresses })
    }

    /// Returns the addresses to start from.
    pub fn seed_addresses(&self) -> &[SocketAddr] {
        &self.seed_addresses
    }

    /// Sends a GET request to one VM and reads its JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM does not answer, or not with the expected JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, CtlError> {
        let request = self.client.get(format!("http://{peer}{path}"));
        self.send(step, peer, request).await
    }

    /// Sends a POST request to one VM and reads its JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM does not answer, or not with the expected JSON.
    pub async fn post<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, CtlError> {
        let request = self.client.post(format!("http://{peer}{path}"));
        self.send(step, peer, request).await
    }

    async fn send<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        request: reqwest::RequestBuilder,
    ) -> Result<T, CtlError> {
        let peer_error = |message: String| CtlError::Peer { step, peer: peer.to_string(), message };
        let sent = request.send().await;
        let response = sent.map_err(|error| peer_error(error.to_string()))?;
        let status = response.status();
        let body = response.text().await.map_err(|error| peer_error(error.to_string()))?;
        if !status.is_success() {
            return Err(peer_error(format!("status {status}: {body}")));
        }
        serde_json::from_str(&body).map_err(|error| peer_error(error.to_string()))
    }

    /// Reads the status of every VM that can be discovered through the members and data centres
    /// that other VMs list.
    ///
    /// # Errors
    ///
    /// Returns an error if no VM answers.
    pub async fn survey(&self) -> Result<FleetState, CtlError> {
        let mut state = FleetState::default();
        let mut unqueried: BTreeSet<SocketAddr> = self.seed_addresses.iter().copied().collect();
        while !unqueried.is_empty() {
            let addresses: Vec<SocketAddr> = std::mem::take(&mut unqueried).into_iter().collect();
            let path = "/operator/v1/status";
            let reads = addresses.iter().map(|peer| self.get("reading the state", *peer, path));
            for (peer, read) in addresses.iter().zip(join_all(reads).await) {
                let read: Result<StatusAnswer, CtlError> = read;
                match read {
                    Ok(status) => {
                        unqueried.extend(listed_peers(&status));
                        state.vms.insert(*peer, status);
                    }
                    Err(_) => drop(state.unreachable.insert(*peer)),
                }
            }
            unqueried
                .retain(|peer| !state.vms.contains_key(peer) && !state.unreachable.contains(peer));
        }
        if state.vms.is_empty() {
            let tried: Vec<String> = self.seed_addresses.iter().map(|it| it.to_string()).collect();
            return Err(CtlError::Unreachable(tried.join(", ")));
        }
        Ok(state)
    }

    /// Reads the description with the highest stamp in force at any VM, `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM that has it does not answer.
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

fn listed_peers(status: &StatusAnswer) -> Vec<SocketAddr> {
    let members = status.members.iter().map(|member| &member.peer);
    let others = status.centres.iter().flat_map(|centre| &centre.peers);
    members.chain(others).filter_map(|address| address.parse().ok()).collect()
}
