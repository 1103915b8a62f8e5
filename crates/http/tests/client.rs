//! Client connections: what may have been written, and which responses are accepted.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

use std::{
    io::Write,
    net::TcpListener,
    thread,
    time::Instant, //
};

use camphordale_http::{
    ClientError,
    ClientErrorKind,
    Conn,
    Operation,
    OutgoingRequest,
    Pool,
    PoolConfig,
    PoolStats,
    Request,
    Response, //
};
use common::{
    OK_RESPONSE,
    SHORT_TIMEOUT,
    ScriptedResponse,
    TEST_TIMEOUT,
    limits,
    loopback,
    scripted_server,
    server,
    wait_until, //
};
use rstest::rstest;

const GET: OutgoingRequest<'_> = OutgoingRequest {
    method: "GET",
    path: "/",
    headers: &[],
    body: b"",
};

const HEAD: OutgoingRequest<'_> = OutgoingRequest {
    method: "HEAD",
    ..GET
};

fn exchange(conn: &mut Conn, request: &OutgoingRequest<'_>) -> Result<Response, ClientError> {
    conn.exchange(request, Instant::now() + TEST_TIMEOUT, 10)
}

fn kind(error: &ClientError) -> String {
    format!("{:?}", error.kind)
}

/// Guards against a response that is accepted although it is incomplete, or may not be the
/// response to the request.
#[rstest]
#[case::short(
    "Closed",
    ScriptedResponse::Close(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc")
)]
#[case::short_chunk(
    "Closed",
    ScriptedResponse::Close(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
)]
#[case::no_head("Closed", ScriptedResponse::Close(b"HTTP/1.1 200 OK\r\nContent-"))]
#[case::nothing("Closed", ScriptedResponse::Close(b""))]
#[case::extra(
    "UnexpectedData",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n")
)]
#[case::two_lengths(
    "Malformed",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")
)]
#[case::both(
    "Malformed",
    ScriptedResponse::Keep(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na"
    )
)]
#[case::chunk(
    "Malformed",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n")
)]
#[case::no_http("Malformed", ScriptedResponse::Keep(b"SSH-2.0-x\r\n"))]
#[case::switched("Malformed", ScriptedResponse::Keep(b"HTTP/1.1 101 Switching\r\n\r\n"))]
#[case::status_000(
    "Malformed",
    ScriptedResponse::Keep(b"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n")
)]
#[case::status_600(
    "Malformed",
    ScriptedResponse::Keep(b"HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n")
)]
#[case::status_999(
    "Malformed",
    ScriptedResponse::Keep(b"HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n")
)]
#[case::lone_lf(
    "Malformed",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\nContent-Length: 0\n\n")
)]
#[case::long(
    "TooLarge",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n")
)]
#[case::long_chunk(
    "TooLarge",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n")
)]
#[case::close_delimited(
    "MissingLength",
    ScriptedResponse::Close(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
)]
#[case::no_length(
    "MissingLength",
    ScriptedResponse::Close(b"HTTP/1.1 200 OK\r\n\r\nabc")
)]
fn incomplete_or_ambiguous_responses_are_errors(
    #[case] expected: &str,
    #[case] response: ScriptedResponse,
) {
    let address = scripted_server(vec![vec![response]]);
    let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    let error = exchange(&mut conn, &GET).unwrap_err();
    assert!(kind(&error).starts_with(expected), "{error:?}");
    assert!(error.maybe_written);
    assert!(!conn.is_usable());
    let again = exchange(&mut conn, &GET).unwrap_err();
    assert_eq!(
        (kind(&again).as_str(), again.maybe_written),
        ("Unusable", false)
    );
}

#[rstest]
#[case::length(GET, "ok", ScriptedResponse::Keep(OK_RESPONSE))]
#[case::chunked(
    GET,
    "ok",
    ScriptedResponse::Keep(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    )
)]
#[case::interim(
    GET,
    "ok",
    ScriptedResponse::Keep(
        b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
)]
#[case::head(
    HEAD,
    "",
    ScriptedResponse::Keep(b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n")
)]
#[case::no_content(GET, "", ScriptedResponse::Keep(b"HTTP/1.1 204 No Content\r\n\r\n"))]
#[case::not_modified(
    GET,
    "",
    ScriptedResponse::Keep(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n")
)]
fn a_complete_response_leaves_the_connection_usable(
    #[case] request: OutgoingRequest<'_>,
    #[case] body: &str,
    #[case] response: ScriptedResponse,
) {
    let address = scripted_server(vec![vec![response, ScriptedResponse::Keep(OK_RESPONSE)]]);
    let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    assert_eq!(exchange(&mut conn, &request).unwrap().body, body.as_bytes());
    assert!(conn.is_usable());
    assert_eq!(exchange(&mut conn, &GET).unwrap().body, b"ok");
}

