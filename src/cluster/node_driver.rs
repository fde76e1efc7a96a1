//! The node on its thread: the time, messages, orders and the voter's file go in; what is to be done is seen to.

use super::peer_transport::{Arrived, Links};
use super::{Cluster, DutyNews, DutyView, Held, MemberView, Order, Stands, View, restart_controller};
use crate::clock::{Clock, Micros};
use crate::config::Fleet;
use crate::lifecycle::LifecycleHandle;
use sanddyke_cluster::{
    Ballot, Batch, Deed, Disk, Input, Kept, Life, Member, Node, Output, Setup, TICK_US, VoterDisk,
    rolling_restart,
};
use sanddyke_store::StoreError;
use sanddyke_store::voter_file::{VoterFile, VoterState, VoterUpdate};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot, watch};

/// Orders and messages that may wait for the node.
const QUEUE: usize = 1024;
/// The node is told of the time so often: half a voter's tick.
const TELL_EVERY: Duration = Duration::from_micros(TICK_US / 2);
/// What is shown of the fleet is made anew so often, and at each change of a duty.
const SHOW_EVERY: Duration = Duration::from_millis(200);

/// The voter's file as the node knows it.
struct File(VoterFile);

impl Disk for File {
    fn keep(&mut self, batch: &Batch) -> Result<(), String> {
        let more = VoterUpdate {
            hard_state: batch.hard_state.as_deref(),
            entries: &batch.entries,
            snapshot: batch.snapshot.as_ref().map(|(index, snapshot)| (*index, snapshot.as_slice())),
        };
        self.0.keep(&more).map_err(|error| error.to_string())
    }
}

impl VoterDisk for File {
    fn ballot(&self) -> Ballot {
        let (id, founded) = self.0.standing();
        Ballot { id, founded }
    }

    fn found(&mut self, kept: &Kept) -> Result<(), String> {
        let Kept { hard_state, entries, snapshot } = kept.clone();
        self.0.begin(&VoterState { hard_state, entries, snapshot }).map_err(|error| error.to_string())
    }

    fn kept(&self) -> Result<Kept, String> {
        let VoterState { hard_state, entries, snapshot } =
            self.0.state().map_err(|error| error.to_string())?;
        Ok(Kept { hard_state, entries, snapshot })
    }
}

/// Joins the fleet. Gives the way to it, and for each duty the news for whoever does its work.
///
/// # Errors
/// Where the address can't be listened on. A voter's file that can't be used is no error: the manager serves without a
/// vote, and says so.
pub fn start(
    fleet: Fleet,
    name: &str,
    clock: Clock,
    seed: u64,
    own: (LifecycleHandle, Arc<Notify>),
) -> std::io::Result<(Cluster, BTreeMap<String, mpsc::Receiver<DutyNews>>)> {
    let listener = std::net::TcpListener::bind(fleet.listen)?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // A start at the same moment under one name would be one life: no process manager does that.
    let life = Life { name: name.to_owned(), number: clock.unix_ms() };
    let me = Member { life, address: fleet.advertise, zone: fleet.zone.clone(), returns: 0 };
    let disk =
        fleet.path.as_ref().filter(|_| fleet.voters.iter().any(|voter| voter == name)).and_then(|path| {
            let mut id = [0; 8];
            let drawn = getrandom::fill(&mut id).map_err(|error| StoreError::Write(error.to_string()));
            // 0 is nobody's number.
            match drawn.and_then(|()| VoterFile::open(path, u64::from_le_bytes(id) | 1)) {
                Ok(file) => Some(File(file)),
                Err(error) => {
                    log::error!("cluster: no vote: {error}");
                    None
                }
            }
        });
    let setup = Setup {
        cluster: fleet.name.clone(),
        me,
        seeds: fleet.seeds.clone(),
        voters: fleet.voters.clone(),
        duties: fleet.duties.iter().map(|duty| (duty.clone(), fleet.lease_us)).collect(),
        seed,
    };
    let (orders, inbox) = mpsc::channel(QUEUE);
    let (view_sender, view) = watch::channel(Arc::new(View::default()));
    let (held_sender, held) = watch::channel(Held::new());
    let (stands_sender, stands) = watch::channel(Stands::new());
    let mut workers = BTreeMap::new();
    let mut news = BTreeMap::new();
    for duty in &fleet.duties {
        let (sender, receiver) = mpsc::channel(16);
        workers.insert(duty.clone(), sender);
        news.insert(duty.clone(), receiver);
    }
    let (ended_by, own) = (own, fleet.listen);
    std::thread::Builder::new().name("cluster".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let (arrive, arrived) = mpsc::channel(QUEUE);
            let links = match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => Links::start(listener, own, arrive),
                Err(error) => return log::error!("cluster: {error}"),
            };

            let shown = (view_sender, held_sender, stands_sender);
            let shell = Shell::new(setup, clock, disk, links, workers, shown, ended_by);
            shell.run(inbox, arrived).await;
        });
    })?;
    Ok((Cluster { orders, view, held, stands, name: name.into(), clock }, news))
}

