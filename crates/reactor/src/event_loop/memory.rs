//! Bounds on what the loop holds for others.
//!
//! Bodies of requests have a budget of their own, from the head of a request until no attempt needs
//! the body any more: memory for a body is reserved before it is read, and a request whose body has
//! no room is rejected then, so that those in progress can be finished. What targets and slow callers
//! make the loop hold cannot be known before; beyond its bound, connections are closed.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::{
    ConnId,
    EventLoop,
    FailureCause,
    conn::ConnKind, //
};
use crate::{
    held_body::HeldBody,
    server_connection::RequestError, //
};

/// Longest body that needs no reservation: it fits into the buffers that each connection has anyway.
const MAX_UNRESERVED_BODY: usize = 8 << 10;

/// Status of a request that is rejected for want of memory. It has not been passed on.
pub(super) const NO_MEMORY_STATUS: u16 = 503;

impl EventLoop {
    /// Sets the number of bytes that the loop holds at most for incomplete messages and for responses
    /// that callers take slowly. Beyond it, connections are closed, first those without a stated
    /// length.
    pub fn set_buffer_limit(&mut self, bytes: usize) {
        self.buffer_limit = bytes;
    }

    /// Sets the number of bytes that bodies of requests take at most, from their heads until they are
    /// needed no more. Further requests with long bodies are rejected with 503.
    pub fn set_body_limit(&mut self, bytes: usize) {
        self.body_limit = bytes;
    }

    /// Number of bytes that the loop holds for incomplete messages and for slow callers.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered
    }

    /// Number of bytes that are reserved for bodies of requests or taken by them.
    pub fn body_bytes(&self) -> usize {
        self.reserved + self.held_bytes.get()
    }

    /// Keeps the complete body of the request on `conn` until it is dropped everywhere.
    pub fn hold_body(&mut self, conn: ConnId, body: Vec<u8>) -> Arc<HeldBody> {
        if let Some(key) = self.key_of(conn) {
            self.release_reservation(key);
        }
        Arc::new(self.held_bytes.hold(body))
    }

    /// Reserves memory for the body that a connection receives.
    ///
    /// # Errors
    ///
    /// The error for the client if there is no room.
    pub(super) fn reserve_body(&mut self, key: usize) -> Result<(), RequestError> {
        let taken = self.body_bytes();
        let conn = &mut self.conns[key];
        let ConnKind::HttpServer { protocol, .. } = &conn.kind else {
            return Ok(());
        };
        let needed = protocol.needed_bytes();
        let missing = needed.saturating_sub(conn.reserved);
        if needed <= MAX_UNRESERVED_BODY || missing == 0 {
            return Ok(());
        }
        if taken + missing > self.body_limit {
            self.stats.without_memory += 1;
            return Err(RequestError {
                status: NO_MEMORY_STATUS,
                reason: "no memory for the body",
            });
        }
        conn.reserved += missing;
        self.reserved += missing;
        Ok(())
    }

    /// Gives up the memory reserved for the body on a connection.
    pub(super) fn release_reservation(&mut self, key: usize) {
        let reserved = std::mem::take(&mut self.conns[key].reserved);
        self.reserved -= reserved;
    }

    /// Counts what a connection holds. If the loop holds too much, closes the connections that may
    /// come to hold the most, and of these the ones that hold the most. So messages of a stated
    /// length are received while others send without end.
    pub(super) fn account(&mut self, key: usize, now: Duration) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let held = conn.buffered();
        let before = std::mem::replace(&mut conn.accounted, held);
        self.buffered = self.buffered - before + held;
        if held <= before {
            return;
        }
        while self.buffered > self.buffer_limit {
            let holders = self.conns.iter().filter(|(_, conn)| conn.accounted > 0);
            let largest = holders.max_by_key(|(_, conn)| (conn.claimed(), conn.accounted));
            let Some((largest, _)) = largest else {
                return;
            };
            self.close_connection(largest, FailureCause::Local, "too many bytes are held", now);
        }
    }
}
