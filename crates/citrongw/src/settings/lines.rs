//! Line numbers of sections and keys in a settings file.

/// Line with a section header or a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Line {
    /// Line number, from 1.
    pub(super) number: usize,
    /// Section that the line opens or belongs to.
    pub(super) section: String,
    /// Key and value; `None` for a section header.
    pub(super) entry: Option<Entry>,
}

/// Key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entry {
    /// Key, trimmed.
    pub(super) key: String,
    /// Value, trimmed.
    pub(super) value: String,
}

/// Lists all section headers and keys with their line numbers.
pub(super) fn read(text: &str) -> Vec<Line> {
    let mut found = Vec::new();
    let mut section = String::new();
    for (idx, line) in text.lines().enumerate() {
        let (number, line) = (idx + 1, line.trim());
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|it| it.strip_suffix(']')) {
            name.trim().clone_into(&mut section);
            found.push(Line { number, section: section.clone(), entry: None });
            continue;
        }
        let (key, value) = line.split_once(['=', ':']).unwrap_or((line, ""));
        let entry = Entry { key: key.trim().to_owned(), value: value.trim().to_owned() };
        found.push(Line { number, section: section.clone(), entry: Some(entry) });
    }
    found
}
