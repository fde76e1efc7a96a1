//! Tests of table groups, hints and parameters in SQL statements.

use super::*;

#[test]
fn the_table_group_is_the_number_in_the_schemas_name() {
    let expected = [
        ("SELECT day FROM sales_17.orders WHERE tag = '3f9c'", Some(17)),
        ("INSERT INTO sales_3.t SELECT * FROM staging.x", Some(3)),
        ("SELECT 'sales_9.t' /* sales_8.t */ FROM a_b_12.t -- sales_7.t", Some(12)),
        ("SELECT 'it''s sales_9.t' FROM staging.y, \"sales_5\".t", Some(5)),
        ("SELECT x FROM [sales_6] . t", Some(6)),
        ("/* outer /* inner */ sales_1.t */ SELECT x FROM sales_2.t", Some(2)),
        ("SELECT 1", None),
        ("SELECT 'open sales_4.t", None),
    ];
    for (statement, group) in expected {
        assert_eq!(table_group(statement), group, "{statement}");
    }
}

#[test]
fn hints_are_read_from_the_first_comment_only() {
    let found = hints("/* class='report', ttl_ms=1500 */ SELECT '/*class=load*/'");
    let expected = vec![Hint { name: "class", value: "report" }, Hint { name: "ttl_ms", value: "1500" }];
    assert_eq!(found, expected);
    assert!(hints("SELECT 1 /*class='load'*/").is_empty());
}

#[test]
fn parameters_in_strings_and_comments_are_not_replaced() {
    let bindings = [Binding { parameter: "@a".to_owned(), literal: "N'x'".to_owned() }];
    assert_eq!(bind("SELECT @a, '@a' /*@a*/ , @ab", &bindings), "SELECT N'x', '@a' /*@a*/ , @ab");
}
