//! Liveness probes of targets. A probe uses a new connection, to distinguish a target that does not
//! respond from a pooled connection that no longer works.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc, Weak,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use camphordale_http::{
    Conn,
    OutgoingRequest,
    Pool, //
};
use camphordale_route::Event;
use camphordale_types::TargetId;

use crate::data_plane::DataPlane;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of concurrent probes.
const MAX_PROBES: usize = 16;

/// Method and path of a probe; any complete response shows that the target is alive.
const PROBE_METHOD: &str = "OPTIONS";
const PROBE_PATH: &str = "*";

/// Maximum size of a response to a probe, in bytes.
const MAX_RESPONSE_SIZE: usize = 64 * 1024;

/// Runs probes, each on its own thread.
pub(crate) struct Prober {
    data_plane: Weak<DataPlane>,
    pool: Arc<Pool>,
    source_ip: Option<IpAddr>,
    running: Arc<AtomicUsize>,
}

impl Prober {
    pub(crate) fn new(
        data_plane: Weak<DataPlane>,
        pool: Arc<Pool>,
        source_ip: Option<IpAddr>,
    ) -> Self {
        Prober {
            data_plane,
            pool,
            source_ip,
            running: Arc::default(),
        }
    }

    /// Closes the pooled connections to a target and probes it. Does not probe if the limit on
    /// concurrent probes is reached; the router requests a probe again.
    pub(crate) fn probe(&self, target: TargetId, address: SocketAddr) {
        self.pool.clear(address);
        if self.running.fetch_add(1, Ordering::Relaxed) >= MAX_PROBES {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let (data_plane, source_ip) = (self.data_plane.clone(), self.source_ip);
        let running = Arc::clone(&self.running);
        let probe = move || {
            let alive = is_alive(address, source_ip);
            running.fetch_sub(1, Ordering::Relaxed);
            if let Some(data_plane) = data_plane.upgrade() {
                data_plane.handle_router_event(Event::Probed { target, alive });
            }
        };
        if thread::Builder::new()
            .name("probe".into())
            .spawn(probe)
            .is_err()
        {
            self.running.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

fn is_alive(address: SocketAddr, source_ip: Option<IpAddr>) -> bool {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let Ok(mut conn) = Conn::connect(address, source_ip, PROBE_TIMEOUT) else {
        return false;
    };
    let request = OutgoingRequest {
        method: PROBE_METHOD,
        path: PROBE_PATH,
        headers: &[],
        body: &[],
    };
    conn.exchange(&request, deadline, MAX_RESPONSE_SIZE).is_ok()
}
