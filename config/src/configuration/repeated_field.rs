//! Finds objects that have two fields of one name, also in parts of a body that are otherwise ignored.
//!
//! JSON parsers differ in which of the two they use (RFC 8259, section 4), so processes could differ in what they do.

use crate::finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
use foldhash::{HashSet, HashSetExt};
use serde::de::{DeserializeSeed, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::borrow::Cow;
use std::fmt::{self, Formatter, Write};

/// Checks the syntax of a body and that the fields of each of its objects have different names.
///
/// # Errors
///
/// [`Problem::Unreadable`] if the body isn't JSON; otherwise a [`Problem::DuplicateField`] for each repetition.
pub(crate) fn check(body: &[u8]) -> Result<(), Findings> {
    let mut walk = Walk::default();
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    walk.deserialize(&mut deserializer)
        .and_then(|()| deserializer.end())
        .map_err(|error| Finding::unreadable(WHOLE_DOCUMENT, error))?;
    Findings::or(walk.findings, || ())
}

/// Walk over all values of a body.
#[derive(Default)]
struct Walk {
    /// Path of the value at hand.
    path: String,
    findings: Vec<Finding>,
}

/// Name of a field, without a copy where it has no escapes.
#[derive(Deserialize, PartialEq, Eq, Hash)]
struct Name<'a>(#[serde(borrow)] Cow<'a, str>);

impl Walk {
    fn enter_field(&mut self, name: &str) {
        if !self.path.is_empty() {
            self.path.push('.');
        }
        self.path.push_str(name);
    }

    fn enter_element(&mut self, index: usize) {
        write!(self.path, "[{index}]").expect("a string takes all that is written to it");
    }
}

impl<'de> DeserializeSeed<'de> for &mut Walk {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for &mut Walk {
    type Value = ();

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        let mut names = HashSet::new();
        let outer = self.path.len();
        while let Some(name) = fields.next_key::<Name<'de>>()? {
            self.enter_field(&name.0);
            if !names.insert(name) {
                self.findings.push(Finding::new(&self.path, Problem::DuplicateField));
            }
            fields.next_value_seed(&mut *self)?;
            self.path.truncate(outer);
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<(), A::Error> {
        let outer = self.path.len();
        for index in 0.. {
            self.enter_element(index);
            let element = elements.next_element_seed(&mut *self)?;
            self.path.truncate(outer);
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
