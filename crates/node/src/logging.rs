//! Logging of JSON lines.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Instant;

use carawayseam_types::{Clock, HostId, Millis, Revision};
use env_logger::fmt::{Formatter, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

const DEFAULT_FILTER: &str = "info";
/// The maximum number of queued lines; further lines are dropped.
const MAX_QUEUED_LINES: usize = 1_024;
/// The interval at which it is checked whether all lines are written.
const FLUSH_POLL_INTERVAL: Millis = Millis(2);

/// Starts logging to standard error, one JSON object per line.
///
/// The environment variable `RUST_LOG` filters as usual; the default is `info`.
///
/// Each line includes the revision last set on the returned handle, if any.
#[must_use = "lines include a revision only once it is set on the handle"]
pub fn init_logging(process: &'static str, host: &HostId) -> LogRevision {
    start(process, host, Target::Stderr)
}

/// Starts logging to standard output, one JSON object per line, without blocking.
///
/// A thread writes the lines. When its queue is full, lines are dropped and counted.
#[must_use = "lines include a revision only once it is set on the handle"]
pub fn init_stdout_logging(process: &'static str, host: &HostId) -> (LogRevision, QueuedLines) {
    let queue = LineQueue::start();
    let queued = queue.queued.clone();
    (start(process, host, Target::Pipe(Box::new(queue))), queued)
}

/// The number of log lines that are queued and not written.
#[derive(Debug, Clone, Default)]
pub struct QueuedLines(Arc<AtomicUsize>);

impl QueuedLines {
    /// Waits until all lines are written, at most for the given time.
    pub fn flush(&self, within: Millis) {
        let started_at = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && started_at.elapsed() < within.to_duration() {
            thread::sleep(FLUSH_POLL_INTERVAL.to_duration());
        }
    }
}

fn start(process: &'static str, host: &HostId, target: Target) -> LogRevision {
    let revision = LogRevision::default();
    let logged_revision = revision.clone();
    let host = host.to_string();
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let started = env_logger::Builder::from_env(environment)
        .target(target)
        .format(move |buf, record| write_line(buf, record, process, &host, &logged_revision))
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
    revision
}

/// The revision of the document in force, which log lines include.
#[derive(Debug, Clone, Default)]
pub struct LogRevision(Arc<AtomicU64>);

impl LogRevision {
    /// Sets the revision of later lines.
    pub fn set(&self, revision: Revision) {
        self.0.store(revision.0, Ordering::Relaxed);
    }

    fn get(&self) -> Option<u64> {
        Some(self.0.load(Ordering::Relaxed)).filter(|revision| *revision > 0)
    }
}

fn write_line(
    buf: &mut Formatter,
    record: &Record<'_>,
    process: &str,
    host: &str,
    revision: &LogRevision,
) -> std::io::Result<()> {
    let mut fields = Fields(Map::new());
    let time = Clock::system().now();
    fields.put("time_ms", Json::from(time.0));
    fields.put("level", Json::from(record.level().as_str()));
    fields.put("process", Json::from(process));
    fields.put("host", Json::from(host));
    if let Some(revision) = revision.get() {
        fields.put("revision", Json::from(revision));
    }
    fields.put("message", Json::from(record.args().to_string()));
    let visited = record.key_values().visit(&mut fields);
    if visited.is_err() {
        fields.put("unreadable_fields", Json::from(true));
    }
    serde_json::to_writer(&mut *buf, &fields.0)?;
    buf.write_all(b"\n")
}

struct Fields(Map<String, Json>);

impl Fields {
    fn put(&mut self, key: &str, value: Json) {
        self.0.insert(key.to_owned(), value);
    }
}

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| Json::from(value.to_string()));
        self.put(key.as_str(), json);
        Ok(())
    }
}

/// Queues lines for the thread that writes them.
#[derive(Debug)]
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    queued: QueuedLines,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    fn start() -> Self {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let queued = QueuedLines::default();
        let unwritten = queued.clone();
        let started = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &counter, &unwritten));
        if let Err(e) = started {
            eprintln!("log lines are not written: {e}");
        }
        Self {
            lines: tx,
            queued,
            dropped,
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.queued.0.fetch_add(1, Ordering::Relaxed);
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.queued.0.fetch_sub(1, Ordering::Relaxed);
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue is closed, and reports the number of dropped lines.
fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64, queued: &QueuedLines) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        let written = match dropped_lines {
            0 => out.write_all(&line),
            dropped_lines => writeln!(
                out,
                "{{\"message\":\"log lines dropped\",\"count\":{dropped_lines}}}"
            )
            .and_then(|()| out.write_all(&line)),
        };
        // Without standard output, the failure cannot be reported anywhere.
        if written.is_err() {
            return;
        }
        queued.0.fetch_sub(1, Ordering::Release);
    }
}
