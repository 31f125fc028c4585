//! A patch of the operator's configuration: named items that are added, replaced or removed.
//!
//! A patch is read by itself, and later applied to the body of the configuration that it builds on. The result is a
//! whole body, which is checked like one that was sent whole. What a patch doesn't name keeps its bytes and its place.

use std::collections::HashMap;
use std::fmt::{self, Formatter};

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::configuration::object::Object;
use crate::configuration::repeated_field;
use crate::finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
use crate::number::UnsignedInteger;

/// The lists of a configuration whose items have names.
const NAMED_LISTS: [&str; 3] = ["routes", "backends", "customers"];
/// The field that holds the configuration's version.
const VERSION: &str = "version";

/// A patch that is well-formed.
#[derive(Clone, Debug)]
pub struct Patch {
    /// The version of the configuration that it makes.
    pub version: u64,
    lists: Vec<ListPatch>,
}

/// What a patch does to one list of the configuration.
#[derive(Clone, Debug)]
struct ListPatch {
    list: &'static str,
    upserts: Vec<Upsert>,
    /// Names of items to remove.
    removals: Vec<String>,
}

/// An item that replaces the one of its name, or is added.
#[derive(Clone, Debug)]
struct Upsert {
    name: String,
    item: Box<RawValue>,
}

#[derive(Deserialize)]
struct PatchBody<'a> {
    version: UnsignedInteger,
    #[serde(borrow, default)]
    upsert: Members<'a>,
    #[serde(borrow, default)]
    remove: Members<'a>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

impl Patch {
    /// Reads a patch.
    ///
    /// # Errors
    /// It can't be read, names lists that there aren't, or one item twice: all of these together.
    pub fn parse(body: &[u8]) -> Result<Self, Findings> {
        repeated_field::check(body)?;
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
        Findings::or(findings, || Patch { version: read.version.0, lists })
    }

    /// The body of the configuration that this patch makes of another one's body.
    ///
    /// # Errors
    /// It removes items that aren't there, names one that is there several times, or the base can't be read.
    pub fn apply(&self, base: &[u8]) -> Result<Vec<u8>, Findings> {
        let mut members: Members<'_> =
            serde_json::from_slice(base).map_err(|error| Finding::unreadable(WHOLE_DOCUMENT, error))?;
        let mut findings = Vec::new();
        members.set(VERSION, raw(&self.version));
        for list in &self.lists {
            if list.is_empty() {
                continue;
            }
            let items: Vec<&RawValue> = match members.get(list.list) {
                Some(items) => serde_json::from_str(items.get())
                    .map_err(|error| Finding::unreadable(list.list, error))?,
                None => Vec::new(),
            };
            let patched = list.apply(&items, &mut findings);
            members.set(list.list, raw(&patched));
        }
        Findings::or(findings, || members.to_body())
    }
}

