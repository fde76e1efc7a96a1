//! Tests of tokens, SQL batches and RPC calls.

use super::*;
use crate::core::{Row, Table};

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
    let sent = Table { columns: vec!["day".into()], rows: rows.clone() };
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
