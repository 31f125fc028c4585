use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::timeout;

use super::{DELIVERY_TIMEOUT, connect, limit_delivery};

/// More bytes than the kernel's buffers of both ends hold.
const MORE_THAN_BUFFERS: usize = 64 * 1024 * 1024;
/// Time within which the kernel has certainly applied a TCP user timeout: it checks its timers a few times in it.
const KERNEL_SLACK: Duration = Duration::from_secs(20);

#[gtest]
#[tokio::test]
async fn the_delivery_timeout_is_at_most_the_remaining_permit() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let SocketAddr::V4(address) = listener.local_addr().expect("it is bound") else { panic!("no IPv4") };
    for (remaining, limit) in
        [(Duration::from_millis(120), Duration::from_millis(120)), (Duration::from_secs(3), DELIVERY_TIMEOUT)]
    {
        let stream = connect(address).await.expect("it listens");
        limit_delivery(&stream, remaining);
        expect_that!(SockRef::from(&stream).tcp_user_timeout().ok(), some(some(eq(limit))));
    }
}

/// A server that reads no bytes simulates a partition: the kernel has to end the connection after the TCP user timeout.
#[gtest]
#[tokio::test]
async fn the_kernel_discards_undelivered_bytes() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small window");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a port is free");
    let listener = socket.listen(1).expect("it listens");
    let SocketAddr::V4(address) = listener.local_addr().expect("it is bound") else { panic!("no IPv4") };
    let mut stream = connect(address).await.expect("it listens");
    let _unread = listener.accept().await.expect("it has connected");
    limit_delivery(&stream, Duration::from_millis(100));
    let written = timeout(KERNEL_SLACK, stream.write_all(&vec![7; MORE_THAN_BUFFERS])).await;
    let ended = written.expect("the kernel ends the connection").map_err(|error| error.kind());
    expect_that!(
        ended,
        err(any![eq(ErrorKind::TimedOut), eq(ErrorKind::BrokenPipe), eq(ErrorKind::ConnectionReset)])
    );
}
