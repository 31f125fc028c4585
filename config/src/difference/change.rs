//! The changes that [`super::diff`] reports, and their text.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Limits, Target};

/// A change for requests. `route` is the name of the route in the new configuration, where it has it.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A route is new.
    RouteAdded {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A route is gone.
    RouteRemoved {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The requests of a route go to other services.
    RouteServicesChanged {
        /// Name of the route.
        route: Arc<str>,
        /// Its services before.
        from: ServiceNames,
        /// Its services from now on.
        to: ServiceNames,
    },
    /// The services of a route get other parts of its requests.
    RouteWeightsChanged {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The time-out of a route is another.
    RouteTimeout {
        /// Name of the route.
        route: Arc<str>,
        /// Time-out before.
        from: Duration,
        /// Time-out from now on.
        to: Duration,
    },
    /// Something else of a route is another.
    RouteChanged {
        /// Name of the route.
        route: Arc<str>,
        /// What is another.
        field: RouteField,
    },
    /// A service is new.
    ServiceAdded {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A service is gone.
    ServiceRemoved {
        /// Name of the service.
        service: Arc<str>,
    },
    /// The terms of a service are others.
    ServiceChanged {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A tenant has one more key.
    KeyAdded {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// The key, which isn't displayed.
        key: Arc<str>,
    },
    /// A tenant has lost a key.
    KeyRemoved {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// The key, which isn't displayed.
        key: Arc<str>,
    },
    /// A tenant shares cached parts no longer, or shares them again.
    Isolation {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Whether it is isolated from now on.
        isolated: bool,
    },
    /// The rank of a tenant is another.
    TenantPriority {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Rank before.
        from: Option<u8>,
        /// Rank from now on.
        to: Option<u8>,
    },
    /// What clients may send, or how long they may take, is another.
    Limits {
        /// Limits before.
        from: Limits,
        /// Limits from now on.
        to: Limits,
    },
}

/// A value of a route beside its services and its time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteField {
    /// [`Route::kind`]
    Kind,
    /// [`Route::latency_target`]
    LatencyTarget,
    /// [`Route::priority`]
    Priority,
    /// [`Route::max_attempts`]
    MaxAttempts,
    /// [`Route::public`]
    Public,
    /// [`Route::sticky`]
    Sticky,
    /// [`Route::resumable`]
    Resumable,
    /// [`Route::event_gap_target`]
    EventGapTarget,
}

/// Names of services in alphabetical order; displayed with commas between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceNames(pub Vec<Arc<str>>);

impl ServiceNames {
    pub(super) fn of(split: &[Target]) -> Self {
        let mut names: Vec<Arc<str>> = split.iter().map(|target| Arc::clone(&target.service)).collect();
        names.sort();
        Self(names)
    }
}

impl Display for ServiceNames {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.join(", "))
    }
}

impl Display for RouteField {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Kind => "kind",
            Self::LatencyTarget => "target",
            Self::Priority => "priority",
            Self::MaxAttempts => "tries",
            Self::Public => "public",
            Self::Sticky => "sticky",
            Self::Resumable => "resumable",
            Self::EventGapTarget => "gap_aim",
        })
    }
}

impl Display for Change {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteAdded { route } => write!(formatter, "route {route} added"),
            Self::RouteRemoved { route } => write!(formatter, "route {route} removed"),
            Self::RouteServicesChanged { route, from, to } => {
                write!(formatter, "route {route} moved from {from} to {to}")
            }
            Self::RouteWeightsChanged { route } => write!(formatter, "route {route} has other weights"),
            Self::RouteTimeout { route, from, to } => {
                write!(formatter, "route {route} has a time-out of {to:?} instead of {from:?}")
            }
            Self::RouteChanged { route, field } => write!(formatter, "route {route} has another {field}"),
            Self::ServiceAdded { service } => write!(formatter, "service {service} added"),
            Self::ServiceRemoved { service } => write!(formatter, "service {service} removed"),
            Self::ServiceChanged { service } => write!(formatter, "service {service} has other terms"),
            Self::KeyAdded { tenant, .. } => write!(formatter, "tenant {tenant} has one more key"),
            Self::KeyRemoved { tenant, .. } => write!(formatter, "tenant {tenant} has lost a key"),
            Self::Isolation { tenant, isolated: true } => {
                write!(formatter, "tenant {tenant} is isolated now")
            }
            Self::Isolation { tenant, isolated: false } => {
                write!(formatter, "tenant {tenant} is isolated no longer")
            }
            Self::TenantPriority { tenant, from, to } => {
                write!(formatter, "tenant {tenant} has the rank {to:?} instead of {from:?}")
            }
            Self::Limits { .. } => formatter.write_str("the limits are others"),
        }
    }
}