struct Shell {
    node: Node,
    disk: Option<File>,
    clock: Clock,
    links: Links,
    workers: BTreeMap<String, mpsc::Sender<DutyNews>>,
    duties: Vec<String>,
    view: watch::Sender<Arc<View>>,
    held: watch::Sender<Held>,
    stands: watch::Sender<Stands>,
    /// The program's life, and the way to end it for a restart.
    own: (LifecycleHandle, Arc<Notify>),
    sent: (u64, u64, u64),
    /// Who waits until this manager holds nothing and has said that it goes.
    leaving: Vec<oneshot::Sender<()>>,
    out: Vec<Output>,
}

impl Shell {
    fn new(
        setup: Setup,
        clock: Clock,
        disk: Option<File>,
        links: Links,
        workers: BTreeMap<String, mpsc::Sender<DutyNews>>,
        (view, held, stands): (watch::Sender<Arc<View>>, watch::Sender<Held>, watch::Sender<Stands>),
        own: (LifecycleHandle, Arc<Notify>),
    ) -> Shell {
        let duties = setup.duties.keys().cloned().collect();
        let node = Node::start(
            setup,
            clock.now().0.unsigned_abs(),
            disk.as_ref().map(|disk| disk as &dyn VoterDisk),
        );
        log::info!("cluster: {} {}", node.members().me().life, node.standing());
        Shell {
            node,
            disk,
            clock,
            links,
            workers,
            duties,
            view,
            held,
            stands,
            own,
            sent: (0, 0, 0),
            leaving: Vec::new(),
            out: Vec::new(),
        }
    }

