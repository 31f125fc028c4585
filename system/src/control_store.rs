//! Opens the control store on the disk, retries while that fails, and gives the control plane a replica on it.

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

/// Time after a failed attempt to open the control store until the next one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Opens the control store, if the node has a disk whose loss counts, and starts the replica on it. Retries until the disk
/// is healthy; until then the node serves clients without a replica.
pub async fn open_until_healthy(
    settings: Rc<Settings>,
    effects: Rc<NodeEffects>,
    events: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
) {
    let Some(path) = settings.data_path.as_ref().filter(|_| settings.loss_counts) else { return };
    loop {
        match open_store(path, &events) {
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
                // If the driver has ended, the replica isn't needed.
                let _ = events.send(DriverEvent::Input(Input::ReplicaOpened(replica)));
                return;
            }
            Err(error) => warn!(effects.log, "control store open failed"; "error" => error.to_string()),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Opens the control store. The result of each write is sent as an event.
fn open_store(
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
        // If the driver has ended, nothing waits for the result.
        let _ = events.send(DriverEvent::Input(input));
    };
    let writer = Writer::start(opened.storage, Box::new(on_result))?;
    Ok((writer, opened.recovered))
}
