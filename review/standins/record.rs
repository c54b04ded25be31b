//! Record of what was sent, answered and run.

use std::{
    fmt::Write as _,
    fs, io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Record that several threads write to.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    text: Arc<Mutex<String>>,
}

impl Record {
    pub fn open() -> Self {
        Self { started_at: Instant::now(), text: Arc::default() }
    }

    /// Time since the record was opened.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn add(&self, line: &str) {
        let mut text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(text, "{:9.3} s  {line}", self.now().as_secs_f64());
    }

    pub fn write(&self, path: &str) -> io::Result<()> {
        fs::write(path, self.text.lock().unwrap_or_else(PoisonError::into_inner).as_bytes())
    }
}
