//! The command that prints the state of a fleet.

use std::net::SocketAddrV4;

use gradepaddle_controlplane::server_client;
use gradepaddle_http::buffers::Pool;
use snafu::{OptionExt, ResultExt};

use crate::error::{CommandError, NoAnswerSnafu, RuntimeSnafu};

/// Prints as JSON the state of the node at this control address and the state of the fleet as that node knows it.
///
/// # Errors
///
/// [`CommandError::NoAnswer`] if it does not respond.
pub fn print(address: SocketAddrV4) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let pool = Pool::default();
    let response = runtime.block_on(server_client::call(address, "GET", "/v1/status", &[], &pool));
    let response = response.context(NoAnswerSnafu { address })?;
    println!("{}", String::from_utf8_lossy(&response.body));
    Ok(())
}
