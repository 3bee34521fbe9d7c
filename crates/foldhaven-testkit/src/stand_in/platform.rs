//! A stand-in platform with values, lists, the client directory and the weight store, all of them
//! read-only. It counts calls and can be slow, stale or down.
//!
//! The paths under `/admin` stand for actions of operators and of the platform itself. The system
//! under test never calls them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhaven_wire::platform::{
    DirectoryEntry, REVISION, UpstreamEntry, UpstreamList, ValueBundle,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::Filter;
use warp::reply::Response;

use super::engine_state::ModelProfile;
use super::{json_response, serve};

/// How the platform answers calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// Answers normally.
    #[default]
    Up,
    /// Answers with the content from before the last change that preceded the end of the mode `Up`.
    Stale,
    /// Refuses reads of values and lists.
    Down,
    /// Alternates between the content of the mode `Stale` and the current content.
    Flapping,
    /// Delays its answers to reads of values and lists by one second.
    Slow,
}

/// Initial content of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlatformContent {
    /// Published values.
    pub values: ValueBundle,
    /// All upstreams in all data centres.
    pub upstreams: Vec<UpstreamEntry>,
    /// Client directory.
    pub directory: Vec<DirectoryEntry>,
    /// Performance of models by model name.
    pub weights: BTreeMap<String, ModelProfile>,
    /// Time to read the weights of a model, in milliseconds.
    pub weight_ms: u64,
    /// Maximum number of concurrent readers of weights. Further readers wait.
    pub weight_readers: usize,
    /// Delay in milliseconds after which a change shows in lists.
    pub list_lag_ms: u64,
}

/// Numbers of calls by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Calls for values. A long poll counts once.
    pub values: u64,
    /// Calls for lists. A long poll counts once.
    pub lists: u64,
    /// Calls for the client directory.
    pub directory: u64,
    /// Calls for weights.
    pub weights: u64,
    /// Maximum number of readers of weights that waited or read at the same time.
    pub most_weight_readers: usize,
    /// Attempted writes, which the system must never make.
    pub writes: u64,
}

/// The content of the platform at one revision.
#[derive(Debug, Clone)]
struct PlatformVersion {
    revision: u64,
    values: BTreeMap<String, (u64, String)>,
    upstreams: Vec<UpstreamEntry>,
    published_at: Instant,
}

struct PlatformInner {
    mode: PlatformMode,
    current: PlatformVersion,
    /// Content that is served while the platform is stale or flapping.
    stale: PlatformVersion,
    /// Earlier versions, from which delayed lists are served.
    history: VecDeque<PlatformVersion>,
    counts: PlatformCounts,
    flapping_reads: u64,
    weight_readers: usize,
}

#[derive(Clone)]
struct Platform {
    inner: Arc<Mutex<PlatformInner>>,
    changed: watch::Sender<u64>,
    content: Arc<PlatformContent>,
    weight_permits: Arc<tokio::sync::Semaphore>,
}

/// Serves requests until the process ends.
pub async fn run_platform(address: SocketAddr, content: PlatformContent) -> std::io::Result<()> {
    let values = content.values.values.iter();
    let version = PlatformVersion {
        revision: 1,
        values: values.map(|(key, value)| (key.clone(), (1, value.clone()))).collect(),
        upstreams: content.upstreams.clone(),
        published_at: Instant::now(),
    };
    let inner = PlatformInner {
        mode: PlatformMode::Up,
        current: version.clone(),
        stale: version,
        history: VecDeque::new(),
        counts: PlatformCounts::default(),
        flapping_reads: 0,
        weight_readers: 0,
    };
    let platform = Platform {
        inner: Arc::new(Mutex::new(inner)),
        changed: watch::Sender::new(1),
        weight_permits: Arc::new(tokio::sync::Semaphore::new(content.weight_readers)),
        content: Arc::new(content),
    };
    serve(address, routes(platform)).await
}

