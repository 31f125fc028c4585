//! A small fleet of real node processes on loopback addresses: settings files, start, kill, stop, restart, end.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The program and its argument, as the deploy file has them.
const PROGRAM: &str = "target/release/gradepaddle-node";
const ARGUMENT: &str = "run";

/// What the settings of the nodes differ in from one case to another.
pub struct Plan {
    pub nodes: u8,
    /// Nodes with a disk that counts: the first ones.
    pub core: u8,
    pub memory_mb: u64,
}

pub struct Node {
    pub name: String,
    pub front: SocketAddrV4,
    pub readiness: SocketAddrV4,
    pub control: SocketAddrV4,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    pub record: Record,
}

/// Four ports in a row from `first` that are free on all of these addresses.
fn free_ports(ips: &[Ipv4Addr]) -> Option<u16> {
    let seed = std::process::id() as u16;
    (0..400u16)
        .map(|i| 20_000 + (seed.wrapping_mul(37).wrapping_add(i * 29)) % 20_000)
        .find(|first| ips.iter().all(|ip| (0..24).all(|n| TcpListener::bind((*ip, first + n)).is_ok())))
}

impl Fleet {
    /// Writes the settings of all nodes; nothing is started.
    pub fn new(plan: &Plan, record: Record) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("gradepaddle-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let third = (std::process::id() % 250) as u8;
        let ips: Vec<Ipv4Addr> = (1..=plan.nodes).map(|n| Ipv4Addr::new(127, 61, third, n)).collect();
        let port = free_ports(&ips).ok_or("no free ports")?;
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", port + 2)).collect();
        let mut nodes = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("edge-{}", index + 1);
            let counts = index < plan.core as usize;
            let data = folder.join(&name);
            let disk = match counts {
                true => format!("dataPath = \"{}\"\n", data.display()),
                false => String::new(),
            };
            let settings = folder.join(format!("{name}.toml"));
            let text = format!(
                "nodeName = \"{name}\"\nrole = \"node\"\nmachineClass = \"edge\"\nserves = [\"edge\", \"control\"]\n\
                 ip = \"{ip}\"\nzone = \"zone-{zone}\"\nregion = \"here\"\ninternalPorts = [{internal}, {last}]\n\
                 seedNodes = [{seeds}]\nfirstBoot = true\nlossCounts = {counts}\n{disk}beatEveryMs = 1200\n\
                 guarantees = [\"base\", \"drain\", \"config\", \"retry\", \"recover\", \"stream\", \"tenants\"]\n\
                 [zones]\nzone-1 = \"here\"\nzone-2 = \"here\"\nzone-3 = \"here\"\n\
                 [listenOn]\nfront = \"{ip}:{port}\"\nreadiness = \"{ip}:{ready}\"\ncontrolPlane = \"{ip}:{control}\"\n\
                 [limits]\ncpuShare = 0.45\ncpuCores = 1\nmemoryMb = {memory}\nopenFiles = 4100\nlinkMbps = 1000.0\ndiskMb = 64\n\
                 [survive]\nmachineLosses = 1\nzones = 0\nregionLosses = 0\n\
                 [timeBounds]\nseedLagS = 3\nreuseAfterS = 2\ninTouchMs = 3000\nackWithinMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
                 graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\n\
                 revokeEverywhere = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nrecoverS = 12\n\
                 transitMs = 120\nchecksFence = true\nleaseMs = 3000\nthawMs = 300\nversionMs = 8000\nversionAllMs = 0\n",
                zone = index % 3 + 1,
                internal = port + 8,
                last = port + 23,
                seeds = seeds.join(", "),
                ready = port + 1,
                control = port + 2,
                memory = plan.memory_mb,
            );
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            nodes.push(Node {
                log: folder.join(format!("{name}.log")),
                name,
                front: SocketAddrV4::new(*ip, port),
                readiness: SocketAddrV4::new(*ip, port + 1),
                control: SocketAddrV4::new(*ip, port + 2),
                settings,
                child: None,
            });
        }
        Ok(Fleet { nodes, folder, record })
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        (0..self.nodes.len()).try_for_each(|index| self.start(index))
    }

    pub fn start(&mut self, index: usize) -> Result<(), String> {
        let node = &mut self.nodes[index];
        let log =
            fs::OpenOptions::new().create(true).append(true).open(&node.log).map_err(|e| e.to_string())?;
        let again = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.arg(ARGUMENT).env("GRADEPADDLE_BOOT", &node.settings);
        command.stdin(Stdio::null()).stdout(Stdio::from(again)).stderr(Stdio::from(log));
        let child = command.spawn().map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.line(&format!("platform: started {} as process {}", node.name, child.id()));
        node.child = Some(child);
        Ok(())
    }

    pub fn pid(&self, index: usize) -> Option<u32> {
        self.nodes[index].child.as_ref().map(Child::id)
    }

    /// Starts a node again. Its settings no longer say that the whole system starts for the first time.
    pub fn restart(&mut self, index: usize) -> Result<(), String> {
        let settings = &self.nodes[index].settings;
        let text = fs::read_to_string(settings).map_err(|error| error.to_string())?;
        let text = text.replace("firstBoot = true", "firstBoot = false");
        fs::write(settings, text).map_err(|error| error.to_string())?;
        self.start(index)
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("platform: {} killed", node.name));
        }
    }

    /// The memory of the process in bytes.
    pub fn memory(&self, index: usize) -> u64 {
        let Some(pid) = self.pid(index) else { return 0 };
        let mut text = String::new();
        let read = fs::File::open(format!("/proc/{pid}/statm")).and_then(|mut f| f.read_to_string(&mut text));
        let pages = read.ok().and_then(|_| text.split(' ').nth(1)?.parse::<u64>().ok()).unwrap_or(0);
        pages * 4096
    }

    /// Sends a complete configuration until it is acknowledged.
    pub fn put_configuration(&self, base: u64, body: &str, limit: Duration) -> Result<(), String> {
        self.change("PUT", base, body, limit)
    }

    /// Sends a change to the control addresses in turn until one acknowledges it, as the operator does.
    pub fn change(&self, method: &str, base: u64, body: &str, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        // Longer for large bodies.
        let patience = Duration::from_secs(1) + Duration::from_micros(body.len() as u64);
        let mut turn = 0;
        while Instant::now() < until {
            let to = self.nodes[turn % self.nodes.len()].control;
            turn += 1;
            let head = format!(
                "{method} /v1/config HTTP/1.1\r\nHost: {to}\r\nIf-Match: {base}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n",
                body.len()
            );
            let answer = http::call_following(to, &head, body.as_bytes(), patience);
            if let Ok(answer) = &answer {
                self.record.line(&format!("operator: {method} on {base} at {to}: {}", answer.status));
                if answer.status == 200 {
                    return Ok(());
                }
                if [400, 409, 412, 413, 422].contains(&answer.status) {
                    return Err(format!("refused with {}: {}", answer.status, answer.text()));
                }
            }
            sleep(Duration::from_millis(200));
        }
        Err("no acknowledgement".to_owned())
    }

    /// Waits until all nodes say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter().all(|node| http::is_ready(node.readiness)) {
                self.record.line("platform: all nodes are ready");
                return Ok(());
            }
            sleep(Duration::from_millis(200));
        }
        Err("the nodes are not ready".to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.nodes.len() {
            self.kill(index);
        }
        remove(&self.folder);
    }
}

fn remove(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(folder);
    }
}
