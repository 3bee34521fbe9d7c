//! The platform border: reading values and lists that the platform publishes.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use foldhaven_core::description::{SectionDigest, SectionManifest};
use foldhaven_core::ids::DataCentreName;
use foldhaven_wire::platform::{
    MANIFEST_KEY, REVISION, SECTION_KEY_PREFIX, UpstreamList, parse_manifest,
};

/// Why the platform could not be read.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// {step} at platform {peer}: {source}
    Http {
        /// What was being read.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// What went wrong.
        source: reqwest::Error,
    },
    /// {step} at platform {peer}: {message}
    Content {
        /// What was being read.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// What was expected.
        message: String,
    },
}

/// A value with its revision.
#[derive(Debug, Clone)]
pub struct Revised<T> {
    /// The revision at the platform.
    pub revision: u64,
    /// The value.
    pub value: T,
}

/// What is read of the platform. Nothing is ever written.
#[async_trait]
pub trait PlatformSource: Send + Sync {
    /// The manifest of the published description, once its revision differs from `after`; nothing
    /// when that did not happen within `wait`.
    async fn manifest(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Revised<SectionManifest>>, PlatformError>;

    /// The content of one section.
    async fn section(&self, digest: &SectionDigest) -> Result<String, PlatformError>;

    /// The list of the upstreams of a data centre, once its revision differs from `after`.
    async fn upstreams(
        &self,
        centre: &DataCentreName,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<UpstreamList>, PlatformError>;
}

/// The platform's HTTP service.
pub struct HttpPlatform {
    client: reqwest::Client,
    address: SocketAddr,
    named: SocketAddr,
}

impl HttpPlatform {
    /// A reader that dials `address` for the platform that settings call `named`.
    pub fn new(client: reqwest::Client, address: SocketAddr, named: SocketAddr) -> Self {
        Self { client, address, named }
    }

    async fn get(
        &self,
        step: &'static str,
        path: String,
        wait: Duration,
    ) -> Result<Option<Revised<String>>, PlatformError> {
        const MARGIN: Duration = Duration::from_secs(3);
        let peer = self.named;
        let fault = |source| PlatformError::Http { step, peer, source };
        let url = format!("http://{}{path}", self.address);
        let request = self.client.get(url).timeout(wait + MARGIN);
        let response = request.send().await.map_err(fault)?;
        if response.status() == reqwest::StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let response = response.error_for_status().map_err(fault)?;
        let header = response.headers().get(REVISION).and_then(|value| value.to_str().ok());
        let revision = header.and_then(|text| text.parse().ok()).unwrap_or_default();
        let value = response.text().await.map_err(fault)?;
        Ok(Some(Revised { revision, value }))
    }

    fn content(&self, step: &'static str, message: impl ToString) -> PlatformError {
        PlatformError::Content { step, peer: self.named, message: message.to_string() }
    }
}

fn watch_query(after: Option<u64>, wait: Duration) -> String {
    match after {
        Some(after) => format!("after={after}&wait_ms={}", wait.as_millis()),
        None => String::new(),
    }
}

#[async_trait]
impl PlatformSource for HttpPlatform {
    async fn manifest(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Revised<SectionManifest>>, PlatformError> {
        const STEP: &str = "reading the manifest";
        let path = format!("/v1/values/{MANIFEST_KEY}?{}", watch_query(after, wait));
        let Some(read) = self.get(STEP, path, wait).await? else { return Ok(None) };
        let value = parse_manifest(&read.value).map_err(|error| self.content(STEP, error))?;
        Ok(Some(Revised { revision: read.revision, value }))
    }

    async fn section(&self, digest: &SectionDigest) -> Result<String, PlatformError> {
        const STEP: &str = "reading a section";
        let path = format!("/v1/values/{SECTION_KEY_PREFIX}{digest}");
        let read = self.get(STEP, path, Duration::ZERO).await?;
        let read = read.ok_or_else(|| self.content(STEP, "expected a value"))?;
        Ok(read.value)
    }

    async fn upstreams(
        &self,
        centre: &DataCentreName,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<UpstreamList>, PlatformError> {
        const STEP: &str = "reading the list of upstreams";
        let query = watch_query(after, wait);
        let path = format!("/v1/lists/upstreams?data_centre={centre}&{query}");
        let Some(read) = self.get(STEP, path, wait).await? else { return Ok(None) };
        let list = serde_json::from_str(&read.value).map_err(|error| self.content(STEP, error))?;
        Ok(Some(list))
    }
}
