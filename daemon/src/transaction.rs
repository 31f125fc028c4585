//! What the terminals hand on, whatever protocol they speak. A second protocol adds a variant to
//! [`Message`] and [`Reply`], with a terminal and a routed task that know it; the decisions and their
//! rules stay the same.

use std::rc::Rc;

use gradepaddle::Micros;

use crate::http;

/// A client's request, as far as decisions need it, and the message to hand on.
pub struct Transaction {
    /// The client's own id for it.
    pub own: Rc<[u8]>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: Option<usize>,
    /// What it is about.
    pub key: Option<String>,
    /// When its last byte had come.
    pub arrived: Micros,
    /// How long the client waits from then on.
    pub time_left: Micros,
    /// What goes to the app server.
    pub message: Rc<Message>,
}

/// A request in its protocol.
pub enum Message {
    /// HTTP/1.1.
    Http(http::Message),
}

/// An app server's answer in its protocol.
pub enum Reply {
    /// HTTP/1.1.
    Http(http::Message),
}

/// The one final answer that a transaction gets.
pub enum FinalAnswer {
    /// Served: an app server's answer.
    Served(Reply),
    /// A short-on-capacity reply: trying again after this pause is harmless.
    Refused {
        /// How long the client should stay away.
        pause: Micros,
    },
    /// Turned down: a request with the same id of its client's is open.
    Known,
    /// Failed, and nothing is said about what has happened.
    Failed {
        /// No app server answered in time.
        late: bool,
        /// The last app server's own words, if it said any that may be passed on.
        reply: Option<Reply>,
    },
}
