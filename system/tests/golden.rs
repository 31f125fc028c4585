//! Pins the output of the program, byte for byte, and its exit codes.

#[path = "command_line/program.rs"]
#[allow(dead_code, reason = "each test file uses its part")]
mod program;

use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::path::Path;
use std::process::Output;
use std::thread;

use googletest::prelude::*;
use program::{Scratch, example, example_path, run, run_with, text};

const SETTINGS: &str = "node.toml";
const CONFIGURATION: &str = "configuration.json";

/// The output of several runs, with paths and addresses of this machine replaced by names.
#[derive(Default)]
struct Transcript {
    text: String,
    names: Vec<(String, &'static str)>,
}

impl Transcript {
    fn name(&mut self, text: &str, name: &'static str) {
        self.names.push((text.to_owned(), name));
    }

    fn note(&mut self, title: &str, output: &Output) {
        let named = |bytes: &[u8]| {
            let shown = text(bytes);
            self.names.iter().fold(shown, |shown, (text, name)| shown.replace(text, name))
        };
        let (stdout, stderr) = (named(&output.stdout), named(&output.stderr));
        writeln!(
            self.text,
            "== {title}: exit {:?}\n-- stdout\n{stdout}-- stderr\n{stderr}",
            output.status.code()
        )
        .expect("writing to a string never fails");
    }

    /// Compares the transcript with a file in `tests/golden`. One that differs is written to the folder for test output.
    fn verify(self, file: &str) -> Result<()> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let wanted = fs::read_to_string(folder.join(file)).unwrap_or_default();
        if wanted == self.text {
            return Ok(());
        }
        let found = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&found, &self.text)?;
        fail!("{file} differs from what was written, which is in {}:\n{}", found.display(), self.text)
    }
}

#[gtest]
fn checks_of_settings() -> Result<()> {
    let mut transcript = Transcript::default();
    let scratch = Scratch::new();
    let valid = example(SETTINGS);
    transcript.name(&example_path(SETTINGS), "EXAMPLE");
    transcript.note("the example", &run(&["check-settings", &example_path(SETTINGS)])?);
    for (from, to) in [
        ("nodeName = \"edge-west-2\"", ""),
        ("zone = \"west\"", "zone = 7"),
        ("ip = \"10.20.0.12\"", "ip = \"10.20.0\""),
        ("internalPorts = [7700, 7715]", "internalPorts = [7715, 7700]"),
        ("front = \"10.20.0.12:9000\"", "front = \"10.20.0.12\""),
        ("drainMs = 2200", "drainMs = \"soon\""),
        ("nodeName", "nodeName ="),
    ] {
        verify_that!(valid, contains_substring(from))?;
        let file = scratch.write(SETTINGS, &valid.replacen(from, to, 1));
        transcript.name(&file, "FILE");
        transcript.note(&format!("{to:?} for {from:?}"), &run(&["check-settings", &file])?);
    }
    let few = scratch.write("few.toml", "nodeName = \"x\"");
    transcript.name(&few, "FEW");
    transcript.note("run with few settings", &run_with(&["run"], &few)?);
    transcript.verify("settings.txt")
}

#[gtest]
fn checks_and_differences_of_configurations() -> Result<()> {
    let mut transcript = Transcript::default();
    let scratch = Scratch::new();
    let valid = example(CONFIGURATION);
    let old = example_path(CONFIGURATION);
    transcript.name(&old, "EXAMPLE");
    transcript.note("the example", &run(&["check-config", &old])?);
    for current in ["0", "11", "12", "13", "x"] {
        let output = run(&["check-config", "--current", current, &old])?;
        transcript.note(&format!("after {current}"), &output);
    }
    for (from, to) in [
        ("\"version\": 12,", ""),
        ("\"backend\": \"advice\"", "\"backend\": \"nobody\""),
        ("\"timeoutMs\": 4000", "\"timeoutMs\": 0"),
        ("\"pathPrefix\": \"/stock/order/\"", "\"pathPrefix\": \"/stock/\""),
        ("\"example-key-3\"", "\"example-key-1\""),
        ("{", "{{"),
    ] {
        verify_that!(valid, contains_substring(from))?;
        let file = scratch.write(CONFIGURATION, &valid.replacen(from, to, 1));
        transcript.name(&file, "FILE");
        transcript.note(&format!("{to:?} for {from:?}"), &run(&["check-config", &file])?);
    }
    let changed = valid
        .replacen("\"version\": 12", "\"version\": 13", 1)
        .replacen("\"timeoutMs\": 4000", "\"timeoutMs\": 5000", 1)
        .replacen("\"backend\": \"stock-old\"\n", "\"backend\": \"stock-new\"\n", 1)
        .replacen("\"name\": \"order\"", "\"name\": \"orders\"", 1);
    let new = scratch.write("new.json", &changed);
    transcript.name(&new, "NEW");
    transcript.note("diff", &run(&["diff", &old, &new])?);
    transcript.note("diff back", &run(&["diff", &new, &old])?);
    transcript.note("diff of the same", &run(&["diff", &old, &old])?);
    transcript.verify("configurations.txt")
}

#[gtest]
fn errors_and_help() -> Result<()> {
    let mut transcript = Transcript::default();
    let nowhere = Scratch::new().path("nowhere");
    transcript.name(&nowhere, "NOWHERE");
    for arguments in [
        &["--help"][..],
        &["run", "--help"],
        &["check-settings", "--help"],
        &["check-config", "--help"],
        &["diff", "--help"],
        &["status", "--help"],
        &["--version"],
        &[],
        &["nothing"],
        &["check-config"],
        &["diff", "one"],
        &["status", "here"],
        &["run"],
        &["check-settings", &nowhere],
        &["check-config", &nowhere],
        &["diff", &nowhere, &nowhere],
    ] {
        let title = arguments.join(" ").replace(&nowhere, "NOWHERE");
        transcript.note(&title, &run(arguments)?);
    }
    let output = run_with(&["run"], &nowhere)?;
    transcript.note("run with settings that are not there", &output);
    transcript.verify("errors.txt")
}

/// `status` of a node that answers one call, and of an address at which nothing listens.
#[gtest]
fn status() -> Result<()> {
    let mut transcript = Transcript::default();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?.to_string();
    transcript.name(&address, "ADDRESS");
    let node = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            seen.extend(byte);
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"node\":\"node-1\"}")
            .expect("it reads");
        seen
    });
    transcript.note("a node that answers", &run(&["status", &address])?);
    let seen = node.join().expect("the node has answered");
    let wanted = format!("GET /v1/status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    expect_that!(text(&seen), eq(&wanted));
    transcript.note("nobody there", &run(&["status", &address])?);
    transcript.verify("status.txt")
}
