//! The configuration grows by patches, and the primary is killed once: what was acknowledged must still be there.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan};
use crate::http::{self, Message};
use crate::record::Record;

/// Routes of one patch: the largest `big_config` of the site files.
const ROUTES: usize = 1600;
const MAX_PATCHES: u64 = 24;
/// A change without an acknowledgement for this long is left open, and the operator goes on to read.
const CHANGE_LIMIT: Duration = Duration::from_secs(8);
/// The killed process is started again after this.
const DOWN: Duration = Duration::from_secs(1);
/// How long the operator asks for the configuration; `recoverS` is 12 s, `inTouchMs` 3 s.
const READ_LIMIT: Duration = Duration::from_secs(40);

fn route(name: &str, host: usize, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h{host}.example\",\"pathPrefix\":\"/{prefix}/\",\"kind\":\"streaming\",\
         \"timeoutMs\":20000,\"targetMs\":400,\"priority\":0,\"backend\":\"desk\",\"tries\":1,\"public\":false,\
         \"sticky\":true,\"resumable\":false,\"gap_aim_ms\":400}}"
    )
}

fn first_configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{}],\"backends\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":380,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"customers\":[{{\"name\":\"north\",\"apiKeys\":[\"k-1\"]}}]}}",
        route("r-0", 0, "p0")
    )
}

fn patch(version: u64) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|number| route(&format!("r-{version}-{number}"), number % 200, &format!("p{version}x{number}")))
        .collect();
    format!("{{\"version\":{version},\"upsert\":{{\"routes\":[{}]}}}}", routes.join(","))
}

/// The version of a configuration that was read.
fn version_of(answer: &Message) -> Option<u64> {
    let text = answer.text();
    let digits = text.split("\"version\":").nth(1)?;
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// Reads the configuration at each node in turn until one answers with this version or a later one.
fn read_back(fleet: &Fleet, newest: u64, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        for node in &fleet.nodes {
            let head =
                format!("GET /v1/config HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", node.control);
            let answer = http::call_following(node.control, &head, b"", Duration::from_secs(3));
            let (text, found) = match &answer {
                Ok(answer) if answer.status == 200 && answer.complete => {
                    let version = version_of(answer).unwrap_or(0);
                    (format!("200, version {version}, {} bytes", answer.body.len()), version >= newest)
                }
                Ok(answer) => (format!("{} {}", answer.status, answer.text()), false),
                Err(error) => (error.to_string(), false),
            };
            fleet.record.line(&format!("operator: reads at {}: {text}", node.name));
            if found {
                return true;
            }
        }
        sleep(Duration::from_millis(1000));
    }
    false
}

/// The node that decides changes, by the status that the operators' command prints.
fn primary(fleet: &Fleet) -> Option<usize> {
    fleet.nodes.iter().position(|node| {
        let head = format!("GET /v1/status HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", node.control);
        let answer = http::call(node.control, head.as_bytes(), b"", Duration::from_secs(2));
        answer.is_ok_and(|answer| answer.text().contains("\"role\":\"primary\""))
    })
}

pub fn play(record: Record, trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::new(&Plan { nodes: 3, core: 3, memory_mb: 260 }, record.clone())?;
    fleet.start_all()?;
    fleet.put_configuration(0, &first_configuration(), Duration::from_secs(30))?;
    fleet.wait_ready(Duration::from_secs(20))?;
    let mut newest = 1;
    while newest <= MAX_PATCHES {
        let body = patch(newest + 1);
        record.line(&format!("operator: patch to version {} on {newest}: {ROUTES} routes more", newest + 1));
        match fleet.change("PATCH", newest, &body, CHANGE_LIMIT) {
            Ok(_) => newest += 1,
            Err(reason) => {
                record.line(&format!("operator: {reason}; it may be in force or not"));
                break;
            }
        }
    }
    if !read_back(&fleet, newest, Duration::from_secs(5)) {
        return Err("the configuration could not be read before the kill".to_owned());
    }
    if trouble {
        let index = primary(&fleet).ok_or("no primary before the kill")?;
        fleet.kill(index);
        sleep(DOWN);
        fleet.restart(index)?;
    }
    let found = read_back(&fleet, newest, READ_LIMIT);
    record.line(&format!(
        "check: version {newest}, the newest acknowledged, was {}read back",
        if found { "" } else { "not " }
    ));
    Ok(!found)
}
