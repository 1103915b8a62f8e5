//! Responses that do not belong to the request, or end early.

use camphordale_reactor::{
    ClientConnection,
    ExpectedResponse,
    Progress, //
};
use rstest::rstest;

fn connection() -> ClientConnection {
    ClientConnection::new(ExpectedResponse {
        request_id: Some(("x-id".into(), "2".into())),
        success_header: Some("x-signed"),
        is_head: false,
    })
}

fn refusal(id: &str) -> Vec<u8> {
    let text = format!("HTTP/1.1 503 Full\r\n{id}X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull");
    text.into_bytes()
}

#[test]
fn a_refusal_of_the_request_is_taken() {
    let progress = connection().advance(&mut refusal("X-Id: 2\r\n"), false);
    assert!(
        matches!(&progress, Progress::Complete { response, .. } if response.status == 503),
        "{progress:?}"
    );
}

/// Guards against a caller that is told that its request was not run while the target runs it: the
/// target wrote an earlier refusal once more on the kept connection.
#[test]
fn a_refusal_of_another_request_is_skipped() {
    let mut connection = connection();
    let mut input = refusal("X-Id: 1\r\n");
    assert_eq!(connection.advance(&mut input, false), Progress::Incomplete);
    input.extend(b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok");
    let progress = connection.advance(&mut input, false);
    assert!(
        matches!(&progress, Progress::Complete { response, .. } if response.status == 200),
        "{progress:?}"
    );
}

/// The same where the copy does not say whose it is, or says two things. Servers also send a failure
/// to nobody before they close an idle connection.
#[rstest]
#[case(refusal(""))]
#[case(refusal("X-Id: 2\r\nX-Id: 1\r\n"))]
#[case(refusal("X-Id: 2\r\nX-Id: 2\r\n"))]
#[case(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n".to_vec())]
#[case(b"HTTP/1.1 408 Timeout\r\nConnection: close\r\n\r\n".to_vec())]
#[case(b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n".to_vec())]
fn a_response_without_one_request_id_belongs_to_no_request(#[case] mut response: Vec<u8>) {
    let progress = connection().advance(&mut response, false);
    assert!(matches!(progress, Progress::Invalid(_)), "{progress:?}");
}

/// Guards against an empty or short body that is framed as whole: a head that is not complete when
/// the target closes is no response, wherever it was cut.
#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok")]
#[case(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Signed: s\r\nContent-Length: 2\r\n\r\nok")]
fn a_response_that_is_cut_anywhere_is_truncated(#[case] whole: &[u8]) {
    for length in 0..whole.len() {
        let mut input = whole[..length].to_vec();
        let progress = connection().advance(&mut input, true);
        assert!(
            matches!(progress, Progress::Truncated(_)),
            "cut after {length} bytes: {progress:?}"
        );
    }
    let progress = connection().advance(&mut whole.to_vec(), true);
    assert!(
        matches!(progress, Progress::Complete { .. }),
        "{progress:?}"
    );
}

/// Guards against an answer that is passed on with a status that no response can have, also after an
/// interim response and in the older version of the protocol.
#[rstest]
fn an_invalid_status_is_no_response(
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
    #[values("1.0", "1.1")] version: &str,
    #[values("000", "001", "099", "600", "999", "2x0", "20", "-20")] status: &str,
) {
    let head = format!("HTTP/{version} {status} Status\r\nX-Id: 2\r\nX-Signed: s\r\n");
    let mut input = format!("{interim}{head}Content-Length: 2\r\n\r\nok").into_bytes();
    let progress = connection().advance(&mut input, false);
    assert!(matches!(progress, Progress::Invalid(_)), "{progress:?}");
}

/// A body without a length ends with the connection, but only a complete head tells so.
#[test]
fn a_head_without_a_length_is_no_response_before_it_ends() {
    let mut input = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n".to_vec();
    let progress = connection().advance(&mut input, true);
    assert!(matches!(progress, Progress::Truncated(_)), "{progress:?}");
}

/// Guards against memory that is filled by an answer to another request, which is skipped in the end.
#[rstest]
#[case(
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 60000000\r\n\r\n",
    b"b"
)]
#[case(
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"1\r\nb\r\n"
)]
fn the_body_of_a_response_to_another_request_is_not_kept(
    #[case] head: &[u8],
    #[case] filler: &[u8],
) {
    let mut connection = connection();
    let mut input = head.to_vec();
    for _ in 0..200 {
        input.extend(filler.repeat(1000));
        assert_eq!(connection.advance(&mut input, false), Progress::Incomplete);
        assert!(input.len() < 100 && connection.buffered_bytes() == 0);
    }
}

/// Guards against memory that is filled by an answer without end that could never be taken: one that
/// does not say whose it is, or that belongs to another request and has no length.
#[rstest]
#[case(b"HTTP/1.1 200 OK\r\n\r\nbody")]
#[case(b"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\nbody")]
#[case(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody")]
fn an_answer_that_cannot_be_taken_ends_the_exchange_with_its_head(#[case] begin: &[u8]) {
    let progress = connection().advance(&mut begin.to_vec(), false);
    assert!(matches!(progress, Progress::Invalid(_)), "{progress:?}");
}

/// Guards against orders that get a success from a process that is no target: it listens at the
/// address of another writer's announcement, or of a target that has ended.
#[rstest]
#[case(b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 2\r\n\r\nok")]
#[case(b"HTTP/1.1 204 No Content\r\nX-Id: 2\r\n\r\n")]
#[case(b"HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")]
fn a_success_without_the_field_of_targets_is_not_taken(#[case] whole: &[u8]) {
    let progress = connection().advance(&mut whole.to_vec(), false);
    assert!(matches!(progress, Progress::Invalid(_)), "{progress:?}");
}

/// Failures of targets need no such field.
#[test]
fn a_failure_without_the_field_of_targets_is_taken() {
    let mut input = b"HTTP/1.1 500 Failed\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n".to_vec();
    let progress = connection().advance(&mut input, false);
    assert!(
        matches!(progress, Progress::Complete { .. }),
        "{progress:?}"
    );
}
