//! Differences between two descriptions.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use super::model::Description;

/// A value that differs between two descriptions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DescriptionChange {
    /// The path of the value, such as `classes[digest].deadline`.
    #[serde(rename = "part")]
    pub path: String,
    /// The old value as JSON, `None` if the value was added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The new value as JSON, `None` if the value was removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl fmt::Display for DescriptionChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ {}: {before} -> {after}", self.path)
            }
            (None, Some(after)) => write!(formatter, "+ {}: {after}", self.path),
            (Some(before), None) => write!(formatter, "- {}: {before}", self.path),
            (None, None) => write!(formatter, "  {}", self.path),
        }
    }
}

/// Returns the values that differ, ordered by path. The generation and the parent are left out,
/// since each edit changes them.
pub fn describe_changes(before: &Description, after: &Description) -> Vec<DescriptionChange> {
    let mut changes = Vec::new();
    let old = serde_json::to_value(before).expect("a description serializes to JSON");
    let new = serde_json::to_value(after).expect("a description serializes to JSON");
    compare_values(String::new(), Some(&old), Some(&new), &mut changes);
    changes.retain(|change| change.path != "generation" && change.path != "parent");
    changes
}

/// Appends the differences between two values at `path` to `changes`.
fn compare_values(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<DescriptionChange>,
) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let dot = if path.is_empty() { "" } else { "." };
                let field_path = format!("{path}{dot}{key}");
                compare_values(field_path, old.get(key), new.get(key), changes);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) if have_named_items(old, new) => {
            let mut names: Vec<String> = old.iter().chain(new).map(item_name).collect();
            names.sort();
            names.dedup();
            for name in names {
                let find = |items: &'_ [Value]| -> Option<Value> {
                    items.iter().find(|item| item_name(item) == name).cloned()
                };
                let item_path = format!("{path}[{name}]");
                compare_values(item_path, find(old).as_ref(), find(new).as_ref(), changes);
            }
        }
        _ => changes.push(DescriptionChange {
            path,
            before: before.map(Value::to_string),
            after: after.map(Value::to_string),
        }),
    }
}

/// Returns whether all items of two lists have names, so that they can be matched by name.
fn have_named_items(old: &[Value], new: &[Value]) -> bool {
    old.iter().chain(new).all(|item| !item_name(item).is_empty())
}

/// Returns the name of a list item: its `name`, or model and data centre for a deployment. Empty if
/// it has neither.
fn item_name(item: &Value) -> String {
    if let Some(name) = item["name"].as_str() {
        return name.to_owned();
    }
    match (item["model"].as_str(), item["data_centre"].as_str()) {
        (Some(model), Some(centre)) => format!("{model}@{centre}"),
        _ => String::new(),
    }
}
