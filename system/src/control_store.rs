//! The disk of the control state: opened, tried again while it refuses, and handed to the control plane as a replica.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_config::Settings;
use gradepaddle_control::{RecoveredState, Replica, ReplicaConfig, ReplicaId};
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::driver::DriverEvent;
use gradepaddle_controlplane::node::Input;
use gradepaddle_store::{Storage, StoreError, WriteResult, Writer};
use slog::warn;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::effects::NodeEffects;
use crate::listeners::peer_address;
use crate::random::random;
use crate::shutdown::grace_period;

/// A disk that refused is tried again after this.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Opens the disk, where there is one whose loss counts, and starts the replica on it. A disk that refuses is tried again
/// until it is healthy: without its replica the node serves clients all the same.
pub async fn open_until_healthy(
    settings: Rc<Settings>,
    effects: Rc<NodeEffects>,
    events: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
) {
    let Some(path) = settings.data_path.as_ref().filter(|_| settings.loss_counts) else { return };
    loop {
        match open_disk(path, &events) {
            Ok((writer, recovered)) => {
                *effects.writer.borrow_mut() = Some(writer);
                let config = ReplicaConfig::builder()
                    .address(peer_address(&settings))
                    .zone(&*settings.zone)
                    .first_boot(settings.first_boot)
                    .machine_losses(settings.fault_tolerance.machine_losses as usize)
                    .shutdown_timeout(grace_period(&settings).as_micros() as u64)
                    .seed(random())
                    .build();
                let replica = Box::new(Replica::new(config, recovered, clock.now()));
                // Without a driver nobody needs it.
                let _ = events.send(DriverEvent::Input(Input::ReplicaOpened(replica)));
                return;
            }
            Err(error) => warn!(effects.log, "control store open failed"; "error" => error.to_string()),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Opens the disk. The end of each write comes back as an event.
fn open_disk(
    path: &Path,
    events: &mpsc::UnboundedSender<DriverEvent>,
) -> Result<(Writer, RecoveredState), StoreError> {
    let opened = Storage::open(path, ReplicaId(random()))?;
    let events = events.clone();
    let on_result = move |write: WriteResult| {
        let input = match write.result {
            Ok(()) => Input::Persisted(write.write_id),
            Err(_) => Input::PersistFailed(write.write_id),
        };
        // Without a driver nobody waits for it.
        let _ = events.send(DriverEvent::Input(input));
    };
    let writer = Writer::start(opened.storage, Box::new(on_result))?;
    Ok((writer, opened.recovered))
}
