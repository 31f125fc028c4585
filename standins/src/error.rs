//! What a stand-in or a rig finds wrong itself. All else that fails here is input or output, so functions return
//! [`io::Result`], and these errors travel inside [`io::Error`], from which [`io::Error::get_ref`] gives them back.

use std::io;
use std::num::ParseIntError;
use std::string::FromUtf8Error;

use snafu::Snafu;

/// Why a stand-in or a process of a rig failed, where the system reported no error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process that was just started has no process id: it has been waited for already.
    #[snafu(display("no id"))]
    NoProcessId,

    /// A process was started without a pipe for its output.
    #[snafu(display("no output"))]
    NoOutput,

    /// A process ended, or [`crate::PATIENCE`] passed, before it wrote the address that it listens on.
    #[snafu(display("process {number} does not get ready"))]
    NotReady {
        /// Its number in the books.
        number: usize,
    },

    /// A process that is to be signalled has ended. Its process id may be another's by now.
    #[snafu(display("process {number} has ended"))]
    ProcessEnded {
        /// Its number in the books.
        number: usize,
    },

    /// A process listens nowhere for operators' calls.
    #[snafu(display("no door"))]
    NoDoor,

    /// An answer has no status line.
    #[snafu(display("no status in {answer:?}"))]
    NoStatus {
        /// The answer as read.
        answer: String,
    },

    /// A connection ended before an answer.
    #[snafu(display("no answer"))]
    NoAnswer,

    /// Discovery lists no app server to which a request may be sent.
    #[snafu(display("nobody is up"))]
    NobodyUp,

    /// The head of a message ends before its empty line, or is longer than is read.
    #[snafu(display("a head that is cut off or too long"))]
    Head,

    /// A message has no first line.
    #[snafu(display("no first line"))]
    NoFirstLine,

    /// A message's `Content-Length` is no number.
    #[snafu(display("a length that is none"))]
    ContentLength {
        /// Why it is none.
        source: ParseIntError,
    },

    /// A message's body is longer than is read.
    #[snafu(display("a body that is too long"))]
    BodyTooLong,

    /// A message's body is no UTF-8.
    #[snafu(display("a body that is no text"))]
    BodyNotText {
        /// Where it is none.
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
