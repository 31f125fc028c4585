//! Starts the daemon as a process; the test plays its clients, app servers and discovery.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;

use command_fds::{CommandFdExt, FdMapping};

/// The timeout of every wait; nothing takes this long unless it never happens.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

static SERIAL: AtomicU32 = AtomicU32::new(0);

/// A daemon process.
pub struct Daemon {
    child: Child,
    log: Receiver<String>,
    pub address: SocketAddr,
    /// The address of the admin listener, if it was requested.
    pub admin_address: Option<SocketAddr>,
    temporary_directory: PathBuf,
}

/// A daemon process with its app servers and discovery.
pub struct Rig {
    daemon: Daemon,
    pub servers: Vec<TcpListener>,
    pub discovery: TcpListener,
    sockets: u32,
    settings: String,
    /// The clients' listening socket, if the platform holds it, and the directory that all processes share.
    pub socket: Option<TcpListener>,
    pub shared: PathBuf,
}

impl Deref for Rig {
    type Target = Daemon;

    fn deref(&self) -> &Daemon {
        &self.daemon
    }
}

impl DerefMut for Rig {
    fn deref_mut(&mut self) -> &mut Daemon {
        &mut self.daemon
    }
}

/// The test's end of a connection: as a client, an app server or discovery.
pub struct Peer(pub TcpStream);

pub const SETTINGS: &str = r#"{"categories":[
    {"name":"look","aimMs":1200,"deadlineMs":5000,"effect":"safe"},
    {"name":"order","aimMs":2000,"deadlineMs":6000,"effect":"unsafe"}],
    "realms":[{"name":"acme","quotaPerS":100}],"discovery":"on_request","failureDomains":["north"],
    "extra":{"warmKeys":true},"kinds":["std"],
    "limits":{"cancel":true,"secondCopies":true,"connIdleMs":5000,"dialTimeoutMs":250,"tryLimit":6,
    "maxRetryAfterMs":2000,"ever":"more"},"rules":{},"someday":[1]}"#;

/// A command that runs the program with this configuration, and the directory of the configuration file.
pub fn program(config: &str) -> (Command, PathBuf) {
    let temporary_directory = temporary_directory();
    let path = temporary_directory.join("config.json");
    std::fs::write(&path, config).expect("the configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_gradepaddle"));
    command.env_clear().env("RELAY_CONFIG", path).stdout(Stdio::piped()).stdin(Stdio::null());
    (command, temporary_directory)
}

pub fn host(id: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{id}","dial":"{dial}","site":"north","class":"std","block":0,"health":"{health}","moon":1}}"#
    )
}

impl Daemon {
    /// Starts the process and waits until it listens.
    pub fn start(mut command: Command, temporary_directory: PathBuf, has_admin: bool) -> Daemon {
        let mut child = command.spawn().expect("the daemon");
        let output = BufReader::new(child.stdout.take().expect("its output"));
        let (lines, log) = channel();
        std::thread::spawn(move || output.lines().map_while(Result::ok).all(|l| lines.send(l).is_ok()));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon { child, log, address, admin_address: None, temporary_directory };
        let named = |line: &str, field: &str| {
            let text = line.split(field).nth(1).and_then(|rest| rest.split(' ').next());
            text.and_then(|text| text.parse().ok()).expect("the address in the log")
        };
        daemon.address = named(&daemon.wait_for_log("started"), "listen=");
        if has_admin {
            daemon.admin_address = Some(named(&daemon.wait_for_log("admin listener open"), "admin_addr="));
        }
        daemon
    }

    /// Waits for a log line with this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.wait_for_log_before(text, "\n")
    }

    /// Waits for a log line with this text; no line with the other text may precede it.
    pub fn wait_for_log_before(&self, text: &str, other: &str) -> String {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("{text:?} in the log"));
            assert!(!line.contains(other), "{line}");
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).expect("the daemon accepts"))
    }

    pub fn admin_connection(&self) -> Peer {
        Peer::new(
            TcpStream::connect(self.admin_address.expect("an admin address"))
                .expect("the admin listener accepts"),
        )
    }

    /// Sends an operator's command and returns the answer.
    pub fn admin_command(&self, line: &str) -> String {
        let mut admin_connection = self.admin_connection();
        admin_connection.send(&format!("{line}\r\n"));
        admin_connection.read_to_close()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces this text in the configuration and sends SIGHUP.
    pub fn reload(&self, old: &str, new: &str) {
        let path = self.temporary_directory.join("config.json");
        let text = std::fs::read_to_string(&path).expect("the configuration");
        assert!(text.contains(old));
        std::fs::write(path, text.replace(old, new)).expect("the configuration");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    pub fn exit(&mut self) -> Option<i32> {
        // The log ends with the process.
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            match self.log.recv_timeout(left) {
                Ok(_) => {}
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("its end"),
            }
        }
        self.child.wait().expect("its end").code()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already; the directory is temporary either way.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.temporary_directory);
    }
}

