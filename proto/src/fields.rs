//! Reading and writing messages of Protocol Buffers field by field, without generated code.
//!
//! Two wire types are written: varint and length-delimited (<https://protobuf.dev/programming-guides/encoding/>). Unknown
//! fields are skipped, so that different builds are compatible. As in proto3, a number of 0 and a `false` are not written,
//! and an absent field reads as its default. If a field that is not repeated occurs more than once, the first occurrence
//! is used.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use quick_protobuf::{BytesReader, Writer};
use snafu::{OptionExt, Snafu};

/// Wire type of a varint. A tag is the field number shifted left by three bits, plus the wire type.
const VARINT: u32 = 0;
/// Wire type of length-delimited bytes.
const LENGTH_DELIMITED: u32 = 2;
/// Wire types that are skipped, with their lengths in bytes: fixed64 and fixed32.
const SKIPPED: [(u32, usize); 2] = [(1, 8), (5, 4)];

/// Why bytes could not be decoded.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
#[snafu(visibility(pub(crate)))]
pub enum DecodeError {
    /// The bytes end within a field, or a field has an unknown wire type.
    #[snafu(display("the message is cut or malformed"))]
    Malformed,
    /// A required field is missing or of another wire type.
    #[snafu(display("field {field} of {message} is missing or of another type"))]
    Missing {
        /// The name of the message.
        message: &'static str,
        /// The field number.
        field: u32,
    },
    /// The variant number is unknown to this build; it may belong to a later build.
    #[snafu(display("{message} knows no variant {variant}"))]
    UnknownVariant {
        /// The name of the message.
        message: &'static str,
        /// The variant number.
        variant: u64,
    },
}

/// A message that can be encoded.
pub trait Encode {
    /// Writes the message's fields.
    fn encode(&self, to: &mut FieldWriter);

    /// Encodes the message.
    fn to_bytes(&self) -> Vec<u8> {
        let mut writer = FieldWriter::default();
        self.encode(&mut writer);
        writer.bytes
    }
}

/// A message that can be decoded.
pub trait Decode: Sized {
    /// Builds the message from its fields.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if a required field is missing, or a nested message can't be decoded.
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError>;

    /// Decodes the message.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] as of [`Decode::decode`], or if the bytes are malformed.
    fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        Self::decode(&Fields::read(bytes)?)
    }
}

/// Collects the fields of a message that is being encoded.
#[derive(Default)]
pub struct FieldWriter {
    bytes: Vec<u8>,
}

impl FieldWriter {
    fn with<F>(&mut self, write: F)
    where
        F: FnOnce(&mut Writer<&mut Vec<u8>>) -> quick_protobuf::Result<()>,
    {
        // Only the sink can fail, and a `Vec` never does.
        let _ = write(&mut Writer::new(&mut self.bytes));
    }

    /// Writes a number; 0 is omitted.
    pub fn uint64(&mut self, field: u32, value: u64) {
        if value != 0 {
            self.with(|writer| {
                writer.write_with_tag(field << 3 | VARINT, |writer| writer.write_uint64(value))
            });
        }
    }

    /// Writes a number if there is one, including 0; also used for an element of a repeated field.
    pub fn optional_uint64(&mut self, field: u32, value: Option<u64>) {
        if let Some(value) = value {
            self.with(|writer| {
                writer.write_with_tag(field << 3 | VARINT, |writer| writer.write_uint64(value))
            });
        }
    }

    /// Writes a boolean; `false` is omitted.
    pub fn bool(&mut self, field: u32, value: bool) {
        self.uint64(field, u64::from(value));
    }

    /// Writes bytes, even if empty.
    pub fn bytes(&mut self, field: u32, value: &[u8]) {
        self.with(|writer| {
            writer.write_with_tag(field << 3 | LENGTH_DELIMITED, |writer| writer.write_bytes(value))
        });
    }

    /// Writes a string, even if empty.
    pub fn string(&mut self, field: u32, value: &str) {
        self.bytes(field, value.as_bytes());
    }

    /// Writes an address as a number: the IP address in big-endian order, then 16 bits of port.
    pub fn address(&mut self, field: u32, value: SocketAddrV4) {
        self.uint64(field, pack_address(value));
    }

