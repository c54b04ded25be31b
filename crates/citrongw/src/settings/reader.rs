//! Reads values of an INI file and collects all faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use citrongw_state::{config::KeyDigest, objective::Objective};
use derive_more::Display;
use ini::Ini;

use super::lines::{self, Entry, Line};
use crate::error;

const ADDR_ALLOWED: &str = "IP address and port";
const DIGEST_ALLOWED: &str = "64 hexadecimal digits, from citrongwctl digest";
const ADDRS_ALLOWED: &str = "IP addresses and ports with commas between them";
const SECRETS_ALLOWED: &str = "secrets of 16 characters or more with commas between them";
/// Minimum length of a secret.
const MIN_SECRET_CHARS: usize = 16;
const DURATION_ALLOWED: &str = "a duration such as 500ms";
const COUNT_ALLOWED: &str = "a number from 1";
const LEVEL_ALLOWED: &str = "error, warn, info, debug, trace or off, or a list of target=level";
const POSITIVE_ALLOWED: &str = "a duration above zero such as 500ms";
const OBJECTIVE_ALLOWED: &str = "group-downtime or stranded-accelerators";
const NAME_ALLOWED: &str = "a name without blanks";

/// Allowed values of a file setting.
pub(super) const FILE_ALLOWED: &str = "path of a PEM file";
/// Log levels.
const LEVELS: [&str; 6] = ["error", "warn", "info", "debug", "trace", "off"];

/// Length of a hexadecimal digest.
const DIGEST_DIGITS: usize = 64;

/// Fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// The file is not valid INI.
    #[display("line {line}: {message}")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// Description of the syntax error.
        message: String,
    },
    /// A required key is missing.
    #[display("[{section}] {key}: missing, allowed: {allowed}")]
    Missing {
        /// Section name.
        section: String,
        /// Key name.
        key: String,
        /// Allowed values.
        allowed: String,
    },
    /// A value is not allowed.
    #[display("[{section}] {key}, line {line}: value {value:?}, allowed: {allowed}")]
    Value {
        /// Section name.
        section: String,
        /// Key name.
        key: String,
        /// Line number, from 1.
        line: usize,
        /// Value in the file.
        value: String,
        /// Allowed values.
        allowed: String,
    },
    /// The key is unknown.
    #[display("[{section}] {key}, line {line}: unknown key, value {value:?}, allowed: {allowed}")]
    Unknown {
        /// Section name.
        section: String,
        /// Key name.
        key: String,
        /// Line number, from 1.
        line: usize,
        /// Value in the file.
        value: String,
        /// Known keys of the section.
        allowed: String,
    },
    /// The section is unknown.
    #[display("[{section}], line {line}: unknown section, allowed: {allowed}")]
    UnknownSection {
        /// Section name.
        section: String,
        /// Line number, from 1.
        line: usize,
        /// Known sections.
        allowed: String,
    },
    /// The key occurs more than once.
    #[display(
        "[{section}] {key}, line {line}: value {value:?}, allowed: once, and line {first} has it"
    )]
    Duplicate {
        /// Section name.
        section: String,
        /// Key name.
        key: String,
        /// Line number, from 1.
        line: usize,
        /// Value in the file.
        value: String,
        /// Line of the first occurrence.
        first: usize,
    },
}

/// Reader of one file.
#[derive(Debug)]
pub struct Reader<'a> {
    ini: Ini,
    lines: Vec<Line>,
    known: BTreeMap<&'a str, BTreeSet<&'a str>>,
    faults: Vec<Fault>,
}

/// Section and key of a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingName<'a> {
    /// Section name.
    pub section: &'a str,
    /// Key name.
    pub key: &'a str,
}

/// Reads a settings file; the error lists every fault.
pub fn load<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, Vec<Fault>>) -> error::Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| error::could_not("read settings", path.display(), error))?;
    parse(&text).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let message = format!("settings have faults: {}\n{}", path.display(), faults.join("\n"));
        error_stack::Report::new(error::NodeError { message })
    })
}

/// Parses INI text and opens a reader for its values.
pub fn open<'a>(text: &str) -> Result<Reader<'a>, Vec<Fault>> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        vec![Fault::Syntax { line: error.line, message: error.msg.to_string() }]
    })?;
    let lines = lines::read(text);
    Ok(Reader { ini, lines, known: BTreeMap::new(), faults: Vec::new() })
}

