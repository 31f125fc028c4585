//! A patch of the operator's configuration (`PROTOCOL.md`): named items that are added, replaced or removed.
//!
//! A patch is parsed by itself and later applied to the body of the configuration that it builds on. The result is a
//! complete body, which is checked like one that the operator sent. Items that a patch doesn't name keep their bytes and
//! their position.

mod raw_object;

use std::collections::HashMap;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::configuration::duplicate_field;
use crate::configuration::object::Object;
use crate::finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
use crate::number::UnsignedInteger;
use raw_object::{RawObject, raw_value};

/// The lists of a configuration whose items have names.
const NAMED_LISTS: [&str; 3] = ["routes", "backends", "customers"];
/// Name of the field with the configuration's version.
const VERSION_FIELD: &str = "version";

/// A well-formed patch, which may still not fit the configuration that it is applied to.
#[derive(Clone, Debug)]
pub struct Patch {
    /// The version of the resulting configuration.
    pub version: u64,
    lists: Vec<ListPatch>,
}

/// The changes of one list of the configuration.
#[derive(Clone, Debug)]
struct ListPatch {
    /// The name of the list, one of [`NAMED_LISTS`].
    list: &'static str,
    upserts: Vec<Upsert>,
    /// Names of items to remove.
    removals: Vec<String>,
}

/// An item that replaces the one with the same name, or is appended if there is none.
#[derive(Clone, Debug)]
struct Upsert {
    name: String,
    item: Box<RawValue>,
}

#[derive(Deserialize)]
struct PatchBody<'a> {
    version: UnsignedInteger,
    #[serde(borrow, default)]
    upsert: RawObject<'a>,
    #[serde(borrow, default)]
    remove: RawObject<'a>,
}

#[derive(Deserialize)]
struct NamedItem {
    name: String,
}

impl Patch {
    /// Parses a patch.
    ///
    /// # Errors
    ///
    /// [`Problem::Unreadable`] or [`Problem::DuplicateField`] if it isn't a JSON object of the right form; otherwise all of
    /// [`Problem::UnknownList`], [`Problem::Missing`] for items without a name and [`Problem::DuplicateName`] together.
    pub fn parse(body: &[u8]) -> Result<Self, Findings> {
        duplicate_field::check(body)?;
        let Object(read): Object<PatchBody<'_>> =
            serde_json::from_slice(body).map_err(|error| Finding::unreadable(WHOLE_DOCUMENT, error))?;
        let mut findings = Vec::new();
        check_lists("upsert", &read.upsert, &mut findings);
        check_lists("remove", &read.remove, &mut findings);
        let lists = NAMED_LISTS.iter().map(|list| ListPatch {
            list,
            upserts: upserts(list, read.upsert.get(list), &mut findings),
            removals: removals(list, read.remove.get(list), &mut findings),
        });
        let lists: Vec<ListPatch> = lists.collect();
        lists.iter().for_each(|list| list.check_names(&mut findings));
        Findings::ok_if_empty(findings, || Patch { version: read.version.0, lists })
    }

    /// Applies this patch to the body of a configuration; returns the body of the resulting one.
    ///
    /// # Errors
    ///
    /// [`Problem::UnknownItem`] for removed items that `base` doesn't have and [`Problem::AmbiguousName`] for names of
    /// several of its items, all together; [`Problem::Unreadable`] if `base` isn't a body.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Findings> {
        let mut object: RawObject<'_> =
            serde_json::from_slice(base).map_err(|error| Finding::unreadable(WHOLE_DOCUMENT, error))?;
        let mut findings = Vec::new();
        object.set(VERSION_FIELD, raw_value(&self.version));
        for list in &self.lists {
            if list.is_empty() {
                continue;
            }
            let items: Vec<&RawValue> = match object.get(list.list) {
                Some(items) => serde_json::from_str(items.get())
                    .map_err(|error| Finding::unreadable(list.list, error))?,
                None => Vec::new(),
            };
            let patched = list.apply(&items, &mut findings);
            object.set(list.list, raw_value(&patched));
        }
        Findings::ok_if_empty(findings, || object.to_body())
    }
}

