//! Tests of tokens, SQL batches and RPC calls.

use super::*;
use crate::core::{Row, Table};
use sanddyke_testbed::cost::cost_ratio;

fn read_all(data: &[u8]) -> Vec<Token> {
    let (mut input, mut columns, mut tokens) = (data, Vec::new(), Vec::new());
    while !input.is_empty() {
        let token = read(&columns, &mut input).unwrap();
        if let Token::Columns(new) = &token {
            columns.clone_from(new);
        }
        tokens.push(token);
    }
    tokens
}

#[test]
fn a_table_round_trips() {
    let long = "x".repeat(5000);
    let rows: Vec<Row> = vec![vec![Some("a".into()), None], vec![Some(String::new()), Some(long)]];
    let sent = Table { columns: vec!["day".into()], rows: rows.clone(), ..Table::default() };
    let tokens = read_all(&table(ResponseKind::Batch, &sent));
    let back: Vec<Row> = tokens
        .iter()
        .filter_map(|one| match one {
            Token::Row(row) => Some(row.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(back, rows);
    assert_eq!(tokens.last(), Some(&Token::Done { more: false, error: false, attention: false }));
}

#[test]
fn truncated_data_is_rejected() {
    let data = error(ResponseKind::Batch, 40501, 16, "busy");
    for cut in 0..data.len() - 13 {
        assert!(read(&[], &mut &data[..cut]).is_err(), "cut at {cut}");
    }
    assert!(read_rpc(&[0xff; 40]).is_err());
    assert!(read_batch(&[1, 0, 0, 0, 1]).is_err());
}

/// A response with all kinds of tokens and values that a session reads.
fn varied_response() -> Vec<u8> {
    let long = "x".repeat(5000);
    let rows: Vec<Row> = vec![vec![Some("a".into()), None], vec![Some(String::new()), Some(long)]];
    let sent = Table { columns: vec!["day".into(), "note".into()], rows, ..Table::default() };
    let numbers = [
        &[COLMETADATA, 3, 0][..],
        &[0, 0, 0, 0, 0, 0, 0x26, 4, 1, b'n', 0],           // INTN
        &[0, 0, 0, 0, 0, 0, 0x38, 1, b'i', 0],              // INT4
        &[0, 0, 0, 0, 0, 0, 0xa7, 10, 0, 0, 0, 0, 0, 0, 0], // VARCHAR without a name
        &[ROW, 4, 1, 0, 0, 0, 2, 0, 0, 0, 2, 0, b'o', b'k'],
        &[ROW, 0, 2, 0, 0, 0, 0xff, 0xff],
        &[NBCROW, 0b101, 7, 0, 0, 0],
        &[RETURNSTATUS, 0, 0, 0, 0],
        &[ORDER, 2, 0, 1, 0],
    ];
    let error = error(ResponseKind::Rpc, 40501, 16, "busy");
    [numbers.concat(), table(ResponseKind::Batch, &sent), error].concat()
}

#[test]
fn the_extent_of_each_token_is_found_at_its_last_byte() {
    let data = varied_response();
    let (mut input, mut columns, mut start) = (&data[..], Vec::new(), 0);
    while !input.is_empty() {
        let token = read(&columns, &mut input).unwrap();
        let end = data.len() - input.len();
        let mut extent = TokenExtent::default();
        for cut in start..end {
            assert!(!extent.is_complete(&columns, &data[start..cut]), "{token:?} cut at {cut}");
        }
        assert!(extent.is_complete(&columns, &data[start..end]), "{token:?}");
        assert!(TokenExtent::default().is_complete(&columns, &data[start..]), "{token:?} at once");
        if let Token::Columns(new) = token {
            columns = new;
        }
        start = end;
    }
    assert!(TokenExtent::default().is_complete(&[], &[0x00]), "an unknown token");
}

/// Guards against an engine that sends a long row in small packets and so delays all others: with each packet, the whole
/// row was read again.
#[test]
fn the_cost_of_a_row_in_pieces_grows_in_proportion_to_its_length() {
    let row = |bytes: usize| {
        let rows = vec![vec![Some("x".repeat(bytes)); 4]];
        table(ResponseKind::Batch, &Table { columns: vec!["c".into(); 4], rows, ..Table::default() })
    };
    let read_in_pieces = |data: &[u8]| {
        let (mut columns, mut extent, mut start) = (Vec::new(), TokenExtent::default(), 0);
        for end in 0..=data.len() {
            while extent.is_complete(&columns, &data[start..end]) {
                let mut input = &data[start..end];
                if let Token::Columns(new) = read(&columns, &mut input).unwrap() {
                    columns = new;
                }
                start = end - input.len();
                extent = TokenExtent::default();
            }
        }
        assert_eq!(start, data.len());
    };
    let (short, long) = (row(250), row(4_000));
    let ratio = cost_ratio(|| read_in_pieces(&short), || read_in_pieces(&long));
    assert!(ratio < 4.0 * 16.0, "{ratio}");
}
