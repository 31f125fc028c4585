//! The actor around [`Dispatch`]: passes it each input with the time and executes its outputs. All decisions are made by
//! dispatch.

use std::collections::HashMap;
use std::rc::Rc;

use gradepaddle::{Balancer, Id, ListKind};
use gradepaddle_dispatch::{Dispatch, Input, Output, Ticket};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{debug, error, info};

use crate::app_server;
use crate::attempt::{Assignment, AttemptIntent, CompletionReporter, Context};
use crate::dispatch_handle::{Command, CommandReceiver, DispatchHandle, TableUpdate};
use crate::probe::ProbeReporter;
use crate::service_table;
use crate::transaction::{FinalAnswer, Message, Reply};

/// The channels of one transaction, kept until it is answered and its attempts have ended.
#[derive(Default)]
struct Channels {
    answer: Option<oneshot::Sender<FinalAnswer>>,
    /// Indexed by attempt. Dropping a sender withdraws its attempt.
    intents: Vec<Option<watch::Sender<AttemptIntent>>>,
}

impl Channels {
    fn is_done(&self) -> bool {
        self.answer.is_none() && self.intents.iter().all(Option::is_none)
    }
}

/// The actor's state.
pub struct DispatchActor {
    dispatch: Dispatch<Balancer, Rc<Message>, Reply>,
    handle: DispatchHandle,
    table: service_table::CommandSender,
    context: Rc<Context>,
    app_servers: HashMap<Id, app_server::CommandSender>,
    channels: HashMap<Ticket, Channels>,
    outputs: Vec<Output<Rc<Message>, Reply>>,
    table_status: watch::Sender<TableStatus>,
}

/// What is known of the service table.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableStatus {
    /// The number of known app servers.
    pub servers: usize,
    /// Discovery has sent a list, or changes to it, since the start.
    pub from_discovery: bool,
}

impl DispatchActor {
    /// The actor of this balancer. It publishes each change of the table on `table_status`.
    pub fn new(
        dispatch: Dispatch<Balancer, Rc<Message>, Reply>,
        handle: DispatchHandle,
        table: service_table::CommandSender,
        context: Rc<Context>,
        table_status: watch::Sender<TableStatus>,
    ) -> Self {
        DispatchActor {
            dispatch,
            handle,
            table,
            context,
            app_servers: HashMap::new(),
            channels: HashMap::new(),
            outputs: Vec::new(),
            table_status,
        }
    }

