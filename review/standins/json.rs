//! Minimal JSON values, as the calls of the key-value service carry them.

use std::{collections::BTreeMap, fmt};

/// JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Member of a table; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(flag: bool) -> Self {
        Json::Bool(flag)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Self {
        Json::List(list)
    }
}

/// Builds a table.
pub fn table<const N: usize>(members: [(&str, Json); N]) -> Json {
    Json::Table(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(flag) => write!(f, "{flag}"),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(list) => {
                f.write_str("[")?;
                for (idx, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if idx == 0 { "" } else { "," })?;
                }
                f.write_str("]")
            }
            Json::Table(table) => {
                f.write_str("{")?;
                for (idx, (name, value)) in table.iter().enumerate() {
                    f.write_str(if idx == 0 { "" } else { "," })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for it in text.chars() {
        match it {
            '"' | '\\' => write!(f, "\\{it}")?,
            it if (it as u32) < 0x20 => write!(f, "\\u{:04x}", it as u32)?,
            it => write!(f, "{it}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a value. None if the text is no JSON.
pub fn parse(text: &str) -> Option<Json> {
    let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next_is(&mut self, byte: u8) -> bool {
        self.skip_space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.bytes.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.text().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !self.next_is(b']') {
                    if !list.is_empty() && !self.next_is(b',') {
                        return None;
                    }
                    list.push(self.value()?);
                }
                Some(Json::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                while !self.next_is(b'}') {
                    if !table.is_empty() && !self.next_is(b',') {
                        return None;
                    }
                    self.skip_space();
                    let name = self.text()?;
                    if !self.next_is(b':') {
                        return None;
                    }
                    table.insert(name, self.value()?);
                }
                Some(Json::Table(table))
            }
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        if self.bytes.get(self.at)? != &b'"' {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b'r' => text.push(b'\r'),
                        b't' => text.push(b'\t'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buf = [0; 4];
                            text.extend(char::from_u32(code)?.encode_utf8(&mut buf).bytes());
                        }
                        other => text.push(other),
                    }
                }
                byte => text.push(byte),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, it| word << 8 | u32::from(*it));
        let word = word << (8 * (3 - chunk.len()));
        for idx in 0..4 {
            let digit = ALPHABET[(word >> (18 - 6 * idx) & 63) as usize];
            text.push(if idx <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Decodes base64 with padding.
pub fn base64_decode(text: &str) -> Option<Vec<u8>> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0_u32, 0);
    for it in text.bytes().filter(|it| *it != b'=') {
        word = word << 6 | ALPHABET.iter().position(|digit| *digit == it)? as u32;
        bits += 6;
        if 8 <= bits {
            bits -= 8;
            bytes.push((word >> bits & 0xff) as u8);
        }
    }
    Some(bytes)
}
