//! The platform: addresses, settings files and processes of a small deployment on loopback addresses.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports of every node; the same on all machines.
const FRONT: u16 = 9000;
const READINESS: u16 = 9001;
const CONTROL: u16 = 9100;
const INTERNAL: (u16, u16) = (7700, 7715);
/// Machines of the deployment, one in each zone, all with a disk that counts. One may be lost at once.
pub const MACHINES: usize = 3;
/// Addresses of machines: those of the start, and one for a machine that replaces another.
const ADDRESSES: usize = MACHINES + 1;
/// The number of the machine that replaces machine 0.
pub const REPLACEMENT: usize = MACHINES;
/// Time between the heartbeats of a server, in milliseconds (`beatEveryMs`).
pub const BEAT_EVERY_MS: u64 = 1000;

/// A running process, killed when it is dropped.
pub struct Process(Child);

impl Process {
    /// Starts a command with its output in a log file.
    pub fn start(command: &mut Command, log: &Path) -> Result<Process, String> {
        let file = File::options().create(true).append(true).open(log).map_err(|error| error.to_string())?;
        let child = command.stdin(Stdio::null()).stderr(file).spawn().map_err(|error| error.to_string())?;
        Ok(Process(child))
    }

    /// Its standard output, if it is a pipe and was not taken before.
    pub fn take_output(&mut self) -> Option<std::process::ChildStdout> {
        self.0.stdout.take()
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A deployment of three machines.
pub struct Platform {
    program: PathBuf,
    folder: PathBuf,
    prefix: String,
}

impl Platform {
    /// A deployment with its files in this folder, on a free block of loopback addresses.
    pub fn new(program: &Path, folder: &Path) -> Result<Platform, String> {
        if !program.is_file() {
            return Err(format!("{} is missing: run the build of the deploy file", program.display()));
        }
        let first = std::process::id() % 40_000;
        let blocks = (0..200).map(|step| (first + step * 7) % 40_000);
        let prefixes = blocks.map(|block| format!("127.{}.{}", 20 + block / 250, block % 250));
        let free = |prefix: &String| {
            (1..=ADDRESSES).all(|machine| {
                let is_free = |port| TcpListener::bind(format!("{prefix}.{machine}:{port}")).is_ok();
                [FRONT, READINESS, CONTROL, INTERNAL.0].into_iter().all(is_free)
            })
        };
        let prefix = prefixes.into_iter().find(free).ok_or("no free addresses")?;
        Ok(Platform { program: program.to_owned(), folder: folder.to_owned(), prefix })
    }

    fn address(&self, machine: usize, port: u16) -> String {
        format!("{}.{}:{port}", self.prefix, machine + 1)
    }

    /// Where clients reach a machine.
    pub fn front(&self, machine: usize) -> SocketAddr {
        parse(&self.address(machine, FRONT))
    }

    /// Where a machine answers readiness checks.
    pub fn readiness(&self, machine: usize) -> SocketAddr {
        parse(&self.address(machine, READINESS))
    }

    /// Where servers and the operator reach a machine.
    pub fn control(&self, machine: usize) -> SocketAddr {
        parse(&self.address(machine, CONTROL))
    }

    /// An address for a server.
    pub fn server(&self, number: usize) -> SocketAddr {
        parse(&format!("{}.{}:8080", self.prefix, 100 + number))
    }

    /// Starts the node of a machine on its disk, with the command of the deploy file.
    pub fn start_node(&self, machine: usize, first_boot: bool) -> Result<Process, String> {
        let path = self.folder.join(format!("node-{machine}.toml"));
        fs::write(&path, self.settings(machine, first_boot)).map_err(|error| error.to_string())?;
        let mut command = Command::new(&self.program);
        command.arg("run").env("GRADEPADDLE_BOOT", &path).stdout(Stdio::null());
        Process::start(&mut command, &self.folder.join(format!("node-{machine}.log")))
    }

    fn settings(&self, machine: usize, first_boot: bool) -> String {
        let seeds: Vec<String> =
            seeds_of(machine).map(|seed| format!("\"{}\"", self.address(seed, CONTROL))).collect();
        let (seeds, folder, number) = (seeds.join(", "), self.folder.display(), machine + 1);
        let ip = format!("{}.{number}", self.prefix);
        let zone = machine % MACHINES + 1;
        let (first, last) = INTERNAL;
        format!(
            "nodeName = \"edge-{number}\"\nrole = \"node\"\nmachineClass = \"edge\"\nserves = [\"edge\", \"control\"]\n\
             ip = \"{ip}\"\nzone = \"hall-{zone}\"\nregion = \"here\"\ninternalPorts = [{first}, {last}]\n\
             seedNodes = [{seeds}]\nfirstBoot = {first_boot}\nlossCounts = true\ndataPath = \"{folder}/data-{number}\"\n\
             discovery = \"self_register\"\nentryPoint = \"virtual_ip\"\nbeatEveryMs = {BEAT_EVERY_MS}\n\
             guarantees = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"kvcache\", \"stream\", \"engine\", \"tenants\"]\n\
             [zones]\nhall-1 = \"here\"\nhall-2 = \"here\"\nhall-3 = \"here\"\n\
             [listenOn]\nfront = \"{ip}:{FRONT}\"\nreadiness = \"{ip}:{READINESS}\"\ncontrolPlane = \"{ip}:{CONTROL}\"\n\
             [limits]\ncpuShare = 0.45\ncpuCores = 1\nmemoryMb = 260\nopenFiles = 4100\nlinkMbps = 1000.0\ndiskMb = 64\n\
             [survive]\nmachineLosses = 1\nzones = 0\nregionLosses = 0\n\
             [timeBounds]\nseedLagS = 3\nreuseAfterS = 2\ninTouchMs = 3000\nackWithinMs = 4000\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\n\
             revokeEverywhere = false\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nrecoverS = 12\n\
             transitMs = 120\nagain_s = 0\nchecksFence = true\nleaseMs = 3000\nthawMs = 300\nversionMs = 8000\nversionAllMs = 0\n"
        )
    }
}

/// The three machines in the operator's list when the settings of a machine are written.
fn seeds_of(machine: usize) -> std::ops::Range<usize> {
    if machine == REPLACEMENT { 1..ADDRESSES } else { 0..MACHINES }
}

fn parse(address: &str) -> SocketAddr {
    address.parse().unwrap_or_else(|_| unreachable!("{address} is an address"))
}
