//! What the terminals hand on, whatever protocol they speak. A second protocol adds a variant to
//! [`Message`] and [`Reply`], with a terminal and a routed task that know it; dispatch, the decisions and
//! their rules stay the same.

use std::rc::Rc;

use crate::http;

/// A client's request, as far as decisions need it, and the message to hand on.
pub type Transaction = gradepaddle_dispatch::Transaction<Rc<Message>>;

/// The one final answer that a transaction gets.
pub type FinalAnswer = gradepaddle_dispatch::FinalAnswer<Reply>;

/// A request in its protocol.
pub enum Message {
    /// HTTP/1.1.
    Http(http::Request),
}

/// An app server's answer in its protocol.
pub enum Reply {
    /// HTTP/1.1.
    Http(http::Answer),
}
