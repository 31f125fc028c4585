//! The changes that [`super::diff`] reports, and their text.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use crate::configuration::{Limits, Target};

/// A change for requests. `route` is the name of the route in the new configuration, or in the old one if it was removed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A route was added.
    RouteAdded {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A route was removed.
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
    /// The shares of a route's services have changed.
    RouteWeightsChanged {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The timeout of a route has changed.
    RouteTimeout {
        /// Name of the route.
        route: Arc<str>,
        /// Timeout before.
        from: Duration,
        /// Timeout from now on.
        to: Duration,
    },
    /// Another field of a route has changed.
    RouteChanged {
        /// Name of the route.
        route: Arc<str>,
        /// The field.
        field: RouteField,
    },
    /// A service was added.
    ServiceAdded {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A service was removed.
    ServiceRemoved {
        /// Name of the service.
        service: Arc<str>,
    },
    /// Any field of a service has changed.
    ServiceChanged {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A key was added to a tenant.
    KeyAdded {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// The key, which isn't displayed.
        key: Arc<str>,
    },
    /// A key was removed from a tenant.
    KeyRemoved {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// The key, which isn't displayed.
        key: Arc<str>,
    },
    /// Whether a tenant shares cached prefixes with other tenants has changed.
    Isolation {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Whether it is isolated from now on.
        isolated: bool,
    },
    /// The priority of a tenant has changed.
    TenantPriority {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Priority before; `None`: that of the route.
        from: Option<u8>,
        /// Priority from now on; `None`: that of the route.
        to: Option<u8>,
    },
    /// The limits of clients have changed.
    Limits {
        /// Limits before.
        from: Limits,
        /// Limits from now on.
        to: Limits,
    },
}

/// A field of a route other than its services and its timeout. Displayed by its earlier name, which operators know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteField {
    /// [`Route::kind`](crate::Route::kind)
    Kind,
    /// [`Route::latency_target`](crate::Route::latency_target)
    LatencyTarget,
    /// [`Route::priority`](crate::Route::priority)
    Priority,
    /// [`Route::max_attempts`](crate::Route::max_attempts)
    MaxAttempts,
    /// [`Route::public`](crate::Route::public)
    Public,
    /// [`Route::sticky`](crate::Route::sticky)
    Sticky,
    /// [`Route::resumable`](crate::Route::resumable)
    Resumable,
    /// [`Route::event_gap_target`](crate::Route::event_gap_target)
    EventGapTarget,
}

/// Names of services in alphabetical order; displayed separated by commas.
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
