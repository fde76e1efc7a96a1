//! SQL literals of parameter values.

/// The range of the type `int`. T-SQL reads a longer whole number as `numeric`, whose division is not that of whole
/// numbers. The minimum is read as the negation of a longer number.
const INT_LITERALS: std::ops::RangeInclusive<i64> = -(i32::MAX as i64)..=i32::MAX as i64;

/// A value that replaces a parameter in a statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Literal {
    /// A null.
    Null,
    /// Text.
    Text(String),
    /// A bit.
    Bit(bool),
    /// A whole number.
    Integer(i64),
    /// A floating-point number.
    Float(FiniteFloat),
}

/// A floating-point number that is neither infinite nor NaN. SQL has no literals of those.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FiniteFloat(f64);

impl FiniteFloat {
    /// Returns the number; `None` if it is infinite or NaN.
    pub fn new(number: f64) -> Option<FiniteFloat> {
        number.is_finite().then_some(FiniteFloat(number))
    }
}

/// The notations of a literal. Each has the value and the type of the parameter in its place.
#[derive(Debug)]
pub(super) struct Notations {
    /// Between delimiters, such as brackets and commas. Arguments of a procedure have to be plain constants.
    pub(super) plain: String,
    /// Beside an operator; `None` if it is the plain one.
    pub(super) beside_operator: Option<BesideOperator>,
}

/// The notations beside an operator.
#[derive(Debug)]
pub(super) struct BesideOperator {
    /// Behind an operator.
    pub(super) behind: String,
    /// Before an operator, which may bind more tightly than a sign.
    pub(super) before: String,
}

impl Notations {
    fn same(plain: String) -> Notations {
        Notations { plain, beside_operator: None }
    }

    /// Returns the notations of a constant that needs a type beside an operator.
    fn cast(constant: String, sql_type: &str) -> Notations {
        let cast = format!("CAST({constant} AS {sql_type})");
        let beside_operator = BesideOperator { behind: cast.clone(), before: cast };
        Notations { plain: constant, beside_operator: Some(beside_operator) }
    }

    /// Returns the notations of a number, by its decimal digits and sign.
    fn number(text: String) -> Notations {
        let beside_operator = text
            .starts_with('-')
            .then(|| BesideOperator { behind: text.clone(), before: format!("({text})") });
        Notations { plain: text, beside_operator }
    }
}

impl Literal {
    pub(super) fn notations(&self) -> Notations {
        match self {
            Literal::Null => Notations::same("NULL".to_owned()),
            Literal::Text(text) => Notations::same(text_literal(text)),
            Literal::Bit(bit) => Notations::cast(u8::from(*bit).to_string(), "bit"),
            Literal::Integer(number) if INT_LITERALS.contains(number) => {
                Notations::number(number.to_string())
            }
            Literal::Integer(number) => Notations::cast(number.to_string(), "bigint"),
            // Without an exponent it would be a `numeric` or a whole number.
            Literal::Float(FiniteFloat(number)) => Notations::number(format!("{number:E}")),
        }
    }
}

/// Returns the literal of a text. A backslash directly before a line's end is separated from it, because SQL Server
/// removes both from a string.
fn text_literal(text: &str) -> String {
    let escaped = text.replace('\'', "''");
    if !["\\\n", "\\\r\n"].iter().any(|continuation| escaped.contains(continuation)) {
        return format!("N'{escaped}'");
    }
    let separated = escaped.replace("\\\n", "\\'+N'\n").replace("\\\r\n", "\\'+N'\r\n");
    format!("(N'{separated}')")
}
