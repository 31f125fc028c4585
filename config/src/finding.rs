//! Findings: the problems of an external document, each with its path.

use snafu::Snafu;
use std::fmt::{self, Display, Formatter};

/// The most findings that are displayed; the others are counted.
const MAX_DISPLAYED: usize = 1_000;

/// Path of a finding that concerns the complete document.
pub const WHOLE_DOCUMENT: &str = "whole text";

/// A problem of a document. Operators see its text after the path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Problem {
    /// The document, or the value at this path, can't be parsed.
    #[snafu(display("can't be read: {reason}"))]
    Unreadable {
        /// The error of the parser.
        reason: String,
    },
    /// A required value is missing.
    #[snafu(display("is missing"))]
    Missing,
    /// An object has two fields with the same name.
    #[snafu(display("is there twice in one object"))]
    DuplicateField,
    /// A route names a service that the configuration doesn't have.
    #[snafu(display("names the unknown service {service:?}"))]
    UnknownService {
        /// The name.
        service: String,
    },
    /// A route names a cache store, which accepts no requests.
    #[snafu(display("names {service:?}, which is a store"))]
    StoreInRoute {
        /// Name of the store.
        service: String,
    },
    /// Another route before this one has the same host and prefix.
    #[snafu(display("has the host and prefix of routes[{first}]"))]
    DuplicateRoute {
        /// Index of the first route that has them.
        first: usize,
    },
    /// The weights of a route's services sum to 0.
    #[snafu(display("has weights that sum to 0"))]
    ZeroWeight,
    /// A timeout is 0.
    #[snafu(display("is a time-out of 0"))]
    ZeroTimeout,
    /// A tenant before this one has the same key. The key itself is a secret and not shown.
    #[snafu(display("is a key of customers[{first}] ({tenant:?}) too"))]
    DuplicateKey {
        /// Index of the first tenant that has the key.
        first: usize,
        /// Name of that tenant.
        tenant: String,
    },
    /// A patch names a list that a configuration doesn't have, or one whose items have no names.
    #[snafu(display("is no list of named items"))]
    UnknownList,
    /// A patch names an item twice.
    #[snafu(display("names {name:?}, which {first} names too"))]
    DuplicateName {
        /// Name of the item.
        name: String,
        /// The path at which it is named for the first time.
        first: String,
    },
    /// A patch removes an item that the configuration doesn't have.
    #[snafu(display("names {name:?}, which isn't there"))]
    UnknownItem {
        /// Name of the item.
        name: String,
    },
    /// A patch names an item by a name that several items have.
    #[snafu(display("names {name:?}, which several items are called"))]
    AmbiguousName {
        /// The name.
        name: String,
    },
    /// The version of a configuration isn't above the current one.
    #[snafu(display("is {given}, which is not above the current {current}"))]
    VersionNotAbove {
        /// Version of the current configuration.
        current: u64,
        /// Version given.
        given: u64,
    },
    /// The last port of a range is lower than the first.
    #[snafu(display("ends at {last}, before its first port {first}"))]
    ReversedPortRange {
        /// First port of the range.
        first: u16,
        /// Last port of the range.
        last: u16,
    },
}

/// A problem and its path.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{path}: {problem}"))]
pub struct Finding {
    /// Path of the value in the document, such as `routes[2].timeoutMs`; [`WHOLE_DOCUMENT`] for the document itself.
    pub path: String,
    /// What is wrong there.
    #[snafu(source)]
    pub problem: Problem,
}

impl Finding {
    /// Creates a finding for a problem at a path.
    pub fn new(path: impl Into<String>, problem: Problem) -> Self {
        Self { path: path.into(), problem }
    }

    /// Creates a finding for a value that can't be parsed.
    pub(crate) fn unreadable(path: impl Into<String>, reason: impl Display) -> Self {
        Self::new(path, Problem::Unreadable { reason: reason.to_string() })
    }
}

/// All findings of a document, at least one. Displayed with one line per finding, up to 1,000 of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Returns the value if there are no findings, else the findings as the error.
    pub(crate) fn ok_if_empty<T>(findings: Vec<Finding>, value: impl FnOnce() -> T) -> Result<T, Self> {
        if findings.is_empty() { Ok(value()) } else { Err(Self(findings)) }
    }

    /// The findings, grouped by check and within a check in the order of the document.
    pub fn as_slice(&self) -> &[Finding] {
        &self.0
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Self {
        Self(vec![finding])
    }
}

impl Display for Findings {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().take(MAX_DISPLAYED).enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        match self.0.len().saturating_sub(MAX_DISPLAYED) {
            0 => Ok(()),
            hidden => write!(formatter, "\nand {hidden} more"),
        }
    }
}

impl std::error::Error for Findings {}