impl<'a> Reader<'a> {
    /// Reads a required name without whitespace.
    pub fn name(&mut self, section: &'a str, key: &'a str) -> String {
        let parse =
            |it: &str| (!it.is_empty() && !it.contains(char::is_whitespace)).then(|| it.to_owned());
        self.required(section, key, NAME_ALLOWED, parse).unwrap_or_default()
    }

    /// Reads a required IP address and port.
    pub fn addr(&mut self, section: &'a str, key: &'a str) -> SocketAddr {
        let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        self.required(section, key, ADDR_ALLOWED, |it| it.parse().ok()).unwrap_or(unset)
    }

    /// Reads a duration.
    pub fn duration(&mut self, section: &'a str, key: &'a str, default: Duration) -> Duration {
        let parse = |it: &str| humantime::parse_duration(it).ok();
        self.optional(section, key, DURATION_ALLOWED, parse).unwrap_or(default)
    }

    /// Reads a comma-separated list of addresses.
    pub fn addrs(&mut self, section: &'a str, key: &'a str) -> Vec<SocketAddr> {
        let parse = |it: &str| it.split(',').map(|addr| addr.trim().parse().ok()).collect();
        self.optional(section, key, ADDRS_ALLOWED, parse).unwrap_or_default()
    }

    /// Reads a comma-separated list of secrets. Faults do not contain their values.
    pub fn secrets(&mut self, section: &'a str, key: &'a str) -> Vec<String> {
        let parse = |it: &str| Some(it.split(',').map(|it| it.trim().to_owned()).collect());
        let secrets: Vec<String> =
            self.optional(section, key, SECRETS_ALLOWED, parse).unwrap_or_default();
        if secrets.iter().any(|it| it.len() < MIN_SECRET_CHARS) {
            self.faults.push(Fault::Value {
                section: section.to_owned(),
                key: key.to_owned(),
                line: self.line_of(section, key),
                value: "(hidden)".to_owned(),
                allowed: SECRETS_ALLOWED.to_owned(),
            });
        }
        secrets
    }

    /// Reads the digest of a key or token.
    pub fn digest(&mut self, section: &'a str, key: &'a str) -> Option<KeyDigest> {
        let hexadecimal = |it: &str| it.chars().all(|digit| digit.is_ascii_hexdigit());
        let parse = |it: &str| {
            (it.len() == DIGEST_DIGITS && hexadecimal(it)).then(|| KeyDigest(it.to_lowercase()))
        };
        self.optional(section, key, DIGEST_ALLOWED, parse)
    }

    /// Reads a duration above zero.
    pub fn positive_duration(
        &mut self,
        section: &'a str,
        key: &'a str,
        default: Duration,
    ) -> Duration {
        let parse =
            |it: &str| humantime::parse_duration(it).ok().filter(|duration| !duration.is_zero());
        self.optional(section, key, POSITIVE_ALLOWED, parse).unwrap_or(default)
    }

    /// Reads an integer of at least 1.
    pub fn count(&mut self, section: &'a str, key: &'a str, default: usize) -> usize {
        let parse = |it: &str| it.parse().ok().filter(|count| 1 <= *count);
        self.optional(section, key, COUNT_ALLOWED, parse).unwrap_or(default)
    }

    /// Reads a file path; `None` if the key is not set.
    pub fn path(&mut self, section: &'a str, key: &'a str) -> Option<PathBuf> {
        let parse = |it: &str| (!it.is_empty()).then(|| PathBuf::from(it));
        self.optional(section, key, FILE_ALLOWED, parse)
    }

    /// Reads a log level, or a comma-separated list of `target=level`.
    pub fn log_level(&mut self, section: &'a str, key: &'a str, default: &str) -> String {
        let parse = |it: &str| it.split(',').all(is_log_directive).then(|| it.to_owned());
        self.optional(section, key, LEVEL_ALLOWED, parse).unwrap_or_else(|| default.to_owned())
    }

    /// Reads the objective of replica control.
    pub fn objective(&mut self, section: &'a str, key: &'a str) -> Objective {
        let parse = |it: &str| it.parse().ok();
        self.optional(section, key, OBJECTIVE_ALLOWED, parse).unwrap_or_default()
    }

