//! Logging of JSON lines to standard output. Lines are buffered up to a limit and written by a
//! separate thread, so that no other thread waits for the reader of the output.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use crate::clock::BootInstant;

/// Maximum size of the buffered lines in bytes. Lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Interval between two writes of the buffered lines. Each write wakes the processor, whose use is
/// metered.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct BufferedLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffers lines until they are written.
#[derive(Clone, Default)]
struct LineBuffer {
    lines: Arc<Mutex<BufferedLines>>,
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut lines = self.lines.lock();
        match lines.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            true => lines.dropped += 1,
            false => lines.bytes.extend_from_slice(line),
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

/// Writes the buffered lines when it is dropped, so that the last lines of a process are not lost.
pub struct LogGuard {
    buffer: LineBuffer,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        write_buffered(&self.buffer);
    }
}

/// Starts logging at a level and above. An invalid level counts as `info`.
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
    // If the process already has a subscriber, it is kept.
    let _ = tracing::subscriber::set_global_default(subscriber);
    log_panics();
    let writer_buffer = buffer.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            write_buffered(&writer_buffer);
        }
    });
    LogGuard { buffer }
}

/// Logs panics as lines of the log, in addition to what was done with them before.
fn log_panics() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic.location().map(ToString::to_string);
        tracing::error!(place, message = %panic, "a task panicked");
        previous(panic);
    }));
}

fn write_buffered(buffer: &LineBuffer) {
    let BufferedLines { mut bytes, dropped } = std::mem::take(&mut *buffer.lines.lock());
    if dropped > 0 {
        let line = format!(
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
        );
        bytes.extend_from_slice(line.as_bytes());
    }
    if bytes.is_empty() {
        return;
    }
    // If standard output is closed, there is nowhere left to report the failure.
    let _ = io::stdout().write_all(&bytes);
}

/// Maximum number of log lines per second about requests that were served at the first attempt.
const PLAIN_LINES_PER_S: u32 = 10;
/// Maximum number of log lines per second about all other requests.
const FAULT_LINES_PER_S: u32 = 100;

/// Limits the number of log lines per second. The metrics count the outcomes of requests whose
/// lines are left out.
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
    /// Creates an unused quota.
    pub const fn new() -> Self {
        Self { inner: Mutex::new(None) }
    }

    /// Returns whether a line may be logged now, and counts it. `is_plain` selects the lower limit,
    /// for requests without faults.
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
