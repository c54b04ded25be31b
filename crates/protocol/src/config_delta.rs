//! Difference of two configuration documents by item.
//!
//! A document consists of lists of items with ids. A node sends a change to
//! another as its changed items. The receiver checks the digest of the result
//! and requests the whole document on a mismatch.

use citrongw_state::config::Config;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Change of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChange {
    /// List of the item, such as `profiles`.
    pub list: String,
    /// Id of the item.
    pub id: String,
    /// Item before the change, as JSON. None if it was added.
    pub before: Option<String>,
    /// Item after the change, as JSON. None if it was removed.
    pub after: Option<String>,
}

/// Returns the changes that turn `before` into `after`.
pub fn diff(before: &Config, after: &Config) -> Vec<ItemChange> {
    let (before, after) = (lists(before), lists(after));
    let mut changes = Vec::new();
    for (list, items) in &after {
        let old = before.get(list);
        let old = old.and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
        let new = items.as_array().map(Vec::as_slice).unwrap_or_default();
        diff_list(list, old, new, &mut changes);
    }
    changes
}

/// Applies changes to a document. None if they do not match the document.
pub fn apply(base: &Config, changes: &[ItemChange]) -> Option<Config> {
    let mut lists = lists(base);
    for change in changes {
        let items = lists.get_mut(&change.list)?.as_array_mut()?;
        let position = items.iter().position(|it| id_of(it) == change.id);
        let after = match &change.after {
            Some(text) => Some(serde_json::from_str(text).ok()?),
            None => None,
        };
        match (position, after) {
            (Some(idx), Some(item)) => items[idx] = item,
            (Some(idx), None) => drop(items.remove(idx)),
            (None, Some(item)) => items.push(item),
            (None, None) => return None,
        }
    }
    serde_json::from_value(Value::Object(lists)).ok()
}

fn lists(config: &Config) -> Map<String, Value> {
    match serde_json::to_value(config) {
        Ok(Value::Object(lists)) => lists,
        _ => Map::new(),
    }
}

fn diff_list(list: &str, old: &[Value], new: &[Value], changes: &mut Vec<ItemChange>) {
    let find = |items: &[Value], id: &str| items.iter().find(|it| id_of(it) == id).cloned();
    for item in old {
        let id = id_of(item);
        if find(new, id).is_none() {
            changes.push(item_change(list, id, Some(item), None));
        }
    }
    for item in new {
        let id = id_of(item);
        let before = find(old, id);
        if before.as_ref() != Some(item) {
            changes.push(item_change(list, id, before.as_ref(), Some(item)));
        }
    }
}

fn item_change(list: &str, id: &str, before: Option<&Value>, after: Option<&Value>) -> ItemChange {
    ItemChange {
        list: list.to_owned(),
        id: id.to_owned(),
        before: before.map(Value::to_string),
        after: after.map(Value::to_string),
    }
}

fn id_of(item: &Value) -> &str {
    item["id"].as_str().unwrap_or_default()
}

#[cfg(test)]
mod tests;
