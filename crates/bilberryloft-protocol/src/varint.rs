//! Numbers of variable length in compact encodings: seven bits a byte, the lowest ones first.

/// Bits of a number that one byte holds.
const BITS_PER_BYTE: u32 = 7;
/// Mark of a byte that another one follows.
const MORE: u8 = 1 << BITS_PER_BYTE;

/// Appends a number.
pub fn push_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= u64::from(MORE) {
        bytes.push(number as u8 | MORE);
        number >>= BITS_PER_BYTE;
    }
    bytes.push(number as u8);
}

/// Takes a number from the front of the bytes; `None` if they end too early or the number is too large.
pub fn take_number(bytes: &mut &[u8]) -> Option<u64> {
    let mut number = 0_u64;
    let mut shift = 0;
    loop {
        let (first, rest) = bytes.split_first()?;
        *bytes = rest;
        let digit = u64::from(first & !MORE);
        number |= digit.checked_shl(shift).filter(|it| it >> shift == digit)?;
        if first & MORE == 0 {
            return Some(number);
        }
        shift += BITS_PER_BYTE;
    }
}
