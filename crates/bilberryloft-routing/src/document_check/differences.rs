//! Differences between two documents, by the names of routes, services and teams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::document::Document;

/// How an object differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// Only the new document has it.
    Added,
    /// Only the old document has it.
    Removed,
    /// Both have it, with different values.
    Changed,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Difference {
    /// What differs, such as `route "a"`.
    pub object: String,
    /// How it differs.
    pub kind: DifferenceKind,
    /// The fields that differ, with the old and the new value. Keys of teams are only counted.
    pub fields: Vec<String>,
}

/// Finds the differences of a document from the one before it.
pub fn find_differences(before: &Document, after: &Document) -> Vec<Difference> {
    let (before, after) = (objects(before), objects(after));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let difference = |name: &String| {
        let (kind, fields) = match (before.get(name), after.get(name)) {
            (Some(before), Some(after)) => (DifferenceKind::Changed, changed(before, after)),
            (None, _) => (DifferenceKind::Added, Vec::new()),
            (_, None) => (DifferenceKind::Removed, Vec::new()),
        };
        Difference { object: name.clone(), kind, fields }
    };
    let differences = names.into_iter().map(difference);
    differences.filter(|it| it.kind != DifferenceKind::Changed || !it.fields.is_empty()).collect()
}

/// Returns the fields of each object of a document.
fn objects(document: &Document) -> BTreeMap<String, Value> {
    let mut objects = BTreeMap::new();
    for route in &document.routes {
        objects.insert(format!("route {:?}", route.name), value(route));
    }
    for service in &document.services {
        objects.insert(format!("service {:?}", service.name), value(service));
    }
    for team in document.teams.iter().flatten() {
        objects.insert(format!("team {:?}", team.name), value(team));
    }
    objects.insert("limits".to_string(), value(&document.limits));
    objects.insert("teams".to_string(), value(&NeedsKeys { needs_keys: document.teams.is_some() }));
    objects
}

/// Whether callers need keys.
#[derive(Serialize)]
struct NeedsKeys {
    needs_keys: bool,
}

fn value(object: &impl Serialize) -> Value {
    // The objects have no maps with keys that are not strings, so this cannot fail.
    serde_json::to_value(object).unwrap_or_default()
}

fn changed(before: &Value, after: &Value) -> Vec<String> {
    let (Value::Object(before), Value::Object(after)) = (before, after) else {
        return Vec::new();
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let field = |name: &String| {
        let (before, after) = (before.get(name), after.get(name));
        (before != after).then(|| match name.as_str() {
            "keys" => format!("keys: {} -> {}", count(before), count(after)),
            _ => format!("{name}: {} -> {}", text(before), text(after)),
        })
    };
    names.into_iter().filter_map(field).collect()
}

fn count(keys: Option<&Value>) -> usize {
    keys.and_then(Value::as_array).map_or(0, Vec::len)
}

fn text(value: Option<&Value>) -> String {
    value.map_or("none".to_string(), Value::to_string)
}
