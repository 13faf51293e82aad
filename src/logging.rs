//! Structured logging to standard output that never blocks the process.
//!
//! Lines go through a bounded queue to a writer thread. If standard output is not read, the queue fills and further
//! lines are dropped; the next line that fits is preceded by one with the number of dropped lines.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

use logforth::{
    Append, Diagnostic, Error, Layout,
    layout::JsonLayout,
    record::{Level, LevelFilter, Record},
};

/// The capacity of the queue, in lines: a burst of some seconds, less than a megabyte.
const QUEUE_LINES: usize = 2_048;

#[derive(Debug)]
struct QueuedStdout {
    layout: JsonLayout,
    queue: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(mut line) = lines.recv() {
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
            self.queue.try_send(notice.into_bytes()).is_ok()
        };
        if !is_reported {
            self.dropped.fetch_add(dropped, Ordering::Relaxed);
        }
        if self.queue.try_send(line).is_err() {
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
    let (queue, lines) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&lines));
    let stdout = QueuedStdout { layout: JsonLayout::default(), queue, dropped: AtomicU64::new(0) };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(stdout)
        })
        .apply();
}
