//! Logs as JSON lines on standard output, bounded, and written by a thread of their own so that
//! nobody waits for whoever reads them.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use crate::clock::BootInstant;

/// How much is held that has not been written yet; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// How often held lines are written. Each write wakes the processor, which is metered.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Holds lines until they are written.
#[derive(Clone, Default)]
struct LineBuffer {
    held: Arc<Mutex<BufferedLines>>,
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut held = self.held.lock();
        match held.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            true => held.dropped += 1,
            false => held.bytes.extend_from_slice(line),
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Writes what is held when it is dropped, so that the last lines of a process are not lost.
pub struct LogGuard {
    buffer: LineBuffer,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        write_buffered(&self.buffer);
    }
}

/// Starts logging at a level and above.
pub fn start_logging(level: &str) -> LogGuard {
    let filter =
        EnvFilter::try_new(format!("warn,foldhaven_gateway={level},foldhaven_platform={level}"))
            .unwrap_or_else(|_| EnvFilter::new("info"));
    let buffer = LineBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(buffer.clone())
        .finish();
    // A process that already logs keeps its subscriber.
    let _ = tracing::subscriber::set_global_default(subscriber);
    let written = buffer.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            write_buffered(&written);
        }
    });
    LogGuard { buffer }
}

fn write_buffered(buffer: &LineBuffer) {
    let BufferedLines { mut bytes, dropped } = std::mem::take(&mut *buffer.held.lock());
    if dropped > 0 {
        let line = format!(
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
        );
        bytes.extend_from_slice(line.as_bytes());
    }
    if bytes.is_empty() {
        return;
    }
    // Nobody is left to be told when standard output is gone.
    let _ = io::stdout().write_all(&bytes);
}

/// How many lines a second are logged of requests that were served at the first try.
const PLAIN_LINES_PER_S: u32 = 10;
/// How many lines a second are logged of all other requests.
const FAULT_LINES_PER_S: u32 = 100;

/// Bounds the lines a second. Lines left out are counted in the metrics by the outcome itself.
#[derive(Default)]
pub struct LogQuota {
    inner: Mutex<Option<QuotaSecond>>,
}

struct QuotaSecond {
    started: BootInstant,
    plain: u32,
    faults: u32,
}

impl LogQuota {
    /// A quota of which nothing was taken yet.
    pub const fn new() -> Self {
        Self { inner: Mutex::new(None) }
    }

    /// Whether a line may be logged now.
    pub fn take(&self, is_plain: bool) -> bool {
        let mut inner = self.inner.lock();
        let second = inner
            .take()
            .filter(|second| second.started.elapsed() < Duration::from_secs(1))
            .unwrap_or(QuotaSecond { started: BootInstant::now(), plain: 0, faults: 0 });
        let second = inner.insert(second);
        let (count, limit) = match is_plain {
            true => (&mut second.plain, PLAIN_LINES_PER_S),
            false => (&mut second.faults, FAULT_LINES_PER_S),
        };
        *count += 1;
        *count <= limit
    }
}
