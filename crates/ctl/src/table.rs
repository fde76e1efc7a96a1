//! Renders JSON response bodies as text: a list as a table, an object as one line for each key.

use serde_json::Value;

/// How a list in a response body is rendered as a table.
struct ListFormat {
    /// Key of the list in the body.
    key: &'static str,
    /// Paths of the columns in each row; a dot separates the keys of nested objects.
    columns: &'static [&'static str],
}

const LIST_FORMATS: [ListFormat; 9] = [
    ListFormat {
        key: "tenants",
        columns: &["name", "state", "share", "weight", "group", "quota_rps", "usage.open", "generation"],
    },
    ListFormat { key: "groups", columns: &["name", "weight", "generation"] },
    ListFormat { key: "tokens", columns: &["id", "role", "tenants", "note", "expires_ms"] },
    ListFormat { key: "engines", columns: &["name", "zone", "kind", "state", "attempts_out"] },
    ListFormat { key: "requests", columns: &["name", "class", "tenant", "age_ms", "left_ms", "state"] },
    ListFormat {
        key: "entries",
        columns: &["number", "at_ms", "who", "what.record.change.op", "what.record.change.name", "what.how"],
    },
    ListFormat { key: "shares", columns: &["tenant", "before", "after"] },
    ListFormat { key: "duties", columns: &["name", "holder", "fence", "left_ms", "note"] },
    ListFormat { key: "members", columns: &["name", "life", "address", "zone"] },
];

/// Renders a response body as text.
pub fn render(body: &Value) -> String {
    for ListFormat { key, columns } in LIST_FORMATS {
        if let Some(rows) = body[key].as_array() {
            return render_list(rows, columns);
        }
    }
    match body["shares"].as_object().or(body.as_object()) {
        Some(object) => {
            let rows: Vec<Vec<String>> =
                object.iter().map(|(key, value)| vec![key.clone(), render_cell(value)]).collect();
            align(&rows)
        }
        None => format!("{}\n", render_cell(body)),
    }
}

fn render_list(rows: &[Value], columns: &[&str]) -> String {
    let heading = |path: &&str| path.rsplit('.').next().unwrap_or(path).to_uppercase();
    let mut table: Vec<Vec<String>> = vec![columns.iter().map(heading).collect()];
    for row in rows {
        table.push(columns.iter().map(|path| render_cell(value_at(row, path))).collect());
    }
    align(&table)
}

fn render_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Number(number) => match number.as_f64() {
            Some(float) if !number.is_i64() && !number.is_u64() => format!("{float:.4}"),
            _ => number.to_string(),
        },
        other => other.to_string(),
    }
}

fn value_at<'a>(row: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(row, |value, key| &value[key])
}

/// Pads the cells so that the columns are aligned.
fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests;