type Query = BTreeMap<String, String>;

fn routes(
    platform: Platform,
) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let platform_filter = warp::any().map(move || platform.clone());
    let values = warp::path!("v1" / "values" / ..)
        .and(warp::path::tail())
        .and(platform_filter.clone())
        .and(warp::query::<Query>())
        .then(|tail: warp::path::Tail, platform: Platform, query: Query| async move {
            let key = tail.as_str().to_owned();
            platform.inner.lock().counts.values += 1;
            platform.serve_watch(&query, |version| version.values.get(&key).cloned()).await
        });
    let lists = warp::path!("v1" / "lists" / "upstreams")
        .and(platform_filter.clone())
        .and(warp::query::<Query>())
        .then(|platform: Platform, query: Query| async move {
            platform.inner.lock().counts.lists += 1;
            let centre = query.get("data_centre").cloned();
            let lag = Duration::from_millis(platform.content.list_lag_ms);
            platform.serve_lagged_list(&query, centre, lag).await
        });
    let directory =
        warp::path!("v1" / "directory").and(platform_filter.clone()).map(|platform: Platform| {
            platform.inner.lock().counts.directory += 1;
            json_response(200, &platform.content.directory)
        });
    let weights = warp::path!("v1" / "weights" / String / String)
        .and(platform_filter.clone())
        .then(|model: String, _version: String, platform: Platform| async move {
            platform.weights(&model).await
        });
    let reads = warp::get().and(values.or(lists).unify().or(directory).unify().or(weights).unify());
    let counts = warp::path!("admin" / "counts")
        .and(platform_filter.clone())
        .map(|platform: Platform| json_response(200, &platform.inner.lock().counts));
    let publish = warp::path!("admin" / "publish")
        .and(platform_filter.clone())
        .and(warp::body::json())
        .map(|platform: Platform, bundle: ValueBundle| platform.publish(bundle));
    let upstreams = warp::path!("admin" / "upstreams")
        .and(platform_filter.clone())
        .and(warp::body::json())
        .map(|platform: Platform, list| platform.replace_upstreams(list));
    let mode = warp::path!("admin" / "mode")
        .and(platform_filter.clone())
        .and(warp::body::json())
        .map(|platform: Platform, mode: PlatformMode| platform.set_mode(mode));
    let admin = counts.or(publish).unify().or(upstreams).unify().or(mode).unify();
    let writes =
        warp::body::bytes().and(platform_filter).map(|_: bytes::Bytes, platform: Platform| {
            platform.inner.lock().counts.writes += 1;
            json_response(405, &"the platform is read-only")
        });
    reads.or(admin).unify().or(writes).unify()
}

impl Platform {
    /// Returns the version to answer from, or `None` if the platform is down.
    fn visible_version(&self) -> Option<PlatformVersion> {
        let mut inner = self.inner.lock();
        match inner.mode {
            PlatformMode::Up | PlatformMode::Slow => Some(inner.current.clone()),
            PlatformMode::Stale => Some(inner.stale.clone()),
            PlatformMode::Down => None,
            PlatformMode::Flapping => {
                inner.flapping_reads += 1;
                let is_new = inner.flapping_reads.is_multiple_of(2);
                Some(if is_new { inner.current.clone() } else { inner.stale.clone() })
            }
        }
    }

    async fn delay_answer(&self) {
        let is_slow = self.inner.lock().mode == PlatformMode::Slow;
        let wait = if is_slow { Duration::from_secs(1) } else { Duration::from_millis(2) };
        tokio::time::sleep(wait).await;
    }

