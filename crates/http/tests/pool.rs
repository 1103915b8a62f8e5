//! Connection pool with concurrent threads.

#![allow(clippy::unwrap_used, reason = "clippy does not see helpers as tests")]

mod common;

use std::{
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    thread,
    time::Instant, //
};

use camphordale_http::{
    OutgoingRequest,
    Pool,
    PoolConfig,
    Request,
    Response, //
};
use common::{
    SHORT_TIMEOUT,
    TEST_TIMEOUT,
    limits,
    server, //
};

const THREADS: usize = 12;
const REQUESTS: usize = 200;
const LIMIT: usize = 4;

#[test]
fn many_threads_share_the_limit_without_lost_wakeups() {
    // Guards against more connections than the limit, leaked permits and lost wake-ups. Some
    // connections are dropped and the address is cleared at times, so that permits are freed in
    // every way.
    let server = server(limits(), |request: Request| {
        Response::new(200, request.body)
    });
    let address = server.local_addr();
    let pool = Pool::new(PoolConfig::default());
    let in_use = AtomicUsize::new(0);
    let started = Instant::now();
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let (pool, in_use) = (&pool, &in_use);
            scope.spawn(move || {
                for request in 0..REQUESTS {
                    let deadline = Instant::now() + TEST_TIMEOUT;
                    let mut conn = pool.acquire(address, LIMIT, deadline).unwrap();
                    assert!(in_use.fetch_add(1, Ordering::SeqCst) < LIMIT);
                    let body = format!("{thread}/{request}").into_bytes();
                    let out = OutgoingRequest {
                        method: "POST",
                        path: "/",
                        headers: &[],
                        body: &body,
                    };
                    let response = conn.exchange(&out, deadline, 100).unwrap();
                    assert_eq!(response.body, body);
                    in_use.fetch_sub(1, Ordering::SeqCst);
                    match request % 16 {
                        0 => drop(conn),
                        1 => {
                            pool.release(conn);
                            pool.clear(address);
                        }
                        _ => pool.release(conn),
                    }
                }
            });
        }
    });
    assert!(started.elapsed() < TEST_TIMEOUT);
    let counts = pool.stats(address);
    assert_eq!(counts.open, counts.idle);
    assert!(counts.open <= LIMIT, "{counts:?}");
    pool.clear(address);
    pool.close_expired();
    assert_eq!(pool.stats(address).open, 0);
}

#[test]
fn an_idle_connection_serves_any_thread_at_the_limit() {
    // Guards against a thread that waits although a connection of another thread is idle.
    let server = server(limits(), |_: Request| Response::new(200, Vec::new()));
    let address = server.local_addr();
    let pool = Pool::new(PoolConfig::default());
    for _ in 0..5 {
        thread::scope(|scope| {
            scope.spawn(|| {
                let deadline = Instant::now() + TEST_TIMEOUT;
                let mut conn = pool.acquire(address, 1, deadline).unwrap();
                let out = OutgoingRequest {
                    method: "GET",
                    path: "/",
                    headers: &[],
                    body: b"",
                };
                conn.exchange(&out, deadline, 100).unwrap();
                pool.release(conn);
            });
        });
    }
    assert_eq!(server.stats().requests, 5);
    assert_eq!(server.stats().accepted, 1);
}

#[test]
fn a_waiter_is_woken_by_a_released_connection() {
    // Guards against a waiter that sleeps until its deadline although a connection was released.
    let server = server(limits(), |_: Request| Response::new(200, Vec::new()));
    let address = server.local_addr();
    let pool = Pool::new(PoolConfig::default());
    let conn = pool
        .acquire(address, 1, Instant::now() + TEST_TIMEOUT)
        .unwrap();
    let started = Instant::now();
    thread::scope(|scope| {
        let waiter = scope.spawn(|| {
            let conn = pool.acquire(address, 1, started + TEST_TIMEOUT);
            (conn.is_ok(), started.elapsed())
        });
        // By the end of this failing attempt, the other thread waits.
        assert!(
            pool.acquire(address, 1, Instant::now() + SHORT_TIMEOUT)
                .is_err()
        );
        pool.release(conn);
        let (acquired, waited) = waiter.join().unwrap();
        assert!(acquired && waited < TEST_TIMEOUT / 2, "{waited:?}");
    });
}
