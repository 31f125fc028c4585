//! A network of datagrams between processes. Each member has a forwarder, whose address the other members use, so that
//! datagrams between any pair can be cut, delayed, lost, duplicated, reordered or rate-limited in each direction separately.
//! Runs in user space only.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// The longest datagram that is forwarded, in bytes.
const MAX_DATAGRAM_LEN: usize = 64 * 1024;
/// The largest number of delayed datagrams; further ones are dropped, as a congested network does.
const MAX_IN_FLIGHT: usize = 20_000;

/// The conditions for datagrams from one member to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Path {
    /// All datagrams are dropped.
    pub cut: bool,
    /// The fraction that is lost.
    pub loss: f64,
    /// The fraction that is delivered twice.
    pub doubled: f64,
    /// The fixed delay.
    pub delay: Duration,
    /// The largest additional random delay, which also reorders datagrams.
    pub jitter: Duration,
    /// The largest rate in bytes per second; datagrams above it are queued.
    pub rate: Option<f64>,
}

/// A path without faults.
pub const FREE: Path =
    Path { cut: false, loss: 0.0, doubled: 0.0, delay: Duration::ZERO, jitter: Duration::ZERO, rate: None };

/// Counts of datagrams by what happened to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Received from members, whatever happened to them afterwards.
    pub taken: u64,
    /// Delivered, duplicates included.
    pub passed: u64,
    /// Dropped by a cut path.
    pub cut: u64,
    /// Dropped by random loss.
    pub lost: u64,
    /// Dropped because too many were delayed at the time.
    pub crowded: u64,
    /// Received from a sender that is no member.
    pub strange: u64,
}

struct Member {
    /// The address that it sends from and receives at.
    real: SocketAddr,
    /// The forwarder's socket, whose address all other members use.
    public: Rc<UdpSocket>,
}

struct Inner {
    members: RefCell<Vec<Member>>,
    paths: RefCell<BTreeMap<(usize, usize), Path>>,
    /// When a rate-limited path has sent its queue.
    busy: RefCell<BTreeMap<(usize, usize), Instant>>,
    random: RefCell<Pcg64Mcg>,
    in_flight: Cell<usize>,
    carried: Cell<Carried>,
}

/// All members and the paths between them.
pub struct Mesh {
    inner: Rc<Inner>,
    forwarders: Vec<JoinHandle<()>>,
}

impl Mesh {
    /// A mesh without members. Equal seeds give equal random draws, but the kernel determines the order in which datagrams
    /// arrive.
    pub fn new(seed: u64) -> Mesh {
        let inner = Inner {
            members: RefCell::default(),
            paths: RefCell::default(),
            busy: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            in_flight: Cell::new(0),
            carried: Cell::default(),
        };
        Mesh { inner: Rc::new(inner), forwarders: Vec::new() }
    }

    /// Adds a member that sends from and receives at this address. Returns its number and the address that the other
    /// members must use.
    ///
    /// # Errors
    ///
    /// No UDP port of the loopback interface can be bound.
    pub async fn add(&mut self, real: SocketAddr) -> io::Result<(usize, SocketAddr)> {
        let public = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let address = public.local_addr()?;
        let number = self.inner.members.borrow().len();
        self.inner.members.borrow_mut().push(Member { real, public: public.clone() });
        self.forwarders.push(spawn_local(forward(self.inner.clone(), number, public)));
        Ok((number, address))
    }

    /// Replaces a member's process by one at this address; the address that the others use stays the same.
    pub fn replace(&self, member: usize, real: SocketAddr) {
        self.inner.members.borrow_mut()[member].real = real;
    }

    /// Sets the conditions for datagrams from one member to another.
    pub fn set(&self, from: usize, to: usize, path: Path) {
        self.inner.paths.borrow_mut().insert((from, to), path);
    }

