//! The actor round [`Dispatch`]: mails go in with the time, and what comes out is carried out. Nothing is
//! judged here.

use std::collections::HashMap;
use std::rc::Rc;

use gradepaddle::{Balancer, Id, ListKind};
use gradepaddle_dispatch::{Dispatch, Input, Output, Ticket};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info};

use crate::app_server;
use crate::mail::{Change, Inbox, Mail, Mailbox};
use crate::probe::Duty;
use crate::routed_task::{Assignment, Context, Report, Wish};
use crate::service_table;
use crate::transaction::{FinalAnswer, Message, Reply};

/// The channels of one transaction, kept until it is answered and its attempts have ended.
#[derive(Default)]
struct Channels {
    answer: Option<oneshot::Sender<FinalAnswer>>,
    /// By attempt. Dropped, each withdraws its attempt.
    wishes: Vec<Option<watch::Sender<Wish>>>,
}

impl Channels {
    fn is_done(&self) -> bool {
        self.answer.is_none() && self.wishes.iter().all(Option::is_none)
    }
}

/// The actor's state.
pub struct Decision {
    dispatch: Dispatch<Balancer, Rc<Message>, Reply>,
    mailbox: Mailbox,
    table: service_table::Mailbox,
    context: Rc<Context>,
    app_servers: HashMap<Id, app_server::Mailbox>,
    channels: HashMap<Ticket, Channels>,
    outputs: Vec<Output<Rc<Message>, Reply>>,
    table_known: watch::Sender<Known>,
}

/// How far the service table is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// App servers that it has named.
    pub named: usize,
    /// Discovery itself has told it, since the start.
    pub told: bool,
}

impl Decision {
    /// The decisions of this balancer. `table_known` is kept up with the table.
    pub fn new(
        dispatch: Dispatch<Balancer, Rc<Message>, Reply>,
        mailbox: Mailbox,
        table: service_table::Mailbox,
        context: Rc<Context>,
        table_known: watch::Sender<Known>,
    ) -> Self {
        Decision {
            dispatch,
            mailbox,
            table,
            context,
            app_servers: HashMap::new(),
            channels: HashMap::new(),
            outputs: Vec::new(),
            table_known,
        }
    }

