//! Simulations of networks that lose, delay and reorder responses. Time is counted in poll intervals of 200 ms.

use super::*;
use oorandom::Rand32;
use rstest::rstest;

/// What the network does to queries and their responses.
struct Network {
    /// Numbers of the sockets, from 0, whose responses are all lost. The last value applies to all further sockets.
    dead_paths: Vec<bool>,
    /// Interval from which on the responses to the first socket are all lost.
    first_path_dies_at: usize,
    /// Shortest and longest delay of a response.
    delay: (usize, usize),
    /// Probability that a response is lost.
    loss: f32,
}

impl Network {
    fn with_delay(shortest: usize, longest: usize) -> Network {
        Network {
            dead_paths: vec![false],
            first_path_dies_at: usize::MAX,
            delay: (shortest, longest),
            loss: 0.0,
        }
    }

    fn loses(&self, path: PathId, now: usize, rng: &mut Rand32) -> bool {
        let number = (path.0 - 1) as usize;
        let is_dead = self.dead_paths.get(number).or(self.dead_paths.last()).copied().unwrap_or(false);
        is_dead || (number == 0 && now >= self.first_path_dies_at) || rng.rand_float() < self.loss
    }
}

/// A response on its way.
struct Response {
    path: PathId,
    id: u16,
    sent_at: usize,
    due_at: usize,
}

/// Queries for `intervals`, and returns by interval when the newest query was sent whose response has been accepted;
/// `None` until there is one.
fn simulate(network: &Network, intervals: usize, seed: u64) -> Vec<Option<usize>> {
    let mut rng = Rand32::new(seed);
    let mut paths = QueryPaths::default();
    let mut under_way: Vec<Response> = Vec::new();
    let mut newest = None;
    let mut history = Vec::with_capacity(intervals);
    for now in 0..intervals {
        let time = Micros(now as i64);
        let due = under_way.extract_if(.., |response| response.due_at <= now);
        for response in due.collect::<Vec<_>>() {
            if let Some(delay) = paths.response_received(response.path, response.id, time) {
                assert_eq!(delay, Micros((now - response.sent_at) as i64), "seed {seed}");
                newest = newest.max(Some(response.sent_at));
            }
        }
        history.push(newest);
        let path = match paths.choose() {
            PathChoice::Open(path) => path,
            PathChoice::New => paths.opened(),
        };
        let id = now as u16;
        paths.query_sent(path, id, time);
        while paths.take_closed().is_some() {}
        assert!(paths.paths.len() <= MAX_PATHS, "seed {seed}: {} sockets are open", paths.paths.len());
        let (shortest, longest) = network.delay;
        let due_at = now + rng.rand_range(shortest as u32..longest as u32 + 1) as usize;
        if !network.loses(path, now, &mut rng) {
            under_way.push(Response { path, id, sent_at: now, due_at });
        }
    }
    history
}

/// Returns the longest time, from `start` on, that has passed since the newest answered query was sent.
fn greatest_age(history: &[Option<usize>], start: usize) -> usize {
    let ages = history.iter().enumerate().skip(start).map(|(now, newest)| now - newest.unwrap_or(0));
    ages.max().unwrap_or(0)
}

/// Guards against a slow name service whose responses all find their socket closed, so that the endpoint list never
/// changes.
#[rstest]
fn every_response_of_a_slow_name_service_is_accepted(#[values(1, 2, 3, 4, 5, 8, 16, 25, 27)] delay: usize) {
    let history = simulate(&Network::with_delay(delay, delay), 3000, 1);
    assert_eq!(history[delay], Some(0));
    assert_eq!(greatest_age(&history, delay), delay);
}

/// Guards against a bound on the delay above which no response is ever accepted.
#[rstest]
fn a_response_of_a_very_slow_name_service_is_accepted(#[values(35, 50, 100, 200, 299)] delay: usize) {
    let history = simulate(&Network::with_delay(delay, delay), 20 * MAX_OPEN_QUERIES, 1);
    assert!(history[4 * delay].is_some());
    assert!(greatest_age(&history, 4 * delay) <= 4 * delay, "{}", greatest_age(&history, 4 * delay));
}

/// Guards against a network path that loses all responses: each is left after 0.6 s.
#[rstest]
fn a_path_that_stays_dead_is_left(#[values(0, 1, 2, 6)] dead: usize) {
    let dead_paths = (0..=dead).map(|number| number < dead).collect();
    let history = simulate(&Network { dead_paths, ..Network::with_delay(1, 1) }, 100, 1);
    assert_eq!(history[dead * UNANSWERED_BEFORE_NEW_PATH + 1], Some(dead * UNANSWERED_BEFORE_NEW_PATH));
    assert_eq!(greatest_age(&history, dead * UNANSWERED_BEFORE_NEW_PATH + 1), 1);
}

/// Guards against a path that dies after it has worked, also where the responses on other paths are late.
#[rstest]
fn a_path_that_dies_is_left(#[values(1, 2, 5, 10)] delay: usize) {
    let network = Network { first_path_dies_at: 200, ..Network::with_delay(delay, delay) };
    let greatest = greatest_age(&simulate(&network, 600, 1), delay);
    assert!(greatest <= 2 * UNANSWERED_BEFORE_NEW_PATH + 2 * delay, "{greatest}");
}

/// Responses that are lost, late and out of order still tell what is new.
#[test]
fn uneven_and_lossy_responses_are_accepted() {
    for seed in 0..200 {
        let mut rng = Rand32::new(seed);
        let longest = rng.rand_range(1..30) as usize;
        let loss = rng.rand_float() * 0.6;
        let dead_paths = (0..20).map(|_| rng.rand_float() < 0.3).chain([false]).collect();
        let network = Network { dead_paths, loss, ..Network::with_delay(1, longest) };
        let greatest = greatest_age(&simulate(&network, 2000, seed), 100);
        assert!(greatest <= 100, "seed {seed}: delays up to {longest}, loss {loss}: {greatest}");
    }
}

#[test]
fn a_response_to_no_open_query_is_ignored() {
    let mut paths = QueryPaths::default();
    let (first, second) = (paths.opened(), paths.opened());
    paths.query_sent(first, 7, Micros(1));
    assert_eq!(paths.response_received(second, 7, Micros(2)), None);
    assert_eq!(paths.response_received(first, 8, Micros(2)), None);
    assert_eq!(paths.response_received(first, 7, Micros(2)), Some(Micros(1)));
    assert_eq!(paths.response_received(first, 7, Micros(3)), None, "a second copy");
}
