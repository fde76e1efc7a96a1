//! The workload manager on real sockets.
#![forbid(unsafe_code)]

use sanddyke::admin::{self, Admin};
use sanddyke::back::{Backs, Limits, Wire};
use sanddyke::clock::{Clock, Micros};
use sanddyke::config::{Config, Read};
use sanddyke::core::{Core, EngineNews, Input};
use sanddyke::discovery::{self, Told};
use sanddyke::front::Door;
use sanddyke::front::http::{self, Http};
use sanddyke::front::tds::{self, Tds};
use sanddyke::service::{self, Handle};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// After SIGTERM clients still come for so long, and are served like any other.
const STILL_COMING: Duration = Duration::from_millis(800);
/// Time in which the last answers leave the machine.
const LAST_WORDS: Duration = Duration::from_millis(50);
/// An engine that owes word and says nothing for so long is gone, and so is an answer of which it says nothing
/// more. Where it is known how often it tells of each request, so many of its words may be missing.
const SILENT_AFTER: Micros = Micros(3_000_000);
const WORDS_MISSING: f64 = 3.0;
/// What an engine has begun to say is there whole by then.
const LINE_WITHIN: Micros = Micros(1_000_000);
/// Descriptors that are not for clients: engines, the name service, files.
const RESERVED: usize = 160;
/// Clients hold at most this part of the descriptors, each for one open request.
const CLIENTS_PART: usize = 3;
/// Room for the result of each open request, some above the longest of the platform's engines.
const RESULT_BYTES: usize = 64 * 1024;
/// Connections to one engine.
const MOST_CONNECTIONS: usize = 4;
/// Connections to one engine where each carries one request.
const MOST_TDS_CONNECTIONS: usize = 64;
/// What of the configuration takes effect without a restart.
const LIVE_KEYS: [&str; 3] = ["resolver", "service", "known"];

/// Why the program can't go on.
#[derive(Debug, Error)]
enum Fatal {
    #[error("{0}")]
    Config(#[from] sanddyke::config::ConfigError),
    #[error("listen: can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Ended(#[from] service::Ended),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.map_err(Fatal::from).and_then(|runtime| runtime.block_on(run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fatal) => {
            log::error!("{fatal}");
            ExitCode::FAILURE
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Fatal> {
    TcpListener::bind(address).await.map_err(|error| Fatal::Listen(address, error))
}

/// Reads the configuration again, whole. One that can't be used changes nothing.
fn reload(read: &mut Read, clock: &Clock, names: &watch::Sender<Told>) {
    let config = match Config::from_env(clock) {
        Ok(config) => config,
        Err(error) => return log::error!("SIGHUP: the configuration stays as it was: {error}"),
    };
    for key in config.read.changed(read) {
        match LIVE_KEYS.contains(&key.as_str()) {
            true => log::info!("SIGHUP: {key} has changed"),
            false => log::warn!("SIGHUP: {key} has changed, which counts from the next start only"),
        }
    }
    *read = config.read;
    names.send_replace(Told { resolver: config.resolver, service: config.service, listed: config.listed });
    log::info!("SIGHUP: the configuration is read again");
}

async fn run() -> Result<(), Fatal> {
    let clock = Clock::start();
    let config = Config::from_env(&clock)?;
    let mut read = config.read.clone();
    let mut terminated = signal(SignalKind::terminate())?;
    let mut reloaded = signal(SignalKind::hangup())?;
    let (handle, queue) = Handle::new();
    let limits = Limits {
        connect_timeout: Micros::from_ms(config.connect_ms).to_duration(),
        probe_timeout: Micros::from_ms(config.connect_ms),
        silent_after: match config.front.settings.engines.notes_every_ms {
            every if every > 0.0 => Micros::from_ms(every * WORDS_MISSING).max(LINE_WITHIN),
            _ => SILENT_AFTER,
        },
        line_within: LINE_WITHIN,
        // A little before the engine does, so that no request crosses its close.
        idle_after: Micros::from_ms(config.keepalive_ms * 0.8),
        collected: config.sockets / CLIENTS_PART * RESULT_BYTES,
        streams: config.streams,
        connections: match config.wire {
            Wire::Lines => MOST_CONNECTIONS,
            Wire::Tds(_) => MOST_TDS_CONNECTIONS,
        },
    };
    let backs = Backs::new(config.wire, handle.clone(), clock, limits);
    let names = config.front.tenants.iter().cloned();
    let shares = config.front.settings.tenants.iter().map(|tenant| tenant.share);
    let tenants = names.zip(shares).collect();
    let mut told = config.front;
    told.settings.limits.max_open = Some(config.sockets / CLIENTS_PART);
    let core = Core::new(told, config.max_open, config.seed, clock.now());
    tokio::spawn(service::run(core, clock, queue, backs));
    handle.tell(Input::Engines(EngineNews::Start(config.listed.engines()))).await?;
    let told = Told { resolver: config.resolver, service: config.service, listed: config.listed };
    let (names, names_told) = watch::channel(told);
    tokio::spawn(discovery::run(names_told, handle.clone(), clock, config.seed));
    let door = Door::default();
    let mut fronts = Vec::new();
    let places = config.sockets - config.sockets.min(RESERVED) / 2;
    if let Some(address) = config.listen {
        let listener = bind(address).await?;
        let front = Http::new(handle.clone(), door.clone(), config.page_bytes);
        fronts.push(tokio::spawn(http::serve(listener, front, places)));
    }
    if let Some(told) = config.tds {
        let listener = bind(told.listen).await?;
        let front = Tds {
            handle: handle.clone(),
            door: door.clone(),
            directory: told.directory,
            tls: told.tls,
            class: told.class,
            budget: told.budget,
            seed: config.seed,
            named: AtomicU64::new(1),
        };
        fronts.push(tokio::spawn(tds::serve(listener, Arc::new(front), places / 2)));
    }
    if let Some(told) = config.admin {
        let listener = bind(told.listen).await?;
        let api = Admin { handle: handle.clone(), door: door.clone(), token: told.token, tenants };
        fronts.push(tokio::spawn(admin::serve(listener, Arc::new(api))));
    }
    door.open();
    log::info!("{} is ready", config.name);
    loop {
        tokio::select! {
            _ = terminated.recv() => break,
            _ = reloaded.recv() => reload(&mut read, &clock, &names),
        }
    }
    log::info!("SIGTERM: finishing what is open");
    door.stop();
    tokio::time::sleep(STILL_COMING).await;
    handle.tell(Input::RefuseNew).await?;
    fronts.iter().for_each(|front| front.abort());
    while handle.open().await? > 0 || door.unanswered() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(LAST_WORDS).await;
    log::info!("all is answered");
    Ok(())
}
