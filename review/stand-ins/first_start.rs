//! Case 2: one core machine, a seed, is replaced during the first start, before the first configuration.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, End, Response};
use crate::platform::{MACHINES, Platform, REPLACEMENT};
use crate::record::Record;

/// When the machine is gone for good, after the start of all machines.
const LOST_AT: Duration = Duration::from_millis(800);
/// When an empty machine at another address takes its place: two seconds later.
const REPLACED_AT: Duration = Duration::from_millis(2800);
/// When the operator first sends the configuration.
const OPERATOR_AT: Duration = Duration::from_millis(1000);
/// End of the case.
const END_AT: Duration = Duration::from_secs(30);
/// `inTouchMs`: the core is stable this long after the last start or kill of one of its machines.
const IN_TOUCH: Duration = Duration::from_millis(3000);
/// `ackWithinMs` and 3 ms for the only route.
const ACK_WITHIN: Duration = Duration::from_millis(4003);
/// A caller moves on after a second of silence.
const SILENCE: Duration = Duration::from_secs(1);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-1","host":"advice.example","pathPrefix":"/","kind":"streaming","timeoutMs":20000,"targetMs":400,"priority":0,"backend":"advice","tries":1,"public":true,"sticky":true,"resumable":false,"gap_aim_ms":400}],"backends":[{"name":"advice","healthPath":"/health","maxConns":310,"protocol":"h1","tls":false,"engine":{"slots":48,"cacheTokens":105065,"tokenBytes":327680,"linkMbps":1100000.0,"stride":4,"maxInFlight":12,"models":[{"name":"advisor"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Runs the case.
pub fn run(program: &Path, folder: &Path, trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(&std::env::current_dir().map_err(|error| error.to_string())?)?;
    let platform = Platform::new(program, folder)?;
    let mut nodes = Vec::new();
    for machine in 0..MACHINES {
        nodes.push(platform.start_node(machine, true)?);
        record.line(&format!(
            "machine {machine} started, control {}, firstBoot true",
            platform.control(machine)
        ));
    }
    let started = Instant::now();
    let mut unsettled_at = started;
    let mut lost = !trouble;
    let mut replaced = !trouble;
    let mut longest_wait = Duration::ZERO;
    let mut operator = Operator {
        machines: (0..MACHINES).collect(),
        next: 0,
        pause: Duration::ZERO,
        send_at: started + OPERATOR_AT,
    };
    while started.elapsed() < END_AT {
        if !lost && started.elapsed() >= LOST_AT {
            nodes[0].kill();
            (lost, unsettled_at) = (true, Instant::now());
            record.line("machine 0, one of the seeds, is gone for good: SIGKILL");
        }
        if !replaced && started.elapsed() >= REPLACED_AT {
            nodes[0] = platform.start_node(REPLACEMENT, false)?;
            (replaced, unsettled_at) = (true, Instant::now());
            operator.machines = vec![1, 2, REPLACEMENT];
            record.line(&format!(
                "machine {REPLACEMENT} takes its place, control {}, empty disk, firstBoot false",
                platform.control(REPLACEMENT)
            ));
        }
        if nodes.iter_mut().skip(1).any(|node| !node.is_running()) {
            return Err("a node that was not killed has ended".to_owned());
        }
        if Instant::now() >= operator.send_at && operator.send(&platform, &record) {
            record.line("the configuration is acknowledged");
            break;
        }
        // How long the order has waited, in the present stretch in which the core is stable.
        let waits_since = (unsettled_at + IN_TOUCH).max(started + OPERATOR_AT);
        longest_wait = longest_wait.max(Instant::now().saturating_duration_since(waits_since));
        sleep(Duration::from_millis(20));
    }
    for machine in operator.machines.clone() {
        let Response { status, body, .. } = get(platform.control(machine), "/v1/status");
        let body = String::from_utf8_lossy(&body).replace(['\n', ' '], "");
        record.line(&format!(
            "status of machine {machine}: {status} {}",
            body.chars().take(200).collect::<String>()
        ));
    }
    let broken = longest_wait > ACK_WITHIN;
    record.line(&format!(
        "longest wait in one stretch with a stable core: {:.3} s, bound {:.3} s: Acks {}",
        longest_wait.as_secs_f64(),
        ACK_WITHIN.as_secs_f64(),
        if broken { "broken" } else { "held" }
    ));
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// The operator: sends the first configuration until it is taken, to one balancer after the other.
struct Operator {
    /// The machines in its list.
    machines: Vec<usize>,
    next: usize,
    pause: Duration,
    send_at: Instant,
}

impl Operator {
    /// Sends the configuration once; true if it was acknowledged.
    fn send(&mut self, platform: &Platform, record: &Record) -> bool {
        let machine = self.machines[self.next % self.machines.len()];
        self.next += 1;
        let to = platform.control(machine);
        let head = format!(
            "PUT /v1/config HTTP/1.1\r\nHost: {to}\r\nIf-Match: 0\r\nContent-Type: application/json\r\nConnection: close\r\n"
        );
        let response = http::request(to, &head, CONFIGURATION.as_bytes(), SILENCE);
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let answer = if response.end == End::Complete {
            format!("{} {text}", response.status)
        } else {
            "no answer".to_owned()
        };
        record.line(&format!("PUT /v1/config to machine {machine}: {answer}"));
        // The pause grows with each full round.
        if self.next.is_multiple_of(self.machines.len()) {
            self.pause = (self.pause * 2).clamp(Duration::from_millis(100), Duration::from_secs(1));
        }
        self.send_at = Instant::now() + self.pause;
        response.end == End::Complete && response.status == 200
    }
}

fn get(from: SocketAddr, path: &str) -> Response {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {from}\r\nConnection: close\r\n");
    http::request(from, &head, b"", SILENCE)
}
