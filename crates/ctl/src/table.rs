//! JSON as tables for people: a list becomes a table, an object a list of its keys.

use serde_json::Value;

/// The lists that answers hold, and the columns that are shown of them; a dot goes into an object.
const LISTS: [(&str, &[&str]); 9] = [
    ("tenants", &["name", "state", "share", "weight", "group", "quota_rps", "usage.open", "generation"]),
    ("groups", &["name", "weight", "generation"]),
    ("tokens", &["id", "role", "tenants", "note", "expires_ms"]),
    ("engines", &["name", "zone", "kind", "state", "attempts_out"]),
    ("requests", &["name", "class", "tenant", "age_ms", "left_ms", "state"]),
    ("entries", &["number", "at_ms", "who", "what.record.change.op", "what.record.change.name", "what.how"]),
    ("shares", &["tenant", "before", "after"]),
    ("duties", &["name", "holder", "fence", "left_ms", "note"]),
    ("members", &["name", "life", "address", "zone"]),
];

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64().filter(|_| !number.is_i64() && !number.is_u64()) {
            Some(number) => format!("{number:.4}"),
            None => number.to_string(),
        },
        other => other.to_string(),
    }
}

fn at<'a>(row: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(row, |value, key| &value[key])
}

fn aligned(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}

/// An answer for people.
pub fn show(answer: &Value) -> String {
    for (key, columns) in LISTS {
        if let Some(rows) = answer[key].as_array() {
            let head = columns.iter().map(|path| path.rsplit('.').next().unwrap_or(path).to_uppercase());
            let mut table = vec![head.collect::<Vec<_>>()];
            table.extend(rows.iter().map(|row| columns.iter().map(|path| cell(at(row, path))).collect()));
            return aligned(&table);
        }
    }
    let shares = answer["shares"].as_object();
    match shares.or(answer.as_object()) {
        Some(object) => {
            aligned(&object.iter().map(|(key, value)| vec![key.clone(), cell(value)]).collect::<Vec<_>>())
        }
        None => format!("{}\n", cell(answer)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_list_is_a_table_and_an_object_its_keys() {
        let list =
            json!({"tenants": [{"name": "a", "state": "active", "share": 0.25, "usage": {"open": 3}}]});
        let shown = show(&list);
        let lines: Vec<&str> = shown.lines().collect();
        assert_eq!(lines.len(), 2);
        assert_eq!(lines[0].split_whitespace().next(), Some("NAME"));
        assert_eq!(lines[1].split_whitespace().collect::<Vec<_>>()[..3], ["a", "active", "0.2500"]);
        assert_eq!(show(&json!({"shares": {"a": 0.5}})), "a  0.5000\n");
        assert_eq!(show(&json!({"cancelled": "x"})), "cancelled  x\n");
    }
}
