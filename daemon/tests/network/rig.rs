//! The daemon as a process, with the test as its clients, app servers and discovery.

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

/// Nothing here takes this long unless it never comes.
const PATIENCE: Duration = Duration::from_secs(20);

static SERIAL: AtomicU32 = AtomicU32::new(0);

/// One process.
pub struct Daemon {
    child: Child,
    log: Receiver<String>,
    pub address: SocketAddr,
    /// Where operators call; nowhere unless it was asked for.
    pub door: Option<SocketAddr>,
    folder: PathBuf,
}

/// A process with all that is round it.
pub struct Rig {
    daemon: Daemon,
    pub servers: Vec<TcpListener>,
    pub discovery: TcpListener,
    sockets: u32,
    settings: String,
    /// The clients' socket, where the platform holds it, and the folder that all processes share.
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

/// One end of a connection: of a client, an app server or discovery.
pub struct End(pub TcpStream);

pub const SETTINGS: &str = r#"{"categories":[
    {"name":"look","aimMs":1200,"deadlineMs":5000,"effect":"safe"},
    {"name":"order","aimMs":2000,"deadlineMs":6000,"effect":"unsafe"}],
    "realms":[{"name":"acme","quotaPerS":100}],"discovery":"on_request","failureDomains":["north"],
    "extra":{"warmKeys":true},"kinds":["std"],
    "limits":{"cancel":true,"secondCopies":true,"connIdleMs":5000,"dialTimeoutMs":250,"tryLimit":6,
    "maxRetryAfterMs":2000,"ever":"more"},"rules":{},"someday":[1]}"#;

/// Runs the program with this configuration.
pub fn program(config: &str) -> (Command, PathBuf) {
    let folder = folder();
    let path = folder.join("config.json");
    std::fs::write(&path, config).expect("the configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_gradepaddle"));
    command.env_clear().env("RELAY_CONFIG", path).stdout(Stdio::piped()).stdin(Stdio::null());
    (command, folder)
}

pub fn host(id: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{id}","dial":"{dial}","site":"north","class":"std","block":0,"health":"{health}","moon":1}}"#
    )
}

impl Daemon {
    /// Starts it and waits until it listens.
    pub fn start(mut command: Command, folder: PathBuf, has_door: bool) -> Daemon {
        let mut child = command.spawn().expect("the daemon");
        let output = BufReader::new(child.stdout.take().expect("its output"));
        let (lines, log) = channel();
        std::thread::spawn(move || output.lines().map_while(Result::ok).all(|l| lines.send(l).is_ok()));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut daemon = Daemon { child, log, address, door: None, folder };
        let named = |line: &str, field: &str| {
            let text = line.split(field).nth(1).and_then(|rest| rest.split(' ').next());
            text.and_then(|text| text.parse().ok()).expect("the address in the log")
        };
        daemon.address = named(&daemon.logged("started"), "listen=");
        if has_door {
            daemon.door = Some(named(&daemon.logged("admin listener open"), "admin_addr="));
        }
        daemon
    }

    /// Waits for a log line with this text.
    pub fn logged(&self, text: &str) -> String {
        self.logged_before(text, "\n")
    }

    /// Waits for a log line with this text; none with the other may come before it.
    pub fn logged_before(&self, text: &str, other: &str) -> String {
        let end = std::time::Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("{text:?} in the log"));
            assert!(!line.contains(other), "{line}");
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn client(&self) -> End {
        End::new(TcpStream::connect(self.address).expect("the daemon accepts"))
    }

    pub fn caller(&self) -> End {
        End::new(TcpStream::connect(self.door.expect("a door")).expect("the door accepts"))
    }

