//! Why a message could not be read.

use snafu::Snafu;

/// What is wrong with the form of a message. The texts reach clients in the body of a 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum MalformedMessage {
    /// Nothing but empty lines.
    #[snafu(display("there is no first line"))]
    NoFirstLine,
    /// The first line is not UTF-8 or holds a control character.
    #[snafu(display("the first line is no text"))]
    FirstLineNotText,
    /// The first line has no space.
    #[snafu(display("the first line has too few parts"))]
    FirstLineTooShort,
    /// The method is no token (RFC 9110, section 5.6.2).
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
    /// The status is no number from 100 to 599.
    #[snafu(display("the status is no number of three digits"))]
    InvalidStatus,
    /// More fields than a head may have.
    #[snafu(display("too many headers"))]
    TooManyFields,
    /// A field line without a colon.
    #[snafu(display("a header without a colon"))]
    FieldWithoutColon,
    /// A field name is no token.
    #[snafu(display("a header's name is no token"))]
    InvalidFieldName,
    /// A field value holds a control character other than a tab.
    #[snafu(display("a header holds a control character"))]
    InvalidFieldValue,
    /// `Content-Length` and `Transfer-Encoding` together: request smuggling (RFC 9112, section 6.1).
    #[snafu(display("both a length and a transfer coding"))]
    LengthAndCoding,
    /// A transfer coding other than one `chunked`.
    #[snafu(display("an unknown transfer coding"))]
    UnknownCoding,
    /// Several lengths that are not the same.
    #[snafu(display("lengths that differ"))]
    DifferingLengths,
    /// A length that is not made of digits.
    #[snafu(display("the length is no number"))]
    InvalidLength,
    /// A chunk size that is no hexadecimal number.
    #[snafu(display("a chunk's size is no number"))]
    InvalidChunkSize,
    /// Bytes where the line end behind a chunk is due.
    #[snafu(display("a chunk is longer than its size"))]
    ChunkTooLong,
    /// A line of the chunked coding beyond its limit.
    #[snafu(display("a line is too long"))]
    LineTooLong,
    /// More trailer fields than a body may have.
    #[snafu(display("too many trailers"))]
    TooManyTrailers,
}

/// Why no complete message came.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The other side closed the connection, or it broke.
    #[snafu(display("the connection ended"))]
    Closed,
    /// What came is no HTTP/1.1 message.
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
