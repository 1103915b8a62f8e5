//! Allocation of loopback networks to fleets.

use std::{
    io,
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::{
        Mutex,
        PoisonError, //
    },
};

use super::{
    FleetError,
    LINK_CONTROL_PORT,
    PEER_PORT, //
};

/// Port that a process keeps bound to reserve a network.
const RESERVED_PORT: u16 = 9001;

/// Reserves a second address byte that no other fleet on this machine uses. The reservation lasts
/// until this process ends, because targets that run in this process may outlive their fleet.
pub(super) fn reserve() -> Result<u8, FleetError> {
    static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let mut reservations = RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let first = (std::process::id() % 180) as u8;
    for step in 0..180u8 {
        let network = 20 + ((u16::from(first) + u16::from(step)) % 180) as u8;
        let reserved = TcpListener::bind(SocketAddr::from(([127, network, 0, 1], RESERVED_PORT)));
        let probe = SocketAddr::from(([127, network, 1, 1], PEER_PORT));
        let control = SocketAddr::from(([127, network, 0, 1], LINK_CONTROL_PORT));
        if let Ok(reserved) = reserved
            && TcpListener::bind(probe).is_ok()
            && TcpListener::bind(control).is_ok()
        {
            reservations.push(reserved);
            return Ok(network);
        }
    }
    let source = io::Error::from(io::ErrorKind::AddrInUse);
    Err(FleetError::io("find a free network")(source))
}
