//! Copies counts of the edges into the metrics once a second.

use std::{
    io,
    sync::{
        Arc,
        Weak, //
    },
    thread,
    time::Duration,
};

use camphordale_net::{
    Datagrams,
    PeerClient, //
};

use crate::{
    metrics::{
        Direction,
        Metrics, //
    },
    plane::Plane,
};

/// Time between copies.
const EVERY: Duration = Duration::from_secs(1);

/// What is copied.
pub(crate) struct Pump {
    plane: Weak<Plane>,
    peers: Arc<PeerClient>,
    datagrams: Arc<Datagrams>,
    metrics: Arc<Metrics>,
}

/// Messages and bytes, in and out.
#[derive(Clone, Copy, Default)]
struct Traffic {
    messages_in: u64,
    bytes_in: u64,
    messages_out: u64,
    bytes_out: u64,
}

impl Pump {
    /// Starts the thread. It ends with the data plane.
    ///
    /// # Errors
    ///
    /// The system may refuse the thread.
    pub(crate) fn start(
        plane: &Arc<Plane>,
        peers: &Arc<PeerClient>,
        datagrams: &Arc<Datagrams>,
        metrics: &Arc<Metrics>,
    ) -> io::Result<()> {
        let pump = Pump {
            plane: Arc::downgrade(plane),
            peers: Arc::clone(peers),
            datagrams: Arc::clone(datagrams),
            metrics: Arc::clone(metrics),
        };
        thread::Builder::new()
            .name("metrics".into())
            .stack_size(128 * 1024)
            .spawn(move || pump.run())?;
        Ok(())
    }

    fn run(&self) {
        let mut before = Traffic::default();
        loop {
            thread::sleep(EVERY);
            let Some(plane) = self.plane.upgrade() else {
                return;
            };
            let status = plane.with_router(|router| router.status());
            self.metrics
                .set_load(status.waiting as u64, plane.in_flight() as u64);
            let now = self.traffic();
            let (messages, bytes) = (
                now.messages_in - before.messages_in,
                now.bytes_in - before.bytes_in,
            );
            self.metrics.peer_traffic(Direction::In, messages, bytes);
            let (messages, bytes) = (
                now.messages_out - before.messages_out,
                now.bytes_out - before.bytes_out,
            );
            self.metrics.peer_traffic(Direction::Out, messages, bytes);
            before = now;
        }
    }

    fn traffic(&self) -> Traffic {
        let (client, datagrams) = (self.peers.stats(), self.datagrams.stats());
        Traffic {
            messages_in: client.messages_in + datagrams.messages_in,
            bytes_in: client.bytes_in + datagrams.bytes_in,
            messages_out: client.messages_out + datagrams.messages_out,
            bytes_out: client.bytes_out + datagrams.bytes_out,
        }
    }
}
