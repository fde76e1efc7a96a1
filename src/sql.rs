//! What the service reads of an SQL statement: the group of tables, hints in its first comment, and the
//! places of parameters. Strings and comments are told apart from what names tables.

use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::{alt, delimited, eof, not, opt, peek, preceded, repeat, separated_pair, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::token::{any, one_of, take_till, take_until, take_while};

type Out<T> = Result<T, ErrMode<ContextError>>;

/// A piece of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Piece<'a> {
    /// A string or a comment, with its marks: names in it mean nothing.
    Opaque(&'a str),
    /// A name, without its quotes.
    Name(&'a str),
    /// A parameter, `@name`.
    Parameter(&'a str),
    /// Anything else.
    Other(&'a str),
}

fn quoted<'a>(mark: char) -> impl FnMut(&mut &'a str) -> Out<&'a str> {
    move |input: &mut &'a str| {
        // A doubled mark stands for itself; a string that never ends reaches to the end of the statement.
        let part = alt((take_while(1.., move |c| c != mark).void(), (mark, mark).void()));
        let inner = repeat::<_, _, (), _, _>(0.., part).take();
        preceded(mark, terminated(inner, alt((mark.void(), eof.void())))).parse_next(input)
    }
}

fn block_comment<'a>(input: &mut &'a str) -> Out<&'a str> {
    let part = alt((block_comment.void(), (not("*/"), any).void()));
    ("/*", repeat::<_, _, (), _, _>(0.., part), alt(("*/".void(), eof.void()))).take().parse_next(input)
}

fn is_name(c: char) -> bool {
    c.is_alphanumeric() || c == '_' || c == '$'
}

fn piece<'a>(input: &mut &'a str) -> Out<Piece<'a>> {
    alt((
        quoted('\'').take().map(Piece::Opaque),
        ("--", take_till(0.., '\n')).take().map(Piece::Opaque),
        block_comment.map(Piece::Opaque),
        quoted('"').map(Piece::Name),
        delimited('[', take_until(0.., "]"), ']').map(Piece::Name),
        ('@', take_while(1.., is_name)).take().map(Piece::Parameter),
        take_while(1.., is_name).map(Piece::Name),
        any.take().map(Piece::Other),
    ))
    .parse_next(input)
}

/// The pieces of a statement, in order. Nested comments are bounded by the statement's length.
pub fn pieces(statement: &str) -> Vec<Piece<'_>> {
    // A run of openers would recurse once for each: past this depth it is taken as plain text.
    const DEEPEST: usize = 64;
    if statement.matches("/*").count() > DEEPEST {
        return vec![Piece::Opaque(statement)];
    }
    repeat(0.., piece).parse(statement).unwrap_or_default()
}

fn group_of(name: &str) -> Option<u64> {
    let (stem, number) = name.rsplit_once('_')?;
    if stem.is_empty() {
        return None;
    }
    terminated(digit1::<_, ContextError>.parse_to(), eof).parse(number).ok()
}

/// The group of tables: the number after the underscore in the schema's name, as in `sales_17.orders`.
pub fn table_group(statement: &str) -> Option<u64> {
    let pieces = pieces(statement);
    let solid: Vec<&Piece> = pieces
        .iter()
        .filter(|piece| !matches!(piece, Piece::Opaque(_)))
        .filter(|piece| !matches!(piece, Piece::Other(text) if text.trim().is_empty()))
        .collect();
    solid.windows(2).find_map(|pair| match pair {
        [Piece::Name(schema), Piece::Other(".")] if !schema.eq_ignore_ascii_case("staging") => {
            group_of(schema)
        }
        _ => None,
    })
}

fn hint<'a>(input: &mut &'a str) -> Out<(&'a str, &'a str)> {
    let word = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-');
    let value = alt((
        delimited('\'', take_till(0.., '\''), '\''),
        take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-' || c == '.'),
    ));
    let gap = take_while(0.., |c: char| c.is_whitespace() || c == ',');
    delimited(
        gap,
        separated_pair(word, '=', value),
        peek(alt((one_of([' ', ',', '\t', '\n', '\r']).void(), eof.void()))),
    )
    .parse_next(input)
}

/// The `name='value'` pairs of a comment at the start of a statement: `/*class='report',ttl_ms='1500'*/`.
pub fn hints(statement: &str) -> Vec<(&str, &str)> {
    let text = statement.trim_start();
    let mut comment = delimited::<_, _, _, _, ContextError, _, _, _>("/*", take_until(0.., "*/"), "*/");
    let Ok((_, inner)) = comment.parse_peek(text) else { return Vec::new() };
    let all = terminated(repeat(0.., hint), (take_while(0.., char::is_whitespace), opt(eof)));
    let mut all = all;
    let read: Out<Vec<(&str, &str)>> = all.parse_next(&mut { inner });
    read.unwrap_or_default()
}

/// Puts literals in the place of parameters, outside strings and comments.
pub fn bind(statement: &str, literals: &[(String, String)]) -> String {
    let mut text = String::with_capacity(statement.len());
    let mut from = 0;
    for piece in pieces(statement) {
        let Piece::Parameter(name) = piece else { continue };
        let at = name.as_ptr() as usize - statement.as_ptr() as usize;
        let literal = literals.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        if let Some((_, literal)) = literal {
            text.push_str(&statement[from..at]);
            text.push_str(literal);
            from = at + name.len();
        }
    }
    text.push_str(&statement[from..]);
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_group_is_the_number_of_the_schema() {
        let told = [
            ("SELECT day FROM sales_17.orders WHERE tag = '3f9c'", Some(17)),
            ("INSERT INTO sales_3.t SELECT * FROM staging.x", Some(3)),
            ("SELECT 'sales_9.t' /* sales_8.t */ FROM a_b_12.t -- sales_7.t", Some(12)),
            ("SELECT 'it''s sales_9.t' FROM staging.y, \"sales_5\".t", Some(5)),
            ("SELECT x FROM [sales_6] . t", Some(6)),
            ("/* outer /* inner */ sales_1.t */ SELECT x FROM sales_2.t", Some(2)),
            ("SELECT 1", None),
            ("SELECT 'open sales_4.t", None),
        ];
        for (statement, group) in told {
            assert_eq!(table_group(statement), group, "{statement}");
        }
    }

    #[test]
    fn hints_are_read_from_the_first_comment_only() {
        let read = hints("/* class='report', ttl_ms=1500 */ SELECT '/*class=load*/'");
        assert_eq!(read, vec![("class", "report"), ("ttl_ms", "1500")]);
        assert!(hints("SELECT 1 /*class='load'*/").is_empty());
    }

    #[test]
    fn parameters_in_strings_and_comments_stay() {
        let literals = [("@a".to_owned(), "N'x'".to_owned())];
        assert_eq!(bind("SELECT @a, '@a' /*@a*/ , @ab", &literals), "SELECT N'x', '@a' /*@a*/ , @ab");
    }
}
