//! Reads batches of lines. The answer to each is the actions of its events, and `READY`.

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

/// A list whose `ROW` lines have not all been read.
struct OpenList {
    list: u64,
    remaining: usize,
}

impl OpenList {
    /// A list with this many `ROW` lines left to read; `None` if it is complete.
    fn of(list: u64, remaining: usize) -> Option<OpenList> {
        (remaining > 0).then_some(OpenList { list, remaining })
    }
}

#[derive(Default)]
struct Session {
    /// Time of the current batch; `None` outside a batch.
    clock: Option<Millis>,
    instances: HashMap<u64, Instance>,
    lists: HashMap<u64, Vec<ListRow>>,
    open_list: Option<OpenList>,
    /// Reused buffer for the actions of one event.
    actions: Vec<Action>,
    /// The answer to the current batch.
    reply: String,
}

impl Session {
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

    /// Handles a line outside a batch, which must be `BATCH` or empty.
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

    /// Ends the batch, and writes its answer.
    fn end_batch(&mut self, output: &mut impl Write) -> Result<(), LineError> {
        self.clock = None;
        self.reply.push_str("READY\n");
        let reply = std::mem::take(&mut self.reply);
        output.write_all(reply.as_bytes())?;
        Ok(output.flush()?)
    }

    /// Begins a list; its `ROW` lines follow.
    fn begin_list(&mut self, line: &str) -> Result<(), LineError> {
        let fields = Fields::parse(line, LIST)?;
        let list = fields.required(0)?;
        let count = fields.required(1)?;
        self.lists.insert(list, Vec::new());
        self.open_list = OpenList::of(list, count);
        Ok(())
    }

    /// Adds an entry to the open list. Any other line is an error.
    fn add_row(&mut self, open: OpenList, line: &str, message: &str) -> Result<(), LineError> {
        if message != "ROW" {
            return Err(LineError::IncompleteList { remaining: open.remaining, found: message.to_owned() });
        }
        let row = ListRow::parse(&Fields::parse(line, ROW)?)?;
        self.lists.entry(open.list).or_default().push(row);
        self.open_list = OpenList::of(open.list, open.remaining - 1);
        Ok(())
    }

    fn launch(&mut self, fields: &Fields, now: Millis) -> Result<(), LineError> {
        let instance = Instance::launch(fields, now)?;
        self.instances.insert(fields.required(0)?, instance);
        Ok(())
    }

    /// Passes an event to its instance's scheduler, and appends the resulting actions to the reply.
    fn handle_event(&mut self, line: &str, message: EventMessage, now: Millis) -> Result<(), LineError> {
        let fields = Fields::parse(line, message.layout())?;
        let id: u64 = fields.required(0)?;
        let instance =
            self.instances.get_mut(&id).ok_or_else(|| fields.error(0, FieldError::UnknownInstance))?;
        if let Some(event) = instance.event(message, &fields, &self.lists)? {
            instance.scheduler.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                write_action(&mut self.reply, id, &instance.requests, &action);
            }
        }
        Ok(())
    }
}
