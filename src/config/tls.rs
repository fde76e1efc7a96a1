//! The TLS configuration of a listener, built from the certificate and key files that its configuration keys name.

use super::error::{ConfigError, invalid};
use std::path::Path;
use std::sync::Arc;
use tokio_rustls::rustls::crypto::CryptoProvider;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::server::danger::ClientCertVerifier;
use tokio_rustls::rustls::{RootCertStore, ServerConfig, SupportedProtocolVersion};

/// The files of a listener's TLS configuration.
pub(super) struct TlsFiles<'a> {
    /// The configuration section of the listener, for error messages.
    pub section: &'static str,
    pub certificate: Option<&'a Path>,
    pub private_key: Option<&'a Path>,
    /// The certificate authority of the clients' certificates. Without it, client certificates are not requested.
    pub client_ca: Option<&'a Path>,
}

impl TlsFiles<'_> {
    /// Returns the TLS configuration, or `None` if neither certificate nor private key is set.
    pub(super) fn server_config(
        &self,
        versions: &[&'static SupportedProtocolVersion],
    ) -> Result<Option<Arc<ServerConfig>>, ConfigError> {
        let (certificate, private_key) = match (self.certificate, self.private_key) {
            (None, None) if self.client_ca.is_some() => {
                return Err(invalid(self.key("certificate"), "missing, required by client_ca"));
            }
            (None, None) => return Ok(None),
            (Some(certificate), Some(private_key)) => (certificate, private_key),
            (None, Some(_)) => {
                return Err(invalid(self.key("certificate"), "missing, required by private_key"));
            }
            (Some(_), None) => {
                return Err(invalid(self.key("private_key"), "missing, required by certificate"));
            }
        };
        let chain = self.certificates("certificate", certificate)?;
        let private_key = PrivateKeyDer::from_pem_file(private_key)
            .map_err(|error| invalid(self.key("private_key"), error))?;
        let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
        let invalid_certificate = |error| invalid(self.key("certificate"), error);
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(versions)
            .map_err(invalid_certificate)?;
        let builder = match self.client_ca {
            None => builder.with_no_client_auth(),
            Some(path) => builder.with_client_cert_verifier(self.client_verifier(path, provider)?),
        };
        let config = builder.with_single_cert(chain, private_key).map_err(invalid_certificate)?;
        Ok(Some(Arc::new(config)))
    }

    fn key(&self, name: &str) -> String {
        format!("{}.{name}", self.section)
    }

    fn certificates(&self, name: &str, path: &Path) -> Result<Vec<CertificateDer<'static>>, ConfigError> {
        let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
        certificates.map_err(|error| invalid(self.key(name), error))
    }

    fn client_verifier(
        &self,
        client_ca: &Path,
        provider: Arc<CryptoProvider>,
    ) -> Result<Arc<dyn ClientCertVerifier>, ConfigError> {
        let mut roots = RootCertStore::empty();
        for root in self.certificates("client_ca", client_ca)? {
            roots.add(root).map_err(|error| invalid(self.key("client_ca"), error))?;
        }
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider).build();
        verifier.map_err(|error| invalid(self.key("client_ca"), error))
    }
}
