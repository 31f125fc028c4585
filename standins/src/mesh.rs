//! Datagrams between processes: each member has a forwarder, which is its address for all others, so that any pair can be
//! cut off, delayed, thinned, doubled, put out of order or throttled, each way for itself. User space only.

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

/// The longest datagram that is carried.
const LONGEST: usize = 64 * 1024;
/// Datagrams under way at a time; more are lost, as on any network.
const UNDER_WAY: usize = 20_000;

/// How datagrams fare from one member to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Path {
    /// None gets through.
    pub cut: bool,
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub doubled: f64,
    /// How long each takes.
    pub delay: Duration,
    /// And up to so much longer: those behind overtake.
    pub jitter: Duration,
    /// Bytes a second at most; they queue up behind each other.
    pub rate: Option<f64>,
}

/// A path with nothing wrong.
pub const FREE: Path =
    Path { cut: false, loss: 0.0, doubled: 0.0, delay: Duration::ZERO, jitter: Duration::ZERO, rate: None };

/// What became of the datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Taken in from members, whatever became of them then.
    pub taken: u64,
    /// Handed on, doubles included.
    pub passed: u64,
    /// Kept back by a cut.
    pub cut: u64,
    /// Lost by chance.
    pub lost: u64,
    /// Lost since too many were under way.
    pub crowded: u64,
    /// From somebody who is no member.
    pub strange: u64,
}

struct Member {
    /// Where it sends from and receives.
    real: SocketAddr,
    /// Its address for all others.
    public: Rc<UdpSocket>,
}

struct Inner {
    members: RefCell<Vec<Member>>,
    paths: RefCell<BTreeMap<(usize, usize), Path>>,
    /// When a throttled path is free again.
    busy: RefCell<BTreeMap<(usize, usize), Instant>>,
    random: RefCell<Pcg64Mcg>,
    under_way: Cell<usize>,
    carried: Cell<Carried>,
}

/// All members and the paths between them.
pub struct Mesh {
    inner: Rc<Inner>,
    forwarders: Vec<JoinHandle<()>>,
}

impl Mesh {
    /// One without members. Equal seeds draw alike; the order in which datagrams come is the kernel's.
    pub fn new(seed: u64) -> Mesh {
        let inner = Inner {
            members: RefCell::default(),
            paths: RefCell::default(),
            busy: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            under_way: Cell::new(0),
            carried: Cell::default(),
        };
        Mesh { inner: Rc::new(inner), forwarders: Vec::new() }
    }

    /// One more member, which sends from and receives at this address. Gives back its number and the address that the
    /// others are to know.
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

    /// A member is another process now, behind the same address.
    pub fn replace(&self, member: usize, real: SocketAddr) {
        self.inner.members.borrow_mut()[member].real = real;
    }

    /// How datagrams fare from one member to another from now on.
    pub fn set(&self, from: usize, to: usize, path: Path) {
        self.inner.paths.borrow_mut().insert((from, to), path);
    }

    /// Cuts two groups off from each other, both ways.
    pub fn part(&self, one: &[usize], two: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| two.iter().map(move |b| (*a, *b))) {
            for ends in [(a, b), (b, a)] {
                let mut paths = self.inner.paths.borrow_mut();
                paths.entry(ends).or_insert(FREE).cut = true;
            }
        }
    }

    /// All paths are free again.
    pub fn heal(&self) {
        self.inner.paths.borrow_mut().clear();
        self.inner.busy.borrow_mut().clear();
    }

    /// What became of the datagrams so far.
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

    /// When each copy of a datagram is to be handed on; none if it is not.
    fn fates(&self, ends: (usize, usize), size: usize) -> Vec<Instant> {
        let path = self.paths.borrow().get(&ends).copied().unwrap_or(FREE);
        let mut random = self.random.borrow_mut();
        if path.cut {
            self.count(|carried| carried.cut += 1);
            return Vec::new();
        }
        // Drawn only where a fault is set: a path without one leaves the others' draws as they were.
        if path.loss > 0.0 && random.random::<f64>() < path.loss {
            self.count(|carried| carried.lost += 1);
            return Vec::new();
        }
        let copies = if path.doubled > 0.0 && random.random::<f64>() < path.doubled { 2 } else { 1 };
        let mut leaves = Instant::now();
        if let Some(rate) = path.rate.filter(|rate| *rate > 0.0) {
            let mut busy = self.busy.borrow_mut();
            let free = busy.entry(ends).or_insert(leaves);
            *free = leaves.max(*free) + Duration::from_secs_f64(size as f64 / rate);
            leaves = *free;
        }
        let late = |random: &mut Pcg64Mcg| {
            if path.jitter.is_zero() { Duration::ZERO } else { path.jitter.mul_f64(random.random::<f64>()) }
        };
        (0..copies).map(|_| leaves + path.delay + late(&mut random)).collect()
    }
}

/// Takes what the others send to a member.
async fn forward(of: Rc<Inner>, to: usize, public: Rc<UdpSocket>) {
    let mut buffer = vec![0; LONGEST];
    loop {
        // An error tells of an earlier datagram that nobody took; the next one may be taken.
        let Ok((count, source)) = public.recv_from(&mut buffer).await else { continue };
        let from = of.members.borrow().iter().position(|member| member.real == source);
        let Some(from) = from else {
            of.count(|carried| carried.strange += 1);
            continue;
        };
        let fates = of.fates((from, to), count);
        of.count(|carried| carried.taken += 1);
        for at in fates {
            let bytes = buffer[..count].to_vec();
            if at <= Instant::now() {
                hand_on(&of, from, to, &bytes).await;
            } else if of.under_way.get() >= UNDER_WAY {
                of.count(|carried| carried.crowded += 1);
            } else {
                of.under_way.set(of.under_way.get() + 1);
                let of = of.clone();
                spawn_local(async move {
                    tokio::time::sleep_until(at).await;
                    of.under_way.set(of.under_way.get() - 1);
                    hand_on(&of, from, to, &bytes).await;
                });
            }
        }
    }
}

/// It comes from the sender's own address for others.
async fn hand_on(of: &Rc<Inner>, from: usize, to: usize, bytes: &[u8]) {
    let (socket, real) = {
        let members = of.members.borrow();
        (members[from].public.clone(), members[to].real)
    };
    // One that has ended takes nothing; the network does not tell.
    if socket.send_to(bytes, real).await.is_ok() {
        of.count(|carried| carried.passed += 1);
    }
}

#[cfg(test)]
mod tests;
