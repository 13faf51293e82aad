//! The record of a run: what was sent, answered and run, with times from its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:8.3} {}", self.now().as_secs_f64(), text.as_ref());
    }

    /// A line of the outcome, which is also printed.
    pub fn outcome(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
