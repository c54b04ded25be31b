//! Record of a case: what was sent, answered and run.

use std::{fmt::Display, fs, io::Write as _, path::Path, sync::Mutex, time::Instant};

pub struct Record {
    file: Mutex<fs::File>,
    begun_at: Instant,
}

impl Record {
    pub fn open(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt")).expect("no record");
        Self { file: Mutex::new(file), begun_at: Instant::now() }
    }

    pub fn add(&self, line: impl Display) {
        let at = self.begun_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {line}");
    }
}
