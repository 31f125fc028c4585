use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use googletest::prelude::*;
use gradepaddle_http::buffers::Pool;
use gradepaddle_http::{Connection, Head};
use tokio::net::{TcpListener, TcpStream};

use super::{IdleLimits, MAX_IDLE_PER_SERVER, UpstreamPool};

const UNLIMITED: IdleLimits = IdleLimits { per_server: 1_000, total: 1_000 };

/// A server that keeps its ends of connections open.
struct Server {
    listener: TcpListener,
    streams: Vec<TcpStream>,
}

impl Server {
    async fn new() -> Server {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
        Server { listener, streams: Vec::new() }
    }

    async fn connect(&mut self) -> Connection {
        let SocketAddr::V4(address) = self.listener.local_addr().expect("it is bound") else {
            panic!("no IPv4")
        };
        let stream = TcpStream::connect(address).await.expect("it listens");
        self.streams.push(self.listener.accept().await.expect("it has connected").0);
        Connection::new(stream, &Pool::default(), ())
    }
}

fn head() -> Head {
    Head::parse(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()).expect("it is valid")
}

/// Releases `connections` connections to each of `servers` servers. Returns how many idle connections the pool keeps.
async fn release_connections(pool: &UpstreamPool, servers: usize, connections: usize) -> usize {
    let mut server = Server::new().await;
    for number in 0..servers {
        let id: Arc<str> = Arc::from(format!("s-{number}"));
        for _ in 0..connections {
            let connection = server.connect().await;
            pool.release(&id, connection, &head());
        }
    }
    pool.idle_count()
}

#[gtest]
#[tokio::test]
async fn idle_connections_stay_within_this_nodes_share() {
    // A server accepts 1,900 connections from 300 nodes; at most half of them may be idle.
    let limits = IdleLimits::new(475, 300, [1_900, 0].into_iter());
    expect_that!(limits.per_server, eq(3));
    expect_that!(limits.per_server * 300, le(1_900 / 2));
    expect_that!(release_connections(&UpstreamPool::new(limits), 2, 9).await, eq(6));
}

#[gtest]
#[tokio::test]
async fn idle_connections_stay_within_the_descriptor_budget() {
    let limits = IdleLimits::new(20, 1, std::iter::empty());
    expect_that!(limits.total, eq(20));
    expect_that!(release_connections(&UpstreamPool::new(limits), 10, 5).await, eq(20));
}

#[gtest]
fn a_node_of_a_small_fleet_keeps_the_maximum_and_one_of_a_large_fleet_at_least_one() {
    let per_server = |nodes, limit| IdleLimits::new(475, nodes, [limit].into_iter()).per_server;
    expect_that!(per_server(9, 310), eq(MAX_IDLE_PER_SERVER));
    expect_that!(per_server(9, 0), eq(MAX_IDLE_PER_SERVER), "the service has no limit");
    expect_that!(per_server(1_000, 310), eq(1));
}

#[gtest]
#[tokio::test]
async fn lower_limits_apply_to_connections_released_later() {
    let pool = UpstreamPool::new(UNLIMITED);
    expect_that!(release_connections(&pool, 1, 6).await, eq(6));
    pool.set_limits(IdleLimits { per_server: 3, total: 7 });
    expect_that!(
        release_connections(&pool, 1, 3).await,
        eq(6),
        "this server already has more idle connections"
    );
    let mut server = Server::new().await;
    for _ in 0..3 {
        let connection = server.connect().await;
        pool.release(&Arc::from("another"), connection, &head());
    }
    expect_that!(pool.idle_count(), eq(7));
}
