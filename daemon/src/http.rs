//! The shared HTTP/1.1 codec with what is this daemon's own: connections hold a share of its descriptor budget,
//! and an answer's rest knows where its connection goes.

use gradepaddle_http::buffers::Chain;
use tokio::sync::mpsc;

use crate::sockets::Permit;
pub use gradepaddle_http::{
    Body, BodyPart, BodyStream, ChunkFrame, ChunkedDecoder, Framing, Head, HeadSearch, ReadError, Request,
    chunk_frame, push_end_to_end_fields, push_framing_field,
};

/// A connection with its share of the descriptor budget.
pub type Connection = gradepaddle_http::Connection<Permit>;

/// An app server's answer.
pub struct Answer {
    /// Its first line and headers.
    pub head: Head,
    /// Its body without framing, or the beginning of one that flows.
    pub body: Chain,
    /// What follows behind that.
    pub flow: Option<Box<Flow>>,
}

/// The rest of an answer's body, with the connection that it comes on.
pub struct Flow {
    /// That connection.
    pub connection: Connection,
    /// What is still to come.
    pub body: Body,
    /// How it is framed there.
    pub framing: Framing,
    /// Where the connection goes once the body is whole, if it can be used again.
    pub parking: Option<mpsc::WeakUnboundedSender<Connection>>,
}