#[test]
fn a_response_with_connection_close_is_the_last() {
    let closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    let close_delimited = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok";
    let address = scripted_server(vec![
        vec![ScriptedResponse::Keep(closing)],
        vec![ScriptedResponse::Close(close_delimited)],
    ]);
    for _ in 0..2 {
        let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
        conn.allow_close_delimited(true);
        assert_eq!(exchange(&mut conn, &GET).unwrap().body, b"ok");
        assert!(!conn.is_usable());
    }
}

#[test]
fn nothing_is_written_to_a_closed_connection() {
    // Guards against a request that is reported as possibly written although the server had
    // already closed the connection.
    let address = scripted_server(vec![vec![ScriptedResponse::Close(OK_RESPONSE)]]);
    let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    exchange(&mut conn, &GET).unwrap();
    wait_until("the close is noticed", || !conn.is_usable());
    // An exchange checks the connection itself. If the close has not arrived yet, it writes the
    // request, so this is tried several times.
    for _ in 0..50 {
        let address = scripted_server(vec![vec![ScriptedResponse::Close(OK_RESPONSE)]]);
        let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
        exchange(&mut conn, &GET).unwrap();
        let error = exchange(&mut conn, &GET).unwrap_err();
        assert_eq!(
            error.maybe_written,
            error.operation != Operation::CheckConnection,
            "{error:?}"
        );
        if error.operation == Operation::CheckConnection {
            assert!(matches!(error.kind, ClientErrorKind::Closed), "{error:?}");
            return;
        }
    }
    panic!("no close was noticed before the request");
}

#[test]
fn nothing_is_written_after_unexpected_bytes() {
    // Guards against a late response that is taken for the response to the next request, and
    // against a request that is reported as possibly written although a full server had refused
    // the connection.
    let listener = TcpListener::bind(loopback()).unwrap();
    let connect = || {
        let conn = Conn::connect(listener.local_addr().unwrap(), None, TEST_TIMEOUT).unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(OK_RESPONSE).unwrap();
        (conn, stream)
    };
    let (mut conn, _stream) = connect();
    wait_until("the bytes are noticed", || !conn.is_usable());
    // An exchange checks the connection itself; bytes of a local peer have arrived by then.
    let (mut conn, _stream) = connect();
    let error = exchange(&mut conn, &GET).unwrap_err();
    assert_eq!(
        (error.operation, error.maybe_written),
        (Operation::CheckConnection, false)
    );
    assert!(
        matches!(error.kind, ClientErrorKind::UnexpectedData),
        "{error:?}"
    );
}

#[test]
fn a_refused_connection_writes_nothing() {
    let closed = TcpListener::bind(loopback()).unwrap().local_addr().unwrap();
    let error = Conn::connect(closed, None, TEST_TIMEOUT).err().unwrap();
    assert_eq!(
        (error.operation, error.maybe_written),
        (Operation::Connect, false)
    );
}

#[test]
fn a_stalled_response_times_out_and_a_new_connection_works() {
    let address = scripted_server(vec![
        vec![ScriptedResponse::Stall(b"HTTP/1.1 200 OK\r\n")],
        vec![ScriptedResponse::Keep(OK_RESPONSE)],
    ]);
    let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    let started = Instant::now();
    let error = conn
        .exchange(&GET, started + SHORT_TIMEOUT, 10)
        .unwrap_err();
    assert!(matches!(error.kind, ClientErrorKind::Timeout), "{error:?}");
    assert!(
        error.maybe_written
            && started.elapsed() >= SHORT_TIMEOUT
            && started.elapsed() < TEST_TIMEOUT / 2
    );
    assert!(!conn.is_usable());
    let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    assert_eq!(exchange(&mut conn, &GET).unwrap().body, b"ok");
}

#[test]
fn an_exchange_can_be_aborted() {
    let address = scripted_server(vec![vec![ScriptedResponse::Stall(b"")]]);
    let mut conn = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    let aborter = conn.abort_handle();
    let started = Instant::now();
    let error = thread::scope(|scope| {
        scope.spawn(move || aborter.abort());
        exchange(&mut conn, &GET).unwrap_err()
    });
    assert!(matches!(error.kind, ClientErrorKind::Aborted), "{error:?}");
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
}

#[rstest]
#[case::method("GET / HTTP/1.1\r\n", "/", "a")]
#[case::path("GET", "/ HTTP/1.1\r\nA: b", "a")]
#[case::value("GET", "/", "a\r\nb: c")]
fn request_injection_is_rejected(#[case] method: &str, #[case] path: &str, #[case] value: &str) {
    // Guards against callers that inject a second request through a header value or path.
    let listener = TcpListener::bind(loopback()).unwrap();
    let mut conn = Conn::connect(listener.local_addr().unwrap(), None, TEST_TIMEOUT).unwrap();
    let request = OutgoingRequest {
        method,
        path,
        headers: &[("x".into(), value.into())],
        body: b"",
    };
    let error = exchange(&mut conn, &request).unwrap_err();
    assert!(
        matches!(error.kind, ClientErrorKind::InvalidRequest(_)),
        "{error:?}"
    );
    assert!(!error.maybe_written);
}

