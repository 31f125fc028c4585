//! The sockets on which a node listens, and the addresses that follow from its settings.

use std::net::SocketAddrV4;
use std::rc::Rc;

use gradepaddle_config::Settings;
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use crate::error::{CommandError, ListenSnafu, NoAddressSnafu};

/// Maximum number of connections that wait to be accepted, the backlog of `listen(2)`.
const BACKLOG: u32 = 1024;

/// The sockets that a node listens on.
pub struct Listeners {
    /// Requests of clients.
    pub front: TcpListener,
    /// Readiness checks of the platform.
    pub readiness: TcpListener,
    /// The control API.
    pub control: TcpListener,
    /// Messages of other nodes.
    pub peers: TcpListener,
    /// Load reports of other nodes.
    pub load_reports: Rc<UdpSocket>,
}

impl Listeners {
    /// Opens all sockets.
    ///
    /// # Errors
    ///
    /// [`CommandError::NoAddress`] if the settings lack an address, [`CommandError::Listen`] if one is in use.
    pub fn open(settings: &Settings) -> Result<Self, CommandError> {
        let listen = &settings.listen;
        Ok(Listeners {
            front: open_tcp(listen.front, "front")?,
            readiness: open_tcp(listen.readiness, "readiness")?,
            control: open_tcp(listen.control, "controlPlane")?,
            peers: open_tcp(Some(peer_address(settings)), "internalPorts")?,
            load_reports: Rc::new(open_udp(peer_address(settings))?),
        })
    }
}

fn open_tcp(address: Option<SocketAddrV4>, name: &'static str) -> Result<TcpListener, CommandError> {
    let address = address.context(NoAddressSnafu { name })?;
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        socket.listen(BACKLOG)
    };
    listen().context(ListenSnafu { address })
}

fn open_udp(address: SocketAddrV4) -> Result<UdpSocket, CommandError> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    bind().context(ListenSnafu { address })
}

/// The address at which other nodes reach this one, with the first of its internal ports.
pub fn peer_address(settings: &Settings) -> SocketAddrV4 {
    SocketAddrV4::new(settings.ip, settings.internal_ports.0)
}

/// The addresses at which other nodes reach the seeds: internal ports are the same on all machines.
pub fn seed_addresses(settings: &Settings) -> Vec<SocketAddrV4> {
    let port = settings.internal_ports.0;
    settings.seed_nodes.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
}
