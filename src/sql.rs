//! Extracts the table group and the hints from SQL statements, and replaces parameters in them.
//!
//! A lexer separates strings and comments from names. SQL is not parsed.

mod binding;
mod literal;

pub use binding::{Binding, BoundStatementTooLong, bind};
pub use literal::{FiniteFloat, Literal};

use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, eof, opt, peek, repeat, separated_pair, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{one_of, take_till, take_until, take_while};

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

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

/// The ASCII characters of identifiers, by their codes.
const ASCII_NAME_CHARS: [bool; 128] = ascii_name_chars();

const fn ascii_name_chars() -> [bool; 128] {
    let mut is_name_char = [false; 128];
    let mut code = 0;
    while code < is_name_char.len() {
        let character = code as u8;
        is_name_char[code] =
            character.is_ascii_alphanumeric() || matches!(character, b'_' | b'$' | b'@' | b'#');
        code += 1;
    }
    is_name_char
}

/// Whether a character belongs to the identifier before it. A parameter sign within a name begins no parameter.
fn is_name_char(c: char) -> bool {
    ASCII_NAME_CHARS.get(c as usize).copied().unwrap_or_else(|| c.is_alphanumeric())
}

/// Returns the length of the name characters at the start of a text.
fn name_length(text: &str) -> usize {
    let is_name_byte = |byte: &u8| ASCII_NAME_CHARS.get(usize::from(*byte)).copied().unwrap_or(false);
    let ascii_length = text.bytes().take_while(|byte| is_name_byte(byte)).count();
    match text[ascii_length..].chars().next() {
        Some(c) if !c.is_ascii() => {
            ascii_length
                + text[ascii_length..].find(|c| !is_name_char(c)).unwrap_or(text.len() - ascii_length)
        }
        _ => ascii_length,
    }
}

/// The tokens of a statement, in order. Iteration reads each byte once, so its cost is proportional to the length of
/// the statement, whatever the statement contains.
#[derive(Debug, Clone)]
pub struct Tokens<'a> {
    /// The part of the statement that has not been read.
    rest: &'a str,
    /// The length of `rest` at the last closing bracket of the statement; `None` if there is no such bracket. Brackets
    /// that are opened after it have no end, for which each of them would otherwise search the whole rest.
    rest_at_last_bracket: Option<usize>,
}

/// Splits a statement into tokens.
pub fn tokens(statement: &str) -> Tokens<'_> {
    let rest_at_last_bracket = statement.rfind(']').map(|position| statement.len() - position);
    Tokens { rest: statement, rest_at_last_bracket }
}

impl<'a> Tokens<'a> {
    /// Removes and returns the first bytes of the rest.
    fn take(&mut self, bytes: usize) -> &'a str {
        let (taken, rest) = self.rest.split_at(bytes);
        self.rest = rest;
        taken
    }

    /// Reads text between two quotation marks. Within the text, a doubled mark stands for a single one. Text without a
    /// closing mark extends to the end of the statement.
    fn quoted(&mut self, mark: char) -> Quoted<'a> {
        let mut end = mark.len_utf8();
        while let Some(position) = self.rest[end..].find(mark) {
            let after_mark = end + position + mark.len_utf8();
            if !self.rest[after_mark..].starts_with(mark) {
                let text = self.take(after_mark);
                return Quoted { text, inner: &text[mark.len_utf8()..end + position] };
            }
            end = after_mark + mark.len_utf8();
        }
        let text = self.take(self.rest.len());
        Quoted { text, inner: &text[mark.len_utf8()..] }
    }

    /// Reads a block comment. Block comments may be nested. One without an end extends to the end of the statement.
    fn block_comment(&mut self) -> &'a str {
        let mut depth = 0_usize;
        let mut end = 0;
        while let Some(position) = self.rest[end..].find(['/', '*']) {
            end += position;
            match self.rest.as_bytes().get(end..end + 2) {
                Some(b"/*") => depth += 1,
                Some(b"*/") => depth -= 1,
                _ => {
                    end += 1;
                    continue;
                }
            }
            end += 2;
            if depth == 0 {
                return self.take(end);
            }
        }
        self.take(self.rest.len())
    }

    /// Whether the rest has a closing bracket behind its first character.
    fn has_closing_bracket(&self) -> bool {
        self.rest_at_last_bracket.is_some_and(|rest| self.rest.len() > rest)
    }

    /// Reads a name in brackets. Within the name, a doubled closing bracket stands for a single one. A name with doubled
    /// closing brackets only extends to the end of the statement.
    #[inline(never)] // keeps `next` small
    fn bracketed(&mut self) -> &'a str {
        let mut end = 1;
        while let Some(position) = self.rest[end..].find(']') {
            let after_bracket = end + position + 1;
            if self.rest.as_bytes().get(after_bracket) != Some(&b']') {
                return &self.take(after_bracket)[1..after_bracket - 1];
            }
            end = after_bracket + 1;
        }
        &self.take(self.rest.len())[1..]
    }

    /// Reads the characters of a number, or of a name that begins with a digit.
    #[inline(never)] // keeps `next` small
    fn number(&mut self) -> &'a str {
        let length = name_length(self.rest);
        let number = &self.rest[..length];
        self.take(number.find(['@', '#']).unwrap_or(length))
    }

    /// Reads name characters after the first `prefix` bytes of the rest.
    fn name(&mut self, prefix: usize) -> &'a str {
        let length = prefix + name_length(&self.rest[prefix..]);
        self.take(length)
    }
}

/// Text in quotation marks.
struct Quoted<'a> {
    /// The text with its marks.
    text: &'a str,
    /// The text between the marks.
    inner: &'a str,
}

impl<'a> Iterator for Tokens<'a> {
    type Item = Token<'a>;

    fn next(&mut self) -> Option<Token<'a>> {
        let mut characters = self.rest.chars();
        let (first, second) = (characters.next()?, characters.next());
        Some(match (first, second) {
            ('\'', _) => Token::StringOrComment(self.quoted('\'').text),
            ('"', _) => Token::Name(self.quoted('"').inner),
            ('-', Some('-')) => {
                let length = self.rest.find('\n').unwrap_or(self.rest.len());
                Token::StringOrComment(self.take(length))
            }
            ('/', Some('*')) => Token::StringOrComment(self.block_comment()),
            ('[', _) if self.has_closing_bracket() => Token::Name(self.bracketed()),
            ('[', _) => Token::Other(self.take('['.len_utf8())),
            // A system variable, such as `@@ROWCOUNT`.
            ('@', Some('@')) => Token::Name(self.name(0)),
            ('@', Some(c)) if is_name_char(c) => Token::Parameter(self.name(first.len_utf8())),
            _ if first.is_ascii_digit() => Token::Name(self.number()),
            _ if is_name_char(first) && first != '@' => Token::Name(self.name(0)),
            _ => Token::Other(self.take(first.len_utf8())),
        })
    }
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
    let mut schema = None;
    for token in tokens(statement).filter(Token::is_significant) {
        schema = match (schema, token) {
            (Some(schema), Token::Other(".")) => match group_number(schema) {
                None => None,
                group => return group,
            },
            (_, Token::Name(name)) if !name.eq_ignore_ascii_case(STAGING_SCHEMA) => Some(name),
            _ => None,
        };
    }
    None
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

#[cfg(test)]
mod tests;
