//! Names and keys that go through a header of HTTP and must come back the same.

/// Reason for which a text can't be sent as the value of a header, or would arrive as another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderTextFault {
    /// The text is empty, as is that of a header which is not there.
    #[error("it is empty")]
    Empty,
    /// Blanks around a value don't belong to it (RFC 9110, 5.5), so the text arrives as another one.
    #[error("it begins or ends with a blank or tab, which HTTP takes away")]
    OuterBlank,
    /// The text has a control character, such as a line break, which no header can carry.
    #[error("it has a control character, which no header can carry")]
    ControlCharacter,
    /// The text has a character outside of ASCII, which receivers read in different ways.
    #[error("it has a character that is not ASCII, which receivers read in different ways")]
    NotAscii,
}

/// Checks that a text may be sent as the value of a header and comes back the same; returns the first fault found.
pub fn check_header_text(text: &str) -> Result<(), HeaderTextFault> {
    if text.is_empty() {
        return Err(HeaderTextFault::Empty);
    }
    if text.trim_matches([' ', '\t']).len() != text.len() {
        return Err(HeaderTextFault::OuterBlank);
    }
    for character in text.chars() {
        match character {
            ' '..='~' => {}
            character if character.is_ascii() => return Err(HeaderTextFault::ControlCharacter),
            _ => return Err(HeaderTextFault::NotAscii),
        }
    }
    Ok(())
}
