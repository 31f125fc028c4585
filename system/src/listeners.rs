//! The sockets on which a node listens, and the addresses that follow from its settings.

use std::net::SocketAddrV4;
use std::rc::Rc;

use gradepaddle_config::Settings;
use gradepaddle_resources::{ListenerPlan, ResourcePlan, SocketBuffers};
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use crate::error::{CommandError, ListenSnafu, NoAddressSnafu};

/// Maximum number of connections of other nodes that wait to be accepted, the backlog of `listen(2)`.
const PEER_BACKLOG: u32 = 1024;

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
    pub fn open(settings: &Settings, resources: &ResourcePlan) -> Result<Self, CommandError> {
        let listen = &settings.listen;
        Ok(Listeners {
            front: open_for_clients(listen.front, "front", &resources.front)?,
            readiness: open_for_clients(listen.readiness, "readiness", &resources.readiness)?,
            control: open_for_clients(listen.control, "controlPlane", &resources.control)?,
            peers: open_for_peers(peer_address(settings))?,
            load_reports: Rc::new(open_udp(peer_address(settings))?),
        })
    }
}

/// Listens at an address for clients, within the bounds of the plan.
fn open_for_clients(
    address: Option<SocketAddrV4>,
    name: &'static str,
    plan: &ListenerPlan,
) -> Result<TcpListener, CommandError> {
    let address = address.context(NoAddressSnafu { name })?;
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        limit_buffers(&socket, plan.buffers);
        bind(&socket, address)?;
        socket.listen(plan.backlog)
    };
    listen().context(ListenSnafu { address })
}

/// Limits what the kernel holds for each connection that the socket will accept.
fn limit_buffers(socket: &TcpSocket, buffers: SocketBuffers) {
    // A platform that refuses this has its own limits, which are not known here.
    let _ = socket.set_recv_buffer_size(buffers.size as u32);
    let _ = socket.set_send_buffer_size(buffers.size as u32);
}

fn bind(socket: &TcpSocket, address: SocketAddrV4) -> std::io::Result<()> {
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())
}

fn open_for_peers(address: SocketAddrV4) -> Result<TcpListener, CommandError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        bind(&socket, address)?;
        socket.listen(PEER_BACKLOG)
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