impl Rig {
    /// A ready daemon with app servers a, b, ...; its watch is not accepted yet.
    pub fn start(count: u8) -> Rig {
        Self::with(count, 1024)
    }

    pub fn with(count: u8, sockets: u32) -> Rig {
        Self::new(count, sockets, false, false, SETTINGS)
    }

    /// With other settings, and with each attempt and probe in the log.
    pub fn with_settings(count: u8, settings: &str) -> Rig {
        Self::new(count, 1024, false, false, settings)
    }

    /// With an admin listener.
    pub fn with_admin(count: u8) -> Rig {
        Self::new(count, 1024, true, false, SETTINGS)
    }

    /// With an admin listener, and the clients' listening socket held by the platform.
    pub fn with_inherited_listener(count: u8, sockets: u32) -> Rig {
        Self::new(count, sockets, true, true, SETTINGS)
    }

    /// With other settings, and not waited for: it may need a list from discovery to become ready.
    pub fn start_without_waiting(settings: &str) -> Rig {
        Self::start_unready(1, 1024, false, false, settings)
    }

    fn new(count: u8, sockets: u32, has_admin: bool, inherits_listener: bool, settings: &str) -> Rig {
        let rig = Self::start_unready(count, sockets, has_admin, inherits_listener, settings);
        if count > 0 {
            rig.wait_for_log(" ready ");
        }
        rig
    }

    fn start_unready(
        count: u8,
        sockets: u32,
        has_admin: bool,
        inherits_listener: bool,
        settings: &str,
    ) -> Rig {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
        let servers: Vec<_> = (0..count).map(|_| bind()).collect();
        let discovery = bind();
        let socket = inherits_listener.then(bind);
        let shared = temporary_directory();
        let (command, temporary_directory) =
            Self::command(&servers, &discovery, sockets, has_admin, socket.as_ref(), &shared, settings);
        let daemon = Daemon::start(command, temporary_directory, has_admin);
        Rig { daemon, servers, discovery, sockets, settings: settings.to_owned(), socket, shared }
    }

    /// Starts one more process of the same balancer; it listens, but may not be ready.
    pub fn start_successor(&self) -> Daemon {
        let Rig { servers, discovery, sockets, socket, shared, settings, .. } = self;
        let (command, temporary_directory) =
            Self::command(servers, discovery, *sockets, true, socket.as_ref(), shared, settings);
        Daemon::start(command, temporary_directory, true)
    }

