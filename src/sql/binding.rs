//! Replaces the parameters of a statement by literals.

use super::literal::{Literal, Notations};
use super::{Token, Tokens, tokens};
use std::collections::HashMap;
use thiserror::Error;

/// A parameter and the literal that replaces it.
#[derive(Debug, Clone, PartialEq)]
pub struct Binding {
    /// The name of the parameter, including its `@`. Names are case-insensitive.
    pub parameter: String,
    /// The value.
    pub literal: Literal,
}

/// A statement is too long once its parameters are replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the statement exceeds {max_bytes} bytes once its parameters are replaced")]
pub struct BoundStatementTooLong {
    /// The maximum length.
    pub max_bytes: usize,
}

/// Replaces parameters by their literals, except in strings and comments. Parameters without a binding are unchanged.
///
/// A literal means the same wherever it stands: it does not merge with the characters beside it, and operators beside
/// it apply to the value of the parameter.
///
/// # Errors
///
/// The result would exceed `max_bytes`. A short statement can have many parameters, each with a long literal.
pub fn bind(
    statement: &str,
    bindings: &[Binding],
    max_bytes: usize,
) -> Result<String, BoundStatementTooLong> {
    let mut literals: HashMap<String, Notations> = HashMap::with_capacity(bindings.len());
    for Binding { parameter, literal } in bindings {
        literals.entry(parameter.to_ascii_lowercase()).or_insert_with(|| literal.notations());
    }
    let mut bound = BoundStatement { text: String::with_capacity(statement.len().min(max_bytes)), max_bytes };
    let mut copied = 0;
    let depends_on_operators = literals.values().any(|notations| notations.beside_operator.is_some());
    let mut behind_operator = false;
    let mut remaining = tokens(statement);
    while let Some(token) = remaining.next() {
        let Token::Parameter(name) = token else {
            if depends_on_operators {
                behind_operator = is_operator(token).unwrap_or(behind_operator);
            }
            continue;
        };
        let is_behind_operator = std::mem::replace(&mut behind_operator, false);
        let Some(notations) = literals.get(&name.to_ascii_lowercase()) else { continue };
        // `name` is a slice of `statement`, so the difference of their addresses is its position.
        let start = name.as_ptr() as usize - statement.as_ptr() as usize;
        bound.push(&statement[copied..start])?;
        copied = start + name.len();
        let literal = match &notations.beside_operator {
            Some(notations) if is_before_operator(&remaining) => &notations.before,
            Some(notations) if is_behind_operator => &notations.behind,
            _ => &notations.plain,
        };
        bound.push_separated(literal, &statement[copied..])?;
    }
    bound.push(&statement[copied..])?;
    Ok(bound.text)
}

/// Whether the next token that is neither white space nor a comment is an operator.
fn is_before_operator(remaining: &Tokens<'_>) -> bool {
    remaining.clone().find_map(is_operator).unwrap_or(false)
}

/// Whether a token is an operator, as opposed to an operand or a delimiter; `None` for white space and comments.
fn is_operator(token: Token<'_>) -> Option<bool> {
    match token {
        Token::StringOrComment(text) => text.starts_with('\'').then_some(false),
        Token::Name(_) | Token::Parameter(_) => Some(false),
        Token::Other(" " | "\n") => None,
        Token::Other("(" | ")" | "," | ";" | "=") => Some(false),
        Token::Other(text) if text.trim().is_empty() => None,
        Token::Other(_) => Some(true),
    }
}

/// Whether a literal may stand directly beside this character. Others could become part of it, such as a quotation
/// mark, or a minus sign before a negative number.
fn is_separator(character: char) -> bool {
    matches!(character, ' ' | '(' | ')' | ',' | ';' | '=') || character.is_whitespace()
}

/// The part of a statement whose parameters are replaced.
struct BoundStatement {
    text: String,
    max_bytes: usize,
}

impl BoundStatement {
    fn push(&mut self, part: &str) -> Result<(), BoundStatementTooLong> {
        if self.text.len() + part.len() > self.max_bytes {
            return Err(BoundStatementTooLong { max_bytes: self.max_bytes });
        }
        self.text.push_str(part);
        Ok(())
    }

    /// Appends a literal, with blanks where it would merge with the text before it or behind it.
    fn push_separated(&mut self, literal: &str, behind: &str) -> Result<(), BoundStatementTooLong> {
        if self.text.chars().next_back().is_some_and(|previous| !is_separator(previous)) {
            self.push(" ")?;
        }
        self.push(literal)?;
        if behind.chars().next().is_some_and(|next| !is_separator(next)) {
            self.push(" ")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