    /// Answers with the value that `read` returns. If its revision equals `after` of the query,
    /// waits up to `wait_ms` for another revision.
    async fn serve_watch(
        &self,
        query: &Query,
        read: impl Fn(&PlatformVersion) -> Option<(u64, String)>,
    ) -> Response {
        self.delay_answer().await;
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let Some(version) = self.visible_version() else { return json_response(503, &"down") };
            match read(&version) {
                Some((revision, value)) if Some(revision) != after => {
                    return value_response(revision, value);
                }
                None if after.is_none() => return json_response(404, &"no such value"),
                _ => {}
            }
            if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return json_response(304, &"");
            }
        }
    }

    /// Answers with a list of upstreams as it was `lag` ago, of one data centre or of all.
    async fn serve_lagged_list(
        &self,
        query: &Query,
        centre: Option<String>,
        lag: Duration,
    ) -> Response {
        let read = |version: &PlatformVersion| {
            let visible = self.lagged_version(version, lag);
            let in_centre = |entry: &&UpstreamEntry| {
                centre.as_ref().is_none_or(|centre| entry.data_centre.as_str() == centre)
            };
            let upstreams = visible.upstreams.iter().filter(in_centre).cloned().collect();
            let list = UpstreamList { revision: visible.revision, upstreams };
            Some((
                visible.revision,
                serde_json::to_string(&list).expect("a list can be serialized"),
            ))
        };
        self.serve_watch(query, read).await
    }

    /// Returns the newest version that is at least `lag` old, or the oldest one that is kept.
    fn lagged_version(&self, version: &PlatformVersion, lag: Duration) -> PlatformVersion {
        if version.published_at.elapsed() >= lag || version.revision == 1 {
            return version.clone();
        }
        let inner = self.inner.lock();
        let old = inner.history.iter().rev().find(|old| old.published_at.elapsed() >= lag);
        old.or(inner.history.front()).unwrap_or(version).clone()
    }

    async fn weights(&self, model: &str) -> Response {
        {
            let mut inner = self.inner.lock();
            inner.counts.weights += 1;
            inner.weight_readers += 1;
            let readers = inner.weight_readers;
            inner.counts.most_weight_readers = inner.counts.most_weight_readers.max(readers);
        }
        let permit = self.weight_permits.acquire().await;
        tokio::time::sleep(Duration::from_millis(self.content.weight_ms)).await;
        drop(permit);
        self.inner.lock().weight_readers -= 1;
        match self.content.weights.get(model) {
            Some(profile) => json_response(200, profile),
            None => json_response(404, &"no such model"),
        }
    }

    fn apply_change(&self, change: impl FnOnce(&mut PlatformVersion)) {
        {
            let mut inner = self.inner.lock();
            let old = inner.current.clone();
            inner.history.push_back(old);
            if inner.history.len() > 64 {
                inner.history.pop_front();
            }
            inner.current.revision += 1;
            inner.current.published_at = Instant::now();
            change(&mut inner.current);
        }
        self.changed.send_modify(|count| *count += 1);
    }

    fn publish(&self, bundle: ValueBundle) -> Response {
        self.apply_change(|version| {
            for (key, value) in bundle.values {
                version.values.insert(key, (version.revision, value));
            }
        });
        json_response(200, &"published")
    }

    fn replace_upstreams(&self, upstreams: Vec<UpstreamEntry>) -> Response {
        self.apply_change(|version| version.upstreams = upstreams);
        // Wakes waiting calls again once lists show the change.
        let changed = self.changed.clone();
        let lag = Duration::from_millis(self.content.list_lag_ms);
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            changed.send_modify(|count| *count += 1);
        });
        json_response(200, &"listed")
    }

    fn set_mode(&self, mode: PlatformMode) -> Response {
        {
            let mut inner = self.inner.lock();
            if inner.mode == PlatformMode::Up {
                inner.stale = inner.history.back().unwrap_or(&inner.current).clone();
            }
            inner.mode = mode;
        }
        self.changed.send_modify(|count| *count += 1);
        json_response(200, &mode)
    }
}

fn value_response(revision: u64, value: String) -> Response {
    let mut response = Response::new(bytes::Bytes::from(value).into());
    response.headers_mut().insert(REVISION, revision.into());
    response
}
