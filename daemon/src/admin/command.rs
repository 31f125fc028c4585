//! Parses the commands of the operators' line protocol.

use gradepaddle::Id;

/// A command. Its debug form is written to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Asks whether this process is ready to serve.
    Ready,
    /// Bans an app server: it gets no new requests.
    Disable(Id),
    /// Lifts the ban of an app server.
    Enable(Id),
    /// Asks for the status of the fleet's book.
    Book,
    /// Drains this process: clients are sent to other balancers.
    Drain,
    /// Ends the drain.
    Resume,
}

impl AdminCommand {
    /// Parses a line.
    ///
    /// # Errors
    ///
    /// What is wrong with the line, as a text for the operator.
    pub fn parse(line: &str) -> Result<AdminCommand, String> {
        let mut words = line.split(' ');
        let name = words.next().unwrap_or_default();
        let takes_id = match name {
            "disable-server" | "enable-server" => true,
            "ready" | "drain" | "resume" | "book" => false,
            // Quoted and escaped, like everything that a caller has sent.
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
            ("disable-server", Some(id)) => AdminCommand::Disable(id),
            ("enable-server", Some(id)) => AdminCommand::Enable(id),
            ("book", _) => AdminCommand::Book,
            ("drain", _) => AdminCommand::Drain,
            ("resume", _) => AdminCommand::Resume,
            _ => AdminCommand::Ready,
        })
    }
}

#[cfg(test)]
mod tests;
