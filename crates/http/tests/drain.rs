//! Draining of a server.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

use std::{
    io::{
        Read,
        Write, //
    },
    net::TcpStream,
    sync::{
        Mutex,
        mpsc, //
    },
    thread, //
};

use camphordale_http::{
    Request,
    Response, //
};
use common::{
    LONG,
    SHORT,
    connect,
    eventually,
    limits,
    rest,
    server, //
};

#[test]
fn requests_in_flight_finish_and_idle_connections_end() {
    // Guards against a shutdown that interrupts a request (G7) or waits for idle callers.
    let (entered, entries) = mpsc::channel();
    let (gate, opened) = mpsc::channel::<()>();
    let (entered, opened) = (Mutex::new(entered), Mutex::new(opened));
    let server = server(limits(), move |request: Request| {
        if &*request.path == "/wait" {
            entered.lock().unwrap().send(()).unwrap();
            let _ = opened.lock().unwrap().recv_timeout(LONG);
        }
        Response::new(200, b"done".to_vec())
    });
    let address = server.local_addr();
    let mut idle = connect(address);
    idle.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    let mut answer = [0; 42];
    idle.read_exact(&mut answer).unwrap();
    assert!(answer.ends_with(b"done"));
    let mut busy = connect(address);
    busy.write_all(b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
        .unwrap();
    entries.recv_timeout(LONG).unwrap();

    assert!(!server.drain(SHORT), "a request is still in flight");
    assert_eq!(rest(&idle), "", "the idle connection is closed");
    thread::scope(|scope| {
        let drained = scope.spawn(|| server.drain(LONG));
        eventually("the end of accepting", || {
            TcpStream::connect(address).is_err()
        });
        gate.send(()).unwrap();
        let answer = rest(&busy);
        assert!(answer.contains("Connection: close\r\n"), "{answer}");
        assert!(answer.ends_with("done"), "{answer}");
        drop(busy);
        assert!(drained.join().unwrap());
    });
    assert_eq!(server.stats().connections, 0);
}

#[test]
fn a_request_that_is_arriving_is_served() {
    // Guards against a drain that takes a connection with half a request for an idle one.
    let server = server(limits(), |request: Request| {
        Response::new(200, request.body)
    });
    let mut stream = connect(server.local_addr());
    stream
        .write_all(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n",
        )
        .unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert!(!server.drain(SHORT));
    stream.write_all(b"body").unwrap();
    let answer = rest(&stream);
    assert!(answer.contains("Connection: close\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nbody"), "{answer}");
    drop(stream);
    assert!(server.drain(LONG));
}

/// Guards against requests that are cut off because their connections wait to be accepted, or for
/// their thread, when the server drains. Seen as one POST in 400 without an answer when a VM was
/// shut down beside a busy machine.
#[test]
fn requests_that_arrived_before_a_drain_are_answered() {
    for round in 0..5 {
        let server = server(limits(), |request: Request| {
            Response::new(200, request.body)
        });
        let address = server.local_addr();
        let mut callers: Vec<TcpStream> = (0..20).map(|_| connect(address)).collect();
        for caller in &mut callers {
            caller
                .write_all(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
                .unwrap();
        }
        server.drain(LONG);
        let cut = callers.iter().filter(|caller| {
            let mut answer = String::new();
            let mut caller: &TcpStream = caller;
            let read = caller.read_to_string(&mut answer);
            read.is_err() || !answer.starts_with("HTTP/1.1 200 ")
        });
        assert_eq!(cut.count(), 0, "round {round}");
    }
}
