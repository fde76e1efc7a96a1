//! The fleet, where managers speak to each other (`[cluster]`): the shell round `sanddyke_cluster::Node`. It has a
//! thread, a runtime, descriptors and a disk of its own, so that no request ever waits for a peer, a lock of one, or a
//! promise on its way to the disk. It is built with the feature `cluster` only: what it stands on is a fifth of the
//! program's size, and the platform has no use for it.

pub mod backup;
#[cfg(feature = "cluster")]
mod node_driver;
#[cfg(feature = "cluster")]
mod peer_transport;
#[cfg(feature = "cluster")]
pub mod restart_controller;

#[cfg(feature = "cluster")]
pub use node_driver::start;

use crate::clock::Clock;
use crate::lifecycle::LifecycleHandle;
use sanddyke_lifecycle::Phase;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// The duty of whoever plays rolls.
pub const ROLLING_RESTART_LEASE: &str = "warden";
/// The program's life is looked at so often.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// What becomes of a duty, for whoever does its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyNews {
    /// It is this manager's now.
    Began,
    /// The voters have the note that was sent.
    Noted,
    /// Finish what was begun, begin nothing more, and say when it is done.
    Finish,
    /// It is this manager's no more.
    Ended,
}

/// What the node is told by the program: read by the shell.
#[cfg_attr(not(feature = "cluster"), allow(dead_code))]
#[derive(Debug)]
enum Order {
    Note(String, u64, String),
    #[cfg(feature = "cluster")]
    Turn(String, sanddyke_cluster::rolling_restart::Step),
    Finished(String),
    HandOver(String, oneshot::Sender<Result<(), String>>),
    Admit(String, oneshot::Sender<Result<(), String>>),
    Drain(bool),
    Leave(oneshot::Sender<()>),
}

/// A duty as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct DutyView {
    /// Its name.
    pub name: String,
    /// The manager that the voters gave it to, as far as it is known here.
    pub holder: Option<String>,
    /// The holder's fencing number.
    pub fence: Option<u64>,
    /// Where it is held here: how much of the lease is left, in ms.
    pub left_ms: Option<u64>,
    /// How far its work has come.
    pub note: String,
    /// The number of that note.
    pub noted: u64,
}

/// A member as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its life, another after each start.
    pub life: String,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
}

/// The fleet as this manager sees it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct View {
    /// This manager, and its zone.
    pub me: String,
    /// See `me`.
    pub zone: String,
    /// Where its vote stands.
    pub vote: String,
    /// Its number as a voter.
    pub ballot: Option<String>,
    /// The last entry of the voters' log that is known here.
    pub index: u64,
    /// The voters by their numbers.
    pub voters: BTreeMap<String, String>,
    /// Voters that wait to be let in.
    pub waiting: Vec<String>,
    /// The other members.
    pub members: Vec<MemberView>,
    /// The duties.
    pub duties: Vec<DutyView>,
    /// Messages that were refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Messages sent, their bytes, and messages that found no way out.
    pub sent: (u64, u64, u64),
}

/// What is held here: number and end by the program's clock, in microseconds.
type Held = BTreeMap<String, (u64, u64, bool)>;

/// A way to the fleet. Clones are of one.
#[derive(Debug, Clone)]
pub struct Cluster {
    orders: mpsc::Sender<Order>,
    view: watch::Receiver<Arc<View>>,
    held: watch::Receiver<Held>,
    #[cfg(feature = "cluster")]
    stands: watch::Receiver<Stands>,
    name: Arc<str>,
    clock: Clock,
}

#[cfg(feature = "cluster")]
use sanddyke_cluster::rolling_restart::Stands;

impl Cluster {
    /// The fleet as it is seen here.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// The number under which an act of a duty may begin, where one may: ask right before each act, and give the number
    /// along with it.
    pub fn may_act(&self, duty: &str) -> Option<u64> {
        let now = self.clock.now().0.unsigned_abs();
        self.held
            .borrow()
            .get(duty)
            .filter(|(_, until, finishing)| now < *until && !finishing)
            .map(|held| held.0)
    }

    /// This manager's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// How far a duty's work has come, as it is known here, and the note's number; nothing where it was never noted.
    pub fn note_of(&self, duty: &str) -> (u64, String) {
        let view = self.view.borrow();
        let one = view.duties.iter().find(|one| one.name == duty);
        one.map_or((0, String::new()), |one| (one.noted, one.note.clone()))
    }

    /// Where managers stand.
    #[cfg(feature = "cluster")]
    pub fn stands(&self) -> Stands {
        self.stands.borrow().clone()
    }

    /// Tells a manager a step of a roll, as long as that duty is held here.
    #[cfg(feature = "cluster")]
    pub async fn turn(&self, name: &str, step: sanddyke_cluster::rolling_restart::Step) {
        self.order(Order::Turn(name.to_owned(), step)).await;
    }

    async fn order(&self, order: Order) {
        // The thread is there for as long as the program.
        let _ended = self.orders.send(order).await;
    }

    async fn asked(
        &self,
        order: impl FnOnce(oneshot::Sender<Result<(), String>>) -> Order,
    ) -> Result<(), String> {
        let (reply, answer) = oneshot::channel();
        self.order(order(reply)).await;
        answer.await.unwrap_or(Err("the program ends".to_owned()))
    }

    /// Has the voters note how far a duty's work has come, unless more was noted since the note of this number.
    pub async fn note(&self, duty: &str, on: u64, note: String) {
        self.order(Order::Note(duty.to_owned(), on, note)).await;
    }

    /// What was begun under a duty is done.
    pub async fn finished(&self, duty: &str) {
        self.order(Order::Finished(duty.to_owned())).await;
    }

    /// Hands a duty that is held here over to the next in order.
    pub async fn hand_over(&self, duty: &str) -> Result<(), String> {
        self.asked(|reply| Order::HandOver(duty.to_owned(), reply)).await
    }

    /// Lets a voter in whose file was lost, under its new number. Only the leader can.
    pub async fn admit(&self, name: &str) -> Result<(), String> {
        self.asked(|reply| Order::Admit(name.to_owned(), reply)).await
    }

    /// Hands all duties over and takes none, or takes them again.
    pub async fn drain(&self, draining: bool) {
        self.order(Order::Drain(draining)).await;
    }

    /// Leaves the fleet; returns once the others were told.
    pub async fn leave(&self) {
        let (reply, told) = oneshot::channel();
        self.order(Order::Leave(reply)).await;
        let _ended = told.await;
    }
}

/// Hands duties over while the program is drained or ends, and takes them again after a drain.
pub async fn follow(cluster: Cluster, lifecycle: LifecycleHandle) {
    let mut draining = false;
    loop {
        let (leaves, now) = (
            lifecycle.is_shutting_down(),
            matches!(lifecycle.phase(), Phase::Drained) || lifecycle.is_shutting_down(),
        );
        if now != draining {
            draining = now;
            cluster.drain(draining).await;
        }
        if leaves {
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