    async fn run(mut self, mut orders: mpsc::Receiver<Order>, mut arrived: mpsc::Receiver<Arrived>) {
        let mut ticks = tokio::time::interval(TELL_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut shown = tokio::time::interval(SHOW_EVERY);
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => self.order(order).await,
                    None => return,
                },
                frame = arrived.recv() => match frame {
                    Some(bytes) => self.tell(Input::Message(&bytes)),
                    None => return,
                },
                _ = ticks.tick() => self.tell(Input::Tick),
                _ = shown.tick() => self.show(),
            }
        }
    }

    async fn order(&mut self, order: Order) {
        match order {
            Order::Note(duty, on, note) => self.tell(Input::Note(&duty, on, note)),
            Order::Turn(name, step) => self.tell(Input::Turn(&name, step)),
            Order::Finished(duty) => self.tell(Input::Finished(&duty)),
            Order::HandOver(duty, reply) => {
                let now = self.clock.now().0.unsigned_abs();
                let is_held = self.node.holder().held(now).any(|(held, ..)| held == duty);
                self.tell(Input::HandOver(&duty));
                let answer = if is_held { Ok(()) } else { Err(format!("{duty} is not held here")) };
                drop(reply.send(answer)); // who asked may have left
            }
            Order::Admit(name, reply) => drop(reply.send(self.node.admit(&name))),
            Order::Drain(draining) => self.tell(Input::Drain(draining)),
            Order::Leave(reply) => {
                // Its duties first: their work says when it is done.
                let now = self.clock.now().0.unsigned_abs();
                if self.node.holder().held(now).next().is_some() {
                    self.leaving.push(reply);
                } else {
                    self.leave(reply);
                }
            }
        }
    }

    fn leave(&mut self, reply: oneshot::Sender<()>) {
        self.tell(Input::Leave);
        // The words go out by tasks of their own, within a turn or two.
        let _left = reply.send(());
    }

    fn tell(&mut self, input: Input<'_>) {
        let now = self.clock.now().0.unsigned_abs();
        let (mut out, mut told) = (std::mem::take(&mut self.out), Vec::new());
        let disk = self.disk.as_mut().map(|disk| disk as &mut dyn VoterDisk);
        self.node.handle(now, input, disk, &mut out);
        for one in out.drain(..) {
            match one {
                Output::Send(to, bytes) => {
                    self.sent.0 += 1;
                    self.sent.1 += bytes.len() as u64;
                    self.sent.2 += u64::from(!self.links.send(to, bytes));
                }
                Output::Duty(deed) => self.deed(now, deed),
                Output::Member(member, true) => {
                    log::info!("cluster: {} came, at {}", member.life, member.address)
                }
                Output::Member(member, false) => {
                    log::info!("cluster: {} is gone", member.life);
                    self.stands.send_modify(|all| {
                        all.remove(&member.life.name);
                    });
                }
                Output::Note(note) => log::info!("cluster: {note}"),
                Output::Turn(back, step) => {
                    let this = self.node.members().me().life.number;
                    restart_controller::carry_out(step, this, &self.own.0, &self.own.1);
                    told.push((back, restart_controller::stand(&self.own.0, &self.clock)));
                }
                Output::Stand(life, stand) => {
                    self.stands.send_modify(|all| rolling_restart::hear(all, life, stand));
                }
            }
        }
        self.out = out;
        told.into_iter().for_each(|(back, stand)| self.tell(Input::Stand(back, stand)));
    }

    /// Each line has the Unix time in microseconds: what a fleet did is put together from its logs.
    fn deed(&mut self, now: u64, deed: Deed) {
        // Of the moment that the node was told: what came of it may have waited for the disk.
        let unix = self.clock.unix_us_of(Micros(now as i64));
        let (duty, news) = match deed {
            Deed::Began { duty, fence, until } => {
                log::info!(
                    "duty {duty}: begun fence={fence} at_us={unix} for_us={}",
                    until.saturating_sub(now)
                );
                (duty, Some(DutyNews::Began))
            }
            Deed::Extended { duty, fence, until } => {
                log::debug!(
                    "duty {duty}: held fence={fence} at_us={unix} for_us={}",
                    until.saturating_sub(now)
                );
                (duty, None)
            }
            Deed::Noted { duty, .. } => (duty, Some(DutyNews::Noted)),
            Deed::Finish { duty, fence } => {
                log::info!("duty {duty}: to be handed over fence={fence} at_us={unix}");
                (duty, Some(DutyNews::Finish))
            }
            Deed::Ended { duty, fence, why } => {
                let why = sanddyke_cluster::node::word(why);
                log::info!("duty {duty}: ended fence={fence} at_us={unix}: {why}");
                (duty, Some(DutyNews::Ended))
            }
            Deed::Ask(..) => return,
        };
        let held = self.node.holder().held(now);
        let held: Held = held
            .map(|(duty, fence, until)| {
                (duty.to_owned(), (fence, until, self.node.holder().may_act(duty, now).is_none()))
            })
            .collect();
        self.held.send_replace(held);
        if let (Some(news), Some(worker)) = (news, self.workers.get(&duty)) {
            // One that does not keep up finds out by `may_act`.
            let full = worker.try_send(news).is_err();
            if full {
                log::warn!("duty {duty}: its worker does not keep up");
            }
        }
        self.show();
    }

    fn show(&mut self) {
        let (now, table) = (self.clock.now().0.unsigned_abs(), self.node.table());
        let mut names: Vec<&String> = self.duties.iter().chain(table.rows.keys()).collect();
        names.sort();
        names.dedup();
        let duties = names.into_iter().map(|name| {
            let row = table.rows.get(name);
            let grant = row.and_then(|row| row.grant.as_ref());
            let held = self.node.holder().held(now).find(|(duty, ..)| *duty == name.as_str());
            DutyView {
                name: name.clone(),
                holder: grant.map(|grant| grant.holder.name.clone()),
                fence: grant.map(|grant| grant.fence),
                left_ms: held.map(|(_, _, until)| (until - now) / 1000),
                note: row.map_or(String::new(), |row| row.note.clone()),
                noted: row.map_or(0, |row| row.noted),
            }
        });
        let member = |member: &Member| MemberView {
            name: member.life.name.clone(),
            life: member.life.to_string(),
            address: member.address.to_string(),
            zone: member.zone.clone(),
        };
        let mut members: Vec<MemberView> = self.node.members().others().map(member).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let view = View {
            me: self.node.members().me().life.to_string(),
            zone: self.node.members().me().zone.clone(),
            vote: self.node.standing(),
            ballot: self.node.ballot().map(|ballot| format!("{:x}", ballot.id)),
            index: table.index,
            voters: table.voters.iter().map(|(id, name)| (format!("{id:x}"), name.clone())).collect(),
            waiting: self.node.waiting().cloned().collect(),
            members,
            duties: duties.collect(),
            refused: self.node.refused().iter().map(|(why, count)| (why.code().to_owned(), *count)).collect(),
            sent: self.sent,
        };
        if view.duties.iter().all(|duty| duty.left_ms.is_none()) {
            std::mem::take(&mut self.leaving).into_iter().for_each(|reply| self.leave(reply));
        }
        self.view.send_if_modified(|shown| {
            let changed = **shown != view;
            if changed {
                *shown = Arc::new(view);
            }
            changed
        });
    }
}
