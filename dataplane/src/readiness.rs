//! The readiness address, which the platform polls each second (operators' page `SYSTEM.md`).

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_http::{Connection, Framing};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::data_plane::DataPlane;

/// Pause after an accept that failed: file descriptors are short then.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A connection without a request is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers readiness checks for as long as the process runs.
pub async fn serve_readiness(plane: Rc<DataPlane>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream, &plane.pool, ());
                tokio::task::spawn_local(serve(plane.clone(), connection));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(plane: Rc<DataPlane>, mut connection: Connection) {
    while let Ok(Ok(head)) = timeout(IDLE_TIMEOUT, connection.read_head()).await {
        // A check has no body; behind one that has, the connection is closed.
        let has_no_body = head.framing(Framing::Length(0)) == Ok(Framing::Length(0));
        let status = match (head.path(), plane.is_ready()) {
            ("/v1/ready", true) => "200 OK",
            ("/v1/ready", false) => "503 Service Unavailable",
            _ => "404 Not Found",
        };
        let mut out = plane.pool.chain();
        out.push(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        if connection.write(&[&out]).await.is_err() || !has_no_body || !head.keeps_alive() {
            return;
        }
    }
}