    /// Handles commands until the process ends.
    pub async fn run(mut self, mut commands: CommandReceiver) {
        loop {
            let due = self.dispatch.next_tick_at();
            let at = due.map_or_else(Instant::now, |at| self.context.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(at), if due.is_some() => self.dispatch_input(Input::Tick),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Submit { ticket, transaction, answer } => {
                let channels = Channels { answer: Some(answer), intents: Vec::new() };
                self.channels.insert(ticket, channels);
                debug!(ticket, class = transaction.class, key = transaction.key, "taken");
                self.dispatch_input(Input::Accepted { ticket, transaction });
            }
            Command::Input(input) => {
                match &input {
                    Input::ClientDisconnected { ticket } => {
                        self.update_channels(*ticket, |channels| drop(channels.answer.take()));
                    }
                    Input::ProbeEnded { server, cause, report } => debug!(%server, ?cause, ?report, "probed"),
                    Input::AttemptEnded { ticket, attempt, extent, cause, .. } => {
                        debug!(ticket, attempt, ?extent, ?cause, "ended");
                        let attempt = *attempt as usize;
                        self.update_channels(*ticket, |channels| {
                            channels.intents.get_mut(attempt).map(Option::take);
                        });
                    }
                    _ => {}
                }
                self.dispatch_input(input);
            }
            Command::UpdateTable(update) => self.update_table(update),
            // The caller may have disconnected. A ban that it asked for stays in effect.
            Command::IsKnown { server, reply } => drop(reply.send(self.dispatch.fleet().knows(&server))),
            Command::SetBan { server, banned, reply } => {
                let changed = self.dispatch.fleet().is_banned(&server) != banned;
                let since = banned.then(|| self.context.clock.now());
                self.dispatch_input(Input::Ban { server, since });
                let _ = reply.send(changed);
            }
        }
    }

    /// Updates the channels of a transaction, and removes them once none is left open.
    fn update_channels(&mut self, ticket: Ticket, update: impl FnOnce(&mut Channels)) {
        let Some(channels) = self.channels.get_mut(&ticket) else { return };
        update(channels);
        if channels.is_done() {
            self.channels.remove(&ticket);
        }
    }

    fn update_table(&mut self, update: TableUpdate) {
        let TableUpdate { seq, kind, entries } = update;
        let count = entries.len();
        let mut servers = Vec::with_capacity(count);
        for (server, address) in entries {
            if let Some(address) = address {
                let start = || app_server::start(address, self.context.clone());
                let commands = self.app_servers.entry(server.id.clone()).or_insert_with(start);
                // The actor lives as long as this sender.
                let _ = commands.send(app_server::Command::SetAddress(address));
            }
            servers.push(server);
        }
        self.dispatch_input(Input::ServerList { kind, servers });
        let up = self.dispatch.fleet().open_count();
        info!(seq, ?kind, entries = count, up, "service table");
        let from_discovery = matches!(kind, ListKind::Full | ListKind::Delta);
        self.table_status.send_modify(|status| {
            (status.servers, status.from_discovery) =
                (self.app_servers.len(), status.from_discovery || from_discovery);
        });
    }

    fn dispatch_input(&mut self, input: Input<Rc<Message>, Reply>) {
        let mut outputs = std::mem::take(&mut self.outputs);
        self.dispatch.handle(self.context.clock.now(), input, &mut outputs);
        for output in outputs.drain(..) {
            self.execute(output);
        }
        self.outputs = outputs;
    }

    fn execute(&mut self, output: Output<Rc<Message>, Reply>) {
        let send = |server: &Id, command| {
            if let Some(app_server) = self.app_servers.get(server) {
                let _ = app_server.send(command);
            }
        };
        match output {
            Output::Start { ticket, attempt, server, message, until } => {
                debug!(ticket, attempt, %server, "attempt");
                let (sender, intent) = watch::channel(AttemptIntent::Proceed);
                let channels = self.channels.entry(ticket).or_default();
                channels.intents.resize_with(attempt as usize, || None);
                channels.intents.push(Some(sender));
                let reporter = CompletionReporter::new(self.handle.clone(), ticket, attempt);
                // An assignment that is dropped unhandled reports its end itself.
                send(&server, app_server::Command::Start(Assignment { message, until, intent, reporter }));
            }
            Output::Withdraw { ticket, attempt } => self.update_channels(ticket, |channels| {
                let intent = channels.intents.get_mut(attempt as usize).and_then(Option::take);
                // The attempt may have ended already.
                let _ = intent.map(|intent| intent.send(AttemptIntent::Cancel));
            }),
            Output::CancelUnstarted { ticket, attempt } => {
                let channels = self.channels.get(&ticket);
                let intent = channels.and_then(|channels| channels.intents.get(attempt as usize)?.as_ref());
                let _ = intent.map(|intent| intent.send(AttemptIntent::CancelIfUnsent));
            }
            Output::Answer { ticket, answer } => {
                debug!(ticket, answer = answer.name(), "answer");
                self.update_channels(ticket, |channels| {
                    if let Some(sender) = channels.answer.take() {
                        // The client may have disconnected just now.
                        let _ = sender.send(answer);
                    }
                });
            }
            Output::Availability { server, open } => send(&server, app_server::Command::SetOpen(open)),
            Output::DropIdle { server } => send(&server, app_server::Command::DropIdle),
            Output::ServerRemoved { server } => drop(self.app_servers.remove(&server)),
            Output::WatchServerList => {
                let _ = self.table.send(service_table::Command::Watch);
            }
            Output::Log { text } => info!("decisions: {text}"),
            Output::Probe { server } => {
                debug!(%server, "probe");
                let reporter = ProbeReporter::new(self.handle.clone(), server.clone());
                send(&server, app_server::Command::Probe(reporter));
            }
            Output::Defect { defect, request } => {
                error!(transaction = %request, "defect: {defect}; it was not carried out");
            }
        }
    }
}
