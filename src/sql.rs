//! Extracts the table group and the hints from SQL statements, and replaces parameters in them.
//!
//! A lexer separates strings and comments from names. SQL is not parsed.

use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, eof, not, opt, peek, preceded, repeat, separated_pair, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{any, one_of, take_till, take_until, take_while};

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// The maximum number of block comments in a statement that is split into tokens. Each nested comment adds a level of
/// recursion.
const MAX_COMMENTS: usize = 64;
/// The schema of intermediate tables, which belong to no table group.
const STAGING_SCHEMA: &str = "staging";

/// A token of an SQL statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token<'a> {
    /// A string or a comment, including its delimiters.
    StringOrComment(&'a str),
    /// An identifier, a keyword or a number, without the quotes of a quoted identifier.
    Name(&'a str),
    /// A parameter, including its `@`.
    Parameter(&'a str),
    /// One character of anything else.
    Other(&'a str),
}

impl Token<'_> {
    /// Whether the token is neither a string, a comment nor white space.
    fn is_significant(&self) -> bool {
        match self {
            Token::StringOrComment(_) => false,
            Token::Other(text) => !text.trim().is_empty(),
            Token::Name(_) | Token::Parameter(_) => true,
        }
    }
}

/// Parses text between two quotation marks `mark`. Within the text, a doubled mark stands for a single one.
fn quoted<'a>(mark: char) -> impl FnMut(&mut &'a str) -> ParseResult<&'a str> {
    move |input: &mut &'a str| {
        // Text without a closing mark extends to the end of the statement.
        let part = alt((take_while(1.., move |c| c != mark).void(), (mark, mark).void()));
        let inner = repeat::<_, _, (), _, _>(0.., part).take();
        preceded(mark, terminated(inner, alt((mark.void(), eof.void())))).parse_next(input)
    }
}

fn block_comment<'a>(input: &mut &'a str) -> ParseResult<&'a str> {
    let part = alt((block_comment.void(), (not("*/"), any).void()));
    ("/*", repeat::<_, _, (), _, _>(0.., part), alt(("*/".void(), eof.void()))).take().parse_next(input)
}

fn is_name_char(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '$'
}

fn token<'a>(input: &mut &'a str) -> ParseResult<Token<'a>> {
    alt((
        quoted('\'').take().map(Token::StringOrComment),
        ("--", take_till(0.., '\n')).take().map(Token::StringOrComment),
        block_comment.map(Token::StringOrComment),
        quoted('"').map(Token::Name),
        delimited('[', take_until(0.., "]"), ']').map(Token::Name),
        ('@', take_while(1.., is_name_char)).take().map(Token::Parameter),
        take_while(1.., is_name_char).map(Token::Name),
        any.take().map(Token::Other),
    ))
    .parse_next(input)
}

/// Splits a statement into tokens. A statement with too many block comments is returned as a single
/// [`Token::StringOrComment`].
pub fn tokens(statement: &str) -> Vec<Token<'_>> {
    if statement.matches("/*").count() > MAX_COMMENTS {
        return vec![Token::StringOrComment(statement)];
    }
    repeat(0.., token).parse(statement).unwrap_or_default()
}

/// Returns the number after the last underscore of a schema's name; `None` if the name does not end in one.
fn group_number(schema: &str) -> Option<u64> {
    let (stem, number) = schema.rsplit_once('_')?;
    if stem.is_empty() {
        return None;
    }
    terminated(digit1::<_, ContextError>.parse_to(), eof).parse(number).ok()
}

/// Returns the table group of a statement: the number at the end of the first schema name that has one. For
/// `sales_17.orders`, this is 17.
pub fn table_group(statement: &str) -> Option<u64> {
    let tokens = tokens(statement);
    let significant: Vec<&Token> = tokens.iter().filter(|token| token.is_significant()).collect();
    significant.windows(2).find_map(|pair| match pair {
        [Token::Name(schema), Token::Other(".")] if !schema.eq_ignore_ascii_case(STAGING_SCHEMA) => {
            group_number(schema)
        }
        _ => None,
    })
}

/// A hint to the service, `name=value`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint<'a> {
    /// The name, such as `class`.
    pub name: &'a str,
    /// The value, without quotation marks.
    pub value: &'a str,
}

fn hint<'a>(input: &mut &'a str) -> ParseResult<Hint<'a>> {
    let name = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-');
    let value = alt((
        delimited('\'', take_till(0.., '\''), '\''),
        take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-' || c == '.'),
    ));
    let gap = take_while(0.., |c: char| c.is_whitespace() || c == ',');
    delimited(
        gap,
        separated_pair(name, '=', value).map(|(name, value)| Hint { name, value }),
        peek(alt((one_of([' ', ',', '\t', '\n', '\r']).void(), eof.void()))),
    )
    .parse_next(input)
}

/// Returns the hints in a block comment at the start of a statement, such as `/*class='report',ttl_ms='1500'*/`. Text
/// from the first part that is no hint is ignored.
pub fn hints(statement: &str) -> Vec<Hint<'_>> {
    let text = statement.trim_start();
    let mut comment = delimited::<_, _, _, _, ContextError, _, _, _>("/*", take_until(0.., "*/"), "*/");
    let Ok((_, inner)) = comment.parse_peek(text) else { return Vec::new() };
    let end = (take_while(0.., char::is_whitespace), opt(eof));
    let hints: ParseResult<Vec<Hint>> = terminated(repeat(0.., hint), end).parse_next(&mut { inner });
    hints.unwrap_or_default()
}

/// A parameter and the literal that replaces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// The name of the parameter, including its `@`. Names are case-insensitive.
    pub parameter: String,
    /// The SQL literal.
    pub literal: String,
}

/// Replaces parameters by their literals, except in strings and comments. Parameters without a binding are unchanged.
pub fn bind(statement: &str, bindings: &[Binding]) -> String {
    let mut text = String::with_capacity(statement.len());
    let mut copied = 0;
    for token in tokens(statement) {
        let Token::Parameter(name) = token else { continue };
        let binding = bindings.iter().find(|binding| binding.parameter.eq_ignore_ascii_case(name));
        let Some(binding) = binding else { continue };
        // `name` is a slice of `statement`, so the difference of their addresses is its position.
        let start = name.as_ptr() as usize - statement.as_ptr() as usize;
        text.push_str(&statement[copied..start]);
        text.push_str(&binding.literal);
        copied = start + name.len();
    }
    text.push_str(&statement[copied..]);
    text
}

#[cfg(test)]
mod tests;
