//! Fields of a profile as `key=value` pairs, and differences between documents.

use std::{convert::Infallible, path::Path, str::FromStr};

use citrongw_protocol::config_delta::ItemChange;
use citrongw_state::{config::Profile, id::ProfileId};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::error::{Result, could_not, failed};

/// One `key=value` pair; an empty or missing value removes the field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Pair {
    key: String,
    value: Option<String>,
}

impl FromStr for Pair {
    type Err = Infallible;

    fn from_str(text: &str) -> std::result::Result<Self, Infallible> {
        let (key, value) = text.split_once('=').unwrap_or((text, ""));
        let value = (!value.is_empty()).then(|| value.to_owned());
        Ok(Self { key: key.to_owned(), value })
    }
}

/// Builds a profile from `base`, overridden by the fields of a file and then by
/// the pairs.
pub(crate) fn profile(
    id: &ProfileId,
    base: Option<&Profile>,
    file: Option<&Path>,
    pairs: &[Pair],
) -> Result<Profile> {
    let mut fields = base.map(to_object).unwrap_or_default();
    if let Some(path) = file {
        fields.extend(read_fields(path)?);
    }
    for pair in pairs {
        match &pair.value {
            Some(value) => fields.insert(pair.key.clone(), field_value(value)),
            None => fields.remove(&pair.key),
        };
    }
    fields.insert("id".to_owned(), Value::from(id.as_str()));
    serde_json::from_value(Value::Object(fields))
        .map_err(|error| failed(format!("profile {id} is not valid: {error}")))
}

fn read_fields(path: &Path) -> Result<Map<String, Value>> {
    let cause = |error: &dyn std::fmt::Display| could_not("read fields", path.display(), error);
    let text = std::fs::read_to_string(path).map_err(|error| cause(&error))?;
    serde_json::from_str(&text).map_err(|error| cause(&error))
}

/// Value of a field: parsed as JSON if possible, else a string.
fn field_value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::from(text))
}

fn to_object<T: Serialize>(value: &T) -> Map<String, Value> {
    match serde_json::to_value(value) {
        Ok(Value::Object(fields)) => fields,
        _ => Map::new(),
    }
}

/// Difference lines of the changed items of one side of a conflict.
pub(crate) fn item_lines(changes: &[ItemChange]) -> Vec<String> {
    let value = |text: &Option<String>| {
        text.as_ref().and_then(|it| serde_json::from_str(it).ok()).unwrap_or(Value::Null)
    };
    let mut lines = Vec::new();
    for it in changes {
        let path = join(&it.list, &it.id);
        compare(&path, &value(&it.before), &value(&it.after), &mut lines);
    }
    lines
}

/// Lines with the path and both values of each difference of two documents.
pub(crate) fn differences<T: Serialize>(before: &T, after: &T) -> Vec<String> {
    let before = serde_json::to_value(before).unwrap_or_default();
    let after = serde_json::to_value(after).unwrap_or_default();
    let mut lines = Vec::new();
    compare("", &before, &after, &mut lines);
    lines
}

fn compare(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Value::Object(old), Value::Object(new)) => {
            let keys: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let null = Value::Null;
                let old = old.get(key).unwrap_or(&null);
                compare(&join(path, key), old, new.get(key).unwrap_or(&null), lines);
            }
        }
        (Value::Array(old), Value::Array(new)) => compare_lists(path, old, new, lines),
        _ => lines.push(format!("{path}: {} -> {}", display_value(before), display_value(after))),
    }
}

/// Compares lists item by item if every item has an `id`, else as a whole.
fn compare_lists(path: &str, before: &[Value], after: &[Value], lines: &mut Vec<String>) {
    let id_of = |item: &Value| item.get("id").and_then(Value::as_str).map(str::to_owned);
    if before.iter().chain(after).any(|it| id_of(it).is_none()) {
        let list = |items: &[Value]| display_value(&Value::from(items.to_vec()));
        lines.push(format!("{path}: {} -> {}", list(before), list(after)));
        return;
    }
    let find = |items: &[Value], id: &str| {
        items.iter().find(|it| id_of(it).as_deref() == Some(id)).cloned().unwrap_or_default()
    };
    let ids: std::collections::BTreeSet<String> =
        before.iter().chain(after).filter_map(id_of).collect();
    for id in ids {
        compare(&join(path, &id), &find(before, &id), &find(after, &id), lines);
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn display_value(value: &Value) -> String {
    match value {
        Value::Null => "(none)".to_owned(),
        _ => value.to_string(),
    }
}

#[cfg(test)]
mod tests;
