//! A session: batches of lines come in, and each is answered with the actions of its events and `READY`.

use crate::actions::write_action;
use crate::error::{AdapterError, FieldError, LineError};
use crate::instance::{Instance, ListRow};
use crate::lines::{BATCH, EventMessage, Fields, LAUNCH, LIST, ROW, SHUTDOWN, message_of};
use sanddyke::{Action, Millis};
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// Reads batches until input ends, and answers each.
pub fn run(input: impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    let mut number = 0;
    for line in input.lines() {
        number += 1;
        let handled = match line {
            Ok(line) => session.handle(line.trim_end_matches('\r'), output),
            Err(error) => Err(error.into()),
        };
        handled.map_err(|error| AdapterError::Line { number, error })?;
    }
    if session.clock.is_some() { Err(AdapterError::IncompleteBatch(number)) } else { Ok(()) }
}

/// A list of which entries are still to come.
struct OpenList {
    list: u64,
    remaining: usize,
}

impl OpenList {
    /// A list of which this many entries are to come; `None` where it is complete.
    fn of(list: u64, remaining: usize) -> Option<OpenList> {
        (remaining > 0).then_some(OpenList { list, remaining })
    }
}

#[derive(Default)]
struct Session {
    /// Time of the batch that is being read.
    clock: Option<Millis>,
    instances: HashMap<u64, Instance>,
    lists: HashMap<u64, Vec<ListRow>>,
    open_list: Option<OpenList>,
    /// Scratch space for the actions of one event.
    actions: Vec<Action>,
    /// The answer to the batch that is being read.
    reply: String,
}

impl Session {
    /// Handles one line.
    fn handle(&mut self, line: &str, output: &mut impl Write) -> Result<(), LineError> {
        let message = message_of(line);
        let Some(now) = self.clock else { return self.begin_batch(line, message) };
        if let Some(open) = self.open_list.take() {
            return self.add_row(open, line, message);
        }
        match message {
            "EOF_BATCH" => self.end_batch(output),
            "LIST" => self.begin_list(line),
            "LAUNCH" => self.launch(&Fields::parse(line, LAUNCH)?, now),
            "SHUTDOWN" => {
                let instance: u64 = Fields::parse(line, SHUTDOWN)?.required(0)?;
                self.instances.remove(&instance);
                Ok(())
            }
            _ => self.handle_event(line, EventMessage::of(message)?, now),
        }
    }

    /// Outside a batch only `BATCH` may come, or an empty line.
    fn begin_batch(&mut self, line: &str, message: &str) -> Result<(), LineError> {
        match message {
            "" => Ok(()),
            "BATCH" => {
                self.clock = Some(Fields::parse(line, BATCH)?.required_amount(0)?);
                Ok(())
            }
            other => Err(LineError::OutsideBatch(other.to_owned())),
        }
    }

    /// Writes the answer to the batch.
    fn end_batch(&mut self, output: &mut impl Write) -> Result<(), LineError> {
        self.clock = None;
        self.reply.push_str("READY\n");
        let reply = std::mem::take(&mut self.reply);
        output.write_all(reply.as_bytes())?;
        Ok(output.flush()?)
    }

    /// Rows follow, where the list has any.
    fn begin_list(&mut self, line: &str) -> Result<(), LineError> {
        let fields = Fields::parse(line, LIST)?;
        let list = fields.required(0)?;
        let count = fields.required(1)?;
        self.lists.insert(list, Vec::new());
        self.open_list = OpenList::of(list, count);
        Ok(())
    }

    /// Adds an entry to the open list; nothing else may come in its place.
    fn add_row(&mut self, open: OpenList, line: &str, message: &str) -> Result<(), LineError> {
        if message != "ROW" {
            return Err(LineError::IncompleteList { remaining: open.remaining, found: message.to_owned() });
        }
        let row = ListRow::parse(&Fields::parse(line, ROW)?)?;
        self.lists.entry(open.list).or_default().push(row);
        self.open_list = OpenList::of(open.list, open.remaining - 1);
        Ok(())
    }

    /// Launches an instance.
    fn launch(&mut self, fields: &Fields, now: Millis) -> Result<(), LineError> {
        let instance = Instance::launch(fields, now)?;
        self.instances.insert(fields.required(0)?, instance);
        Ok(())
    }

    /// Hands an event to its instance's gateway, and writes the actions.
    fn handle_event(&mut self, line: &str, message: EventMessage, now: Millis) -> Result<(), LineError> {
        let fields = Fields::parse(line, message.layout())?;
        let id: u64 = fields.required(0)?;
        let instance =
            self.instances.get_mut(&id).ok_or_else(|| fields.error(0, FieldError::UnknownInstance))?;
        if let Some(event) = instance.event(message, &fields, &self.lists)? {
            instance.gateway.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                write_action(&mut self.reply, id, &instance.requests, &action);
            }
        }
        Ok(())
    }
}
