//! How the memory and the descriptors of a process are divided. `docs/resource-limits.md` has the table, and what the shares
//! contain.

use crate::client_limiter::ClientBounds;

/// Bytes of a megabyte, as `memoryMb` counts.
const BYTES_PER_MB: usize = 1_000_000;
/// The memory is divided in so many equal parts.
const MEMORY_PARTS: usize = 32;
/// Parts for connections and requests at the front.
const FRONT_PARTS: usize = 10;
/// Parts for connections and calls at the control address.
const CONTROL_PARTS: usize = 3;
/// Parts for unread bytes of connections that wait to be accepted at the front.
const FRONT_BACKLOG_PARTS: usize = 2;
/// The same at the control address.
const CONTROL_BACKLOG_PARTS: usize = 1;
/// Parts for messages to other nodes that have not been written.
const PEER_SEND_PARTS: usize = 2;
/// Parts for connections of other nodes, and messages of which a part has been received.
const PEER_RECEIVE_PARTS: usize = 2;
/// Fewest bytes for each of these, however small the machine: the largest message between nodes must fit.
const MIN_PEER_BYTES: usize = 7 * 1024 * 1024;
/// Memory of a connection of another node: its task and its read buffer.
const PEER_CONNECTION_BYTES: usize = 24 * 1024;
/// Parts for buffers of responses, beyond what is reserved for each request.
const RESPONSE_PARTS: usize = 2;

/// Descriptors of a process that the platform reserves for files outside its disk folder (`DEPLOY.md`).
const RESERVED_DESCRIPTORS: usize = 200;
/// Descriptors for listeners, timers, signals, the files of the store, and calls to servers.
const OWN_DESCRIPTORS: usize = 100;
/// The other descriptors are divided in so many equal parts.
const DESCRIPTOR_PARTS: usize = 8;
/// Parts for client connections; as many are for the connections to servers on which their requests are sent.
const FRONT_DESCRIPTOR_PARTS: usize = 2;
/// Parts for connections to the control address.
const CONTROL_DESCRIPTOR_PARTS: usize = 1;
/// Parts for idle connections to servers.
const IDLE_UPSTREAM_DESCRIPTOR_PARTS: usize = 1;
/// Parts for connections that other nodes have opened; as many are for those that this node opens to them.
const PEER_DESCRIPTOR_PARTS: usize = 1;

/// At the front and the control address, connections take at most one in this many of the bytes, so that requests find room.
const CONNECTION_SHARE: usize = 2;
/// Fewest connections of an address, however small the machine.
const MIN_CONNECTIONS: usize = 4;
/// Connections to the readiness address, which the platform asks once a second.
const READINESS_CONNECTIONS: usize = 16;
/// Connections that wait to be accepted at the readiness address.
const READINESS_BACKLOG: u32 = 32;
/// Most connections that wait to be accepted at any address.
const MAX_BACKLOG: usize = 1024;

/// Size of a connection's receive buffer and of its send buffer, in bytes, as `setsockopt` takes it.
const SOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// The kernel allows this many times the size that `setsockopt` takes (`socket(7)`).
const KERNEL_BUFFER_FACTOR: usize = 2;
/// Memory of a connection besides its socket: the task that serves it, and one read buffer.
const TASK_BYTES: usize = 16 * 1024;

/// The bounds of all places that hold something for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourcePlan {
    /// Requests of clients.
    pub front: ListenerPlan,
    /// Calls of servers and operators.
    pub control: ListenerPlan,
    /// Readiness checks of the platform.
    pub readiness: ListenerPlan,
    /// Buffers in use from which on responses are forwarded in small parts, in bytes.
    pub response_bytes: usize,
    /// Most idle connections to servers.
    pub idle_upstreams: usize,
    /// What connections of other nodes may occupy.
    pub peers: ClientBounds,
    /// Most bytes of messages to other nodes that wait to be written.
    pub peer_send_bytes: usize,
}

