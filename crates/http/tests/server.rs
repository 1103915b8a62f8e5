//! Server: rejected requests, and limits that untrusted callers cannot evade.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

use std::{
    io::{
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        TcpStream, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Instant, //
};

use camphordale_http::{
    Limits,
    Request,
    Response, //
};
use common::{
    SHORT_TIMEOUT,
    TEST_TIMEOUT,
    connect,
    connect_from,
    limits,
    read_to_close,
    send_and_read,
    send_slowly,
    server,
    wait_until, //
};
use rstest::rstest;

fn echo(request: Request) -> Response {
    let head = format!("{} {}|", request.method, request.path).into_bytes();
    Response::new(200, [head, request.body].concat())
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

/// Guards against requests that two parties could interpret differently, and against oversized
/// ones. The second request in the input must never reach the handler.
#[rstest]
#[case::no_request("400", "\u{1}\r\n\r\n")]
#[case::no_host("400", "GET / HTTP/1.1\r\n\r\n")]
#[case::two_hosts("400", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")]
#[case::lone_lf("400", "GET / HTTP/1.1\nHost: a\n\n")]
#[case::lone_lf_in_field("400", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n")]
#[case::space_before_colon("400", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc")]
#[case::folded("400", "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n")]
#[case::relative("400", "GET a HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::version("505", "GET / HTTP/2.0\r\nHost: a\r\n\r\n")]
#[case::connect("501", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::coding("501", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[case::codings(
    "501",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
)]
#[case::hidden_coding(
    "501",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n"
)]
#[case::both(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::both_reversed(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"
)]
#[case::two_codings(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
)]
#[case::old_coding(
    "400",
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::two_lengths(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
)]
#[case::equal_lengths(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na"
)]
#[case::listed_lengths("400", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\na")]
#[case::signed_length("400", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na")]
#[case::empty_length("400", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\na")]
#[case::long_body("413", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")]
#[case::huge_body(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n"
)]
#[case::chunk_size(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n"
)]
#[case::chunk_end(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc"
)]
#[case::chunk_lf(
    "400",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\na\n0\n\n"
)]
#[case::long_chunk(
    "413",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n"
)]
#[case::expectation(
    "417",
    "POST / HTTP/1.1\r\nHost: a\r\nExpect: more\r\nContent-Length: 1\r\n\r\na"
)]
fn invalid_requests_are_rejected(#[case] expected: &str, #[case] bytes: &str) {
    let limits = Limits {
        max_body: 100,
        ..limits()
    };
    let server = server(limits, echo);
    let bytes = format!("{bytes}GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    let response = send_and_read(server.local_addr(), bytes.as_bytes());
    assert_eq!(status(&response), expected, "{response}");
    assert!(response.contains("Connection: close\r\n"), "{response}");
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert_eq!(server.stats().requests, 0);
}

#[rstest]
#[case::bytes(format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}", "b".repeat(20_000)))]
#[case::fields(format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: b\r\n".repeat(101)))]
fn oversized_heads_are_rejected(#[case] bytes: String) {
    let server = server(limits(), echo);
    assert_eq!(
        status(&send_and_read(server.local_addr(), bytes.as_bytes())),
        "431"
    );
}

#[rstest]
#[case::length(
    "POST /a?b HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
)]
#[case::chunked(
    "POST /a?b HTTP/1.1\r\nHost: x\r\nConnection: x, CLOSE\r\nTransfer-Encoding: Chunked\r\n\r\n\
     1;x=y\r\na\r\n002\r\nbc\r\n0\r\nT: v\r\n\r\n"
)]
#[case::http_10("POST /a?b HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc")]
#[case::absolute(
    "POST http://x/a?b HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
)]
fn a_request_gets_a_response_and_the_connection_closes(#[case] bytes: &str) {
    let server = server(limits(), echo);
    let response = send_and_read(server.local_addr(), bytes.as_bytes());
    assert_eq!(status(&response), "200");
    assert!(response.contains("Connection: close\r\n"), "{response}");
    assert!(response.ends_with("\r\n\r\nPOST /a?b|abc"), "{response}");
}

#[test]
fn pipelined_requests_are_served_in_order() {
    // Guards against a body that is parsed as the next request, or the reverse.
    let server = server(limits(), echo);
    let bytes = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n\
        HEAD /2 HTTP/1.1\r\nHost: x\r\n\r\n\
        POST /3 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n\
        GET /4 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n\
        GET /5 HTTP/1.0\r\n\r\n";
    let response = send_and_read(server.local_addr(), bytes.as_bytes());
    let mut parts = response.split("HTTP/1.1 200 OK\r\n").skip(1);
    let mut next = || parts.next().unwrap();
    assert!(next().ends_with("\r\n\r\nGET /1|"));
    assert_eq!(next(), "Content-Length: 8\r\n\r\n");
    assert!(next().ends_with("\r\n\r\nPOST /3|ab"));
    let old = next();
    assert!(old.contains("Connection: keep-alive\r\n") && old.ends_with("GET /4|"));
    assert!(next().ends_with("GET /5|"));
    assert_eq!(server.stats().accepted, 1);
}

