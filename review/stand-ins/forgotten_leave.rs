//! Case 3: all nodes are killed after a server's leave was acknowledged, and come back; the server's last heartbeat comes late.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, End};
use crate::model_server::{EVENTS, heartbeat};
use crate::platform::{BEAT_EVERY_MS, MACHINES, Platform, Process};
use crate::record::Record;
use crate::truncated_stream::{ask, wait_until_serving};

/// Model servers; the first one leaves.
const SERVERS: usize = 4;
/// All nodes are killed this long after the acknowledgement of the leave.
const KILLED_AT: Duration = Duration::from_millis(200);
/// They are back within a second.
const BACK_AFTER: Duration = Duration::from_millis(700);
/// The heartbeat that the server sent before it left (`callCount` is that of a beat before the leave) arrives this long after the acknowledgement.
const LATE_HEARTBEAT_AT: Duration = Duration::from_millis(4300);
/// Clients send requests in this time after the acknowledgement: all machines are in touch (`inTouchMs` 3,000 after 900).
const REQUESTS: std::ops::Range<Duration> = Duration::from_millis(4400)..Duration::from_millis(6500);
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// The server ends this long after the acknowledgement: after `drainMs` and some seconds.
const ENDS_AT: Duration = Duration::from_millis(5500);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2000);
/// Callers move on after a second of silence.
const SILENCE: Duration = Duration::from_secs(1);

/// Each request is about a subject of its own, with ids from this on.
const FIRST_SUBJECT: u32 = 0x6000_0000;

/// The id of the server that leaves.
const LEAVING: &str = "i-0";

/// Runs the case.
pub fn run(program: &Path, folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Arc::new(Record::create(&std::env::current_dir().map_err(|error| error.to_string())?)?);
    let platform = Platform::new(program, folder)?;
    let mut nodes = start_nodes(&platform, true)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut servers = start_servers(&platform, folder, &runs, &record)?;
    let heartbeats = Heartbeats::start(&platform);
    wait_until_serving(&platform, &record)?;
    sleep(Duration::from_secs(4));
    let calls = heartbeats.stop();
    let before = warm_up(&platform, &runs);
    record.line(&format!("{before} of 30 requests ran on {LEAVING} before it leaves"));
    let acknowledged = leave(&platform, &record)?;
    let at = |moment: Duration| sleep((acknowledged + moment).saturating_duration_since(Instant::now()));
    if trouble {
        at(KILLED_AT);
        nodes.iter_mut().for_each(Process::kill);
        record.line("all nodes are killed: SIGKILL");
        sleep(BACK_AFTER);
        nodes = start_nodes(&platform, false)?;
        record.line("all nodes are started again on their disks, firstBoot false");
    }
    at(LATE_HEARTBEAT_AT);
    let status = send_heartbeat(platform.control(0), &platform.server(0).to_string(), calls);
    record.line(&format!(
        "the last heartbeat of {LEAVING} before it left (callCount {calls}) arrives at machine 0: {status}"
    ));
    at(REQUESTS.start);
    for machine in 0..MACHINES {
        let from = platform.control(machine);
        let head = format!("GET /v1/status HTTP/1.1\r\nHost: {from}\r\nConnection: close\r\n");
        let body = http::request(from, &head, b"", SILENCE).body;
        let text = String::from_utf8_lossy(&body).replace(['\n', ' '], "");
        record.line(&format!(
            "servers at machine {machine}: {}",
            text.split("\"servers\":").nth(1).unwrap_or_default()
        ));
    }
    let ending = {
        let record = record.clone();
        let mut leaving = servers.remove(0);
        spawn(move || {
            sleep((acknowledged + ENDS_AT).saturating_duration_since(Instant::now()));
            leaving.kill();
            record.line(&format!("{LEAVING} has ended"));
        })
    };
    let clients = send_requests(&platform, acknowledged);
    ending.join().map_err(|_| "the server's end".to_owned())?;
    let mut broken_off = 0;
    for client in clients {
        let Ok((id, response)) = client.join() else { continue };
        let text = String::from_utf8_lossy(&response.body);
        let all = text.matches("\n\n").count() as u64 == EVENTS && text.ends_with("\n\n");
        let whole = response.status == 200 && response.end == End::Complete && all;
        broken_off += u32::from(!whole);
        record.line(&format!(
            "client got {id}: status {}, {:?}, {} bytes",
            response.status,
            response.end,
            response.body.len()
        ));
    }
    if nodes.iter_mut().any(|node| !node.is_running()) {
        return Err("a node has ended".to_owned());
    }
    let runs = runs.lock().map(|runs| runs.clone()).unwrap_or_default();
    let late = runs.iter().filter(|(time, _)| *time > acknowledged + DRAIN).count();
    record.line(&format!("requests that were not answered whole: {broken_off}"));
    record.line(&format!(
        "requests that reached {LEAVING} over {} ms after its leave was acknowledged: {late}: DRAIN {}",
        DRAIN.as_millis(),
        if late > 0 { "broken" } else { "held" }
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

fn start_nodes(platform: &Platform, first_boot: bool) -> Result<Vec<Process>, String> {
    (0..MACHINES).map(|machine| platform.start_node(machine, first_boot)).collect()
}

/// When a request ran on the leaving server, and its id.
type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

fn start_servers(
    platform: &Platform,
    folder: &Path,
    runs: &Runs,
    record: &Arc<Record>,
) -> Result<Vec<Process>, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let mut command = Command::new(&program);
        command.args(["model-server", &format!("i-{number}"), &platform.server(number).to_string()]);
        if number > 0 {
            command.args(
                (0..MACHINES).map(|machine| platform.control((machine + number) % MACHINES).to_string()),
            );
        }
        command.stdout(Stdio::piped());
        let mut server = Process::start(&mut command, &folder.join(format!("server-{number}.log")))?;
        let output = server.take_output().ok_or("no output of a server")?;
        let (runs, record) = (runs.clone(), record.clone());
        spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if !line.starts_with("run") {
                    continue;
                }
                record.line(&format!("server i-{number}: {line}"));
                if let Ok(mut runs) = runs.lock()
                    && number == 0
                {
                    runs.push((Instant::now(), line));
                }
            }
        });
        servers.push(server);
    }
    Ok(servers)
}

