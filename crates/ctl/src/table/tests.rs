//! Response bodies rendered as text.

use super::*;
use serde_json::json;

#[test]
fn lists_are_rendered_as_tables_and_objects_by_key() {
    let list = json!({"tenants": [{"name": "a", "state": "active", "share": 0.25, "usage": {"open": 3}}]});
    let rendered = render(&list);
    let lines: Vec<&str> = rendered.lines().collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0].split_whitespace().next(), Some("NAME"));
    assert_eq!(lines[1].split_whitespace().collect::<Vec<_>>()[..3], ["a", "active", "0.2500"]);
    assert_eq!(render(&json!({"shares": {"a": 0.5}})), "a  0.5000\n");
    assert_eq!(render(&json!({"cancelled": "x"})), "cancelled  x\n");
}
