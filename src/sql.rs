//! What the service reads of an SQL statement: its table group, the hints in its first comment, and its parameters.
//!
//! A lexer separates strings and comments from names; there is no parser of SQL.

use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, eof, not, opt, peek, preceded, repeat, separated_pair, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{any, one_of, take_till, take_until, take_while};

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// A statement with more comments than this is not split: nested ones recurse once for each. A value of ours.
const MAX_COMMENTS: usize = 64;
/// The schema of intermediate tables, which is of no group.
const STAGING_SCHEMA: &str = "staging";

/// A token of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token<'a> {
    /// A string or a comment, with its delimiters.
    Opaque(&'a str),
    /// A name, without its quotes.
    Name(&'a str),
    /// A parameter, `@name`.
    Parameter(&'a str),
    /// Anything else.
    Other(&'a str),
}

impl Token<'_> {
    /// Whether it is neither a string, a comment nor white space.
    fn is_significant(&self) -> bool {
        match self {
            Token::Opaque(_) => false,
            Token::Other(text) => !text.trim().is_empty(),
            Token::Name(_) | Token::Parameter(_) => true,
        }
    }
}

/// A text between two of the same quotation marks, which are doubled within it.
fn quoted<'a>(mark: char) -> impl FnMut(&mut &'a str) -> ParseResult<&'a str> {
    move |input: &mut &'a str| {
        // A text without its second mark extends to the end of the statement.
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
        quoted('\'').take().map(Token::Opaque),
        ("--", take_till(0.., '\n')).take().map(Token::Opaque),
        block_comment.map(Token::Opaque),
        quoted('"').map(Token::Name),
        delimited('[', take_until(0.., "]"), ']').map(Token::Name),
        ('@', take_while(1.., is_name_char)).take().map(Token::Parameter),
        take_while(1.., is_name_char).map(Token::Name),
        any.take().map(Token::Other),
    ))
    .parse_next(input)
}

/// The tokens of a statement, in order. One with very many comments is a single [`Token::Opaque`].
pub fn tokens(statement: &str) -> Vec<Token<'_>> {
    if statement.matches("/*").count() > MAX_COMMENTS {
        return vec![Token::Opaque(statement)];
    }
    repeat(0.., token).parse(statement).unwrap_or_default()
}

/// The number after the last underscore of a schema's name.
fn group_number(schema: &str) -> Option<u64> {
    let (stem, number) = schema.rsplit_once('_')?;
    if stem.is_empty() {
        return None;
    }
    terminated(digit1::<_, ContextError>.parse_to(), eof).parse(number).ok()
}

/// The table group of a statement: the number in the name of the first schema that has one, as in `sales_17.orders`.
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

/// A hint for the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint<'a> {
    /// The name.
    pub name: &'a str,
    /// The value, without its quotation marks.
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

/// The hints in a comment at the start of a statement: `/*class='report',ttl_ms='1500'*/`.
pub fn hints(statement: &str) -> Vec<Hint<'_>> {
    let text = statement.trim_start();
    let mut comment = delimited::<_, _, _, _, ContextError, _, _, _>("/*", take_until(0.., "*/"), "*/");
    let Ok((_, inner)) = comment.parse_peek(text) else { return Vec::new() };
    let end = (take_while(0.., char::is_whitespace), opt(eof));
    let hints: ParseResult<Vec<Hint>> = terminated(repeat(0.., hint), end).parse_next(&mut { inner });
    hints.unwrap_or_default()
}

/// The literal that replaces a parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binding {
    /// The parameter's name, with its `@`.
    pub parameter: String,
    /// The literal.
    pub literal: String,
}

/// Replaces parameters by literals, except in strings and comments. Other parameters are left as they are.
pub fn bind(statement: &str, bindings: &[Binding]) -> String {
    let mut text = String::with_capacity(statement.len());
    let mut copied = 0;
    for token in tokens(statement) {
        let Token::Parameter(name) = token else { continue };
        let binding = bindings.iter().find(|binding| binding.parameter.eq_ignore_ascii_case(name));
        let Some(binding) = binding else { continue };
        // The name is a slice of the statement.
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