impl ListPatch {
    fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }

    /// Checks that each item is named only once.
    fn check_names(&self, findings: &mut Vec<Finding>) {
        let list = self.list;
        let upserts = self.upserts.iter().enumerate();
        let upserts =
            upserts.map(|(index, upsert)| (upsert.name.as_str(), format!("upsert.{list}[{index}]")));
        let removals = self.removals.iter().enumerate();
        let removals = removals.map(|(index, name)| (name.as_str(), format!("remove.{list}[{index}]")));
        let mut paths: HashMap<&str, String> = HashMap::new();
        for (name, path) in upserts.chain(removals) {
            match paths.get(name) {
                Some(first) => {
                    let problem = Problem::DuplicateName { name: name.to_owned(), first: first.clone() };
                    findings.push(Finding::new(path, problem));
                }
                None => _ = paths.insert(name, path),
            }
        }
    }

    /// The list after the changes. An item that replaces another takes its position; new ones are appended.
    fn apply(&self, items: &[&RawValue], findings: &mut Vec<Finding>) -> Vec<Box<RawValue>> {
        let names: Vec<Option<String>> = items.iter().map(|item| name_of(item)).collect();
        self.check_base(&names, findings);
        let replacement = |name: &Option<String>| {
            let name = name.as_deref()?;
            self.upserts.iter().find(|upsert| upsert.name == name)
        };
        let is_removed = |name: &Option<String>| {
            name.as_deref().is_some_and(|name| self.removals.iter().any(|removal| removal == name))
        };
        let remaining = items.iter().zip(&names).filter(|(_, name)| !is_removed(name));
        let remaining = remaining.map(|(item, name)| match replacement(name) {
            Some(upsert) => upsert.item.clone(),
            None => (*item).to_owned(),
        });
        let added = self.upserts.iter().filter(|upsert| count_by_name(&names, &upsert.name) == 0);
        remaining.chain(added.map(|upsert| upsert.item.clone())).collect()
    }

    /// Checks that each removed item is in the list, and that no name of the patch belongs to several items.
    fn check_base(&self, names: &[Option<String>], findings: &mut Vec<Finding>) {
        for (index, name) in self.removals.iter().enumerate() {
            let problem = match count_by_name(names, name) {
                0 => Problem::UnknownItem { name: name.clone() },
                1 => continue,
                _ => Problem::AmbiguousName { name: name.clone() },
            };
            findings.push(Finding::new(format!("remove.{}[{index}]", self.list), problem));
        }
        for (index, upsert) in self.upserts.iter().enumerate() {
            if count_by_name(names, &upsert.name) > 1 {
                let problem = Problem::AmbiguousName { name: upsert.name.clone() };
                findings.push(Finding::new(format!("upsert.{}[{index}]", self.list), problem));
            }
        }
    }
}

/// The number of items with this name.
fn count_by_name(names: &[Option<String>], name: &str) -> usize {
    names.iter().filter(|known| known.as_deref() == Some(name)).count()
}

fn check_lists(operation: &str, lists: &RawObject<'_>, findings: &mut Vec<Finding>) {
    for name in lists.names() {
        if !NAMED_LISTS.contains(&name) {
            findings.push(Finding::new(format!("{operation}.{name}"), Problem::UnknownList));
        }
    }
}

fn upserts(list: &str, items: Option<&RawValue>, findings: &mut Vec<Finding>) -> Vec<Upsert> {
    let path = format!("upsert.{list}");
    let items: Vec<&RawValue> = read_list(&path, items, findings);
    let named = items.into_iter().enumerate().filter_map(|(index, item)| match name_of(item) {
        Some(name) => Some(Upsert { name, item: item.to_owned() }),
        None => {
            findings.push(Finding::new(format!("{path}[{index}].name"), Problem::Missing));
            None
        }
    });
    named.collect()
}

fn removals(list: &str, names: Option<&RawValue>, findings: &mut Vec<Finding>) -> Vec<String> {
    read_list(&format!("remove.{list}"), names, findings)
}

fn read_list<'a, T: Deserialize<'a>>(
    path: &str,
    list: Option<&'a RawValue>,
    findings: &mut Vec<Finding>,
) -> Vec<T> {
    let read = list.map_or(Ok(Vec::new()), |list| serde_json::from_str(list.get()));
    read.unwrap_or_else(|error| {
        findings.push(Finding::unreadable(path, error));
        Vec::new()
    })
}

/// The name of an item, if it is an object that has one.
fn name_of(item: &RawValue) -> Option<String> {
    item.get()
        .starts_with('{')
        .then(|| serde_json::from_str::<NamedItem>(item.get()).ok())?
        .map(|item| item.name)
}
