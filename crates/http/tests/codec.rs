//! Decoders give the same result however the input is split, and panic on no input.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

use camphordale_http::codec::{
    ChunkError,
    ChunkedDecoder,
    RequestHead,
    ResponseHead, //
};
use proptest::prelude::*;

/// Inputs that are mostly concatenated fragments of valid and invalid messages.
fn fragments() -> impl Strategy<Value = Vec<u8>> {
    let fragment = prop_oneof![
        prop::sample::select(vec![
            "GET / HTTP/1.1\r\n",
            "POST /a HTTP/1.0\r\n",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.0 99 x\r\n",
            "Host: a\r\n",
            "Content-Length: 7\r\n",
            "Transfer-Encoding: chunked\r\n",
            "Connection: close, keep-alive\r\n",
            "\r\n",
            "\n",
            "\r",
            "3\r\nabc\r\n",
            "0\r\n\r\n",
            "ffffffffffffffff\r\n",
            ";x",
        ])
        .prop_map(|text| text.as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..8),
    ];
    prop::collection::vec(fragment, 0..12).prop_map(|fragments| fragments.concat())
}

fn decode(bytes: &[u8], step: usize, limit: usize) -> (Vec<u8>, Result<usize, ChunkError>, bool) {
    let mut body = Vec::new();
    let mut decoder = ChunkedDecoder::new(limit);
    let mut consumed = 0;
    for piece in bytes.chunks(step.max(1)) {
        match decoder.decode(piece, &mut body) {
            Ok(count) => consumed += count,
            Err(error) => return (body, Err(error), false),
        }
        if decoder.is_done() {
            break;
        }
    }
    (body, Ok(consumed), decoder.is_done())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against chunk boundaries that are missed when two reads split them.
    #[test]
    fn chunked_bodies_decode_at_any_split(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..50), 0..8),
        trailing in prop::collection::vec(any::<u8>(), 0..20),
        step in 1_usize..60,
    ) {
        let mut bytes = Vec::new();
        for chunk in &chunks {
            bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let length = bytes.len();
        bytes.extend_from_slice(&trailing);
        let content = chunks.concat();
        let expected = (content.clone(), Ok(length), true);
        prop_assert_eq!(decode(&bytes, step, content.len()), expected);
        if !content.is_empty() {
            let (body, result, _) = decode(&bytes, step, content.len() - 1);
            prop_assert_eq!(result, Err(ChunkError::TooLarge));
            prop_assert!(body.len() < content.len());
        }
    }

    /// Guards against panics, and against results that depend on how reads split the input.
    #[test]
    fn results_do_not_depend_on_the_split(bytes in fragments(), step in 1_usize..20) {
        let whole = decode(&bytes, bytes.len(), 100);
        let pieces = decode(&bytes, step, 100);
        prop_assert_eq!(&whole.1, &pieces.1);
        prop_assert_eq!(whole.2, pieces.2);
        prop_assert!(whole.0.len() <= 100);
        let request = RequestHead::parse(&bytes);
        if let Ok(Some((_, length))) = &request {
            prop_assert!(*length <= bytes.len());
            prop_assert_eq!(RequestHead::parse(&bytes[..*length]), request.clone());
            prop_assert!(!matches!(RequestHead::parse(&bytes[..length - 1]), Ok(Some(_))));
        }
        let response = ResponseHead::parse(&bytes);
        if let Ok(Some((head, length))) = &response {
            prop_assert!(head.status >= 100 && *length <= bytes.len());
            prop_assert_eq!(ResponseHead::parse(&bytes[..*length]), response.clone());
        }
    }
}