    /// Takes mails until the process ends.
    pub async fn run(mut self, mut inbox: Inbox) {
        loop {
            let due = self.dispatch.next_tick_at();
            let at = due.map_or_else(Instant::now, |at| self.context.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(at), if due.is_some() => self.hand_over(Input::Tick),
                mail = inbox.recv() => match mail {
                    Some(mail) => self.take(mail),
                    None => return,
                },
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Asked { ticket, transaction, answer } => {
                let channels = Channels { answer: Some(answer), wishes: Vec::new() };
                self.channels.insert(ticket, channels);
                debug!(ticket, class = transaction.class, key = transaction.key, "taken");
                self.hand_over(Input::Accepted { ticket, transaction });
            }
            Mail::Input(input) => {
                match &input {
                    Input::ClientDisconnected { ticket } => {
                        self.over(*ticket, |channels| drop(channels.answer.take()));
                    }
                    Input::ProbeEnded { server, cause, report } => debug!(%server, ?cause, ?report, "probed"),
                    Input::AttemptEnded { ticket, attempt, extent, cause, .. } => {
                        debug!(ticket, attempt, ?extent, ?cause, "ended");
                        let attempt = *attempt as usize;
                        self.over(*ticket, |channels| {
                            channels.wishes.get_mut(attempt).map(Option::take);
                        });
                    }
                    _ => {}
                }
                self.hand_over(input);
            }
            Mail::Table(change) => self.table(change),
            // The caller may have gone; what it asked for holds.
            Mail::Knows { server, told } => drop(told.send(self.dispatch.fleet().knows(&server))),
            Mail::Ban { server, out, told } => {
                let fresh = self.dispatch.fleet().is_banned(&server) != out;
                let since = out.then(|| self.context.clock.now());
                self.hand_over(Input::Ban { server, since });
                let _ = told.send(fresh);
            }
        }
    }

    /// Changes the channels of a transaction; the last one gone, it is forgotten.
    fn over(&mut self, ticket: Ticket, change: impl FnOnce(&mut Channels)) {
        let Some(channels) = self.channels.get_mut(&ticket) else { return };
        change(channels);
        if channels.is_done() {
            self.channels.remove(&ticket);
        }
    }

    fn table(&mut self, change: Change) {
        let Change { seq, kind, entries } = change;
        let count = entries.len();
        let mut servers = Vec::with_capacity(count);
        for (server, dial) in entries {
            if let Some(dial) = dial {
                let new = || app_server::start(dial, self.context.clone());
                let mailbox = self.app_servers.entry(server.id.clone()).or_insert_with(new);
                // The actor lives as long as this mailbox.
                let _ = mailbox.send(app_server::Command::Dial(dial));
            }
            servers.push(server);
        }
        self.hand_over(Input::ServerList { kind, servers });
        let up = self.dispatch.fleet().open_count();
        info!(seq, ?kind, entries = count, up, "service table");
        let told = matches!(kind, ListKind::Full | ListKind::Delta);
        self.table_known.send_modify(|known| {
            (known.named, known.told) = (self.app_servers.len(), known.told || told);
        });
    }

    fn hand_over(&mut self, input: Input<Rc<Message>, Reply>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.dispatch.handle(self.context.clock.now(), input, &mut outputs);
        for output in outputs.drain(..) {
            self.carry_out(output);
        }
        self.outputs = outputs;
    }

    fn carry_out(&mut self, output: Output<Rc<Message>, Reply>) {
        let command = |server: &Id, command| {
            if let Some(app_server) = self.app_servers.get(server) {
                let _ = app_server.send(command);
            }
        };
        match output {
            Output::Start { ticket, attempt, server, message, until } => {
                debug!(ticket, attempt, %server, "attempt");
                let (sender, wish) = watch::channel(Wish::Made);
                let channels = self.channels.entry(ticket).or_default();
                channels.wishes.resize_with(attempt as usize, || None);
                channels.wishes.push(Some(sender));
                let report = Report::new(self.mailbox.clone(), ticket, attempt);
                // An assignment that nobody takes tells its end by itself.
                command(&server, app_server::Command::Start(Assignment { message, until, wish, report }));
            }
            Output::Withdraw { ticket, attempt } => self.over(ticket, |channels| {
                let wish = channels.wishes.get_mut(attempt as usize).and_then(Option::take);
                // It may have ended at this moment.
                let _ = wish.map(|wish| wish.send(Wish::Withdrawn));
            }),
            Output::CancelUnstarted { ticket, attempt } => {
                let channels = self.channels.get(&ticket);
                let wish = channels.and_then(|channels| channels.wishes.get(attempt as usize)?.as_ref());
                let _ = wish.map(|wish| wish.send(Wish::NotBegun));
            }
            Output::Answer { ticket, answer } => {
                debug!(ticket, answer = answer.name(), "answer");
                self.over(ticket, |channels| {
                    if let Some(sender) = channels.answer.take() {
                        // The client may have left just now.
                        let _ = sender.send(answer);
                    }
                });
            }
            Output::Availability { server, open } => {
                command(&server, app_server::Command::Standing(open));
            }
            Output::DropIdle { server } => command(&server, app_server::Command::DropIdle),
            Output::ServerRemoved { server } => drop(self.app_servers.remove(&server)),
            Output::WatchServerList => {
                let _ = self.table.send(service_table::Ask::Watch);
            }
            Output::Log { text } => info!("decisions: {text}"),
            Output::Probe { server } => {
                debug!(%server, "probe");
                let duty = Duty::new(self.mailbox.clone(), server.clone());
                command(&server, app_server::Command::Probe(duty));
            }
            Output::Defect { defect, request } => {
                error!(transaction = %request, "defect: {defect}; it was not carried out");
            }
        }
    }
}
