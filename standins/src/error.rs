//! The errors that the harness detects itself. All other failures are I/O errors, so functions return
//! [`io::Result`], and these errors travel inside [`io::Error`], from which [`io::Error::get_ref`] gives them back.

use std::io;
use std::num::ParseIntError;
use std::string::FromUtf8Error;

use snafu::Snafu;

/// An error of the harness that is not an error of the operating system.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process that was just started has no process id: it has been waited for already.
    #[snafu(display("process has no id"))]
    NoProcessId,

    /// A process was started without a pipe for its output.
    #[snafu(display("process has no output pipe"))]
    NoOutput,

    /// A process ended, or [`crate::PATIENCE`] passed, before it wrote the address that it listens on.
    #[snafu(display("process {number} did not become ready"))]
    NotReady {
        /// The number of the process in the recorded facts.
        number: usize,
    },

    /// A process that is to be signalled has ended. Its process id may have been reused.
    #[snafu(display("process {number} has ended"))]
    ProcessEnded {
        /// The number of the process in the recorded facts.
        number: usize,
    },

    /// A process does not listen for operators' calls.
    #[snafu(display("process has no operators' port"))]
    NoDoor,

    /// An answer has no status line.
    #[snafu(display("no status line in answer {answer:?}"))]
    NoStatus {
        /// The answer as read.
        answer: String,
    },

    /// A connection ended before an answer.
    #[snafu(display("connection closed before an answer"))]
    NoAnswer,

    /// Discovery lists no app server to which a request may be sent.
    #[snafu(display("no app server is up"))]
    NobodyUp,

    /// The head of a message ends before its empty line, or is longer than is read.
    #[snafu(display("message head is truncated or too long"))]
    Head,

    /// A message has no first line.
    #[snafu(display("message has no first line"))]
    NoFirstLine,

    /// A message's `Content-Length` is not a number.
    #[snafu(display("invalid Content-Length"))]
    ContentLength {
        /// The cause.
        source: ParseIntError,
    },

    /// A message's body is longer than is read.
    #[snafu(display("message body is too long"))]
    BodyTooLong,

    /// A message's body is not valid UTF-8.
    #[snafu(display("message body is not valid UTF-8"))]
    BodyNotText {
        /// The cause, with the position of the invalid bytes.
        source: FromUtf8Error,
    },
}

impl Error {
    /// [`io::ErrorKind::InvalidData`] for a message that cannot be read, [`io::ErrorKind::Other`] for the rest.
    fn kind(&self) -> io::ErrorKind {
        match self {
            Error::Head
            | Error::NoFirstLine
            | Error::ContentLength { .. }
            | Error::BodyTooLong
            | Error::BodyNotText { .. } => io::ErrorKind::InvalidData,
            Error::NoProcessId
            | Error::NoOutput
            | Error::NotReady { .. }
            | Error::ProcessEnded { .. }
            | Error::NoDoor
            | Error::NoStatus { .. }
            | Error::NoAnswer
            | Error::NobodyUp => io::ErrorKind::Other,
        }
    }
}

impl From<Error> for io::Error {
    fn from(error: Error) -> io::Error {
        io::Error::new(error.kind(), error)
    }
}