    /// One operator's call and its answer.
    pub fn call(&self, line: &str) -> String {
        let mut caller = self.caller();
        caller.say(&format!("{line}\r\n"));
        caller.rest()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces this text in the configuration and sends SIGHUP.
    pub fn reload(&self, old: &str, new: &str) {
        let path = self.folder.join("config.json");
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
        // Its output ends with it.
        let end = std::time::Instant::now() + PATIENCE;
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
        // It may have ended already; the folder is temporary either way.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    /// The daemon with app servers a, b ...; ready, its watch not yet accepted.
    pub fn start(count: u8) -> Rig {
        Self::with(count, 1024)
    }

    pub fn with(count: u8, sockets: u32) -> Rig {
        Self::new(count, sockets, false, false, SETTINGS)
    }

    /// Under other settings, with each attempt and probe in the log.
    pub fn under(count: u8, settings: &str) -> Rig {
        Self::new(count, 1024, false, false, settings)
    }

    /// With an operators' door.
    pub fn with_door(count: u8) -> Rig {
        Self::new(count, 1024, true, false, SETTINGS)
    }

    /// With a door, and the clients' socket held by the platform.
    pub fn on_platform(count: u8, sockets: u32) -> Rig {
        Self::new(count, sockets, true, true, SETTINGS)
    }

    /// Under other settings, and not waited for: it may have to be told before it is ready.
    pub fn asked_at_start(settings: &str) -> Rig {
        Self::unready(1, 1024, false, false, settings)
    }

    fn new(count: u8, sockets: u32, has_door: bool, inherits: bool, settings: &str) -> Rig {
        let rig = Self::unready(count, sockets, has_door, inherits, settings);
        if count > 0 {
            rig.logged(" ready ");
        }
        rig
    }

    fn unready(count: u8, sockets: u32, has_door: bool, inherits: bool, settings: &str) -> Rig {
        let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
        let servers: Vec<_> = (0..count).map(|_| bind()).collect();
        let discovery = bind();
        let socket = inherits.then(bind);
        let shared = folder();
        let (command, folder) =
            Self::command(&servers, &discovery, sockets, has_door, socket.as_ref(), &shared, settings);
        let daemon = Daemon::start(command, folder, has_door);
        Rig { daemon, servers, discovery, sockets, settings: settings.to_owned(), socket, shared }
    }

    /// One more process of the same balancer; it listens, but may not be ready.
    pub fn beside(&self) -> Daemon {
        let Rig { servers, discovery, sockets, socket, shared, settings, .. } = self;
        let (command, folder) =
            Self::command(servers, discovery, *sockets, true, socket.as_ref(), shared, settings);
        Daemon::start(command, folder, true)
    }

    fn command(
        servers: &[TcpListener],
        discovery: &TcpListener,
        sockets: u32,
        has_door: bool,
        socket: Option<&TcpListener>,
        shared: &Path,
        settings: &str,
    ) -> (Command, PathBuf) {
        let hosts: Vec<_> =
            servers.iter().zip('a'..).map(|(s, id)| host(&id.to_string(), local(s), "up")).collect();
        let listen = socket.map_or("127.0.0.1:0".to_owned(), |socket| local(socket).to_string());
        let config = format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"{}","seed":"1f","limits":{{"sockets":{sockets}}},
            "known":{{"seq":7,"whole":true,"hosts":[{}]}},"settings":{settings}}}"#,
            local(discovery),
            hosts.join(",")
        );
        let (mut command, folder) = program(&config);
        // As on the platform, the variable says at the start what the file says.
        command.env("RELAY_DISCOVERY", local(discovery).to_string()).env("TMPDIR", shared);
        if settings != SETTINGS {
            command.env("GRADEPADDLE_LOG", "debug");
        }
        if has_door {
            command.env("RELAY_ADMIN_ADDR", "127.0.0.1:0");
        }
        if let Some(socket) = socket {
            inherit(&mut command, socket.try_clone().expect("a socket").into());
        }
        (command, folder)
    }

    /// The next connection at an app server, whichever it is of these.
    pub fn accept(&self, among: &[usize]) -> (usize, End) {
        let end = std::time::Instant::now() + PATIENCE;
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

    pub fn try_accept(&self, at: usize) -> Option<End> {
        self.servers[at].set_nonblocking(true).expect("a socket");
        self.servers[at].accept().ok().map(|(stream, _)| {
            stream.set_nonblocking(false).expect("a socket");
            End::new(stream)
        })
    }

    /// Orders until this app server gets one, and serves that: a cold one is not sent all that comes.
    pub fn served_at(&self, at: usize) {
        let end = std::time::Instant::now() + PATIENCE;
        for serial in 0.. {
            assert!(std::time::Instant::now() < end, "a connection to {at}");
            let mut client = self.client();
            client.order(&format!("s{serial}"));
            client.0.set_nonblocking(true).expect("a socket");
            while client.0.peek(&mut [0]).is_err() && std::time::Instant::now() < end {
                if let Some(mut server) = self.try_accept(at) {
                    client.0.set_nonblocking(false).expect("a socket");
                    server.message();
                    server.ok("served");
                    assert!(client.message().ends_with("served"));
                    return;
                }
                std::thread::yield_now();
            }
        }
    }

    /// Accepts the next watch, and answers its head and this list.
    pub fn watch(&self, list: &str) -> (String, End) {
        Self::watch_at(&self.discovery, list)
    }

    pub fn watch_at(discovery: &TcpListener, list: &str) -> (String, End) {
        discovery.set_nonblocking(true).expect("a socket");
        let until = std::time::Instant::now() + PATIENCE;
        let stream = loop {
            match discovery.accept() {
                Ok((stream, _)) => break stream,
                Err(e) => assert!(std::time::Instant::now() < until, "a watch: {e}"),
            }
            std::thread::yield_now();
        };
        stream.set_nonblocking(false).expect("a socket");
        discovery.set_nonblocking(false).expect("a socket");
        let mut end = End::new(stream);
        let request = end.message();
        end.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        end.chunk(list);
        (request, end)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.shared);
    }
}

