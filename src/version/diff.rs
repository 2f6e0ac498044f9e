//! The differences between two merged documents.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::version::merge::child_path;

/// A value that differs between the documents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// A JSON pointer to the value.
    pub path: String,
    /// The old value; `None` if the value was added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<Value>,
    /// The new value; `None` if the value was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<Value>,
}

/// Lists the changes from one document to another.
///
/// Objects are compared member by member in the order of their keys, arrays and other values as a
/// whole.
pub fn diff(old: &Value, new: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    collect_changes("", Some(old), Some(new), &mut changes);
    changes
}

fn collect_changes(
    path: &str,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    if old == new {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (old, new) {
        let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            collect_changes(&child_path(path, key), old.get(key), new.get(key), changes);
        }
        return;
    }
    changes.push(Change {
        path: path.to_string(),
        old: old.cloned(),
        new: new.cloned(),
    });
}
