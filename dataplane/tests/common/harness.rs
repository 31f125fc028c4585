//! A data plane with scripted servers, and clients for it.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_dataplane::{DataPlane, Setup, serve_clients, serve_readiness};
use gradepaddle_placement::{Micros, ModelVersion, PlacementConfig, Placer, ServerEntry, ServerState};
use gradepaddle_resources::ResourcePlan;
use serde_json::Value;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::client::{Client, ClientRequest, Response};
use super::configuration::{MODEL, SERVICE, configuration, parsed};
use super::servers::{SYNC_METHOD, Script, ScriptedFleet, Server, ServerRequest, v4};

/// The model version that all servers have at first.
pub const FIRST_VERSION: u64 = 3;

/// What a harness is built from.
pub struct Options {
    pub configuration: Option<Value>,
    /// Ids of the servers to start.
    pub servers: Vec<&'static str>,
    pub retry_slack: f64,
    /// This long before a newer model version is binding, nothing is placed on older ones any more.
    pub version_margin: Micros,
    /// This long before a newer model version is binding, attempts on older ones that have not begun are withdrawn.
    pub start_margin: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            configuration: Some(configuration()),
            servers: vec!["s1", "s2"],
            retry_slack: 50.0,
            version_margin: 1_500_000,
            start_margin: 250_000,
        }
    }
}

/// A data plane with its servers.
pub struct Harness {
    pub plane: Rc<DataPlane>,
    /// The address for clients.
    pub front: SocketAddr,
    /// The address for readiness checks.
    pub readiness: SocketAddr,
    pub servers: Vec<Server>,
    pub fleet: Rc<ScriptedFleet>,
}

impl Harness {
    /// Starts two servers. Each request to any of them takes the next script.
    pub async fn new(scripts: Vec<Script>) -> Self {
        Harness::with(Options::default(), scripts).await
    }

    /// Starts a server for each of these ids.
    pub async fn of_servers(servers: &[&'static str], scripts: Vec<Script>) -> Self {
        Harness::with(Options { servers: servers.to_vec(), ..Options::default() }, scripts).await
    }

    pub async fn with_configuration(configuration: Value, scripts: Vec<Script>) -> Self {
        Harness::with(Options { configuration: Some(configuration), ..Options::default() }, scripts).await
    }

    pub async fn with(options: Options, scripts: Vec<Script>) -> Self {
        let config = PlacementConfig::builder()
            .own_zone("here")
            .seed(7)
            .retry_slack(options.retry_slack)
            .version_margin(options.version_margin)
            .start_margin(options.start_margin)
            .build();
        let plane = DataPlane::new(Setup {
            resources: ResourcePlan::new(260, 4_100),
            placer: Placer::new(config),
            zone: "".into(),
            log: Logger::root(Discard, o!()),
        });
        let (front, readiness) = (listener().await, listener().await);
        let fleet = Rc::new(ScriptedFleet::default());
        fleet.scripts.borrow_mut().extend(scripts);
        let mut harness = Harness {
            plane: plane.clone(),
            front: v4(&front).into(),
            readiness: v4(&readiness).into(),
            servers: Vec::new(),
            fleet,
        };
        if let Some(body) = &options.configuration {
            plane.set_configuration(parsed(body));
            plane.set_control_connected(true);
        }
        for id in options.servers {
            harness.add_server(id, SERVICE).await;
        }
        tokio::task::spawn_local(serve_clients(plane.clone(), front));
        tokio::task::spawn_local(serve_readiness(plane, readiness));
        harness
    }

    /// Starts a server and adds it to the node.
    pub async fn add_server(&mut self, id: &str, service: &str) {
        let server = Server::start(id, self.fleet.clone()).await;
        self.set_server(id, service, server.address, ServerState::Ready);
        self.servers.push(server);
    }

    /// Adds a server to the node, as its control plane does.
    pub fn set_server(&self, id: &str, service: &str, address: SocketAddrV4, state: ServerState) {
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

    /// Changes the state of a server.
    pub fn set_server_state(&self, id: &str, state: ServerState) {
        let server = self.servers.iter().find(|server| server.id == id).expect("a server");
        self.set_server(id, SERVICE, server.address, state);
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.front).await
    }

    /// Sends a request on a connection of its own and reads the response.
    pub async fn request(&self, request: &ClientRequest) -> Response {
        self.client().await.request(request).await
    }

    /// Waits until this many requests have reached servers, and returns them.
    pub async fn wait_for_requests(&self, count: usize) -> Vec<ServerRequest> {
        self.fleet.wait_until(|fleet| fleet.server_requests.borrow().len() >= count).await;
        self.server_requests()
    }

    /// Waits until the connection of this number has ended at its server.
    pub async fn connection_ended(&self, number: usize) {
        self.fleet.wait_until(|fleet| fleet.ended.borrow().contains(&number)).await;
    }

    fn server_requests(&self) -> Vec<ServerRequest> {
        self.fleet.server_requests.borrow().clone()
    }

    /// All requests that have reached servers, including those still in flight at the time of the call.
    pub async fn all_server_requests(&self) -> Vec<ServerRequest> {
        for server in &self.servers {
            let mut stream = TcpStream::connect(server.address).await.expect("the server listens");
            stream.write_all(format!("{SYNC_METHOD} / HTTP/1.1\r\n\r\n").as_bytes()).await.expect("it reads");
            let mut response = Vec::new();
            stream.read_to_end(&mut response).await.expect("it responds");
            assert_eq!(response, b"synced");
        }
        self.server_requests()
    }

    /// The servers that requests have reached, in order.
    pub async fn servers_reached(&self) -> Vec<String> {
        self.all_server_requests().await.into_iter().map(|server_request| server_request.server).collect()
    }
}

/// Binds a listener to a free port.
pub async fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port")
}

/// An address that refuses connections for as long as the socket is kept.
pub fn dead_address() -> (SocketAddrV4, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).expect("a port");
    match socket.local_addr().expect("it is bound") {
        SocketAddr::V4(address) => (address, socket),
        SocketAddr::V6(address) => panic!("{address}"),
    }
}
