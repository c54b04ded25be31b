//! Reads values of an INI file and collects the faults.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use citrongw_state::config::KeyDigest;
use derive_more::Display;
use ini::Ini;

const ADDR_ALLOWED: &str = "IP address and port";
const DIGEST_ALLOWED: &str = "64 hexadecimal digits, from citrongwctl digest";
const DURATION_ALLOWED: &str = "a duration such as 500ms";
const NAME_ALLOWED: &str = "a name without blanks";

/// Length of a digest in hexadecimal.
const DIGEST_DIGITS: usize = 64;

/// Fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// The file is not INI.
    #[display("line {line}: {message}")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// What is wrong.
        message: String,
    },
    /// A key must be there.
    #[display("[{section}] {key}: missing, allowed: {allowed}")]
    Missing {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// What is allowed.
        allowed: String,
    },
    /// A value is not allowed.
    #[display("[{section}] {key}, line {line}: value {value:?}, allowed: {allowed}")]
    Value {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Line, from 1.
        line: usize,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// No setting has this key.
    #[display("[{section}] {key}, line {line}: unknown key")]
    Unknown {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Line, from 1.
        line: usize,
    },
}

/// Reader of one file.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    ini: Ini,
    used: BTreeSet<(String, String)>,
    faults: Vec<Fault>,
}

/// Opens a reader.
pub fn open(text: &str) -> Result<Reader<'_>, Vec<Fault>> {
    let ini = Ini::load_from_str(text).map_err(|error| {
        vec![Fault::Syntax { line: error.line, message: error.msg.to_string() }]
    })?;
    Ok(Reader { text, ini, used: BTreeSet::new(), faults: Vec::new() })
}

impl Reader<'_> {
    /// A name; required.
    pub fn name(&mut self, section: &str, key: &str) -> String {
        let parse =
            |it: &str| (!it.is_empty() && !it.contains(char::is_whitespace)).then(|| it.to_owned());
        self.required(section, key, NAME_ALLOWED, parse).unwrap_or_default()
    }

    /// An address; required.
    pub fn addr(&mut self, section: &str, key: &str) -> SocketAddr {
        let unset = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        self.required(section, key, ADDR_ALLOWED, |it| it.parse().ok()).unwrap_or(unset)
    }

    /// A duration.
    pub fn duration(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let parse = |it: &str| humantime::parse_duration(it).ok();
        self.optional(section, key, DURATION_ALLOWED, parse).unwrap_or(default)
    }

    /// A digest of a key or token.
    pub fn digest(&mut self, section: &str, key: &str) -> Option<KeyDigest> {
        let hexadecimal = |it: &str| it.chars().all(|digit| digit.is_ascii_hexdigit());
        let parse = |it: &str| {
            (it.len() == DIGEST_DIGITS && hexadecimal(it)).then(|| KeyDigest(it.to_lowercase()))
        };
        self.optional(section, key, DIGEST_ALLOWED, parse)
    }

    /// Any text.
    pub fn text(&mut self, section: &str, key: &str, default: &str) -> String {
        let value = self.optional(section, key, "any text", |it| Some(it.to_owned()));
        value.unwrap_or_else(|| default.to_owned())
    }

    /// Value of a key that must be there.
    pub fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.ini.get_from(Some(section), key).is_none() {
            self.faults.push(Fault::Missing {
                section: section.to_owned(),
                key: key.to_owned(),
                allowed: allowed.to_owned(),
            });
        }
        self.optional(section, key, allowed, parse)
    }

    /// Value of a key that may be there.
    pub fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.used.insert((section.to_owned(), key.to_owned()));
        let value = self.ini.get_from(Some(section), key)?.to_owned();
        let parsed = parse(&value);
        if parsed.is_none() {
            self.faults.push(Fault::Value {
                section: section.to_owned(),
                key: key.to_owned(),
                line: line_of(self.text, section, key),
                value,
                allowed: allowed.to_owned(),
            });
        }
        parsed
    }

    /// Ends the reading with the faults found, unknown keys among them.
    pub fn finish(mut self) -> Result<(), Vec<Fault>> {
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default().to_owned();
            for (key, _) in properties {
                if !self.used.contains(&(section.clone(), key.to_owned())) {
                    let line = line_of(self.text, &section, key);
                    let key = key.to_owned();
                    self.faults.push(Fault::Unknown { section: section.clone(), key, line });
                }
            }
        }
        if self.faults.is_empty() { Ok(()) } else { Err(self.faults) }
    }
}

/// Line of a key, from 1; 0 if it is not there.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    for (idx, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|it| it.strip_suffix(']')) {
            current = name.trim();
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        if current == section && name == key {
            return idx + 1;
        }
    }
    0
}
