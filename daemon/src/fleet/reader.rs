//! A reader: follows the applied state of one keeper over a connection, and submits writes to it.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_book::{Ledger, LedgerError, Write};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};

use super::peer_connection::{HEARTBEAT_INTERVAL, LineError, Packet};
use super::{Answers, Shared, connect};

/// The timeout of a connect, and the delay before the next keeper is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Why the reader stops following a keeper.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection ended.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The keeper's content can't be used by this build.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// Follows one keeper, and the next one when that fails, until the process ends.
pub async fn run(shared: Rc<Shared>, writes: &mut mpsc::Receiver<(Write, Answers)>) {
    let keepers = &shared.file.keepers;
    let mut ledger = Ledger::new(shared.contents());
    // Readers begin at random keepers; otherwise all of them would connect to the first one.
    let first = shared.random_u64() as usize % keepers.len();
    // A keeper that has stepped down does not follow itself.
    let others = keepers.iter().filter(|keeper| keeper.name != shared.name);
    for keeper in others.cycle().skip(first) {
        let Err(why) = follow(keeper, &shared, &mut ledger, writes).await else { return };
        shared.warn_once(format!("keeper {}: {why}", keeper.name));
        sleep(RECONNECT_DELAY).await;
    }
}

async fn follow(
    keeper: &super::file::KeeperAddress,
    shared: &Shared,
    ledger: &mut Ledger,
    writes: &mut mpsc::Receiver<(Write, Answers)>,
) -> Result<(), ReadError> {
    let mut connection = connect(keeper, shared, CONNECT_TIMEOUT).await?;
    connection.send(&Packet::Follow).await?;
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    let mut pending: Option<(u64, Answers)> = None;
    loop {
        tokio::select! {
            biased;
            received = connection.receive() => match received? {
                Packet::Whole(saved) => {
                    ledger.load(&saved)?;
                    shared.update_view(|view| view.update_as_reader(&connection.name, ledger.index(), true));
                    shared.notify_changed();
                }
                Packet::Applied { index, write } => {
                    ledger.apply(index, &write);
                    shared.update_view(|view| view.update_as_reader(&connection.name, ledger.index(), true));
                    shared.notify_changed();
                }
                Packet::Pulse { fresh } => shared.update_view(|view| view.update_as_reader(&connection.name, ledger.index(), fresh)),
                packet @ (Packet::Done { number, .. } | Packet::Turned { number, .. }) => {
                    if let Some((_, answers)) = pending.take_if(|(pending, _)| *pending == number) {
                        // The receiver may be gone.
                        let _ = answers.try_send(packet);
                    }
                }
                _ => {}
            },
            _ = heartbeat.tick() => connection.send(&Packet::Pulse { fresh: false }).await?,
            write = writes.recv() => match write {
                Some((write, answers)) => {
                    pending = Some((write.number, answers));
                    connection.send(&Packet::Write(write)).await?;
                }
                None => return Ok(()),
            },
        }
    }
}
