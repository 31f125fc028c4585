//! A data plane with servers and clients.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_dataplane::{DataPlane, Setup, serve_clients, serve_readiness};
use gradepaddle_placement::{Micros, ModelVersion, PlacementConfig, Placer, ServerEntry, ServerState};
use serde_json::Value;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::client::{Answer, Ask, Client};
use super::configuration::{MODEL, SERVICE, configuration, parsed};
use super::servers::{Arrival, MARK, Play, Server, Stage, v4};

/// The version of the model that all servers have at first.
pub const FIRST_VERSION: u64 = 3;

/// What a world is made of.
pub struct Options {
    pub configuration: Option<Value>,
    /// Ids of servers.
    pub servers: Vec<&'static str>,
    pub retry_slack: f64,
    /// So long before a version binds nothing is placed on older ones, and what has not begun is taken back.
    pub version_margin: Micros,
    pub begin_margin: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            configuration: Some(configuration()),
            servers: vec!["s1", "s2"],
            retry_slack: 50.0,
            version_margin: 1_500_000,
            begin_margin: 250_000,
        }
    }
}

pub struct World {
    pub plane: Rc<DataPlane>,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub servers: Vec<Server>,
    pub stage: Rc<Stage>,
}

impl World {
    /// Two servers that do what the plays say, in the order in which requests come to any of them.
    pub async fn new(plays: Vec<Play>) -> Self {
        World::with(Options::default(), plays).await
    }

    /// As many servers as ids.
    pub async fn of_servers(servers: &[&'static str], plays: Vec<Play>) -> Self {
        World::with(Options { servers: servers.to_vec(), ..Options::default() }, plays).await
    }

    pub async fn with_configuration(configuration: Value, plays: Vec<Play>) -> Self {
        World::with(Options { configuration: Some(configuration), ..Options::default() }, plays).await
    }

    pub async fn with(options: Options, plays: Vec<Play>) -> Self {
        let config = PlacementConfig::builder()
            .own_zone("here")
            .seed(7)
            .retry_slack(options.retry_slack)
            .version_margin(options.version_margin)
            .begin_margin(options.begin_margin)
            .build();
        let plane = DataPlane::new(Setup {
            placer: Placer::new(config),
            zone: "".into(),
            log: Logger::root(Discard, o!()),
        });
        let (front, readiness) = (listener().await, listener().await);
        let stage = Rc::new(Stage::default());
        stage.plays.borrow_mut().extend(plays);
        let mut world = World {
            plane: plane.clone(),
            front: v4(&front).into(),
            readiness: v4(&readiness).into(),
            servers: Vec::new(),
            stage,
        };
        if let Some(body) = &options.configuration {
            plane.set_configuration(parsed(body));
            plane.set_control_connected(true);
        }
        for id in options.servers {
            world.add_server(id, SERVICE).await;
        }
        tokio::task::spawn_local(serve_clients(plane.clone(), front));
        tokio::task::spawn_local(serve_readiness(plane, readiness));
        world
    }

    /// Starts a server and tells the node of it.
    pub async fn add_server(&mut self, id: &str, service: &str) {
        let server = Server::start(id, self.stage.clone()).await;
        self.tell(id, service, server.address, ServerState::Ready);
        self.servers.push(server);
    }

    /// Tells the node of a server, as its control plane does.
    pub fn tell(&self, id: &str, service: &str, address: SocketAddrV4, state: ServerState) {
        if state != ServerState::Ready {
            self.plane.close_idle_connections(id);
        }
        let entry = ServerEntry {
            id: Arc::from(id),
            service: Arc::from(service),
            address,
            zone: Arc::from("here"),
            slots: 8,
            state,
            warmup_left: 0,
            models: vec![ModelVersion { model: Arc::from(MODEL), version: FIRST_VERSION }],
        };
        self.plane.placer.borrow_mut().update_server(self.plane.now(), entry);
    }

    /// Tells the node that a server's state is another now.
    pub fn turn(&self, id: &str, state: ServerState) {
        let server = self.servers.iter().find(|server| server.id == id).expect("a server");
        self.tell(id, SERVICE, server.address, state);
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.front).await
    }

    /// Asks on a connection of its own.
    pub async fn ask(&self, ask: &Ask) -> Answer {
        self.client().await.ask(ask).await
    }

    /// Waits until so many requests have come to servers.
    pub async fn arrived(&self, count: usize) -> Vec<Arrival> {
        self.stage.until(|stage| stage.arrivals.borrow().len() >= count).await;
        self.arrivals()
    }

    /// Waits until the connection of this number has ended at its server.
    pub async fn connection_ended(&self, number: usize) {
        self.stage.until(|stage| stage.ended.borrow().contains(&number)).await;
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.stage.arrivals.borrow().clone()
    }

    /// All that has come to servers, once whatever is on the way has come.
    pub async fn all_arrivals(&self) -> Vec<Arrival> {
        for server in &self.servers {
            let mut stream = TcpStream::connect(server.address).await.expect("the server listens");
            stream.write_all(format!("{MARK} / HTTP/1.1\r\n\r\n").as_bytes()).await.expect("it reads");
            let mut marked = Vec::new();
            stream.read_to_end(&mut marked).await.expect("it answers");
            assert_eq!(marked, b"marked");
        }
        self.arrivals()
    }

    /// The servers that requests came to, in order.
    pub async fn visited(&self) -> Vec<String> {
        self.all_arrivals().await.into_iter().map(|arrival| arrival.server).collect()
    }
}

/// A listener on a port of its own.
pub async fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port")
}

/// An address at which nobody listens, for as long as the socket is kept.
pub fn dead_address() -> (SocketAddrV4, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a port");
    match socket.local_addr().expect("it is bound") {
        SocketAddr::V4(address) => (address, socket),
        SocketAddr::V6(address) => panic!("{address}"),
    }
}