    /// Partitions two groups from each other in both directions.
    pub fn part(&self, one: &[usize], two: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| two.iter().map(move |b| (*a, *b))) {
            for ends in [(a, b), (b, a)] {
                let mut paths = self.inner.paths.borrow_mut();
                paths.entry(ends).or_insert(FREE).cut = true;
            }
        }
    }

    /// Removes all faults from the paths.
    pub fn heal(&self) {
        self.inner.paths.borrow_mut().clear();
        self.inner.busy.borrow_mut().clear();
    }

    /// The counts so far.
    pub fn carried(&self) -> Carried {
        self.inner.carried.get()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.forwarders.iter().for_each(JoinHandle::abort);
    }
}

impl Inner {
    fn count(&self, change: impl FnOnce(&mut Carried)) {
        let mut carried = self.carried.get();
        change(&mut carried);
        self.carried.set(carried);
    }

    /// When to deliver each copy of a datagram; empty if it is dropped.
    fn delivery_times(&self, ends: (usize, usize), size: usize) -> Vec<Instant> {
        let path = self.paths.borrow().get(&ends).copied().unwrap_or(FREE);
        let mut random = self.random.borrow_mut();
        if path.cut {
            self.count(|carried| carried.cut += 1);
            return Vec::new();
        }
        // Random numbers are drawn only for faults that are set, so that a path without faults does not change the draws of
        // the others.
        if path.loss > 0.0 && random.random::<f64>() < path.loss {
            self.count(|carried| carried.lost += 1);
            return Vec::new();
        }
        let copies = if path.doubled > 0.0 && random.random::<f64>() < path.doubled { 2 } else { 1 };
        let mut departure = Instant::now();
        if let Some(rate) = path.rate.filter(|rate| *rate > 0.0) {
            let mut busy = self.busy.borrow_mut();
            let free = busy.entry(ends).or_insert(departure);
            *free = departure.max(*free) + Duration::from_secs_f64(size as f64 / rate);
            departure = *free;
        }
        let extra_delay = |random: &mut Pcg64Mcg| {
            if path.jitter.is_zero() { Duration::ZERO } else { path.jitter.mul_f64(random.random::<f64>()) }
        };
        (0..copies).map(|_| departure + path.delay + extra_delay(&mut random)).collect()
    }
}

/// Receives and forwards the datagrams that the others send to a member.
async fn forward(of: Rc<Inner>, to: usize, public: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        // An error reports that an earlier datagram was not accepted by its receiver; later ones may be.
        let Ok((count, source)) = public.recv_from(&mut buffer).await else { continue };
        let from = of.members.borrow().iter().position(|member| member.real == source);
        let Some(from) = from else {
            of.count(|carried| carried.strange += 1);
            continue;
        };
        let delivery_times = of.delivery_times((from, to), count);
        of.count(|carried| carried.taken += 1);
        for at in delivery_times {
            let bytes = buffer[..count].to_vec();
            if at <= Instant::now() {
                deliver(&of, from, to, &bytes).await;
            } else if of.in_flight.get() >= MAX_IN_FLIGHT {
                of.count(|carried| carried.crowded += 1);
            } else {
                of.in_flight.set(of.in_flight.get() + 1);
                let of = of.clone();
                spawn_local(async move {
                    tokio::time::sleep_until(at).await;
                    of.in_flight.set(of.in_flight.get() - 1);
                    deliver(&of, from, to, &bytes).await;
                });
            }
        }
    }
}

/// Sends a datagram from the sender's forwarder, so that the receiver sees the sender's address in the mesh.
async fn deliver(of: &Rc<Inner>, from: usize, to: usize, bytes: &[u8]) {
    let (socket, real) = {
        let members = of.members.borrow();
        (members[from].public.clone(), members[to].real)
    };
    // A member that has ended receives nothing, and as on a real network its sender is not told.
    if socket.send_to(bytes, real).await.is_ok() {
        of.count(|carried| carried.passed += 1);
    }
}

#[cfg(test)]
mod tests;
