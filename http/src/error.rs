//! Errors of reading a message.

use snafu::Snafu;

/// A violation of the message syntax. Clients get its text in the body of a 400 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum MalformedMessage {
    /// The head has only empty lines.
    #[snafu(display("there is no first line"))]
    NoFirstLine,
    /// The first line is not UTF-8 or holds a control character.
    #[snafu(display("the first line is no text"))]
    FirstLineNotText,
    /// The first line has no space.
    #[snafu(display("the first line has too few parts"))]
    FirstLineTooShort,
    /// The method isn't a token (RFC 9110, section 5.6.2).
    #[snafu(display("the method is no token"))]
    InvalidMethod,
    /// The target is not in origin form (RFC 9112, section 3.2.1).
    #[snafu(display("the target is no path"))]
    InvalidTarget,
    /// A request of another version than HTTP/1.1 and HTTP/1.0.
    #[snafu(display("the version is not HTTP/1.1"))]
    UnsupportedRequestVersion,
    /// A response of another version than HTTP/1.x.
    #[snafu(display("the version is not HTTP/1"))]
    UnsupportedResponseVersion,
    /// The status isn't a number from 100 to 599.
    #[snafu(display("the status is no number of three digits"))]
    InvalidStatus,
    /// More fields than a head may have.
    #[snafu(display("too many headers"))]
    TooManyFields,
    /// A field line without a colon.
    #[snafu(display("a header without a colon"))]
    FieldWithoutColon,
    /// A field name isn't a token.
    #[snafu(display("a header's name is no token"))]
    InvalidFieldName,
    /// A field value holds a control character other than a tab.
    #[snafu(display("a header holds a control character"))]
    InvalidFieldValue,
    /// `Content-Length` and `Transfer-Encoding` together, which allows request smuggling (RFC 9112, section 6.1).
    #[snafu(display("both a length and a transfer coding"))]
    LengthAndCoding,
    /// A transfer coding other than a single `chunked`.
    #[snafu(display("an unknown transfer coding"))]
    UnknownCoding,
    /// Several lengths that differ.
    #[snafu(display("lengths that differ"))]
    DifferingLengths,
    /// A length that doesn't consist of digits.
    #[snafu(display("the length is no number"))]
    InvalidLength,
    /// A chunk size that isn't a hexadecimal number.
    #[snafu(display("a chunk's size is no number"))]
    InvalidChunkSize,
    /// Other bytes than the line end that is expected after a chunk.
    #[snafu(display("a chunk is longer than its size"))]
    ChunkTooLong,
    /// A line of the chunked coding that is longer than the limit.
    #[snafu(display("a line is too long"))]
    LineTooLong,
    /// More bytes of chunk extensions than a body may have.
    #[snafu(display("chunk extensions are too long"))]
    ExtensionsTooLong,
    /// More trailer fields than a body may have.
    #[snafu(display("too many trailers"))]
    TooManyTrailers,
}

/// Why no complete message was read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The peer closed the connection, or the connection failed.
    #[snafu(display("the connection ended"))]
    Closed,
    /// The bytes aren't a valid HTTP/1.1 message.
    #[snafu(transparent)]
    Malformed {
        /// What is wrong with it.
        source: MalformedMessage,
    },
    /// The head is longer than the connection's limit, by default [`MAX_HEAD_BYTES`](crate::MAX_HEAD_BYTES).
    #[snafu(display("the head is too long"))]
    HeadTooLong,
    /// The body is longer than its limit, by default [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
    #[snafu(display("the body is too long"))]
    BodyTooLong,
}
