//! The chunked transfer coding.

/// Longest line of a chunk size with its extensions in bytes. Extensions are ignored.
const MAX_LINE: usize = 256;

/// Longest trailer in bytes. Trailers are ignored.
const MAX_TRAILER: usize = 8 * 1024;

/// Most hexadecimal digits of a chunk size.
const MAX_DIGITS: usize = 15;

/// Decodes a chunked body piece by piece.
///
/// # Examples
///
/// ```
/// use camphordale_http::codec::ChunkedDecoder;
///
/// let mut body = Vec::new();
/// let mut chunked = ChunkedDecoder::new(1024);
/// let input = b"3\r\nabc\r\n0\r\n\r\nGET";
/// assert_eq!(chunked.decode(input, &mut body)?, input.len() - 3);
/// assert!(chunked.is_done());
/// assert_eq!(body, b"abc");
/// # Ok::<(), camphordale_http::codec::ChunkError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ChunkedDecoder {
    state: State,
    limit: usize,
    /// Bytes of the current line, or of the trailer.
    line: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the digits of a chunk size.
    Size { value: usize, digits: usize },
    /// In the extension after a chunk size.
    Extension { value: usize },
    /// After the carriage return of a chunk size.
    SizeEnd { value: usize },
    /// In the content of a chunk.
    Data { left: usize },
    /// After the content of a chunk.
    DataEnd,
    /// After the carriage return that follows the content of a chunk.
    DataNewline,
    /// At the start of a trailer line.
    TrailerStart,
    /// In a trailer line.
    Trailer,
    /// After the carriage return of a trailer line.
    TrailerNewline,
    /// After the carriage return of the empty line.
    LastNewline,
    /// After the body.
    Done,
}

/// A chunked body that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// The coding is wrong.
    #[error("chunked body is malformed")]
    Malformed,
    /// The decoded body is longer than allowed.
    #[error("chunked body is too long")]
    TooLarge,
}

impl ChunkedDecoder {
    /// Starts a body of at most `limit` decoded bytes.
    pub fn new(limit: usize) -> Self {
        ChunkedDecoder {
            state: State::Size {
                value: 0,
                digits: 0,
            },
            limit,
            line: 0,
        }
    }

    /// Reports whether the end of the body was decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input`, appends the content to `body` and returns the number of bytes consumed.
    /// Bytes after the end of the body are not consumed.
    ///
    /// # Errors
    ///
    /// [`ChunkError`] if the body is malformed or would be longer than the limit.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut at = 0;
        while at < input.len() && !self.is_done() {
            if let State::Data { left } = self.state {
                let taken = left.min(input.len() - at);
                body.extend_from_slice(&input[at..at + taken]);
                at += taken;
                self.state = match left - taken {
                    0 => State::DataEnd,
                    left => State::Data { left },
                };
            } else {
                self.state = self.next(input[at], body.len())?;
                at += 1;
            }
        }
        Ok(at)
    }

    fn next(&mut self, byte: u8, length: usize) -> Result<State, ChunkError> {
        self.line += 1;
        let in_trailer = matches!(
            self.state,
            State::TrailerStart | State::Trailer | State::TrailerNewline
        );
        if self.line > if in_trailer { MAX_TRAILER } else { MAX_LINE } {
            return Err(ChunkError::Malformed);
        }
        let next = match (self.state, byte) {
            (State::Size { value, digits }, _) if byte.is_ascii_hexdigit() => {
                if digits == MAX_DIGITS {
                    return Err(ChunkError::TooLarge);
                }
                let digit = char::from(byte).to_digit(16).unwrap_or_default() as usize;
                State::Size {
                    value: value << 4 | digit,
                    digits: digits + 1,
                }
            }
            (State::Size { value, digits: 1.. }, b'\r') => State::SizeEnd { value },
            (State::Size { value, digits: 1.. }, b';' | b' ' | b'\t') => State::Extension { value },
            (State::Extension { value }, b'\r') => State::SizeEnd { value },
            (State::Extension { value }, b'\t' | b' '..=b'~') => State::Extension { value },
            (State::SizeEnd { value: 0 }, b'\n') => {
                self.line = 0;
                State::TrailerStart
            }
            (State::SizeEnd { value }, b'\n') => {
                if value > self.limit.saturating_sub(length) {
                    return Err(ChunkError::TooLarge);
                }
                State::Data { left: value }
            }
            (State::DataEnd, b'\r') => State::DataNewline,
            (State::DataNewline, b'\n') => {
                self.line = 0;
                State::Size {
                    value: 0,
                    digits: 0,
                }
            }
            (State::TrailerStart, b'\r') => State::LastNewline,
            (State::LastNewline, b'\n') => State::Done,
            (State::TrailerStart | State::Trailer, b'\t' | b' '..=b'~' | 0x80..) => State::Trailer,
            (State::Trailer, b'\r') => State::TrailerNewline,
            (State::TrailerNewline, b'\n') => State::TrailerStart,
            _ => return Err(ChunkError::Malformed),
        };
        Ok(next)
    }
}
