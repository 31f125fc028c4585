//! A sound model server: registers itself, and answers each request with a stream of events.
//!
//! Its answers have no length and end with their connection. Each event holds several tokens and is written token by token.
//! What it does is written to standard output: `run`, `token`, `event` and `end` lines with the request's id.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::http;
use crate::platform::BEAT_EVERY_MS;

/// Events of each stream, with the ids 1 to this.
pub const EVENTS: u64 = 8;
/// Tokens of each event.
const TOKENS: u64 = 2;
/// Time between two tokens.
const TOKEN_TIME: Duration = Duration::from_millis(120);
/// The model and its version.
const MODEL: &str = "advisor";
const VERSION: &str = "1";

/// Serves until the process is killed.
pub fn run(id: &str, address: &str, control: &[&str]) -> ExitCode {
    let Ok(listener) = TcpListener::bind(address) else { return ExitCode::from(2) };
    let control: Vec<SocketAddr> = control.iter().filter_map(|address| address.parse().ok()).collect();
    let (own, at) = (id.to_owned(), address.to_owned());
    // Without control addresses, its heartbeats are sent by the case.
    if !control.is_empty() {
        spawn(move || register(&own, &at, &control));
    }
    for stream in listener.incoming().flatten() {
        let own = id.to_owned();
        spawn(move || serve(stream, &own));
    }
    ExitCode::SUCCESS
}

/// The body of a heartbeat of a ready server.
pub fn heartbeat(address: &str, calls: u64) -> String {
    format!(
        "{{\"backend\":\"advice\",\"address\":\"{address}\",\"zone\":\"hall-1\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\
         \"warmupLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{VERSION},\"adapters\":[]}}],\
         \"callCount\":{calls}}}"
    )
}

/// Sends heartbeats to one balancer, and moves on to the next one where a heartbeat fails.
fn register(id: &str, address: &str, control: &[SocketAddr]) {
    let (mut calls, mut chosen) = (0, 0);
    loop {
        calls += 1;
        let body = heartbeat(address, calls);
        let to = control[chosen % control.len()];
        let head = format!(
            "PUT /v1/servers/{id} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nConnection: close\r\n"
        );
        let response = http::request(to, &head, body.as_bytes(), Duration::from_secs(1));
        if (200..300).contains(&response.status) {
            sleep(Duration::from_millis(BEAT_EVERY_MS));
        } else {
            chosen += 1;
            sleep(Duration::from_millis(100));
        }
    }
}

/// Answers one request, and closes the connection.
fn serve(mut stream: TcpStream, id: &str) {
    let Some((head, fields)) = read_request(&mut stream) else { return };
    let field = |name: &str| fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str());
    let request = field("x-request-id").unwrap_or_default();
    if head.starts_with("GET /health") {
        return answer(&mut stream, "200 OK", &format!("X-Server-Id: {id}\r\n"));
    }
    if field("x-target-server").is_some_and(|target| target != id)
        || field("expect-version").is_some_and(|version| version != VERSION)
    {
        return answer(
            &mut stream,
            "421 Misdirected Request",
            &format!("X-Request-Id: {request}\r\nX-Not-Run: 1\r\n"),
        );
    }
    if request.is_empty() {
        return answer(&mut stream, "400 Bad Request", "X-Not-Run: 1\r\n");
    }
    let after = field("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    println!("run {request} after {after}");
    let _ = generate(&mut stream, id, request, after);
}

fn generate(stream: &mut TcpStream, id: &str, request: &str, after: u64) -> std::io::Result<()> {
    sleep(TOKEN_TIME);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request}\r\nX-Server-Seal: {id}.{request}\r\n\
         X-Server-Load: 1,0,48\r\nVersions: {VERSION}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in after + 1..=EVENTS {
        stream.write_all(format!("id: {event}\ndata:").as_bytes())?;
        for token in 1..=TOKENS {
            stream.write_all(format!(" word{event}.{token}").as_bytes())?;
            println!("token {request} {event}.{token}");
            sleep(TOKEN_TIME);
        }
        stream.write_all(b"\n\n")?;
        println!("event {request} {event}");
    }
    println!("end {request}");
    Ok(())
}

fn answer(stream: &mut TcpStream, status: &str, fields: &str) {
    let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: 0\r\nConnection: close\r\n\r\n");
    let _ = stream.write_all(text.as_bytes());
}

/// The head of a request as text and its fields, once its body has been read.
fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<(String, String)>)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        if let Some(end) = http::head_end(&bytes) {
            let fields = http::fields(&bytes[..end]);
            let length = fields.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + length {
                return Some((String::from_utf8_lossy(&bytes[..end]).into_owned(), fields));
            }
        }
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}
