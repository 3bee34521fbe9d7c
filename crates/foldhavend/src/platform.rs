//! Reads the values and lists that the platform publishes.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use foldhaven_core::description::{SectionDigest, SectionManifest};
use foldhaven_core::ids::DataCentreName;
use foldhaven_wire::platform::{
    MANIFEST_KEY, REVISION, SECTION_KEY_PREFIX, UpstreamList, parse_manifest,
};

/// Errors while reading the platform.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// {step} at platform {peer}: {source}
    Http {
        /// What was being read.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// The HTTP error.
        source: reqwest::Error,
    },
    /// {step} at platform {peer}: {message}
    Content {
        /// What was being read.
        step: &'static str,
        /// The platform's address.
        peer: SocketAddr,
        /// The parse error, or what was expected.
        message: String,
    },
}

/// A value and its revision.
#[derive(Debug, Clone)]
pub struct Revised<T> {
    /// The revision of the value at the platform, 0 if the answer names none.
    pub revision: u64,
    /// The value.
    pub value: T,
}

/// Read access to the platform. The daemon never writes to it.
#[async_trait]
pub trait PlatformSource: Send + Sync {
    /// Returns the manifest of the published description as soon as its revision differs from
    /// `after`, `None` if it does not within `wait`. Without `after`, returns the current manifest
    /// at once.
    async fn manifest(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<Revised<SectionManifest>>, PlatformError>;

    /// Returns the content of one section.
    async fn section(&self, digest: &SectionDigest) -> Result<String, PlatformError>;

    /// Returns the list of the upstreams of a data centre as soon as its revision differs from
    /// `after`, `None` if it does not within `wait`.
    async fn upstreams(
        &self,
        centre: &DataCentreName,
        after: Option<u64>,
        wait: Duration,
    ) -> Result<Option<UpstreamList>, PlatformError>;
}

/// Reads the platform over HTTP.
pub struct HttpPlatform {
    client: reqwest::Client,
    address: SocketAddr,
    /// The platform's address in the settings, used in error messages.
    configured_address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a reader that dials `address` for the platform with the address `configured_address`
    /// in the settings.
    pub fn new(
        client: reqwest::Client,
        address: SocketAddr,
        configured_address: SocketAddr,
    ) -> Self {
        Self { client, address, configured_address }
    }

    async fn get(
        &self,
        step: &'static str,
        path: String,
        wait: Duration,
    ) -> Result<Option<Revised<String>>, PlatformError> {
        const TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
        let peer = self.configured_address;
        let http_error = |source| PlatformError::Http { step, peer, source };
        let url = format!("http://{}{path}", self.address);
        let request = self.client.get(url).timeout(wait + TIMEOUT_MARGIN);
        let response = request.send().await.map_err(http_error)?;
        if response.status() == reqwest::StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let response = response.error_for_status().map_err(http_error)?;
        let header = response.headers().get(REVISION).and_then(|value| value.to_str().ok());
        let revision = header.and_then(|text| text.parse().ok()).unwrap_or_default();
        let value = response.text().await.map_err(http_error)?;
        Ok(Some(Revised { revision, value }))
    }

    fn content_error(&self, step: &'static str, message: impl ToString) -> PlatformError {
        PlatformError::Content { step, peer: self.configured_address, message: message.to_string() }
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
        let value = parse_manifest(&read.value).map_err(|error| self.content_error(STEP, error))?;
        Ok(Some(Revised { revision: read.revision, value }))
    }

    async fn section(&self, digest: &SectionDigest) -> Result<String, PlatformError> {
        const STEP: &str = "reading a section";
        let path = format!("/v1/values/{SECTION_KEY_PREFIX}{digest}");
        let read = self.get(STEP, path, Duration::ZERO).await?;
        let read = read.ok_or_else(|| self.content_error(STEP, "expected a value"))?;
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
        let list =
            serde_json::from_str(&read.value).map_err(|error| self.content_error(STEP, error))?;
        Ok(Some(list))
    }
}
