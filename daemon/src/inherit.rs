//! The clients' listening socket as the platform hands it down: adopted, never made, bound or shut down.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};

use filedescriptor::FileDescriptor;
use socket2::{Domain, Socket, Type};

/// A duplicate of the descriptor, close-on-exec and non-blocking, if it is a socket that listens at `listen`.
/// The descriptor itself stays open: the platform's socket lives on whatever becomes of ours.
///
/// # Errors
///
/// What the descriptor is instead, as a text for the log.
pub fn listener(fd: RawFd, listen: SocketAddr) -> Result<TcpListener, String> {
    // Through a file and back: each step duplicates or moves ownership, so none needs `unsafe`.
    let own = FileDescriptor::dup(&fd).and_then(|own| own.as_file()).map_err(|e| e.to_string())?;
    let socket = Socket::from(OwnedFd::from(own));
    let fault = |e: std::io::Error| format!("not a socket that listens: {e}");
    if socket.r#type().map_err(fault)? != Type::STREAM || !socket.is_listener().map_err(fault)? {
        return Err("not a TCP socket that listens".into());
    }
    if !matches!(socket.domain().map_err(fault)?, Domain::IPV4 | Domain::IPV6) {
        return Err("not a TCP socket that listens".into());
    }
    let at = socket.local_addr().map_err(fault)?.as_socket();
    let fits = |at: SocketAddr| {
        (at.port() == listen.port() || listen.port() == 0)
            && (at.ip() == listen.ip() || at.ip().is_unspecified())
    };
    match at {
        Some(at) if fits(at) => {}
        at => {
            return Err(format!("listens at {}, not at {listen}", at.map_or("?".into(), |a| a.to_string())));
        }
    }
    socket.set_nonblocking(true).map_err(|e| e.to_string())?;
    Ok(socket.into())
}
