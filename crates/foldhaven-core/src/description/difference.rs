//! What would change if one description took the place of another.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use super::model::Description;

/// One part that differs between two descriptions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DescriptionChange {
    /// The path of the part, such as `classes[digest].deadline`.
    pub part: String,
    /// The value before, as JSON; absent when the part is new.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The value after, as JSON; absent when the part is gone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl fmt::Display for DescriptionChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ {}: {before} -> {after}", self.part)
            }
            (None, Some(after)) => write!(formatter, "+ {}: {after}", self.part),
            (Some(before), None) => write!(formatter, "- {}: {before}", self.part),
            (None, None) => write!(formatter, "  {}", self.part),
        }
    }
}

/// Lists the parts that differ, in the order of their paths; the generation and parent are left
/// out, since each edit changes them.
pub fn describe_changes(before: &Description, after: &Description) -> Vec<DescriptionChange> {
    let mut changes = Vec::new();
    let old = serde_json::to_value(before).expect("a description is JSON");
    let new = serde_json::to_value(after).expect("a description is JSON");
    compare_values(String::new(), Some(&old), Some(&new), &mut changes);
    changes.retain(|change| change.part != "generation" && change.part != "parent");
    changes
}

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
                let part = format!("{path}{dot}{key}");
                compare_values(part, old.get(key), new.get(key), changes);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) if is_named(old, new) => {
            let mut names: Vec<String> = old.iter().chain(new).map(part_name).collect();
            names.sort();
            names.dedup();
            for name in names {
                let find = |parts: &'_ [Value]| -> Option<Value> {
                    parts.iter().find(|part| part_name(part) == name).cloned()
                };
                let part = format!("{path}[{name}]");
                compare_values(part, find(old).as_ref(), find(new).as_ref(), changes);
            }
        }
        _ => changes.push(DescriptionChange {
            part: path,
            before: before.map(Value::to_string),
            after: after.map(Value::to_string),
        }),
    }
}

fn is_named(old: &[Value], new: &[Value]) -> bool {
    old.iter().chain(new).all(|part| !part_name(part).is_empty())
}

/// The name of a part of a list: its `name`, or model and data centre for a deployment.
fn part_name(part: &Value) -> String {
    if let Some(name) = part["name"].as_str() {
        return name.to_owned();
    }
    match (part["model"].as_str(), part["data_centre"].as_str()) {
        (Some(model), Some(centre)) => format!("{model}@{centre}"),
        _ => String::new(),
    }
}
