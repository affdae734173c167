//! Finds the ends of the messages of a watch.

/// The state of the search for the end of a message, which is where its outermost bracket closes,
/// however many lines it has.
#[derive(Default)]
pub(super) struct MessageScanner {
    position: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

/// What the scanner has found.
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
    /// The number of bytes that have been scanned.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Continues to the end of a message or of a line; none if `text` holds neither.
    pub(super) fn scan(&mut self, text: &[u8]) -> Option<ScanEvent> {
        while let Some(byte) = text.get(self.position) {
            self.position += 1;
            if self.in_string {
                self.in_string = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
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
