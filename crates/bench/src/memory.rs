//! Memory of this process as reported by the operating system.

/// Size of a memory page.
const PAGE_BYTES: u64 = 4096;

/// Resident set size, or zero where the system doesn't report it.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
