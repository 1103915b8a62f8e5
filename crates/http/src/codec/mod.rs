//! Encoders and decoders of heads and bodies, without I/O.

mod chunked;
mod framing;
mod request;
mod response;

pub use crate::encode::{
    begin_request,
    write_request,
    write_response, //
};
pub use chunked::{
    ChunkError,
    ChunkedDecoder, //
};
pub use framing::Framing;
pub use request::{
    RequestError,
    RequestHead, //
};
pub use response::{
    ResponseError,
    ResponseHead, //
};

/// Maximum number of header fields that are accepted in one head.
pub const MAX_HEADERS: usize = 100;
