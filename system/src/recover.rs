//! The command `recover-state`: lets a stopped node continue alone with the control state on its disk, after a quorum was
//! lost permanently.

use std::path::Path;

use gradepaddle_config::Settings;
use gradepaddle_control::{Member, RecoveryPlan, RecoverySource, ReplicaId, plan_recovery};
use gradepaddle_store::Storage;
use snafu::ResultExt;

use crate::error::{CommandError, NoDiskSnafu, RecoverySnafu, StoreSnafu};
use crate::listeners::peer_address;
use crate::random::random;

/// The options of the command.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryRequest {
    /// Begin with an empty state, since all machines that held the state are lost.
    pub from_nothing: bool,
    /// Write the recovered state; otherwise the plan is only printed.
    pub accept_loss: bool,
}

/// Prints what a recovery from this node's disk would keep and give up, and carries it out if the loss is accepted.
///
/// # Errors
///
/// [`CommandError`] if the settings have findings or name no disk, the disk fails, or there is nothing to recover from.
pub fn recover(file: &Path, request: RecoveryRequest) -> Result<(), CommandError> {
    let settings = Settings::load(file).map_err(|findings| CommandError::Settings { findings })?;
    let path = settings.data_path.as_ref().filter(|_| settings.loss_counts);
    let Some(path) = path else { return NoDiskSnafu.fail() };
    let mut opened = Storage::open(path, ReplicaId(random())).context(StoreSnafu)?;
    let member = Member {
        id: opened.recovered.id,
        address: peer_address(&settings),
        zone: settings.zone.as_str().into(),
    };
    let source = match request.from_nothing {
        true => RecoverySource::EmptyState,
        false => RecoverySource::StoredState,
    };
    let plan = plan_recovery(&opened.recovered, member, source).context(RecoverySnafu)?;
    print_plan(&plan);
    if !request.accept_loss {
        println!("nothing was written; --accept-loss carries it out");
        return Ok(());
    }
    opened.storage.append(plan.records).context(StoreSnafu)?;
    println!("done: start this node, then the others, whose disks have to be empty or of the same fleet");
    Ok(())
}

fn print_plan(plan: &RecoveryPlan) {
    match plan.configuration_version {
        0 => println!("kept: no configuration"),
        version => println!("kept: configuration {version}, as this disk holds it; later ones are lost"),
    }
    println!("epoch: {}", plan.epoch);
    for member in &plan.abandoned {
        println!("given up: {} in {}", member.address, member.zone);
    }
    println!("make sure that none of them runs: two fleets would both acknowledge changes");
}
