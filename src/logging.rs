//! Structured log lines on standard output that never hold the process up.
//!
//! Lines go through a bounded queue to a thread that writes them. When nobody reads standard output the queue fills,
//! further lines are dropped, and the next line that fits is preceded by one that tells how many were.

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

/// How many lines may wait: some seconds of a burst, under a megabyte.
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
        // Standard output is gone, and with it the only place to tell.
        if out.write_all(&line).is_err() {
            return;
        }
    }
}

impl Append for QueuedStdout {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let is_told = dropped == 0 || {
            let notice = format!("{{\"message\":\"log lines dropped\",\"count\":{dropped}}}");
            self.queue.try_send(notice.into_bytes()).is_ok()
        };
        if !is_told {
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

/// Starts logging for the process.
pub(crate) fn start() {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&lines));
    let stdout = QueuedStdout { layout: JsonLayout::default(), queue, dropped: AtomicU64::new(0) };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(stdout)
        })
        .apply();
}
