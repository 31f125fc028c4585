//! Adopts the clients' listening socket from the platform. The daemon never creates, binds or shuts down that socket.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::{OwnedFd, RawFd};

use filedescriptor::FileDescriptor;
use socket2::{Domain, Socket, Type};

/// A duplicate of the descriptor, close-on-exec and non-blocking, if it is a TCP socket that listens at `listen`. The
/// descriptor itself stays open, so the platform's socket outlives the duplicate.
///
/// # Errors
///
/// What the descriptor is instead, as a text for the log.
pub fn adopt(fd: RawFd, listen: SocketAddr) -> Result<TcpListener, String> {
    // Converted to a file and back: each step duplicates the descriptor or moves its ownership, so none needs `unsafe`.
    let duplicate = FileDescriptor::dup(&fd).and_then(|fd| fd.as_file()).map_err(|e| e.to_string())?;
    let socket = Socket::from(OwnedFd::from(duplicate));
    let not_listening = |e: std::io::Error| format!("not a socket that listens: {e}");
    if socket.r#type().map_err(not_listening)? != Type::STREAM
        || !socket.is_listener().map_err(not_listening)?
    {
        return Err("not a TCP socket that listens".into());
    }
    if !matches!(socket.domain().map_err(not_listening)?, Domain::IPV4 | Domain::IPV6) {
        return Err("not a TCP socket that listens".into());
    }
    let at = socket.local_addr().map_err(not_listening)?.as_socket();
    let matches_config = |at: SocketAddr| {
        (at.port() == listen.port() || listen.port() == 0)
            && (at.ip() == listen.ip() || at.ip().is_unspecified())
    };
    match at {
        Some(at) if matches_config(at) => {}
        at => {
            return Err(format!("listens at {}, not at {listen}", at.map_or("?".into(), |a| a.to_string())));
        }
    }
    socket.set_nonblocking(true).map_err(|e| e.to_string())?;
    Ok(socket.into())
}
