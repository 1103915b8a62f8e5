//! Finds the end of an HTTP head in input that comes in parts.

/// Length of the longest prefix of input that is parsed before its head is complete, so that input
/// that is not HTTP is rejected early.
const EARLY_PARSE_BYTES: usize = 1024;

/// Position up to which input was searched for the end of a head.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadEnd {
    searched: usize,
}

impl HeadEnd {
    /// Whether `input` should be parsed: it contains an empty line, or is short. Parsing all of it
    /// after each new byte would take time that grows with the square of its length.
    pub(crate) fn is_complete(&mut self, input: &[u8]) -> bool {
        if input.len() <= EARLY_PARSE_BYTES {
            return true;
        }
        // An empty line may begin in the bytes that were searched before.
        let from = self.searched.saturating_sub(3).min(input.len());
        let new = &input[from..];
        let found = new.windows(2).any(|pair| pair == b"\n\n")
            || new.windows(3).any(|part| part == b"\n\r\n");
        if !found {
            self.searched = input.len();
        }
        found
    }
}
