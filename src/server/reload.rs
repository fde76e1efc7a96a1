//! Configuration reload while the server runs (SIGHUP).

use sanddyke::clock::Clock;
use sanddyke::config::{AdminApi, Config, RawConfig, Source};
use sanddyke::discovery::DiscoveryTarget;
use std::sync::Arc;
use tokio::sync::watch;
use tokio_rustls::rustls::ServerConfig;

/// The keys that take effect without a restart.
const RELOADABLE_KEYS: [&str; 3] = ["resolver", "service", "known"];

/// The TLS configuration of the administration API; `None` if the API is not encrypted.
pub type AdminTls = watch::Sender<Option<Arc<ServerConfig>>>;

/// Reads the configuration again and applies the keys that take effect without a restart.
#[derive(Debug)]
pub struct ConfigReloader {
    source: Source,
    clock: Clock,
    current: RawConfig,
    discovery_target: watch::Sender<DiscoveryTarget>,
    admin_tls: AdminTls,
}

impl ConfigReloader {
    /// Creates a reloader. `current` is the configuration that the server was started with.
    pub fn new(
        source: Source,
        clock: Clock,
        current: RawConfig,
        discovery_target: watch::Sender<DiscoveryTarget>,
        admin_tls: AdminTls,
    ) -> ConfigReloader {
        ConfigReloader { source, clock, current, discovery_target, admin_tls }
    }

    /// Reads and checks the whole configuration and applies its reloadable keys. An invalid configuration changes
    /// nothing.
    pub fn reload(&mut self) {
        let config = match Config::load(&self.source, &self.clock) {
            Ok(config) => config,
            Err(error) => {
                log::error!("SIGHUP: reload failed, the previous configuration stays in effect: {error}");
                return;
            }
        };
        self.log_changes(&config.raw);
        self.current = config.raw;
        self.discovery_target.send_replace(DiscoveryTarget {
            resolver: config.resolver,
            service: config.service_name,
            configured_engines: config.initial_engines,
        });
        self.reload_admin_certificate(config.admin);
        log::info!("SIGHUP: the configuration is reloaded");
    }

    /// Logs for each changed key whether it takes effect now or at the next start.
    fn log_changes(&self, raw: &RawConfig) {
        for key in raw.changed_keys(&self.current) {
            if RELOADABLE_KEYS.contains(&key.as_str()) {
                log::info!("SIGHUP: {key} has changed and takes effect now");
            } else {
                log::warn!("SIGHUP: {key} has changed and takes effect at the next start");
            }
        }
    }

    /// Applies the administration API's certificate as it was just read from its files: the files may change while
    /// their paths stay the same. A listener that was started without encryption stays without it.
    fn reload_admin_certificate(&self, admin: Option<AdminApi>) {
        let is_encrypted = self.admin_tls.borrow().is_some();
        let tls = admin.and_then(|admin| admin.tls);
        if let Some(tls) = tls.filter(|_| is_encrypted) {
            self.admin_tls.send_replace(Some(tls));
            log::info!("SIGHUP: the administration API's certificate is reloaded");
        }
    }
}
