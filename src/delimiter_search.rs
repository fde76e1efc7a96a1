//! Searches a receive buffer for a delimiter while bytes are appended to it. Each byte is examined once, so the cost does
//! not depend on the number of parts in which the bytes arrive.

use memchr::memmem;

/// The progress of one search.
#[derive(Debug, Default)]
pub struct DelimiterSearch {
    /// The length of the part of the buffer that has been searched.
    searched_bytes: usize,
    /// The number of bytes that all calls have examined.
    #[cfg(test)]
    pub examined_bytes: usize,
}

impl DelimiterSearch {
    /// Returns the position of the first delimiter; `None` if the buffer has none yet. Between two calls, bytes may only be
    /// appended to the buffer.
    pub fn find(&mut self, buffer: &[u8], delimiter: &[u8]) -> Option<usize> {
        // The delimiter may have begun in the part that was searched before.
        let start = self.searched_bytes.saturating_sub(delimiter.len() - 1);
        #[cfg(test)]
        {
            self.examined_bytes += buffer.len() - start;
        }
        let found = memmem::find(&buffer[start..], delimiter);
        self.searched_bytes = buffer.len();
        found.map(|position| start + position)
    }

    /// Starts a new search, after the front of the buffer was removed.
    pub fn restart(&mut self) {
        self.searched_bytes = 0;
    }
}
