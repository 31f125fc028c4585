//! The shared HTTP/1.1 codec with this daemon's own types: a connection holds a permit of the descriptor budget, and a
//! streamed response body knows where to return its connection.

use gradepaddle_http::buffers::Chain;
use tokio::sync::mpsc;

use crate::descriptor_budget::Permit;
pub use gradepaddle_http::{
    Body, BodyPart, BodyStream, ChunkFrame, ChunkedDecoder, Framing, Head, HeadSearch, ReadError, Request,
    chunk_frame, push_end_to_end_fields, push_framing_field,
};

/// A connection with its permit of the descriptor budget.
pub type Connection = gradepaddle_http::Connection<Permit>;

/// An app server's response.
pub struct Response {
    /// Its status line and headers.
    pub head: Head,
    /// Its body without framing, or the beginning of a streamed one.
    pub body: Chain,
    /// The rest of a streamed body.
    pub stream: Option<Box<ResponseStream>>,
}

/// The rest of a response body, with the connection that it arrives on.
pub struct ResponseStream {
    /// The connection to the app server.
    pub connection: Connection,
    /// The decoder for what is still to come.
    pub body: Body,
    /// The framing on that connection.
    pub framing: Framing,
    /// Where the connection is returned once the body is complete, if it can be reused.
    pub pool_return: Option<mpsc::WeakUnboundedSender<Connection>>,
}
