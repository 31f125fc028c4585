//! What the operators' lines mean.

use gradepaddle::Id;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Is this process ready to serve?
    Ready,
    /// Nothing more to this app server.
    Disable(Id),
    /// This app server may serve again.
    Enable(Id),
    /// What the book of the fleet says of itself.
    Book,
    /// Send clients away.
    Drain,
    /// Back to work.
    Resume,
}

impl Call {
    /// Reads a line; says what is wrong with it.
    ///
    /// # Errors
    ///
    /// What is wrong with the line, as a text for the operator.
    pub fn parse(line: &str) -> Result<Call, String> {
        let mut words = line.split(' ');
        let name = words.next().unwrap_or_default();
        let takes_id = match name {
            "disable-server" | "enable-server" => true,
            "ready" | "drain" | "resume" | "book" => false,
            // Quoted with its odd characters escaped, as all that a caller sent.
            _ => return Err(format!("unknown call {name:?}")),
        };
        let id = match (words.next(), words.next()) {
            (None, None) if !takes_id => None,
            (Some(id), None) if takes_id && !id.is_empty() => Some(Id::from(id)),
            (None | Some(""), None) if takes_id => {
                return Err(format!("{name} needs the id of an app server"));
            }
            _ => return Err(format!("{name} has too many arguments")),
        };
        Ok(match (name, id) {
            ("disable-server", Some(id)) => Call::Disable(id),
            ("enable-server", Some(id)) => Call::Enable(id),
            ("book", _) => Call::Book,
            ("drain", _) => Call::Drain,
            ("resume", _) => Call::Resume,
            _ => Call::Ready,
        })
    }
}

#[cfg(test)]
mod tests;
