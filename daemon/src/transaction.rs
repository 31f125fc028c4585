//! Transactions: requests and answers as dispatch sees them, whatever protocol the client speaks. A second protocol adds a
//! variant to [`Message`] and [`Reply`], with a terminal and an attempt that handle it; dispatch and its rules stay the same.

use std::rc::Rc;

use crate::http;

/// The properties of a client's request that dispatch needs, and the request itself.
pub type Transaction = gradepaddle_dispatch::Transaction<Rc<Message>>;

/// The one final answer to a transaction.
pub type FinalAnswer = gradepaddle_dispatch::FinalAnswer<Reply>;

/// A request in its protocol.
pub enum Message {
    /// HTTP/1.1.
    Http(http::Request),
}

/// An app server's response in its protocol.
pub enum Reply {
    /// HTTP/1.1.
    Http(http::Response),
}
