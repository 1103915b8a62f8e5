//! Decoder of the chunked transfer coding.

/// Longest chunk-size line in bytes, with its extensions. Extensions are ignored.
const MAX_LINE: usize = 256;

/// Longest trailer section in bytes. Trailers are ignored.
const MAX_TRAILER: usize = 8 * 1024;

/// Maximum number of hexadecimal digits of a chunk size, which keeps it below 2^60.
const MAX_SIZE_DIGITS: usize = 15;

/// Decodes a chunked body incrementally.
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
    /// Bytes received of the current chunk-size line or of the trailer section.
    line_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the digits of a chunk size.
    Size { value: usize, digits: usize },
    /// In the extension after a chunk size.
    Extension { value: usize },
    /// After the carriage return of a chunk size.
    SizeEnd { value: usize },
    /// In the data of a chunk.
    Data { remaining: usize },
    /// After the data of a chunk.
    DataEnd,
    /// After the carriage return that follows the data of a chunk.
    DataNewline,
    /// At the start of a trailer line.
    TrailerStart,
    /// In a trailer line.
    Trailer,
    /// After the carriage return of a trailer line.
    TrailerNewline,
    /// After the carriage return of the empty line that ends the body.
    LastNewline,
    /// After the end of the body.
    Done,
}

/// Why a chunked body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    /// The body is not valid chunked coding.
    #[error("chunked body is malformed")]
    Malformed,
    /// The decoded body is longer than allowed.
    #[error("chunked body is too long")]
    TooLarge,
}

impl ChunkedDecoder {
    /// Creates a decoder for a body of at most `limit` decoded bytes.
    pub fn new(limit: usize) -> Self {
        ChunkedDecoder {
            state: State::Size {
                value: 0,
                digits: 0,
            },
            limit,
            line_bytes: 0,
        }
    }

    /// Reports whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes `input`, appends the decoded data to `body` and returns the number of bytes
    /// consumed. Bytes after the end of the body are not consumed.
    ///
    /// # Errors
    ///
    /// [`ChunkError`] if the body is malformed or would be longer than the limit.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut consumed = 0;
        while consumed < input.len() && !self.is_done() {
            if let State::Data { remaining } = self.state {
                let taken = remaining.min(input.len() - consumed);
                body.extend_from_slice(&input[consumed..consumed + taken]);
                consumed += taken;
                self.state = match remaining - taken {
                    0 => State::DataEnd,
                    remaining => State::Data { remaining },
                };
            } else {
                self.state = self.next_state(input[consumed], body.len())?;
                consumed += 1;
            }
        }
        Ok(consumed)
    }

    fn next_state(&mut self, byte: u8, body_len: usize) -> Result<State, ChunkError> {
        self.line_bytes += 1;
        let in_trailer = matches!(
            self.state,
            State::TrailerStart | State::Trailer | State::TrailerNewline
        );
        if self.line_bytes > if in_trailer { MAX_TRAILER } else { MAX_LINE } {
            return Err(ChunkError::Malformed);
        }
        let next = match (self.state, byte) {
            (State::Size { value, digits }, _) if byte.is_ascii_hexdigit() => {
                if digits == MAX_SIZE_DIGITS {
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
                self.line_bytes = 0;
                State::TrailerStart
            }
            (State::SizeEnd { value }, b'\n') => {
                if value > self.limit.saturating_sub(body_len) {
                    return Err(ChunkError::TooLarge);
                }
                State::Data { remaining: value }
            }
            (State::DataEnd, b'\r') => State::DataNewline,
            (State::DataNewline, b'\n') => {
                self.line_bytes = 0;
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
