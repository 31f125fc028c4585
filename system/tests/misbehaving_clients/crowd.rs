//! Many clients at once, each a thread with blocking sockets. A client sends what its test tells it to, and keeps its
//! connection open until the crowd is dropped.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use googletest::prelude::*;

/// A client gives up its connection if the process takes nothing for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// After this the test has hung.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How often a client begins again after its connection was refused or closed.
const CONNECTIONS_PER_CLIENT: usize = 2;
const STACK_BYTES: usize = 256 * 1024;

/// What a client does with a new connection. An error means that the process has refused or closed it.
pub type Behavior = dyn Fn(&TcpStream) -> io::Result<()> + Send + Sync;

/// The clients of a test.
pub struct Crowd {
    clients: usize,
    settled: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<Arc<TcpStream>>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts this many clients at once, which connect to this address.
    pub fn start(clients: usize, to: SocketAddrV4, behavior: Arc<Behavior>) -> Result<Crowd> {
        let mut crowd = Crowd {
            clients,
            settled: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
            threads: Vec::new(),
        };
        for _ in 0..clients {
            let (settled, ended) = (crowd.settled.clone(), crowd.ended.clone());
            let (connections, behavior) = (crowd.connections.clone(), behavior.clone());
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            crowd.threads.push(builder.spawn(move || {
                for _ in 0..CONNECTIONS_PER_CLIENT {
                    if attempt(to, &connections, &*behavior).is_ok() || ended.load(Ordering::Relaxed) {
                        break;
                    }
                }
                settled.fetch_add(1, Ordering::Relaxed);
            })?);
        }
        Ok(crowd)
    }

    /// Waits until each client has sent what it has to send, or was refused.
    pub fn settle(&self) -> Result<()> {
        let started = Instant::now();
        while self.settled.load(Ordering::Relaxed) < self.clients {
            if started.elapsed() > SETTLE_TIMEOUT {
                let settled = self.settled.load(Ordering::Relaxed);
                return fail!("the process hangs: {settled} of {} clients came to an end", self.clients);
            }
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for connection in self.connections.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            // The process may have closed it.
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.threads.drain(..).for_each(|thread| thread.join().expect("a client does not panic"));
    }
}

fn attempt(
    to: SocketAddrV4,
    connections: &Mutex<Vec<Arc<TcpStream>>>,
    behavior: &Behavior,
) -> io::Result<()> {
    let stream = Arc::new(TcpStream::connect_timeout(&to.into(), CONNECT_TIMEOUT)?);
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_nodelay(true)?;
    connections.lock().unwrap_or_else(PoisonError::into_inner).push(stream.clone());
    behavior(&stream)
}

/// The head of a request with these fields, each ended by a line end.
pub fn head(method: &str, path: &str, host: &str, fields: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{fields}\r\n").into_bytes()
}

/// A body of `length` bytes in chunks of `chunk` bytes, without its last chunk.
pub fn unfinished_chunks(length: usize, chunk: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(length + length / chunk * 16);
    for _ in 0..length / chunk {
        bytes.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + chunk, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A client that sends these bytes, and nothing more.
pub fn sends(parts: Vec<Vec<u8>>) -> Arc<Behavior> {
    Arc::new(move |mut stream| parts.iter().try_for_each(|part| stream.write_all(part)))
}

/// A client that sends these bytes, and reads until the process closes the connection.
pub fn sends_and_reads(parts: Vec<Vec<u8>>) -> Arc<Behavior> {
    Arc::new(move |mut stream| {
        parts.iter().try_for_each(|part| stream.write_all(part))?;
        stream.set_read_timeout(Some(WRITE_TIMEOUT))?;
        let mut bytes = [0; 4096];
        while stream.read(&mut bytes)? > 0 {}
        Ok(())
    })
}
