//! Finds duplicate fields of objects, also in parts of a body that are otherwise ignored, and bodies with too many values.
//!
//! JSON parsers differ in which of two fields with the same name they use (RFC 8259, section 4), so two processes could act
//! differently on the same body.

use crate::finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
use foldhash::{HashSet, HashSetExt};
use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use std::fmt::{self, Formatter, Write};

/// The most values of a body: items of lists, fields, and the body itself. Many small values are parsed into far more memory
/// than the body has; a body of 5 MiB with routes has 260,000.
const MAX_VALUES: usize = 400_000;

/// Checks the syntax of a body, its number of values, and that no object in it has two fields with the same name.
///
/// # Errors
///
/// [`Problem::Unreadable`] if the body isn't JSON or has too many values; otherwise a [`Problem::DuplicateField`] for each repetition.
pub(crate) fn check(body: &[u8]) -> Result<(), Findings> {
    let mut visitor = DuplicateFieldVisitor::default();
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    visitor
        .deserialize(&mut deserializer)
        .and_then(|()| deserializer.end())
        .map_err(|error| Finding::unreadable(WHOLE_DOCUMENT, error))?;
    Findings::ok_if_empty(visitor.findings, || ())
}

/// Visits all values of a body.
#[derive(Default)]
struct DuplicateFieldVisitor {
    /// Path of the current value.
    path: String,
    findings: Vec<Finding>,
    /// The number of values so far.
    values: usize,
}

/// Name of a field, borrowed from the body unless it contains escapes.
#[derive(Deserialize, PartialEq, Eq, Hash)]
struct Name<'a>(#[serde(borrow)] Cow<'a, str>);

impl DuplicateFieldVisitor {
    fn enter_field(&mut self, name: &str) {
        if !self.path.is_empty() {
            self.path.push('.');
        }
        self.path.push_str(name);
    }

    fn enter_element(&mut self, index: usize) {
        write!(self.path, "[{index}]").expect("writing to a string never fails");
    }
}

impl<'de> DeserializeSeed<'de> for &mut DuplicateFieldVisitor {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        self.values += 1;
        if self.values > MAX_VALUES {
            return Err(D::Error::custom(format_args!("more than {MAX_VALUES} values")));
        }
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for &mut DuplicateFieldVisitor {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        let mut names = HashSet::new();
        let parent_length = self.path.len();
        while let Some(name) = fields.next_key::<Name<'de>>()? {
            self.enter_field(&name.0);
            if !names.insert(name) {
                self.findings.push(Finding::new(&self.path, Problem::DuplicateField));
            }
            fields.next_value_seed(&mut *self)?;
            self.path.truncate(parent_length);
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<(), A::Error> {
        let parent_length = self.path.len();
        for index in 0.. {
            self.enter_element(index);
            let element = elements.next_element_seed(&mut *self)?;
            self.path.truncate(parent_length);
            if element.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
