//! The readiness address, which the platform polls each second (operators' page `SYSTEM.md`).

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_http::{Connection, Framing, Head};
use gradepaddle_resources::{ConnectionPermit, WaitKind};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::data_plane::DataPlane;

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A connection without a request is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Responds to readiness checks for as long as the process runs.
pub async fn serve_readiness(plane: Rc<DataPlane>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without a permit the connection is closed. Whoever asks will ask again.
                let Ok(permit) = plane.readiness_clients.admit().await else { continue };
                let connection = Connection::new(stream, &plane.pool, permit);
                tokio::task::spawn_local(serve(plane.clone(), connection));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Serves a connection until it is closed.
async fn serve(plane: Rc<DataPlane>, mut connection: Connection<ConnectionPermit>) {
    while let Some(head) = next_request(&mut connection).await {
        // A readiness check has no body. After a request with one, the connection is closed, since the body is not read.
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

/// Reads the next request; none if the connection is closed, invalid, idle for too long, or needed for another caller.
async fn next_request(connection: &mut Connection<ConnectionPermit>) -> Option<Head> {
    let entry = connection.guard().wait(WaitKind::Idle);
    tokio::select! {
        biased;
        head = timeout(IDLE_TIMEOUT, connection.read_head()) => head.ok()?.ok(),
        () = entry.evicted() => None,
    }
}
