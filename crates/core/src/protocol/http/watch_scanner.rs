//! Finds the ends of messages in the response to a watch.

/// Incremental search for the end of a message. A message may have several lines and ends where its
/// outermost bracket closes.
#[derive(Default)]
pub(super) struct MessageScanner {
    position: usize,
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

/// What [`MessageScanner::scan`] has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScanEvent {
    /// The outermost bracket has closed.
    MessageEnd,
    /// A line has ended outside of any message.
    LineEnd,
    /// A line has ended within a message.
    LineWithinMessage,
}

impl MessageScanner {
    /// Returns the number of bytes scanned so far.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Continues the search up to the next end of a message or line. Returns `None` if the rest of
    /// `text` has neither.
    pub(super) fn scan(&mut self, text: &[u8]) -> Option<ScanEvent> {
        while let Some(byte) = text.get(self.position) {
            self.position += 1;
            if self.is_in_string {
                self.is_in_string = self.is_escaped || *byte != b'"';
                self.is_escaped = !self.is_escaped && *byte == b'\\';
                continue;
            }
            match byte {
                b'"' => self.is_in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if self.depth <= 1 => return Some(ScanEvent::MessageEnd),
                b'}' | b']' => self.depth -= 1,
                b'\n' if self.depth == 0 => return Some(ScanEvent::LineEnd),
                b'\n' => return Some(ScanEvent::LineWithinMessage),
                _ => {}
            }
        }
        None
    }
}