    /// Writes a nested message.
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

fn pack_address(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

fn unpack_address(number: u64) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from((number >> 16) as u32), number as u16)
}

/// The value of a decoded field, by its wire type.
#[derive(Clone, Copy)]
enum Value<'a> {
    Number(u64),
    Bytes(&'a [u8]),
}

/// The fields of a message that is being decoded, in wire order.
pub struct Fields<'a> {
    fields: Vec<(u32, Value<'a>)>,
}

impl<'a> Fields<'a> {
    /// Splits the bytes of a message into its fields.
    ///
    /// # Errors
    ///
    /// [`DecodeError::Malformed`] if the bytes end within a field, or a field has an unknown wire type.
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
                LENGTH_DELIMITED => {
                    let value = reader.read_bytes(bytes).ok().context(MalformedSnafu)?;
                    fields.push((tag >> 3, Value::Bytes(value)));
                }
                other => {
                    let known = SKIPPED.iter().find(|(kind, _)| *kind == other);
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

    /// A number; 0 if the field is absent.
    pub fn uint64(&self, field: u32) -> u64 {
        self.optional_uint64(field).unwrap_or(0)
    }

    /// A number, if the field is present.
    pub fn optional_uint64(&self, field: u32) -> Option<u64> {
        match self.find(field) {
            Some(Value::Number(number)) => Some(number),
            _ => None,
        }
    }

    /// A boolean; `false` if the field is absent.
    pub fn bool(&self, field: u32) -> bool {
        self.uint64(field) != 0
    }

    /// Bytes; empty if the field is absent.
    pub fn bytes(&self, field: u32) -> &'a [u8] {
        match self.find(field) {
            Some(Value::Bytes(bytes)) => bytes,
            _ => &[],
        }
    }

    /// A string; empty if the field is absent or not UTF-8.
    pub fn string(&self, field: u32) -> Arc<str> {
        Arc::from(std::str::from_utf8(self.bytes(field)).unwrap_or_default())
    }

    /// A required address.
    ///
    /// # Errors
    ///
    /// [`DecodeError::Missing`] if the field is absent.
    pub fn address(&self, message: &'static str, field: u32) -> Result<SocketAddrV4, DecodeError> {
        self.optional_uint64(field).map(unpack_address).context(MissingSnafu { message, field })
    }

    /// An address, if the field is present.
    pub fn optional_address(&self, field: u32) -> Option<SocketAddrV4> {
        self.optional_uint64(field).map(unpack_address)
    }

    /// The addresses of a repeated field.
    pub fn repeated_addresses(&self, field: u32) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.repeated_uint64(field).map(unpack_address)
    }

    /// A required nested message.
    ///
    /// # Errors
    ///
    /// [`DecodeError::Missing`] if the field is absent, or the error of the nested message.
    pub fn message<M: Decode>(&self, message: &'static str, field: u32) -> Result<M, DecodeError> {
        self.optional_message(field)?.context(MissingSnafu { message, field })
    }

    /// A nested message, if the field is present.
    ///
    /// # Errors
    ///
    /// The error of the nested message.
    pub fn optional_message<M: Decode>(&self, field: u32) -> Result<Option<M>, DecodeError> {
        match self.find(field) {
            Some(Value::Bytes(bytes)) => M::from_bytes(bytes).map(Some),
            _ => Ok(None),
        }
    }

    /// The nested messages of a repeated field.
    ///
    /// # Errors
    ///
    /// The error of the first of them that can't be decoded.
    pub fn repeated_messages<M: Decode>(&self, field: u32) -> Result<Vec<M>, DecodeError> {
        self.repeated_bytes(field).map(M::from_bytes).collect()
    }

    /// The values of a repeated field of bytes.
    pub fn repeated_bytes(&self, field: u32) -> impl Iterator<Item = &'a [u8]> + '_ {
        self.fields.iter().filter_map(move |(number, value)| match value {
            Value::Bytes(bytes) if *number == field => Some(*bytes),
            _ => None,
        })
    }

    /// The values of a repeated field of numbers.
    pub fn repeated_uint64(&self, field: u32) -> impl Iterator<Item = u64> + '_ {
        self.fields.iter().filter_map(move |(number, value)| match value {
            Value::Number(value) if *number == field => Some(*value),
            _ => None,
        })
    }
}