/// The heartbeats of the server that leaves.
struct Heartbeats {
    stopping: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
}

impl Heartbeats {
    fn start(platform: &Platform) -> Heartbeats {
        let beats = Heartbeats { stopping: Arc::default(), calls: Arc::default() };
        let (stopping, calls) = (beats.stopping.clone(), beats.calls.clone());
        let control: Vec<SocketAddr> = (0..MACHINES).map(|machine| platform.control(machine)).collect();
        let address = platform.server(0).to_string();
        spawn(move || {
            let mut chosen = 0;
            while !stopping.load(Ordering::SeqCst) {
                let count = calls.fetch_add(1, Ordering::SeqCst) + 1;
                let taken = send_heartbeat(control[chosen % MACHINES], &address, count) == 200;
                chosen += usize::from(!taken);
                sleep(Duration::from_millis(if taken { BEAT_EVERY_MS } else { 100 }));
            }
        });
        beats
    }

    /// Ends them, and returns the count of one more that is on its way.
    fn stop(self) -> u64 {
        self.stopping.store(true, Ordering::SeqCst);
        self.calls.load(Ordering::SeqCst) + 1
    }
}

fn send_heartbeat(to: SocketAddr, address: &str, calls: u64) -> u16 {
    let head = format!(
        "PUT /v1/servers/{LEAVING} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\n"
    );
    http::request(to, &head, heartbeat(address, calls).as_bytes(), SILENCE).status
}

/// Requests before the leave; returns how many of them ran on the server that leaves.
fn warm_up(platform: &Platform, runs: &Runs) -> usize {
    let clients: Vec<_> = (0..30)
        .map(|number| {
            let to = platform.front(number % MACHINES);
            spawn(move || ask(to, "vraag", &format!("before-{number}"), FIRST_SUBJECT + number as u32))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    runs.lock().map_or(0, |runs| runs.iter().filter(|(_, line)| line.contains("before-")).count())
}

/// The server says that it leaves, to one balancer after the other; returns when that was acknowledged.
fn leave(platform: &Platform, record: &Record) -> Result<Instant, String> {
    for machine in (0..MACHINES).cycle().take(4 * MACHINES) {
        let to = platform.control(machine);
        let head = format!("DELETE /v1/servers/{LEAVING} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n");
        let status = http::request(to, &head, b"", SILENCE).status;
        record.line(&format!("DELETE of {LEAVING} at machine {machine}: {status}"));
        if status == 200 {
            return Ok(Instant::now());
        }
    }
    Err("the leave was not acknowledged".to_owned())
}

type Client = std::thread::JoinHandle<(String, http::Response)>;

fn send_requests(platform: &Platform, acknowledged: Instant) -> Vec<Client> {
    let mut clients = Vec::new();
    while acknowledged.elapsed() < REQUESTS.end {
        let (number, to) = (clients.len(), platform.front(clients.len() % MACHINES));
        clients.push(spawn(move || {
            let id = format!("after-{number}");
            let response = ask(to, "vraag", &id, FIRST_SUBJECT + 1000 + number as u32);
            (id, response)
        }));
        sleep(REQUEST_INTERVAL);
    }
    clients
}
