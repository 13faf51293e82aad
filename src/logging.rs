//! Structured logging to standard output that never blocks the process.
//!
//! Lines go through a bounded queue to a writer thread. If standard output is not read, the queue fills and further
//! lines are dropped; the next line that fits is preceded by one with the number of dropped lines.

use std::{
    io::Write,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, Sender, SyncSender, channel, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use logforth::{
    Append, Diagnostic, Error, Layout,
    layout::JsonLayout,
    record::{Level, LevelFilter, Record},
};

/// The capacity of the queue, in lines: a burst of some seconds, less than a megabyte.
const QUEUE_LINES: usize = 2_048;

/// How long an exit waits for the lines that are queued, and the pause between its attempts to queue its own request.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// The queue of the process, for [`flush`].
static QUEUE: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

#[derive(Debug)]
enum QueueItem {
    Line(Vec<u8>),
    /// Sent back once all lines before it are written.
    Flush(Sender<()>),
}

#[derive(Debug)]
struct QueuedStdout {
    layout: JsonLayout,
    queue: SyncSender<QueueItem>,
    dropped: AtomicU64,
}

fn write_lines(items: &Receiver<QueueItem>) {
    let mut out = std::io::stdout();
    while let Ok(item) = items.recv() {
        let mut line = match item {
            QueueItem::Line(line) => line,
            QueueItem::Flush(done) => {
                // The exit has not waited for it.
                let _ = done.send(());
                continue;
            }
        };
        line.push(b'\n');
        // Standard output is closed, and there is nowhere else to report it.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}

impl Append for QueuedStdout {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let is_reported = dropped == 0 || {
            let notice = format!("{{\"message\":\"log lines dropped\",\"count\":{dropped}}}");
            self.queue.try_send(QueueItem::Line(notice.into_bytes())).is_ok()
        };
        if !is_reported {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if self.queue.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Installs the global logger.
pub(crate) fn init() {
    let (queue, items) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&items));
    QUEUE.get_or_init(|| queue.clone());
    let stdout = QueuedStdout { layout: JsonLayout::default(), queue, dropped: AtomicU64::new(0) };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(stdout)
        })
        .apply();
}

/// Waits until the lines so far are written, for a short time at most: the exit of the process discards the others, and the last
/// ones tell how it ended.
pub(crate) fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let until = Instant::now() + FLUSH_TIMEOUT;
    let (done, written) = channel();
    while queue.try_send(QueueItem::Flush(done.clone())).is_err() {
        if Instant::now() >= until {
            return;
        }
        thread::sleep(FLUSH_PAUSE);
    }
    // Standard output is not read in time, or is closed; the process exits all the same.
    let _ = written.recv_timeout(until.saturating_duration_since(Instant::now()));
}