impl ListPatch {
    fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }

    /// Checks that each item is named once.
    fn check_names(&self, findings: &mut Vec<Finding>) {
        let list = self.list;
        let upserts = self.upserts.iter().enumerate();
        let upserts = upserts.map(|(at, upsert)| (upsert.name.as_str(), format!("upsert.{list}[{at}]")));
        let removals = self.removals.iter().enumerate();
        let removals = removals.map(|(at, name)| (name.as_str(), format!("remove.{list}[{at}]")));
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

    /// The list with the changes made. An item that replaces another takes its place; new ones come last.
    fn apply(&self, items: &[&RawValue], findings: &mut Vec<Finding>) -> Vec<Box<RawValue>> {
        let names: Vec<Option<String>> = items.iter().map(|item| name_of(item)).collect();
        let count = |name: &str| names.iter().filter(|known| known.as_deref() == Some(name)).count();
        for (at, name) in self.removals.iter().enumerate() {
            let problem = match count(name) {
                0 => Problem::UnknownItem { name: name.clone() },
                1 => continue,
                _ => Problem::AmbiguousName { name: name.clone() },
            };
            findings.push(Finding::new(format!("remove.{}[{at}]", self.list), problem));
        }
        for (at, upsert) in self.upserts.iter().enumerate() {
            if count(&upsert.name) > 1 {
                let problem = Problem::AmbiguousName { name: upsert.name.clone() };
                findings.push(Finding::new(format!("upsert.{}[{at}]", self.list), problem));
            }
        }
        let replacement = |name: &Option<String>| {
            let name = name.as_deref()?;
            self.upserts.iter().find(|upsert| upsert.name == name)
        };
        let removed = |name: &Option<String>| {
            name.as_deref().is_some_and(|name| self.removals.iter().any(|removal| removal == name))
        };
        let kept = items.iter().zip(&names).filter(|(_, name)| !removed(name));
        let kept = kept.map(|(item, name)| match replacement(name) {
            Some(upsert) => upsert.item.clone(),
            None => (*item).to_owned(),
        });
        let added = self.upserts.iter().filter(|upsert| count(&upsert.name) == 0);
        kept.chain(added.map(|upsert| upsert.item.clone())).collect()
    }
}

fn check_lists(operation: &str, lists: &Members<'_>, findings: &mut Vec<Finding>) {
    for (name, _) in &lists.0 {
        if !NAMED_LISTS.contains(&name.as_str()) {
            findings.push(Finding::new(format!("{operation}.{name}"), Problem::UnknownList));
        }
    }
}

fn upserts(list: &str, items: Option<&RawValue>, findings: &mut Vec<Finding>) -> Vec<Upsert> {
    let path = format!("upsert.{list}");
    let items: Vec<&RawValue> = read_list(&path, items, findings);
    let named = items.into_iter().enumerate().filter_map(|(at, item)| match name_of(item) {
        Some(name) => Some(Upsert { name, item: item.to_owned() }),
        None => {
            findings.push(Finding::new(format!("{path}[{at}].name"), Problem::Missing));
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
    item.get().starts_with('{').then(|| serde_json::from_str::<Named>(item.get()).ok())?.map(|item| item.name)
}

fn raw<T: serde::Serialize + ?Sized>(value: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(value).expect("numbers and JSON texts always become JSON")
}

/// The fields of an object in their order, each value as its text.
#[derive(Default)]
struct Members<'a>(Vec<(String, Member<'a>)>);

/// A value that was read, or one that took its place.
enum Member<'a> {
    Read(&'a RawValue),
    Set(Box<RawValue>),
}

impl Member<'_> {
    fn value(&self) -> &RawValue {
        match self {
            Member::Read(value) => value,
            Member::Set(value) => value,
        }
    }
}

impl Members<'_> {
    fn get(&self, name: &str) -> Option<&RawValue> {
        self.0.iter().find(|(known, _)| known == name).map(|(_, value)| value.value())
    }

    fn set(&mut self, name: &str, value: Box<RawValue>) {
        match self.0.iter_mut().find(|(known, _)| known == name) {
            Some((_, known)) => *known = Member::Set(value),
            None => self.0.push((name.to_owned(), Member::Set(value))),
        }
    }

    fn to_body(&self) -> Vec<u8> {
        let mut body = String::from("{");
        for (at, (name, value)) in self.0.iter().enumerate() {
            if at > 0 {
                body.push(',');
            }
            body.push_str(raw(name).get());
            body.push(':');
            body.push_str(value.value().get());
        }
        body.push('}');
        body.into_bytes()
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(MembersVisitor).map(|members| Members(members.0))
    }
}

struct MembersVisitor;

impl<'de> Visitor<'de> for MembersVisitor {
    type Value = Members<'de>;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Members<'de>, A::Error> {
        let mut members = Vec::new();
        while let Some((name, value)) = fields.next_entry::<String, &'de RawValue>()? {
            members.push((name, Member::Read(value)));
        }
        Ok(Members(members))
    }
}
