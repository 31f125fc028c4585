//! CPU time per request of one or two builds of the daemon, measured in turn on loopback:
//!
//!     cargo run --release --example cost -- target/release/gradepaddle OTHER_BUILD
//!
//! Stand-in app servers answer at once, so that what is measured is the daemon. CPU time is the kernel's
//! account of the process (user and system, in ticks of 10 ms), over rounds that alternate between builds.

use std::error::Error;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

const CLIENTS: usize = 4;
const REQUESTS: usize = 5_000;
const ROUNDS: usize = 25;
const APP_SERVERS: usize = 10;
/// The kernel's ticks in a second.
const TICKS_PER_SECOND: f64 = 100.0;

type Fallible<T> = Result<T, Box<dyn Error>>;

const SETTINGS: &str = r#"{"categories":[
    {"name":"look","aimMs":1200,"deadlineMs":5000,"effect":"safe"},
    {"name":"order","aimMs":2000,"deadlineMs":6000,"effect":"unsafe"}],
    "realms":[{"name":"acme","quotaPerS":100}],"discovery":"on_request","failureDomains":["north"],
    "extra":{"warmKeys":true},"kinds":["std"],
    "limits":{"cancel":true,"secondCopies":true,"connIdleMs":5000,"dialTimeoutMs":250,"tryLimit":6},
    "rules":{}}"#;

/// Reads a head and the body that it announces; false once the connection is closed.
fn read_message(stream: &mut BufReader<TcpStream>) -> bool {
    let (mut length, mut line) = (0usize, String::new());
    loop {
        line.clear();
        if stream.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        if let Some(text) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = text.trim().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            return std::io::copy(&mut stream.by_ref().take(length as u64), &mut std::io::sink()).is_ok();
        }
    }
}

/// Starts an app server that answers every request at once.
fn start_app_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let Ok(mut back) = stream.try_clone() else { return };
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while read_message(&mut reader) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nhello there\n";
                    if back.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

struct Daemon {
    child: Child,
    address: SocketAddr,
    directory: PathBuf,
}

impl Daemon {
    fn start(program: &Path, servers: &[SocketAddr], serial: usize) -> Fallible<Daemon> {
        let directory =
            std::env::temp_dir().join(format!("gradepaddle-cost-{}-{serial}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let hosts: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(n, dial)| {
                format!(r#"{{"host":"s{n}","dial":"{dial}","site":"north","class":"std","health":"up"}}"#)
            })
            .collect();
        let config = format!(
            r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
            "known":{{"seq":7,"whole":true,"hosts":[{}]}},"settings":{SETTINGS}}}"#,
            hosts.join(",")
        );
        let path = directory.join("config.json");
        std::fs::write(&path, config)?;
        let mut child = Command::new(program)
            .env_clear()
            .env("RELAY_CONFIG", path)
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains("started")).ok_or("it did not start")?;
        let listen =
            line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next()).ok_or("no address")?;
        let address = listen.parse()?;
        // Drains the log, or the daemon would block on a full pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Daemon { child, address, directory })
    }

    /// User and system time so far, in seconds.
    fn cpu(&self) -> Fallible<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        // Fields 14 and 15 of the file, counted after the name in brackets, which may contain anything.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).ok_or("no such field");
        Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
    }

    /// CPU time per request in microseconds, and requests a second.
    fn round(&self, round: usize) -> Fallible<(f64, f64)> {
        let (before, begun) = (self.cpu()?, Instant::now());
        let address = self.address;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| std::thread::spawn(move || -> std::io::Result<()> {
                let mut stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                for n in 0..REQUESTS {
                    let request = format!(
                        "POST /order?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {round}-{client}-{n}\r\n\
                         X-Account: acme\r\nX-Service-Class: order\r\nCookie: user=u{}\r\nContent-Length: 9\r\n\r\ntwo beams",
                        n % 50
                    );
                    stream.write_all(request.as_bytes())?;
                    if !read_message(&mut reader) {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok(())
            }))
            .collect();
        for client in clients {
            client.join().map_err(|_| "a client panicked")??;
        }
        let all = (CLIENTS * REQUESTS) as f64;
        Ok(((self.cpu()? - before) * 1e6 / all, all / begun.elapsed().as_secs_f64()))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn main() -> Fallible<()> {
    let programs: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    if programs.is_empty() {
        return Err("name one or two builds of the daemon".into());
    }
    let servers = (0..APP_SERVERS).map(|_| start_app_server()).collect::<std::io::Result<Vec<_>>>()?;
    let daemons = programs
        .iter()
        .enumerate()
        .map(|(n, path)| Daemon::start(path, &servers, n))
        .collect::<Fallible<Vec<_>>>()?;
    let mut costs: Vec<Vec<(f64, f64)>> = vec![Vec::new(); daemons.len()];
    // The first round warms up and is not counted.
    for round in 0..=ROUNDS {
        for (daemon, costs) in daemons.iter().zip(&mut costs) {
            costs.push(daemon.round(round)?);
        }
    }
    for (program, costs) in programs.iter().zip(&mut costs) {
        costs.remove(0);
        costs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (least, median, most) = (costs[0].0, costs[ROUNDS / 2].0, costs[ROUNDS - 1].0);
        let speed = costs.iter().map(|(_, speed)| speed).sum::<f64>() / ROUNDS as f64;
        println!(
            "{}: {median:.2} us CPU per request (least {least:.2}, most {most:.2}), {speed:.0} requests a second",
            program.display()
        );
    }
    Ok(())
}
