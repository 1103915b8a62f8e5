//! Interface for handling messages from peers.

use std::net::SocketAddr;

/// Handles messages from authenticated peers. Methods are called concurrently from several threads;
/// messages of the same connection are handled one after another.
///
/// A panic in a method closes at most the connection that the message came from.
pub trait Handler: Send + Sync {
    /// Handles a request from the VM `from` and returns the reply.
    fn call(&self, from: u32, request: Vec<u8>) -> Vec<u8>;

    /// Handles a one-way message from the VM `from`.
    fn cast(&self, from: u32, message: Vec<u8>);

    /// Handles a datagram from the VM `from`, received from the address `source`.
    fn datagram(&self, from: u32, message: Vec<u8>, source: SocketAddr);
}
