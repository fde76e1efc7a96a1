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

/// Ratio of the lengths that the tests of costs compare.
const LENGTH_RATIO: usize = 16;
/// Upper limit of the ratio of the costs. A cost that grows with the square of the length has a ratio of 256.
const MAX_COST_RATIO: f64 = 4.0 * LENGTH_RATIO as f64;

/// Returns the cost of lexing `unit` repeated `LENGTH_RATIO` times as often, as a multiple of its cost.
fn lexing_cost_ratio(unit: &str) -> f64 {
    let short = unit.repeat(4_000 / unit.len());
    let long = short.repeat(LENGTH_RATIO);
    let lex = |statement: &str| {
        std::hint::black_box(table_group(std::hint::black_box(statement)));
    };
    sanddyke_testbed::cost::cost_ratio(|| lex(&short), || lex(&long))
}

/// Guards against a statement whose lexing takes seconds, in which the service answers nobody. Each open bracket
/// without an end was searched for an end up to the end of the statement.
#[test]
fn the_cost_of_lexing_grows_in_proportion_to_the_length() {
    for unit in [
        "[", "[a] [", "[a]] ", "'", "\"", "''a", "/*", "*/", "/*/", "--", "-", "@", "@a", "a.", "a_1", ".",
        "é",
    ] {
        let ratio = lexing_cost_ratio(unit);
        assert!(ratio < MAX_COST_RATIO, "{unit:?}: {ratio}");
    }
}

/// Guards against a statement whose table group is unknown and whose parameters are not replaced because it has many
/// comments.
#[test]
fn a_statement_with_many_comments_is_split_into_tokens() {
    let comments = "/**/".repeat(100);
    assert_eq!(table_group(&format!("{comments} SELECT x FROM sales_4.t")), Some(4));
    let nested = format!("{}{}", "/*".repeat(100_000), "*/".repeat(100_000));
    assert_eq!(table_group(&format!("{nested} SELECT x FROM sales_5.t")), Some(5));
}

#[test]
fn text_without_an_end_extends_to_the_end_of_the_statement() {
    let expected = [
        ("a '", vec![Token::Name("a"), Token::Other(" "), Token::StringOrComment("'")]),
        ("'a''", vec![Token::StringOrComment("'a''")]),
        ("\"a\"\"b\".", vec![Token::Name("a\"\"b"), Token::Other(".")]),
        ("\"a", vec![Token::Name("a")]),
        ("/* /* */ a", vec![Token::StringOrComment("/* /* */ a")]),
        ("/*/a*/b", vec![Token::StringOrComment("/*/a*/"), Token::Name("b")]),
        ("[a][", vec![Token::Name("a"), Token::Other("[")]),
        ("[[a]b]", vec![Token::Name("[a"), Token::Name("b"), Token::Other("]")]),
        (
            "-é @é.@-",
            vec![
                Token::Other("-"),
                Token::Name("é"),
                Token::Other(" "),
                Token::Parameter("@é"),
                Token::Other("."),
                Token::Other("@"),
                Token::Other("-"),
            ],
        ),
        ("-é@é@-", vec![Token::Other("-"), Token::Name("é@é@"), Token::Other("-")]),
        ("1@é#-", vec![Token::Name("1"), Token::Parameter("@é#"), Token::Other("-")]),
        ("@@a #b", vec![Token::Name("@@a"), Token::Other(" "), Token::Name("#b")]),
        ("[a]]b]]]c", vec![Token::Name("a]]b]]"), Token::Name("c")]),
        ("[a]]b", vec![Token::Name("a]]b")]),
    ];
    for (statement, expected) in expected {
        let found: Vec<Token> = tokens(statement).collect();
        assert_eq!(found, expected, "{statement}");
    }
}
