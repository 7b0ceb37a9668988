//! Log lines as JSON.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

use carawayseam_types::{Clock, HostId, Revision};
use env_logger::fmt::{Formatter, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};

const DEFAULT_FILTER: &str = "info";
/// Lines that wait to be written.
const QUEUED_LINES: usize = 1_024;

/// Starts logging to standard error, one JSON object a line.
///
/// The environment variable `RUST_LOG` filters as usual; the default is `info`.
///
/// Each line names the revision that the handle was last told, once there is one.
#[must_use = "lines name a revision only once the handle is told one"]
pub fn init_logging(process: &'static str, host: &HostId) -> LogRevision {
    start(process, host, Target::Stderr)
}

/// Starts logging to standard output, one JSON object a line, without ever blocking.
///
/// A thread writes the lines. When it falls behind, lines are dropped and counted.
#[must_use = "lines name a revision only once the handle is told one"]
pub fn init_stdout_logging(process: &'static str, host: &HostId) -> LogRevision {
    start(process, host, Target::Pipe(Box::new(LineQueue::start())))
}

fn start(process: &'static str, host: &HostId, target: Target) -> LogRevision {
    let revision = LogRevision::default();
    let told = revision.clone();
    let host = host.to_string();
    let environment = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let started = env_logger::Builder::from_env(environment)
        .target(target)
        .format(move |buf, record| write_line(buf, record, process, &host, &told))
        .try_init();
    if started.is_err() {
        log::debug!("logging was started before");
    }
    revision
}

/// The revision of the document in force, as log lines name it.
#[derive(Debug, Clone, Default)]
pub struct LogRevision(Arc<AtomicU64>);

impl LogRevision {
    /// Lets later lines name this revision.
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

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    fn start() -> Self {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        let started = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx, &counter));
        if let Err(e) = started {
            eprintln!("log lines are not written: {e}");
        }
        Self { lines: tx, dropped }
    }
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the queue ends, and says how many were dropped.
fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(line) = lines.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        let written = match lost {
            0 => out.write_all(&line),
            lost => writeln!(out, "{{\"message\":\"log lines dropped\",\"count\":{lost}}}")
                .and_then(|()| out.write_all(&line)),
        };
        // Nowhere is left to say that standard output is gone.
        if written.is_err() {
            return;
        }
    }
}
