//! Threads that make the entry node's calls. Calls to the control group and calls inside the
//! domain run apart, so that silent control VMs cannot hold up the domain.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        mpsc::{
            self,
            Receiver,
            Sender, //
        },
    },
    thread,
    time::Duration,
};

use camphordale_net::PeerClient;
use camphordale_node::{
    Call,
    Reply, //
};
use camphordale_types::VmId;

use crate::sync::lock;

/// Threads for calls to the control group.
const CONTROL_THREADS: usize = 3;

/// Threads for calls inside the domain.
const DOMAIN_THREADS: usize = 6;

/// Stack of a thread, in bytes.
const STACK: usize = 256 * 1024;

/// A call to be made.
pub(crate) struct CallJob {
    pub(crate) to: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) call: Call,
    pub(crate) timeout: Duration,
    /// Gets the answer, or whether the call may have been delivered.
    pub(crate) done: Box<dyn FnOnce(Result<Reply, bool>) + Send>,
}

/// The threads.
pub(crate) struct CallPool {
    control: Sender<CallJob>,
    domain: Sender<CallJob>,
}

impl CallPool {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// The system may refuse a thread.
    pub(crate) fn start(peers: &Arc<PeerClient>) -> std::io::Result<Self> {
        Ok(CallPool {
            control: workers("call-control", CONTROL_THREADS, peers)?,
            domain: workers("call-domain", DOMAIN_THREADS, peers)?,
        })
    }

    pub(crate) fn run(&self, job: CallJob) {
        let queue = match job.call {
            Call::Control(_) => &self.control,
            _ => &self.domain,
        };
        // The threads end only with the pool.
        let _ = queue.send(job);
    }
}

fn workers(name: &str, count: usize, peers: &Arc<PeerClient>) -> std::io::Result<Sender<CallJob>> {
    let (queue, jobs) = mpsc::channel();
    let jobs = Arc::new(Mutex::new(jobs));
    for _ in 0..count {
        let (jobs, peers) = (Arc::clone(&jobs), Arc::clone(peers));
        thread::Builder::new()
            .name(name.into())
            .stack_size(STACK)
            .spawn(move || work(&jobs, &peers))?;
    }
    Ok(queue)
}

fn work(jobs: &Mutex<Receiver<CallJob>>, peers: &PeerClient) {
    loop {
        let Ok(job) = lock(jobs).recv() else {
            return;
        };
        let result = make(peers, &job);
        (job.done)(result);
    }
}

fn make(peers: &PeerClient, job: &CallJob) -> Result<Reply, bool> {
    let bytes = postcard::to_stdvec(&job.call).map_err(|_| false)?;
    let answer = peers
        .call(job.address, Some(job.to), &bytes, job.timeout)
        .map_err(|err| err.maybe_delivered)?;
    postcard::from_bytes(&answer).map_err(|_| true)
}
