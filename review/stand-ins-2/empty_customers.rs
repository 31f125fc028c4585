//! The keys of all customers are taken away: requests with such a key, and with one that was never held, must not run.

use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan};
use crate::http;
use crate::record::Record;
use crate::server::Server;

const KEY: &str = "k-north-1";
const OTHER_KEY: &str = "k-north-2";
const UNHELD_KEY: &str = "k-nobody-ever-held";
/// Later than `configApplyMs` (2 s) after the acknowledgement, and than `inTouchMs` (3 s) after anything else.
const SETTLE: Duration = Duration::from_millis(3500);

fn configuration(version: u64, customers: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\"pathPrefix\":\"/ask/\",\
         \"kind\":\"safe\",\"timeoutMs\":5000,\"targetMs\":500,\"priority\":1,\"backend\":\"desk\",\"tries\":1,\
         \"public\":false}}],\"backends\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"customers\":{customers}}}"
    )
}

/// One request of a client; its status, 0 without an answer.
fn ask(fleet: &Fleet, node: usize, id: &str, key: &str) -> u16 {
    let head = format!(
        "GET /ask/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Api-Key: {key}\r\nX-Deadline-Ms: 3000\r\n\
         Connection: close\r\n\r\n"
    );
    let node = &fleet.nodes[node];
    let status = http::call(node.front, head.as_bytes(), b"", Duration::from_secs(4))
        .map_or(0, |answer| answer.status);
    fleet.record.line(&format!("client: {id} with key {key} to {}: {status}", node.name));
    status
}

pub fn play(record: Record, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(&Plan { nodes: 3, core: 3, memory_mb: 260 }, record.clone())?;
    fleet.start_all()?;
    let customers = format!("[{{\"name\":\"north\",\"apiKeys\":[\"{KEY}\"]}}]");
    fleet.put_configuration(0, &configuration(1, &customers), Duration::from_secs(30))?;
    let controls = fleet.nodes.iter().map(|node| node.control).collect();
    let server = Server::start("i-desk-1", "desk", Duration::from_millis(10), 8, controls, record.clone())?;
    fleet.wait_ready(Duration::from_secs(20))?;
    let until = Instant::now() + Duration::from_secs(20);
    for node in 0..fleet.nodes.len() {
        let mut number = 0;
        while ask(&fleet, node, &format!("first-{node}-{number}"), KEY) != 200 {
            number += 1;
            if Instant::now() > until {
                return Err("no request was served before the change".to_owned());
            }
            sleep(Duration::from_millis(200));
        }
    }
    if !server.acknowledged.load(Ordering::Relaxed) {
        return Err("the server was not acknowledged".to_owned());
    }
    if ask(&fleet, 0, "unheld-before", UNHELD_KEY) != 401 {
        return Err("an unknown key was not refused before the change".to_owned());
    }
    // Without the disruption the key is taken away as well, but the customer stays with another one.
    let customers = match trouble {
        true => "[]".to_owned(),
        false => format!("[{{\"name\":\"north\",\"apiKeys\":[\"{OTHER_KEY}\"]}}]"),
    };
    record.line(&format!("operator: sends version 2 on 1 with customers {customers}"));
    fleet.put_configuration(1, &configuration(2, &customers), Duration::from_secs(10))?;
    sleep(SETTLE);
    for round in 0..3 {
        for node in 0..fleet.nodes.len() {
            ask(&fleet, node, &format!("dropped-{round}-{node}"), KEY);
            ask(&fleet, node, &format!("unheld-{round}-{node}"), UNHELD_KEY);
        }
    }
    server.end();
    let ran = server.ran_ids();
    let dropped = ran.iter().filter(|id| id.starts_with("dropped-")).count();
    let unheld = ran.iter().filter(|id| id.starts_with("unheld-")).count();
    record.line(&format!(
        "check: {dropped} of 9 requests with the dropped key ran, {unheld} of 9 with a key never held"
    ));
    Ok(dropped > 0 || unheld > 0)
}