    fn command(
        servers: &[TcpListener],
        discovery: &TcpListener,
        sockets: u32,
        has_admin: bool,
        socket: Option<&TcpListener>,
        shared: &Path,
        settings: &str,
    ) -> (Command, PathBuf) {
        let hosts: Vec<_> =
            servers.iter().zip('a'..).map(|(s, id)| host(&id.to_string(), local_address(s), "up")).collect();
        let listen = socket.map_or("127.0.0.1:0".to_owned(), |socket| local_address(socket).to_string());
        let config = format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"{}","seed":"1f","limits":{{"sockets":{sockets}}},
            "known":{{"seq":7,"whole":true,"hosts":[{}]}},"settings":{settings}}}"#,
            local_address(discovery),
            hosts.join(",")
        );
        let (mut command, temporary_directory) = program(&config);
        // As on the platform, the variable has the same value as the file at the start.
        command.env("RELAY_DISCOVERY", local_address(discovery).to_string()).env("TMPDIR", shared);
        if settings != SETTINGS {
            command.env("GRADEPADDLE_LOG", "debug");
        }
        if has_admin {
            command.env("RELAY_ADMIN_ADDR", "127.0.0.1:0");
        }
        if let Some(socket) = socket {
            inherit(&mut command, socket.try_clone().expect("a socket").into());
        }
        (command, temporary_directory)
    }

    /// Accepts the next connection at any of these app servers, and returns which one it is.
    pub fn accept(&self, among: &[usize]) -> (usize, Peer) {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        while std::time::Instant::now() < end {
            for at in among {
                if let Some(stream) = self.try_accept(*at) {
                    return (*at, stream);
                }
            }
            std::thread::yield_now();
        }
        panic!("a connection to one of {among:?}");
    }

    pub fn try_accept(&self, at: usize) -> Option<Peer> {
        self.servers[at].set_nonblocking(true).expect("a socket");
        self.servers[at].accept().ok().map(|(stream, _)| {
            stream.set_nonblocking(false).expect("a socket");
            Peer::new(stream)
        })
    }

    /// Sends orders until this app server gets one, and serves that one. A cold app server gets only a part of the orders.
    pub fn serve_order_at(&self, at: usize) {
        let end = std::time::Instant::now() + TEST_TIMEOUT;
        for serial in 0.. {
            assert!(std::time::Instant::now() < end, "a connection to {at}");
            let mut client = self.client();
            client.order(&format!("s{serial}"));
            client.0.set_nonblocking(true).expect("a socket");
            while client.0.peek(&mut [0]).is_err() && std::time::Instant::now() < end {
                if let Some(mut server) = self.try_accept(at) {
                    client.0.set_nonblocking(false).expect("a socket");
                    server.read_message();
                    server.respond_ok("served");
                    assert!(client.read_message().ends_with("served"));
                    return;
                }
                std::thread::yield_now();
            }
        }
    }

    /// Accepts the next watch, and responds with a head and this list.
    pub fn watch(&self, list: &str) -> (String, Peer) {
        Self::watch_at(&self.discovery, list)
    }

    pub fn watch_at(discovery: &TcpListener, list: &str) -> (String, Peer) {
        discovery.set_nonblocking(true).expect("a socket");
        let until = std::time::Instant::now() + TEST_TIMEOUT;
        let stream = loop {
            match discovery.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(std::time::Instant::now() < until, "a watch: {e}"),
            }
            std::thread::yield_now();
        };
        stream.set_nonblocking(false).expect("a socket");
        discovery.set_nonblocking(false).expect("a socket");
        let mut end = Peer::new(stream);
        let request = end.read_message();
        end.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        end.chunk(list);
        (request, end)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.shared);
    }
}

/// Passes the descriptor to the process as number 4.
pub fn inherit(command: &mut Command, fd: OwnedFd) {
    let mapping = FdMapping { parent_fd: fd, child_fd: 4 };
    command.fd_mappings(vec![mapping]).expect("one descriptor").env("RELAY_INHERITED_FD", "4");
}

/// A temporary directory of its own.
pub fn temporary_directory() -> PathBuf {
    let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
    let temporary_directory =
        std::env::temp_dir().join(format!("gradepaddle-{}-{serial}", std::process::id()));
    std::fs::create_dir_all(&temporary_directory).expect("a folder");
    temporary_directory
}

pub fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        Peer(stream)
    }

    pub fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("the other end reads");
    }

    pub fn chunk(&mut self, line: &str) {
        self.send(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// Reads one message with the body that its length announces, as text without carriage returns. Times that depend on the
    /// clock are replaced by a constant text.
    pub fn read_message(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).expect("a whole head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text").replace('\r', "");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        let mut body = vec![0; length.map_or(0, |n| n.parse().expect("a number"))];
        self.0.read_exact(&mut body).expect("a whole body");
        let same = |line: &str| match line.strip_prefix("X-Time-Left: ").map(str::parse) {
            Some(Ok(0.3..=0.5)) => "X-Time-Left: up to 0.5".to_owned(),
            _ => line.to_owned(),
        };
        let lines: Vec<_> = head.lines().map(same).collect();
        lines.join("\n") + "\n" + &String::from_utf8_lossy(&body)
    }

    pub fn read_status(&mut self) -> String {
        self.read_message().lines().next().unwrap_or_default().replace("HTTP/1.1 ", "")
    }

    pub fn respond_ok(&mut self, body: &str) {
        self.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// Reads until the other side closes the connection.
    pub fn read_to_close(&mut self) -> String {
        let mut text = String::new();
        self.0.read_to_string(&mut text).expect("the end");
        text
    }

    /// Waits until the other side closes or resets the connection; true if nothing was received before a close.
    pub fn wait_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Ok(_) => rest.is_empty(),
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    pub fn look(&mut self, id: &str) {
        self.send(&request("GET", "look", id, ""));
    }

    pub fn order(&mut self, id: &str) {
        self.send(&request("POST", "order", id, "two beams"));
    }
}

pub fn request(method: &str, class: &str, id: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         X-Service-Class: {class}\r\nCookie: a=b; user=u1\r\n{length}\r\n{body}"
    )
}