/// The bounds of one listening address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerPlan {
    /// What its clients may occupy.
    pub clients: ClientBounds,
    /// Most connections that wait to be accepted, the backlog of `listen(2)`.
    pub backlog: u32,
    /// The buffers of its connections.
    pub buffers: SocketBuffers,
}

/// The buffers of a socket in the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBuffers {
    /// `SO_RCVBUF` and `SO_SNDBUF`, each in bytes.
    pub size: usize,
}

impl SocketBuffers {
    /// The buffers of all connections of a node.
    pub const DEFAULT: SocketBuffers = SocketBuffers { size: SOCKET_BUFFER_BYTES };

    /// Most bytes that the kernel holds in one of the two buffers.
    pub const fn kernel_bytes(self) -> usize {
        KERNEL_BUFFER_FACTOR * self.size
    }

    /// Most memory that a connection occupies while it has no request.
    const fn connection_bytes(self) -> usize {
        2 * self.kernel_bytes() + TASK_BYTES
    }
}

impl ResourcePlan {
    /// Divides the memory (`memoryMb`) and descriptors (`openFiles`) of a process.
    pub fn new(memory_mb: u64, open_files: u64) -> Self {
        let memory_bytes = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(BYTES_PER_MB);
        let memory_part = memory_bytes / MEMORY_PARTS;
        let open_files = usize::try_from(open_files).unwrap_or(usize::MAX);
        let descriptor_part =
            open_files.saturating_sub(RESERVED_DESCRIPTORS + OWN_DESCRIPTORS) / DESCRIPTOR_PARTS;
        ResourcePlan {
            front: ListenerPlan::new(
                FRONT_PARTS * memory_part,
                FRONT_BACKLOG_PARTS * memory_part,
                FRONT_DESCRIPTOR_PARTS * descriptor_part,
            ),
            control: ListenerPlan::new(
                CONTROL_PARTS * memory_part,
                CONTROL_BACKLOG_PARTS * memory_part,
                CONTROL_DESCRIPTOR_PARTS * descriptor_part,
            ),
            readiness: ListenerPlan::readiness(),
            response_bytes: RESPONSE_PARTS * memory_part,
            idle_upstreams: IDLE_UPSTREAM_DESCRIPTOR_PARTS * descriptor_part,
            peers: ClientBounds {
                max_connections: (PEER_DESCRIPTOR_PARTS * descriptor_part).max(MIN_CONNECTIONS),
                connection_bytes: PEER_CONNECTION_BYTES,
                total_bytes: (PEER_RECEIVE_PARTS * memory_part).max(MIN_PEER_BYTES),
            },
            peer_send_bytes: (PEER_SEND_PARTS * memory_part).max(MIN_PEER_BYTES),
        }
    }
}

impl ListenerPlan {
    fn new(total_bytes: usize, backlog_bytes: usize, descriptors: usize) -> Self {
        let buffers = SocketBuffers::DEFAULT;
        let connection_bytes = buffers.connection_bytes();
        let max_connections = descriptors.min(total_bytes / CONNECTION_SHARE / connection_bytes);
        let backlog = (backlog_bytes / buffers.kernel_bytes()).clamp(MIN_CONNECTIONS, MAX_BACKLOG);
        ListenerPlan {
            clients: ClientBounds {
                max_connections: max_connections.max(MIN_CONNECTIONS),
                connection_bytes,
                total_bytes,
            },
            backlog: backlog as u32,
            buffers,
        }
    }

    fn readiness() -> Self {
        let buffers = SocketBuffers::DEFAULT;
        let connection_bytes = buffers.connection_bytes();
        ListenerPlan {
            clients: ClientBounds {
                max_connections: READINESS_CONNECTIONS,
                connection_bytes,
                total_bytes: READINESS_CONNECTIONS * connection_bytes,
            },
            backlog: READINESS_BACKLOG,
            buffers,
        }
    }

    /// Most memory that is occupied through this address, in bytes: that of its clients, and of connections not accepted yet.
    pub fn max_bytes(&self) -> usize {
        self.clients.total_bytes + self.backlog as usize * self.buffers.kernel_bytes()
    }
}
