//! Probes of targets on fresh connections, which tell a dead connection from a dead target.

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

use crate::data_plane::Plane;

/// Time limit of a probe.
const LIMIT: Duration = Duration::from_millis(250);

/// Most probes at a time.
const RUNNING: usize = 16;

/// Method and path of a probe; any complete answer shows that the target is alive.
const METHOD: &str = "OPTIONS";
const PATH: &str = "*";

/// Largest answer to a probe, in bytes.
const ANSWER_SIZE: usize = 64 * 1024;

/// Starts probes.
pub(crate) struct Prober {
    plane: Weak<Plane>,
    pool: Arc<Pool>,
    source: Option<IpAddr>,
    running: Arc<AtomicUsize>,
}

impl Prober {
    pub(crate) fn new(plane: Weak<Plane>, pool: Arc<Pool>, source: Option<IpAddr>) -> Self {
        Prober {
            plane,
            pool,
            source,
            running: Arc::default(),
        }
    }

    /// Closes the pooled connections to a target and probes it. Beyond the limit on running
    /// probes nothing happens; the router asks again.
    pub(crate) fn probe(&self, target: TargetId, address: SocketAddr) {
        self.pool.clear(address);
        if self.running.fetch_add(1, Ordering::Relaxed) >= RUNNING {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let (plane, source) = (self.plane.clone(), self.source);
        let running = Arc::clone(&self.running);
        let probe = move || {
            let alive = answers(address, source);
            running.fetch_sub(1, Ordering::Relaxed);
            if let Some(plane) = plane.upgrade() {
                plane.route(Event::Probed { target, alive });
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

fn answers(address: SocketAddr, source: Option<IpAddr>) -> bool {
    let until = Instant::now() + LIMIT;
    let Ok(mut conn) = Conn::connect(address, source, LIMIT) else {
        return false;
    };
    let request = OutgoingRequest {
        method: METHOD,
        path: PATH,
        headers: &[],
        body: &[],
    };
    conn.exchange(&request, until, ANSWER_SIZE).is_ok()
}
