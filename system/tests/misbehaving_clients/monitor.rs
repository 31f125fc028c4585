//! Samples what a process holds: its resident memory, the bytes that have arrived at its sockets and are not read yet, and
//! its open descriptors.

use std::fs;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const PAGE_BYTES_KEY: &str = "KernelPageSize:";
/// State of a listening socket in `/proc/net/tcp`, whose receive queue is a number of connections.
const LISTENING: &str = "0A";

/// The largest values that were seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory and unread bytes, at one time.
    pub memory_bytes: u64,
    /// Unread bytes alone.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// A thread that samples a process until it is finished.
pub struct Monitor {
    process_id: u32,
    peak: Arc<Mutex<Peak>>,
    finished: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Monitor {
    /// Starts to sample the process that listens at this address, which no other process uses.
    pub fn start(process_id: u32, ip: Ipv4Addr) -> Monitor {
        let (peak, finished) = (Arc::<Mutex<Peak>>::default(), Arc::<AtomicBool>::default());
        let (shared_peak, shared_finished) = (peak.clone(), finished.clone());
        let page_bytes = page_bytes();
        let thread = thread::spawn(move || {
            while !shared_finished.load(Ordering::Relaxed) {
                let unread = unread_bytes(ip);
                let sampled = Peak {
                    memory_bytes: resident_bytes(process_id, page_bytes) + unread,
                    unread_bytes: unread,
                    descriptors: descriptors(process_id),
                };
                shared_peak.lock().unwrap_or_else(PoisonError::into_inner).raise_to(sampled);
                sleep(SAMPLE_INTERVAL);
            }
        });
        Monitor { process_id, peak, finished, thread: Some(thread) }
    }

    /// Ends the sampling. The kernel's own record of the most memory covers what happened between two samples.
    pub fn finish(mut self) -> Peak {
        self.finished.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the sampling thread does not panic");
        }
        let mut peak = *self.peak.lock().unwrap_or_else(PoisonError::into_inner);
        peak.memory_bytes = peak.memory_bytes.max(peak_resident_bytes(self.process_id));
        peak
    }
}

impl Peak {
    fn raise_to(&mut self, other: Peak) {
        self.memory_bytes = self.memory_bytes.max(other.memory_bytes);
        self.unread_bytes = self.unread_bytes.max(other.unread_bytes);
        self.descriptors = self.descriptors.max(other.descriptors);
    }
}

/// The size of a page, which differs between machines.
fn page_bytes() -> u64 {
    let maps = fs::read_to_string("/proc/self/smaps").unwrap_or_default();
    kilobytes(&maps, PAGE_BYTES_KEY).expect("the kernel tells the size of a page")
}

/// The value in bytes of a line like `VmHWM:  1234 kB`.
fn kilobytes(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(key))?;
    Some(line.split_ascii_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
}

fn resident_bytes(process_id: u32, page_bytes: u64) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{process_id}/statm")).unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * page_bytes
}

fn peak_resident_bytes(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    kilobytes(&status, "VmHWM:").unwrap_or(0)
}

fn descriptors(process_id: u32) -> u64 {
    fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// The bytes in the receive queues of all connections whose local address is this one, accepted or not.
fn unread_bytes(ip: Ipv4Addr) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let address = format!("{:08X}:", u32::from_le_bytes(ip.octets()));
    table.lines().filter_map(|line| unread_in_line(line, &address)).sum()
}

fn unread_in_line(line: &str, address: &str) -> Option<u64> {
    let mut columns = line.split_ascii_whitespace().skip(1);
    let (local, _, state, queues) = (columns.next()?, columns.next()?, columns.next()?, columns.next()?);
    if !local.starts_with(address) || state == LISTENING {
        return None;
    }
    u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()
}