#[test]
fn large_bodies_arrive_unchanged() {
    // Guards against a body that is truncated or duplicated by partial writes.
    let limits = camphordale_http::Limits {
        max_body: 16 << 20,
        ..limits()
    };
    let server = server(limits, |request: Request| Response::new(200, request.body));
    let body: Vec<u8> = (0..8_u32 << 20).map(|at| (at / 7) as u8).collect();
    let mut conn = Conn::connect(server.local_addr(), None, TEST_TIMEOUT).unwrap();
    let request = OutgoingRequest {
        method: "POST",
        body: &body,
        ..GET
    };
    let response = conn
        .exchange(&request, Instant::now() + TEST_TIMEOUT, 16 << 20)
        .unwrap();
    assert!(response.body == body, "the body differs");
}

#[test]
fn connections_use_the_configured_source_address() {
    let server = server(limits(), |request: Request| {
        Response::new(200, request.peer.ip().to_string().into_bytes())
    });
    let source = "127.0.0.4".parse().unwrap();
    let mut conn = Conn::connect(server.local_addr(), Some(source), TEST_TIMEOUT).unwrap();
    assert_eq!(exchange(&mut conn, &GET).unwrap().body, b"127.0.0.4");
    let pool = Pool::new(PoolConfig::default()).with_source(source);
    let mut conn = pool
        .acquire(server.local_addr(), 1, Instant::now() + TEST_TIMEOUT)
        .unwrap();
    assert_eq!(exchange(&mut conn, &GET).unwrap().body, b"127.0.0.4");
}

fn pool_stats(open: usize, idle: usize) -> PoolStats {
    PoolStats { open, idle }
}

#[test]
fn a_pool_enforces_the_limit_of_an_address() {
    // Guards against more open connections than the target accepts.
    let server = server(limits(), |_: Request| Response::new(200, Vec::new()));
    let address = server.local_addr();
    let pool = Pool::new(PoolConfig::default());
    let deadline = || Instant::now() + TEST_TIMEOUT;
    let first = pool.acquire(address, 2, deadline()).unwrap();
    let second = pool.acquire(address, 2, deadline()).unwrap();
    let error = pool
        .acquire(address, 2, Instant::now() + SHORT_TIMEOUT)
        .err()
        .unwrap();
    assert_eq!(
        (error.operation, error.maybe_written),
        (Operation::AcquireConnection, false)
    );
    assert_eq!(pool.stats(address), pool_stats(2, 0));
    thread::scope(|scope| {
        let third = scope.spawn(|| pool.acquire(address, 2, deadline()).map(|conn| conn.age()));
        drop(first);
        third.join().unwrap().unwrap();
    });
    assert_eq!(pool.stats(address), pool_stats(1, 0));
    pool.release(second);
    assert_eq!(pool.stats(address), pool_stats(1, 1));
    let second = pool.take_idle(address).unwrap();
    assert!(pool.take_idle(address).is_none());
    pool.clear(address);
    pool.release(second);
    assert_eq!(
        pool.stats(address),
        pool_stats(0, 0),
        "cleared while in use"
    );
    let unpooled = Conn::connect(address, None, TEST_TIMEOUT).unwrap();
    pool.release(unpooled);
    assert_eq!(pool.stats(address), pool_stats(1, 1));
    pool.clear(address);
    assert_eq!(pool.stats(address), pool_stats(0, 0));
}

#[test]
fn a_pool_does_not_reuse_expired_or_closed_connections() {
    let address = scripted_server(vec![
        vec![ScriptedResponse::Close(OK_RESPONSE)],
        vec![ScriptedResponse::Keep(OK_RESPONSE)],
    ]);
    let config = PoolConfig {
        idle_timeout: SHORT_TIMEOUT,
        ..PoolConfig::default()
    };
    let pool = Pool::new(config);
    let mut conn = pool
        .acquire(address, 1, Instant::now() + TEST_TIMEOUT)
        .unwrap();
    exchange(&mut conn, &GET).unwrap();
    wait_until("the close is noticed", || !conn.is_usable());
    pool.release(conn);
    assert_eq!(pool.stats(address), pool_stats(0, 0));
    let conn = pool
        .acquire(address, 1, Instant::now() + TEST_TIMEOUT)
        .unwrap();
    pool.release(conn);
    assert_eq!(pool.stats(address), pool_stats(1, 1));
    let started = Instant::now();
    wait_until("the idle timeout has passed", || {
        started.elapsed() > SHORT_TIMEOUT
    });
    pool.close_expired();
    assert_eq!(pool.stats(address), pool_stats(0, 0));
}
