//! Threads that make the entry node's calls to other VMs. Calls to the control group and calls
//! inside the domain have separate threads, so that control VMs that do not reply cannot block
//! calls inside the domain.

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

/// Stack size of a thread, in bytes.
const STACK_SIZE: usize = 256 * 1024;

/// A queued call.
pub(crate) struct CallJob {
    pub(crate) to: VmId,
    pub(crate) address: SocketAddr,
    pub(crate) call: Call,
    /// Time without a byte of the reply after which the call fails.
    pub(crate) timeout: Duration,
    /// Callback that gets the reply, or whether a failed call may have been delivered.
    pub(crate) on_reply: Box<dyn FnOnce(Result<Reply, bool>) + Send>,
}

/// Queues of the threads.
pub(crate) struct CallPool {
    control: Sender<CallJob>,
    domain: Sender<CallJob>,
}

impl CallPool {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be created.
    pub(crate) fn start(peers: &Arc<PeerClient>) -> std::io::Result<Self> {
        Ok(CallPool {
            control: start_workers("call-control", CONTROL_THREADS, peers)?,
            domain: start_workers("call-domain", DOMAIN_THREADS, peers)?,
        })
    }

    pub(crate) fn run(&self, job: CallJob) {
        let queue = match job.call {
            Call::Control(_) => &self.control,
            _ => &self.domain,
        };
        // The threads receive as long as the pool exists, so sending does not fail.
        let _ = queue.send(job);
    }
}

fn start_workers(
    name: &str,
    count: usize,
    peers: &Arc<PeerClient>,
) -> std::io::Result<Sender<CallJob>> {
    let (queue, jobs) = mpsc::channel();
    let jobs = Arc::new(Mutex::new(jobs));
    for _ in 0..count {
        let (jobs, peers) = (Arc::clone(&jobs), Arc::clone(peers));
        thread::Builder::new()
            .name(name.into())
            .stack_size(STACK_SIZE)
            .spawn(move || run_jobs(&jobs, &peers))?;
    }
    Ok(queue)
}

fn run_jobs(jobs: &Mutex<Receiver<CallJob>>, peers: &PeerClient) {
    loop {
        let Ok(job) = lock(jobs).recv() else {
            return;
        };
        let result = make_call(peers, &job);
        (job.on_reply)(result);
    }
}

fn make_call(peers: &PeerClient, job: &CallJob) -> Result<Reply, bool> {
    let bytes = postcard::to_stdvec(&job.call).map_err(|_| false)?;
    let reply = peers
        .transfer(job.address, Some(job.to), &bytes, job.timeout)
        .map_err(|err| err.maybe_delivered)?;
    postcard::from_bytes(&reply).map_err(|_| true)
}
