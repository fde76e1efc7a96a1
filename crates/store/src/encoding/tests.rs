//! Corruption of a row is detected.

use super::*;

#[test]
fn a_row_with_any_flipped_bit_is_an_error() {
    let row = pack(&("glannau", 49)).unwrap();
    assert_eq!(unpack::<(String, u8)>("test", &row).unwrap(), ("glannau".to_owned(), 49));
    for bit in 0..row.len() * 8 {
        let mut corrupted = row.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(unpack::<(String, u8)>("test", &corrupted).is_err(), "bit {bit}");
    }
    assert!(unpack::<u8>("test", &row[..3]).is_err());
}