/// Hands the descriptor down as number 4.
pub fn inherit(command: &mut Command, fd: OwnedFd) {
    let mapping = FdMapping { parent_fd: fd, child_fd: 4 };
    command.fd_mappings(vec![mapping]).expect("one descriptor").env("RELAY_INHERITED_FD", "4");
}

/// A folder of the test's own.
pub fn folder() -> PathBuf {
    let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("gradepaddle-{}-{serial}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

pub fn local(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

impl End {
    pub fn new(stream: TcpStream) -> End {
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        End(stream)
    }

    pub fn say(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("the other end reads");
    }

    pub fn chunk(&mut self, line: &str) {
        self.say(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    }

    /// One message with the body that its length announces, as text without carriage returns. What
    /// the clock decides is made the same.
    pub fn message(&mut self) -> String {
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

    pub fn status(&mut self) -> String {
        self.message().lines().next().unwrap_or_default().replace("HTTP/1.1 ", "")
    }

    pub fn ok(&mut self, body: &str) {
        self.say(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    /// All that comes until the other side ends the connection.
    pub fn rest(&mut self) -> String {
        let mut text = String::new();
        self.0.read_to_string(&mut text).expect("the end");
        text
    }

    /// Waits until the other side has ended the connection.
    pub fn ended(&mut self) -> bool {
        let mut rest = Vec::new();
        match self.0.read_to_end(&mut rest) {
            Ok(_) => rest.is_empty(),
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    pub fn look(&mut self, id: &str) {
        self.say(&request("GET", "look", id, ""));
    }

    pub fn order(&mut self, id: &str) {
        self.say(&request("POST", "order", id, "two beams"));
    }
}

pub fn request(method: &str, class: &str, id: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class}?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Account: acme\r\n\
         X-Service-Class: {class}\r\nCookie: a=b; user=u1\r\n{length}\r\n{body}"
    )
}
