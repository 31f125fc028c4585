//! A reader: one connection to a keeper, whose applied state it follows and to which it hands writes.

use std::rc::Rc;
use std::time::Duration;

use gradepaddle_book::{Ledger, LedgerError, Write};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{interval, sleep};

use super::line::{LineError, PULSE, Packet};
use super::{Answers, Common, reach};

/// How long a dial may take, and how long to wait before the next keeper is tried.
const DIAL: Duration = Duration::from_millis(1000);
const AGAIN: Duration = Duration::from_millis(200);

/// Why a keeper is not followed any more.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection ended.
    #[error(transparent)]
    Line(#[from] LineError),
    /// What it tells can not be used here.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// Follows the keepers, one after the other, for as long as the process lasts.
pub async fn run(common: Rc<Common>, writes: &mut mpsc::Receiver<(Write, Answers)>) {
    let keepers = &common.file.keepers;
    let mut ledger = Ledger::new(common.contents());
    // All begin at different ones, or the first would have them all.
    let first = common.draw() as usize % keepers.len();
    // A keeper that has stepped down does not follow itself.
    let others = keepers.iter().filter(|keeper| keeper.name != common.name);
    for keeper in others.cycle().skip(first) {
        let Err(why) = follow(keeper, &common, &mut ledger, writes).await else { return };
        common.once(format!("keeper {}: {why}", keeper.name));
        sleep(AGAIN).await;
    }
}

async fn follow(
    keeper: &super::file::Named,
    common: &Common,
    ledger: &mut Ledger,
    writes: &mut mpsc::Receiver<(Write, Answers)>,
) -> Result<(), ReadError> {
    let mut line = reach(keeper, common, DIAL).await?;
    line.say(&Packet::Follow).await?;
    let mut pulse = interval(PULSE);
    let mut waits: Option<(u64, Answers)> = None;
    loop {
        tokio::select! {
            biased;
            heard = line.hear() => match heard? {
                Packet::Whole(saved) => {
                    ledger.load(&saved)?;
                    common.say(|view| view.reads(&line.name, ledger.index(), true));
                    common.changed();
                }
                Packet::Applied { index, write } => {
                    ledger.apply(index, &write);
                    common.say(|view| view.reads(&line.name, ledger.index(), true));
                    common.changed();
                }
                Packet::Pulse { fresh } => common.say(|view| view.reads(&line.name, ledger.index(), fresh)),
                packet @ (Packet::Done { number, .. } | Packet::Turned { number, .. }) => {
                    if let Some((_, answers)) = waits.take_if(|(waits, _)| *waits == number) {
                        // Whoever asked may have gone.
                        let _ = answers.try_send(packet);
                    }
                }
                _ => {}
            },
            _ = pulse.tick() => line.say(&Packet::Pulse { fresh: false }).await?,
            write = writes.recv() => match write {
                Some((write, answers)) => {
                    waits = Some((write.number, answers));
                    line.say(&Packet::Write(write)).await?;
                }
                None => return Ok(()),
            },
        }
    }
}
