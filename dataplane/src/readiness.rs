//! The readiness address, asked by the platform each second.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_http::{Connection, Framing};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use crate::data_plane::DataPlane;

const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A connection that asks nothing is closed after this.
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
        // A check bears no body; one that does is not read on.
        let bare = head.framing(Framing::Length(0)) == Ok(Framing::Length(0));
        let status = match (head.path(), plane.is_ready()) {
            ("/v1/ready", true) => "200 OK",
            ("/v1/ready", false) => "503 Service Unavailable",
            _ => "404 Not Found",
        };
        let mut out = plane.pool.chain();
        out.push(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        if connection.write(&[&out]).await.is_err() || !bare || !head.keeps_alive() {
            return;
        }
    }
}