    /// Reads any text.
    pub fn text(&mut self, section: &'a str, key: &'a str, default: &str) -> String {
        let value = self.optional(section, key, "any text", |it| Some(it.to_owned()));
        value.unwrap_or_else(|| default.to_owned())
    }

    /// Reads the value of a required key.
    pub fn required<T>(
        &mut self,
        section: &'a str,
        key: &'a str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.missing(section, key, allowed);
        }
        self.optional(section, key, allowed, parse)
    }

    /// Reads the value of an optional key.
    pub fn optional<T>(
        &mut self,
        section: &'a str,
        key: &'a str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.known.entry(section).or_default().insert(key);
        let value = self.ini.get_from(Some(section), key)?.to_owned();
        let parsed = parse(&value);
        if parsed.is_none() {
            self.faults.push(Fault::Value {
                section: section.to_owned(),
                key: key.to_owned(),
                line: self.line_of(section, key),
                value,
                allowed: allowed.to_owned(),
            });
        }
        parsed
    }

    /// Records the fault that a required key is missing.
    pub fn missing(&mut self, section: &str, key: &str, allowed: &str) {
        self.faults.push(Fault::Missing {
            section: section.to_owned(),
            key: key.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Names of the settings that have been read so far.
    pub fn names(&self) -> impl Iterator<Item = SettingName<'a>> + '_ {
        let with_section = |section: &'a str, keys: &BTreeSet<&'a str>| {
            keys.iter().map(|key| SettingName { section, key }).collect::<Vec<_>>()
        };
        self.known.iter().flat_map(move |(section, keys)| with_section(section, keys))
    }

    /// Checks for unknown and duplicate keys and unknown sections, and returns all
    /// faults.
    pub fn finish(mut self) -> Result<(), Vec<Fault>> {
        let mut seen: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for line in &self.lines {
            let Some(entry) = &line.entry else {
                self.faults.extend(self.unknown_section(line));
                continue;
            };
            let first = *seen.entry((&line.section, &entry.key)).or_insert(line.number);
            self.faults.extend(if first == line.number {
                self.unknown_key(line, entry)
            } else {
                Some(duplicate(line, entry, first))
            });
        }
        if self.faults.is_empty() { Ok(()) } else { Err(self.faults) }
    }

    fn unknown_section(&self, line: &Line) -> Option<Fault> {
        if self.known.contains_key(line.section.as_str()) {
            return None;
        }
        Some(Fault::UnknownSection {
            section: line.section.clone(),
            line: line.number,
            allowed: join(self.known.keys()),
        })
    }

    /// Returns the fault of an unknown key. Keys of unknown sections are also
    /// reported.
    fn unknown_key(&self, line: &Line, entry: &Entry) -> Option<Fault> {
        let keys = self.known.get(line.section.as_str());
        if keys.is_some_and(|it| it.contains(entry.key.as_str())) {
            return None;
        }
        Some(Fault::Unknown {
            section: line.section.clone(),
            key: entry.key.clone(),
            line: line.number,
            value: entry.value.clone(),
            allowed: keys.map_or_else(|| "none here".to_owned(), join),
        })
    }

    /// Line number of a key, from 1; 0 if the key does not occur.
    fn line_of(&self, section: &str, key: &str) -> usize {
        let is_match =
            |it: &&Line| it.section == section && it.entry.as_ref().is_some_and(|it| it.key == key);
        self.lines.iter().find(is_match).map_or(0, |it| it.number)
    }
}

fn is_log_directive(directive: &str) -> bool {
    let level = directive.split_once('=').map_or(directive, |(_, level)| level).trim();
    LEVELS.iter().any(|it| it.eq_ignore_ascii_case(level))
}

fn duplicate(line: &Line, entry: &Entry, first: usize) -> Fault {
    Fault::Duplicate {
        section: line.section.clone(),
        key: entry.key.clone(),
        line: line.number,
        value: entry.value.clone(),
        first,
    }
}

fn join<'a>(names: impl IntoIterator<Item = &'a &'a str>) -> String {
    let names: Vec<&str> = names.into_iter().copied().collect();
    names.join(", ")
}
