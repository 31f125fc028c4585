//! Figures of the rules: what may be lost at once, and the bounds in time.

use super::reader::Reader;
use crate::number::{Milliseconds, NonNegative, Seconds, UnsignedInteger};
use std::time::Duration;

/// What may be lost at once while every rule still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines whose loss counts.
    pub machine_losses: u32,
    /// Whole zones.
    pub zones: u32,
    /// Whole regions.
    pub region_losses: u32,
}

impl FaultTolerance {
    pub(super) fn from_reader(reader: &mut Reader) -> Self {
        let default = Self::default();
        Self {
            machine_losses: count(reader, "survive.machineLosses", default.machine_losses),
            zones: count(reader, "survive.zones", default.zones),
            region_losses: count(reader, "survive.regionLosses", default.region_losses),
        }
    }
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self { machine_losses: 1, zones: 0, region_losses: 0 }
    }
}

/// The bounds of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeBounds {
    /// How far the list of control addresses that callers use lags behind.
    pub seed_lag: Duration,
    /// After this the address of an ended server may go to a server of another service.
    pub reuse_after: Duration,
    /// How long a machine must have been undisturbed for the bounds to hold for it.
    pub undisturbed_for: Duration,
    /// Within this an order of the operator must be acknowledged.
    pub acknowledgment_limit: Duration,
    /// For this long after its return a machine still counts as lost.
    pub catch_up: Duration,
    /// Later than this after it said that it leaves, a server must get no requests.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Within this after its last byte a request that isn't passed on may be closed without an answer.
    pub loss_slack: Duration,
    /// Within this after its acknowledgement a configuration must be in force everywhere.
    pub config_apply: Duration,
    /// Within this after the effect of a version was seen, a request may still be handled by an older one.
    pub rollback_slack: Duration,
    /// Most that an unstable core adds to the bound of configuration.
    pub max_stretch: Duration,
    /// Whether withdrawn keys must be refused everywhere.
    pub revoke_everywhere: bool,
    /// Within this a withdrawn key must be refused.
    pub revoke: Duration,
    /// Repeats allowed for each request of a service within `retry_window`.
    pub retry_ratio: f64,
    /// Length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// Repeats allowed in each window beside those by ratio.
    pub retry_slack: f64,
    /// Within this after the machines are back, service must have recovered.
    pub recover: Duration,
    /// An event of a stream that takes longer than this to its client is late.
    pub transit: Duration,
    /// Whether servers refuse orders with a fence lower than one they have seen.
    pub checks_fencing_token: bool,
    /// Time within which two holders must not take turns in giving orders.
    pub lease: Duration,
    /// For this long after a thaw or a healed link, orders don't count.
    pub thaw: Duration,
    /// Within this after the acknowledgement of a model version, requests must begin on no older one.
    pub version: Duration,
    /// Within this every server must have a named model version; 0 for no such bound.
    pub version_all: Duration,
}

impl TimeBounds {
    pub(super) fn from_reader(reader: &mut Reader) -> Self {
        let default = Self::default();
        Self {
            seed_lag: seconds(reader, "timeBounds.seedLagS", default.seed_lag),
            reuse_after: seconds(reader, "timeBounds.reuseAfterS", default.reuse_after),
            undisturbed_for: milliseconds(reader, "timeBounds.inTouchMs", default.undisturbed_for),
            acknowledgment_limit: milliseconds(
                reader,
                "timeBounds.ackWithinMs",
                default.acknowledgment_limit,
            ),
            catch_up: seconds(reader, "timeBounds.catchUpS", default.catch_up),
            drain: milliseconds(reader, "timeBounds.drainMs", default.drain),
            grace: seconds(reader, "timeBounds.graceS", default.grace),
            loss_slack: milliseconds(reader, "timeBounds.lossSlackMs", default.loss_slack),
            config_apply: milliseconds(reader, "timeBounds.configApplyMs", default.config_apply),
            rollback_slack: milliseconds(reader, "timeBounds.rollbackSlackMs", default.rollback_slack),
            max_stretch: milliseconds(reader, "timeBounds.maxStretchMs", default.max_stretch),
            revoke_everywhere: flag(reader, "timeBounds.revokeEverywhere", default.revoke_everywhere),
            revoke: milliseconds(reader, "timeBounds.revokeMs", default.revoke),
            retry_ratio: amount(reader, "timeBounds.retryRatio", default.retry_ratio),
            retry_window: seconds(reader, "timeBounds.retryWindowS", default.retry_window),
            retry_slack: amount(reader, "timeBounds.retrySlack", default.retry_slack),
            recover: seconds(reader, "timeBounds.recoverS", default.recover),
            transit: milliseconds(reader, "timeBounds.transitMs", default.transit),
            checks_fencing_token: flag(reader, "timeBounds.checksFence", default.checks_fencing_token),
            lease: milliseconds(reader, "timeBounds.leaseMs", default.lease),
            thaw: milliseconds(reader, "timeBounds.thawMs", default.thaw),
            version: milliseconds(reader, "timeBounds.versionMs", default.version),
            version_all: milliseconds(reader, "timeBounds.versionAllMs", default.version_all),
        }
    }
}

impl Default for TimeBounds {
    fn default() -> Self {
        Self {
            seed_lag: Duration::from_secs(3),
            reuse_after: Duration::from_secs(2),
            undisturbed_for: Duration::from_secs(3),
            acknowledgment_limit: Duration::from_secs(4),
            catch_up: Duration::from_secs(4),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(8),
            loss_slack: Duration::from_millis(200),
            config_apply: Duration::from_secs(2),
            rollback_slack: Duration::from_millis(250),
            max_stretch: Duration::from_secs(5),
            revoke_everywhere: false,
            revoke: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 58.0,
            recover: Duration::from_secs(12),
            transit: Duration::from_millis(120),
            checks_fencing_token: true,
            lease: Duration::from_secs(3),
            thaw: Duration::from_millis(300),
            version: Duration::from_secs(8),
            version_all: Duration::ZERO,
        }
    }
}

fn count(reader: &mut Reader, path: &str, default: u32) -> u32 {
    reader.optional::<UnsignedInteger>(path).map_or(default, UnsignedInteger::saturating_into)
}

fn amount(reader: &mut Reader, path: &str, default: f64) -> f64 {
    reader.optional(path).map_or(default, |NonNegative(amount)| amount)
}

fn flag(reader: &mut Reader, path: &str, default: bool) -> bool {
    reader.optional(path).unwrap_or(default)
}

fn seconds(reader: &mut Reader, path: &str, default: Duration) -> Duration {
    reader.optional(path).map_or(default, |Seconds(duration)| duration)
}

fn milliseconds(reader: &mut Reader, path: &str, default: Duration) -> Duration {
    reader.optional(path).map_or(default, |Milliseconds(duration)| duration)
}
