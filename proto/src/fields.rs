//! Protocol Buffers by field: writing and reading messages without generated code.
//!
//! Only two wire types are written: varint numbers and length-delimited bytes. A reader passes over fields that it
//! doesn't know, so that a build and the next one understand each other.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use quick_protobuf::{BytesReader, Writer};
use snafu::{OptionExt, Snafu};

/// The wire type of a varint, the lowest three bits of a tag.
const VARINT: u32 = 0;
/// The wire type of length-delimited bytes.
const BYTES: u32 = 2;
/// The wire types that are passed over, by their length in bytes.
const FIXED: [(u32, usize); 2] = [(1, 8), (5, 4)];

/// Why bytes are no message.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes end within a field, or a field is no Protocol Buffers field.
    #[snafu(display("the message is cut or malformed"))]
    Malformed,
    /// A field that the message can't do without is missing or of another type.
    #[snafu(display("field {field} of {message} is missing or of another type"))]
    Missing {
        /// The message.
        message: &'static str,
        /// The number of the field.
        field: u32,
    },
    /// A number stands for no variant that this build knows.
    #[snafu(display("{message} knows no variant {variant}"))]
    UnknownVariant {
        /// The message.
        message: &'static str,
        /// The number.
        variant: u64,
    },
}

/// A message that can be written.
pub trait Encode {
    /// Writes the fields.
    fn encode(&self, to: &mut FieldWriter);

    /// The message as bytes.
    fn to_bytes(&self) -> Vec<u8> {
        let mut writer = FieldWriter::default();
        self.encode(&mut writer);
        writer.bytes
    }
}

/// A message that can be read.
pub trait Decode: Sized {
    /// Reads the message from its fields.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the bytes are no such message.
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError>;

    /// Reads the message from its bytes.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the bytes are no such message.
    fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(&Fields::read(bytes)?)
    }
}

/// Fields that are being written.
#[derive(Default)]
pub struct FieldWriter {
    bytes: Vec<u8>,
}

impl FieldWriter {
    fn with<F>(&mut self, write: F)
    where
        F: FnOnce(&mut Writer<&mut Vec<u8>>) -> quick_protobuf::Result<()>,
    {
        // Writing to memory does not fail.
        let _ = write(&mut Writer::new(&mut self.bytes));
    }

    /// Writes a number; zero is left out.
    pub fn uint64(&mut self, field: u32, value: u64) {
        if value != 0 {
            self.with(|writer| {
                writer.write_with_tag(field << 3 | VARINT, |writer| writer.write_uint64(value))
            });
        }
    }

    /// Writes a number also where it is zero.
    pub fn optional_uint64(&mut self, field: u32, value: Option<u64>) {
        if let Some(value) = value {
            self.with(|writer| {
                writer.write_with_tag(field << 3 | VARINT, |writer| writer.write_uint64(value))
            });
        }
    }

    /// Writes a truth value; false is left out.
    pub fn bool(&mut self, field: u32, value: bool) {
        self.uint64(field, u64::from(value));
    }

    /// Writes bytes.
    pub fn bytes(&mut self, field: u32, value: &[u8]) {
        self.with(|writer| writer.write_with_tag(field << 3 | BYTES, |writer| writer.write_bytes(value)));
    }

    /// Writes text.
    pub fn string(&mut self, field: u32, value: &str) {
        self.bytes(field, value.as_bytes());
    }

    /// Writes an address.
    pub fn address(&mut self, field: u32, value: SocketAddrV4) {
        self.uint64(field, packed(value));
    }

    /// Writes a message within this one.
    pub fn message<M: Encode>(&mut self, field: u32, value: &M) {
        self.bytes(field, &value.to_bytes());
    }

    /// Writes a nested message, if there is one.
    pub fn optional_message<M: Encode>(&mut self, field: u32, value: Option<&M>) {
        if let Some(value) = value {
            self.message(field, value);
        }
    }

    /// Writes a nested message for each value.
    pub fn repeated_messages<'a, M: Encode + 'a>(
        &mut self,
        field: u32,
        values: impl IntoIterator<Item = &'a M>,
    ) {
        values.into_iter().for_each(|value| self.message(field, value));
    }
}

/// An address as one number.
fn packed(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

fn unpacked(number: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from((number >> 16) as u32), number as u16)
}

/// The value of a field.
#[derive(Clone, Copy)]
enum Value<'a> {
    Number(u64),
    Bytes(&'a [u8]),
}

