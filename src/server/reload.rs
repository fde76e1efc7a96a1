//! Reload of the configuration while the server runs (SIGHUP).

use sanddyke::clock::Clock;
use sanddyke::config::{AdminApi, Config, RawConfig, Source};
use sanddyke::discovery::DiscoveryTarget;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_rustls::rustls::ServerConfig;

/// The keys that take effect without a restart.
const RELOADABLE_KEYS: [&str; 3] = ["resolver", "service", "known"];

/// The TLS configuration of the administration API; none where the API is not encrypted.
pub type AdminTls = watch::Sender<Option<Arc<ServerConfig>>>;

/// Reads the configuration again and passes on what has changed.
#[derive(Debug)]
pub struct ConfigReloader {
    source: Source,
    clock: Clock,
    current: RawConfig,
    discovery_target: watch::Sender<DiscoveryTarget>,
    admin_tls: AdminTls,
}

impl ConfigReloader {
    /// A reloader of the configuration that the server was started with.
    pub fn new(
        source: Source,
        clock: Clock,
        current: RawConfig,
        discovery_target: watch::Sender<DiscoveryTarget>,
        admin_tls: AdminTls,
    ) -> ConfigReloader {
        ConfigReloader { source, clock, current, discovery_target, admin_tls }
    }

    /// Reads the configuration completely and applies its reloadable keys. One that can't be used changes nothing.
    pub fn reload(&mut self) {
        let config = match Config::from(&self.source, &self.clock) {
            Ok(config) => config,
            Err(error) => {
                log::error!("SIGHUP: the configuration is not changed: {error}");
                return;
            }
        };
        self.log_changes(&config.read);
        self.current = config.read;
        self.discovery_target.send_replace(DiscoveryTarget {
            resolver: config.resolver,
            service: config.service,
            configured_engines: config.listed,
        });
        self.renew_admin_certificate(config.admin);
        log::info!("SIGHUP: the configuration is reloaded");
    }

    /// Says of each changed key whether it takes effect now or at the next start.
    fn log_changes(&self, read: &RawConfig) {
        for key in read.changed(&self.current) {
            if RELOADABLE_KEYS.contains(&key.as_str()) {
                log::info!("SIGHUP: {key} has changed");
            } else {
                log::warn!("SIGHUP: {key} has changed, which takes effect at the next start only");
            }
        }
    }

    /// Takes the administration API's certificate from its files again: those may have changed where the keys have
    /// not. A listener that was started without encryption stays so.
    fn renew_admin_certificate(&self, admin: Option<AdminApi>) {
        let encrypted = self.admin_tls.borrow().is_some();
        let tls = admin.and_then(|admin| admin.tls);
        if let Some(tls) = tls.filter(|_| encrypted) {
            self.admin_tls.send_replace(Some(tls));
            log::info!("SIGHUP: the administration API's certificate is reloaded");
        }
    }
}
