//! What a process does with messages of its peers.

use std::net::SocketAddr;

/// Receives messages of authenticated peers. Methods are called from many threads at once; the
/// next message of the same connection waits until the method returns.
///
/// A panic in a method ends at most the connection that the message came from.
pub trait Handler: Send + Sync {
    /// Answers a request of the VM `from`.
    fn call(&self, from: u32, request: Vec<u8>) -> Vec<u8>;

    /// Takes a message of the VM `from` that has no response.
    fn cast(&self, from: u32, message: Vec<u8>);

    /// Takes a datagram of the VM `from`, which came from the address `source`.
    fn datagram(&self, from: u32, message: Vec<u8>, source: SocketAddr);
}