/// The fields of a message that has been read.
pub struct Fields<'a> {
    fields: Vec<(u32, Value<'a>)>,
}

impl<'a> Fields<'a> {
    /// Splits a message into its fields.
    ///
    /// # Errors
    ///
    /// [`DecodeError::Malformed`] if the bytes are no fields.
    pub fn read(bytes: &'a [u8]) -> Result<Self, DecodeError> {
        let mut reader = BytesReader::from_bytes(bytes);
        let mut fields = Vec::new();
        while !reader.is_eof() {
            let tag = reader.read_uint32(bytes).ok().context(MalformedSnafu)?;
            match tag & 7 {
                VARINT => {
                    let number = reader.read_uint64(bytes).ok().context(MalformedSnafu)?;
                    fields.push((tag >> 3, Value::Number(number)));
                }
                BYTES => {
                    let value = reader.read_bytes(bytes).ok().context(MalformedSnafu)?;
                    fields.push((tag >> 3, Value::Bytes(value)));
                }
                other => {
                    let known = FIXED.iter().find(|(kind, _)| *kind == other);
                    let (_, length) = known.context(MalformedSnafu)?;
                    for _ in 0..*length {
                        reader.read_u8(bytes).ok().context(MalformedSnafu)?;
                    }
                }
            }
        }
        Ok(Fields { fields })
    }

    fn find(&self, field: u32) -> Option<Value<'a>> {
        self.fields.iter().find(|(number, _)| *number == field).map(|(_, value)| *value)
    }

    /// A number; zero where it is left out.
    pub fn uint64(&self, field: u32) -> u64 {
        self.optional_uint64(field).unwrap_or(0)
    }

    /// A number, if it is there.
    pub fn optional_uint64(&self, field: u32) -> Option<u64> {
        match self.find(field) {
            Some(Value::Number(number)) => Some(number),
            _ => None,
        }
    }

    /// A truth value; false where it is left out.
    pub fn bool(&self, field: u32) -> bool {
        self.uint64(field) != 0
    }

    /// Bytes; empty where they are left out.
    pub fn bytes(&self, field: u32) -> &'a [u8] {
        match self.find(field) {
            Some(Value::Bytes(bytes)) => bytes,
            _ => &[],
        }
    }

    /// Text; empty where it is left out or no text.
    pub fn string(&self, field: u32) -> Arc<str> {
        Arc::from(std::str::from_utf8(self.bytes(field)).unwrap_or_default())
    }

    /// An address.
    pub fn address(&self, message: &'static str, field: u32) -> Result<SocketAddrV4, DecodeError> {
        self.optional_uint64(field).map(unpacked).context(MissingSnafu { message, field })
    }

    /// An address, if it is there.
    pub fn optional_address(&self, field: u32) -> Option<SocketAddrV4> {
        self.optional_uint64(field).map(unpacked)
    }

    /// All addresses of a repeated field.
    pub fn repeated_addresses(&self, field: u32) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.repeated_uint64(field).map(unpacked)
    }

    /// A message within this one.
    pub fn message<M: Decode>(&self, message: &'static str, field: u32) -> Result<M, DecodeError> {
        self.optional_message(field)?.context(MissingSnafu { message, field })
    }

    /// A message within this one, if it is there.
    pub fn optional_message<M: Decode>(&self, field: u32) -> Result<Option<M>, DecodeError> {
        match self.find(field) {
            Some(Value::Bytes(bytes)) => M::from_bytes(bytes).map(Some),
            _ => Ok(None),
        }
    }

    /// All messages of a repeated field.
    pub fn repeated_messages<M: Decode>(&self, field: u32) -> Result<Vec<M>, DecodeError> {
        self.repeated_bytes(field).map(M::from_bytes).collect()
    }

    /// All values of a repeated field of bytes.
    pub fn repeated_bytes(&self, field: u32) -> impl Iterator<Item = &'a [u8]> + '_ {
        self.fields.iter().filter_map(move |(number, value)| match value {
            Value::Bytes(bytes) if *number == field => Some(*bytes),
            _ => None,
        })
    }

    /// All values of a repeated field of numbers.
    pub fn repeated_uint64(&self, field: u32) -> impl Iterator<Item = u64> + '_ {
        self.fields.iter().filter_map(move |(number, value)| match value {
            Value::Number(value) if *number == field => Some(*value),
            _ => None,
        })
    }
}
