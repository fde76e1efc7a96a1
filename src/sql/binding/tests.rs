//! Tests of the replacement of parameters by literals.

use super::*;
use crate::sql::FiniteFloat;

#[test]
fn parameters_in_strings_and_comments_are_not_replaced() {
    let bindings = [Binding { parameter: "@a".to_owned(), literal: Literal::Text("x".to_owned()) }];
    let bound = bind("SELECT @a, '@a' /*@a*/ , @ab, @A", &bindings, 100);
    assert_eq!(bound.unwrap(), "SELECT N'x', '@a' /*@a*/ , @ab, N'x'");
}

/// Guards against a call of some hundred kilobytes whose statement takes gigabytes once its parameters are replaced.
#[test]
fn a_statement_that_its_parameters_make_too_long_is_rejected() {
    let statement = "@a ".repeat(10_000);
    let bindings = [Binding { parameter: "@a".to_owned(), literal: Literal::Text("x".repeat(10_000)) }];
    let max_bytes = 20_000_000;
    assert_eq!(bind(&statement, &bindings, max_bytes), Err(BoundStatementTooLong { max_bytes }));
    let bindings = [Binding { parameter: "@a".to_owned(), literal: Literal::Integer(123) }];
    assert_eq!(bind(&statement, &bindings, 40_000).map(|bound| bound.len()), Ok(40_000));
    assert!(bind(&statement, &bindings, 39_999).is_err());
}

/// Guards against a call whose parameters are all compared with each of its placeholders.
#[test]
fn the_cost_of_a_placeholder_does_not_depend_on_the_number_of_parameters() {
    let name = format!("@{}", "n".repeat(100));
    let statement = format!("{name}none ").repeat(1_000);
    let bindings = |count: usize| -> Vec<Binding> {
        (0..count)
            .map(|number| Binding { parameter: format!("{name}{number:04}"), literal: Literal::Null })
            .collect()
    };
    let (few, many) = (bindings(1), bindings(256));
    let replace = |bindings: &[Binding]| drop(std::hint::black_box(bind(&statement, bindings, 1_000_000)));
    let ratio = sanddyke_testbed::cost::cost_ratio(|| replace(&few), || replace(&many));
    assert!(ratio < 4.0, "{ratio}");
}

/// Binds `@a` to a literal.
fn bind_a(statement: &str, literal: Literal) -> String {
    bind(statement, &[Binding { parameter: "@a".to_owned(), literal }], 1_000).unwrap()
}

fn float(number: f64) -> Literal {
    Literal::Float(FiniteFloat::new(number).unwrap())
}

/// Guards against a call that deletes rows of others: a negative number behind a minus sign began a comment, which took
/// the rest of the statement.
#[test]
fn a_negative_number_keeps_its_value_beside_operators() {
    for (literal, text) in [(Literal::Integer(-1), "-1"), (float(-0.5), "-5E-1")] {
        assert_eq!(bind_a("x < 30-@a AND y", literal.clone()), format!("x < 30- {text} AND y"));
        assert_eq!(bind_a("x-/*c*/@a", literal.clone()), format!("x-/*c*/ {text}"));
        assert_eq!(bind_a("x-@a*2", literal.clone()), format!("x- ({text}) *2"));
        assert_eq!(bind_a("@a /*c*/ % 2", literal.clone()), format!("({text}) /*c*/ % 2"));
        assert_eq!(bind_a("EXEC p @x=@a, @y = 1", literal), format!("EXEC p @x={text}, @y = 1"));
    }
}

/// Guards against operators that apply to a number of another type: 2.0 became the whole number 2, whose division is
/// another one, and a number beyond the range of `int` became a decimal.
#[test]
fn a_number_keeps_its_type_beside_operators() {
    let expected = [
        (float(2.0), "1/ 2E0", "2E0"),
        (float(1e300), "1/ 1E300", "1E300"),
        (float(1e-7), "1/ 1E-7", "1E-7"),
        (Literal::Integer(7), "1/ 7", "7"),
        (Literal::Integer(5_000_000_000), "1/ CAST(5000000000 AS bigint)", "5000000000"),
        (Literal::Integer(i64::from(i32::MIN)), "1/ CAST(-2147483648 AS bigint)", "-2147483648"),
        (Literal::Bit(true), "1/ CAST(1 AS bit)", "1"),
    ];
    for (literal, divisor, argument) in expected {
        assert_eq!(bind_a("1/@a", literal.clone()), divisor);
        assert_eq!(bind_a("f(@a)", literal), format!("f({argument})"));
    }
    assert_eq!(FiniteFloat::new(f64::NAN), None);
    assert_eq!(FiniteFloat::new(f64::NEG_INFINITY), None);
}

/// Guards against a value that becomes a part of a name, and there could end it and begin another statement.
#[test]
fn a_parameter_sign_within_a_name_is_no_parameter() {
    let value = || Literal::Text("]; DROP TABLE x --".to_owned());
    for statement in ["[a]]@a]", "[a]]]]@a ]", "\"a\"\"@a\"", "price@a", "#@a", "@@a", "@a@a", "@a#"] {
        assert_eq!(bind_a(statement, value()), statement);
    }
    assert_eq!(bind_a("[a]]]=@a", Literal::Integer(5)), "[a]]]=5");
    assert_eq!(bind_a("1e+@a", Literal::Integer(5)), "1e+ 5", "not the number 1e5");
    assert_eq!(bind_a("@a.5", Literal::Integer(5)), "5 .5", "not the number 5.5");
}

/// Guards against text that an engine reads as another one: text in quotation marks directly behind it was joined to it,
/// and a backslash before a line's end is removed with the line's end.
#[test]
fn text_keeps_its_characters() {
    let text = |text: &str| Literal::Text(text.to_owned());
    assert_eq!(bind_a("@a'y'", text("x")), "N'x' 'y'");
    assert_eq!(bind_a("= @a", text("it's \\ \n -- /*")), "= N'it''s \\ \n -- /*'");
    assert_eq!(bind_a("= @a", text("a\\\nb")), "= (N'a\\'+N'\nb')");
    assert_eq!(bind_a("= @a", text("\\\r\n'\\\n")), "= (N'\\'+N'\r\n''\\'+N'\n')");
}
