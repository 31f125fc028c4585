//! Many clients send requests of the longest body that `limits` allow at the same time: no node may go over its memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan};
use crate::http;
use crate::record::Record;
use crate::server::Server;

const MEMORY_MB: u64 = 260;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// The requests of one burst.
const REQUESTS: usize = 80;
/// How many of them are under way at once without the disruption.
const CALM: usize = 4;
/// The rule counts three ends on two machines at least.
const ENDS: usize = 3;

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\"pathPrefix\":\"/read/\",\
         \"kind\":\"unsafe\",\"timeoutMs\":15000,\"targetMs\":3000,\"priority\":1,\"backend\":\"desk\",\"tries\":1,\
         \"public\":true}}],\"backends\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":310,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{BODY_BYTES},\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends the requests of one burst to a node, `at_once` of them under way at a time; counts those with a success.
fn burst(
    fleet: &Fleet,
    node: usize,
    name: &str,
    at_once: usize,
    body: &Arc<Vec<u8>>,
    ended: &Arc<AtomicUsize>,
) {
    let next = Arc::new(AtomicUsize::new(0));
    let front = fleet.nodes[node].front;
    for _ in 0..at_once {
        let (next, body, ended, record) = (next.clone(), body.clone(), ended.clone(), fleet.record.clone());
        let name = name.to_owned();
        thread::spawn(move || {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= REQUESTS {
                    return;
                }
                let id = format!("{name}-{number}");
                let head = format!(
                    "POST /read/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
                     Content-Length: {}\r\nConnection: close\r\n\r\n",
                    body.len()
                );
                let answer = http::call(front, head.as_bytes(), &body, Duration::from_secs(16));
                let outcome =
                    answer.map_or_else(|error| error.to_string(), |answer| answer.status.to_string());
                record.line(&format!("client: {id}: {outcome}"));
                ended.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
}

pub fn play(record: Record, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(&Plan { nodes: 3, core: 3, memory_mb: MEMORY_MB }, record.clone())?;
    fleet.start_all()?;
    fleet.put_configuration(0, &configuration(), Duration::from_secs(30))?;
    let controls: Vec<_> = fleet.nodes.iter().map(|node| node.control).collect();
    let work = Duration::from_millis(if trouble { 1000 } else { 100 });
    let mut servers = Vec::new();
    for number in 1..=4 {
        let id = format!("i-desk-{number}");
        servers.push(Server::start(&id, "desk", work, 48, controls.clone(), record.clone())?);
    }
    fleet.wait_ready(Duration::from_secs(20))?;
    sleep(Duration::from_secs(4));
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let mut ends: Vec<usize> = Vec::new();
    for round in 0..ENDS {
        let node = round % fleet.nodes.len();
        let ended = Arc::new(AtomicUsize::new(0));
        let at_once = if trouble { REQUESTS } else { CALM };
        record.line(&format!(
            "clients: {REQUESTS} requests of {BODY_BYTES} bytes to edge-{}, {at_once} at once",
            node + 1
        ));
        burst(&fleet, node, &format!("burst-{round}"), at_once, &body, &ended);
        let until = Instant::now() + Duration::from_secs(22);
        let mut most = 0;
        while ended.load(Ordering::Relaxed) < REQUESTS && Instant::now() < until {
            let memory = fleet.memory(node);
            most = most.max(memory);
            if memory > MEMORY_MB * 1024 * 1024 {
                let (name, mb) = (fleet.nodes[node].name.clone(), memory / 1024 / 1024);
                record.line(&format!("platform: {name} has {mb} MB, over its {MEMORY_MB} MB, and is killed"));
                fleet.kill(node);
                ends.push(node);
                sleep(Duration::from_millis(500));
                fleet.restart(node)?;
                break;
            }
            sleep(Duration::from_millis(5));
        }
        record.line(&format!("platform: edge-{} had {} MB at most", node + 1, most / 1024 / 1024));
        sleep(Duration::from_secs(5));
        fleet.wait_ready(Duration::from_secs(15))?;
    }
    servers.iter().for_each(|server| server.end());
    let mut machines = ends.clone();
    machines.dedup();
    record.line(&format!("check: {} ends by memory, on {} machines of 3", ends.len(), machines.len()));
    Ok(ends.len() >= ENDS && machines.len() >= 2)
}
