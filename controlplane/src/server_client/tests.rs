use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_http::buffers::Pool;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::timeout;

use super::{DELIVERY_TIMEOUT, call, connect, fetch_report, limit_delivery};

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

/// Answers one call with these bytes, and closes the connection in order.
async fn answer(listener: &TcpListener, bytes: &[u8]) {
    let (mut stream, _) = listener.accept().await.expect("a call");
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut request).await.expect("a request");
    }
    stream.write_all(bytes).await.expect("the caller reads");
}

/// A server that crashes closes its connections in order: where its report has no length, a part of it must not pass for all.
#[gtest]
#[tokio::test]
async fn a_report_without_a_length_that_ends_early_is_none() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let SocketAddr::V4(address) = listener.local_addr().expect("it is bound") else { panic!("no IPv4") };
    let response = "HTTP/1.1 200 OK\r\n\r\n{\"models\":[{\"name\":\"m\",\"version\":31}]}".as_bytes();
    let pool = Pool::default();
    for end in 0..=response.len() {
        let (report, ()) =
            tokio::join!(fetch_report("s", address, &pool), answer(&listener, &response[..end]));
        let version = report.and_then(|report| report.models.first().map(|model| model.version));
        expect_that!(version, eq((end == response.len()).then_some(31)), "after {end} bytes");
    }
}

/// Only the status of an order's response is used; a response that ends within its head has none.
#[gtest]
#[tokio::test]
async fn a_response_that_ends_within_its_head_is_none() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let SocketAddr::V4(address) = listener.local_addr().expect("it is bound") else { panic!("no IPv4") };
    let head = b"HTTP/1.1 202 Accepted\r\nX-Request-Id: 7\r\n\r\n";
    let pool = Pool::default();
    for end in 0..=head.len() {
        let calling = call(address, "POST", "/v1/order", &[], &pool);
        let (response, ()) = tokio::join!(calling, answer(&listener, &head[..end]));
        let status = response.map(|response| response.status);
        expect_that!(status, eq((end == head.len()).then_some(202)), "after {end} bytes");
    }
}
