//! JSON objects whose values keep their text, so that a patch doesn't change the bytes of values that it doesn't name.

use std::fmt::{self, Formatter};

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// The fields of an object in their order, each value as its text.
#[derive(Default)]
pub(super) struct RawObject<'a>(Vec<(String, Member<'a>)>);

/// The value of a field: as it was read, or as it was set later.
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

impl RawObject<'_> {
    /// The names of the fields in their order.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|(name, _)| name.as_str())
    }

    /// The text of the field with this name, if there is one.
    pub fn get(&self, name: &str) -> Option<&RawValue> {
        self.0.iter().find(|(known, _)| known == name).map(|(_, value)| value.value())
    }

    /// Replaces the value of a field in its position, or appends the field.
    pub fn set(&mut self, name: &str, value: Box<RawValue>) {
        match self.0.iter_mut().find(|(known, _)| known == name) {
            Some((_, known)) => *known = Member::Set(value),
            None => self.0.push((name.to_owned(), Member::Set(value))),
        }
    }

    /// The object as JSON.
    pub fn to_body(&self) -> Vec<u8> {
        let mut body = String::from("{");
        for (index, (name, value)) in self.0.iter().enumerate() {
            if index > 0 {
                body.push(',');
            }
            body.push_str(raw_value(name).get());
            body.push(':');
            body.push_str(value.value().get());
        }
        body.push('}');
        body.into_bytes()
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for RawObject<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(RawObjectVisitor).map(|object| RawObject(object.0))
    }
}

struct RawObjectVisitor;

impl<'de> Visitor<'de> for RawObjectVisitor {
    type Value = RawObject<'de>;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<RawObject<'de>, A::Error> {
        let mut object = Vec::new();
        while let Some((name, value)) = fields.next_entry::<String, &'de RawValue>()? {
            object.push((name, Member::Read(value)));
        }
        Ok(RawObject(object))
    }
}

/// The JSON text of a value.
pub(super) fn raw_value<T: serde::Serialize + ?Sized>(value: &T) -> Box<RawValue> {
    serde_json::value::to_raw_value(value)
        .expect("numbers, strings and lists of JSON texts can always be serialized")
}
