//! Text from outside the program, made fit for a line of the log.

/// The maximum number of characters of such a text.
const MAX_CHARS: usize = 256;

/// Returns the beginning of a text as one line. Control characters, which could begin another line, are escaped.
pub fn single_line(text: &str) -> String {
    let mut line = String::new();
    for character in text.chars().take(MAX_CHARS) {
        if character.is_control() {
            line.extend(character.escape_default());
        } else {
            line.push(character);
        }
    }
    line
}

#[cfg(test)]
mod tests;