#[test]
fn a_caller_that_expects_continue_gets_it() {
    let server = server(limits(), echo);
    let mut stream = connect(server.local_addr());
    let head = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
        Expect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ok").unwrap();
    assert!(read_to_close(&stream).ends_with("|ok"));
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\nHost: a\r\nX: ")]
#[case::body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")]
#[case::chunk("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n")]
fn a_slow_sender_times_out(#[case] start: &str) {
    // Guards against timeouts that start again with each byte.
    let limits = Limits {
        header_timeout: SHORT_TIMEOUT,
        body_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = server(limits, echo);
    let mut stream = connect(server.local_addr());
    stream.write_all(start.as_bytes()).unwrap();
    assert_eq!(status(&send_slowly(stream, b'a')), "408");
    assert_eq!(server.stats().requests, 0);
}

#[test]
fn a_slow_reader_times_out() {
    // Guards against a caller that occupies a thread by not reading its response.
    let limits = Limits {
        write_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = server(limits, |_: Request| {
        Response::new(200, vec![b'a'; 64 << 20])
    });
    let mut stream = connect(server.local_addr());
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    wait_until("the write times out", || {
        server.stats().refused.contains_key("write")
    });
    wait_until("the connection is closed", || {
        server.stats().connections == 0
    });
}

#[test]
fn an_idle_connection_is_closed() {
    let limits = Limits {
        idle_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = server(limits, echo);
    assert_eq!(
        send_and_read(server.local_addr(), b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            .matches("200 OK")
            .count(),
        1
    );
}

#[test]
fn incomplete_heads_do_not_exhaust_the_server() {
    // Guards against incomplete heads that exhaust the server: 1,500 of them once occupied 1,500
    // threads.
    let limits = Limits {
        max_connections: 20,
        ip_fraction: 0.5,
        header_timeout: TEST_TIMEOUT,
        ..Limits::default()
    };
    let server = server(limits, echo);
    let attacker = Ipv4Addr::new(127, 0, 0, 2);
    let attackers: Vec<TcpStream> = (0..50)
        .map(|_| {
            let mut stream = connect_from(server.local_addr(), attacker);
            let _ = stream.write_all(b"GET / HTTP/1.1\r\nHost");
            stream
        })
        .collect();
    wait_until("40 connections are refused", || {
        server.stats().refused.get("connections_per_ip") == Some(&40)
    });
    assert_eq!(server.stats().connections, 10);
    let request = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let started = Instant::now();
    assert!(send_and_read(server.local_addr(), request).ends_with("GET /a|"));
    assert!(started.elapsed() < TEST_TIMEOUT / 2);
    // Connections over the limit get a 503 response.
    let refused = read_to_close(attackers.last().unwrap());
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
}

#[test]
fn connections_over_the_limit_get_a_503_response() {
    let limits = Limits {
        max_connections: 2,
        ..limits()
    };
    let server = server(limits, echo);
    let first = connect(server.local_addr());
    let second = connect(server.local_addr());
    wait_until("both connections are open", || {
        server.stats().connections == 2
    });
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(status(&send_and_read(server.local_addr(), request)), "503");
    assert_eq!(server.stats().requests, 0);
    drop((first, second));
    wait_until("both connections are closed", || {
        server.stats().connections == 0
    });
    let request = b"GET / HTTP/1.0\r\n\r\n";
    assert_eq!(status(&send_and_read(server.local_addr(), request)), "200");
}

#[test]
fn a_handler_panic_gets_a_500_response_and_closes_one_connection() {
    let calls = Arc::new(AtomicUsize::new(0));
    let handler = {
        let calls = calls.clone();
        move |request: Request| {
            let is_first = calls.fetch_add(1, Ordering::SeqCst) == 0;
            assert!(!is_first, "requested by the test");
            echo(request)
        }
    };
    let server = server(limits(), handler);
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let response = send_and_read(server.local_addr(), request);
    assert_eq!(status(&response), "500");
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1);
    assert_eq!(server.stats().panics, 1);
    let request = b"GET / HTTP/1.0\r\n\r\n";
    assert_eq!(status(&send_and_read(server.local_addr(), request)), "200");
}

#[rstest]
#[case::line_end("X", "a\r\nSet-Cookie: b")]
#[case::name("X: a\r\nY", "b")]
fn response_header_injection_is_rejected(#[case] name: &'static str, #[case] value: &'static str) {
    // Guards against header values of a target or caller that inject header fields.
    let server = server(limits(), move |_: Request| {
        Response::new(200, Vec::new()).with_header(name, value)
    });
    let response = send_and_read(server.local_addr(), b"GET / HTTP/1.0\r\n\r\n");
    assert_eq!(status(&response), "500");
    assert!(!response.contains("Cookie") && !response.contains("Y:"));
}

#[test]
fn framing_fields_of_handlers_are_ignored() {
    // Guards against a forwarded response whose length contradicts its body.
    let server = server(limits(), |_: Request| {
        Response::new(200, b"abc".to_vec())
            .with_header("Content-Length", "1")
            .with_header("Transfer-Encoding", "chunked")
            .with_header("Connection", "keep-alive")
    });
    let response = send_and_read(server.local_addr(), b"GET / HTTP/1.0\r\n\r\n");
    let expected = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(response, expected);
}
