//! A proxy of TCP connections that can go silent: what is sent on connections that are open then is
//! dropped, in both directions and without an end of the connection, while new ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Passes calls to `at` on to `to`, each on a connection of its own, late by `delay`. What has been
/// sent arrives although its sender has ended meanwhile.
pub fn pass_late(at: SocketAddr, to: SocketAddr, delay: Duration) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    thread::spawn(move || {
        for mut from in listener.incoming().flatten() {
            thread::spawn(move || {
                let opened = Instant::now();
                let mut sent = Vec::new();
                // The sender waits for a second, less than the delay, and closes.
                let _ = from.set_read_timeout(Some(delay));
                let _ = from.read_to_end(&mut sent);
                thread::sleep(delay.saturating_sub(opened.elapsed()));
                if let Ok(mut onward) = TcpStream::connect(to)
                    && onward.write_all(&sent).is_ok()
                {
                    let _ = onward.set_read_timeout(Some(Duration::from_secs(1)));
                    let _ = onward.read(&mut [0; 4096]);
                }
            });
        }
    });
    Ok(())
}

#[derive(Clone, Default)]
pub struct Network {
    /// Number of times that the open connections have gone silent.
    silences: Arc<AtomicU64>,
    opened: Arc<AtomicUsize>,
}

impl Network {
    /// Passes connections to `at` on to `to`.
    pub fn pass(&self, at: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let network = self.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let Ok(onward) = TcpStream::connect(to) else {
                    continue;
                };
                network.opened.fetch_add(1, Ordering::SeqCst);
                let _ = (from.set_nodelay(true), onward.set_nodelay(true));
                let both = (from.try_clone(), onward.try_clone());
                let (Ok(back), Ok(forth)) = both else {
                    continue;
                };
                network.copy(from, forth);
                network.copy(onward, back);
            }
        });
        Ok(())
    }

    /// Number of connections opened so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }

    /// Makes the connections that are open now silent for good.
    pub fn go_silent(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let born = self.silences.load(Ordering::SeqCst);
        let silences = self.silences.clone();
        thread::spawn(move || {
            let mut buffer = [0; 16 << 10];
            loop {
                let count = from.read(&mut buffer).unwrap_or(0);
                let is_silent = silences.load(Ordering::SeqCst) != born;
                if count == 0 && is_silent {
                    // Neither end learns of the other's.
                    loop {
                        thread::park();
                    }
                }
                if count == 0 {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                if !is_silent && to.write_all(&buffer[..count]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
    }
}
