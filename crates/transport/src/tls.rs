//! TLS of a listening port, with certificates that are reloaded when their files
//! change.

use std::{
    io,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use rustls::{
    ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
};
use tokio::{net::TcpStream, task::JoinHandle};
use tokio_rustls::{TlsAcceptor, server::TlsStream};

/// Paths of the certificate files of a port.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate chain, PEM.
    pub certificates: PathBuf,
    /// Private key, PEM.
    pub key: PathBuf,
}

/// Current certificate, shared by the connections of a port.
#[derive(derive_more::Debug)]
pub struct TlsCell {
    files: TlsFiles,
    #[debug(skip)]
    current: ArcSwap<Loaded>,
}

struct Loaded {
    digest: blake3::Hash,
    acceptor: TlsAcceptor,
}

/// Loads the certificate from the files.
pub fn open(files: TlsFiles) -> io::Result<TlsCell> {
    let current = ArcSwap::from_pointee(load(&files)?);
    Ok(TlsCell { files, current })
}

/// Spawns a task that reloads the files at each interval. If they are invalid,
/// the current certificate stays in use.
pub fn spawn(cell: Arc<TlsCell>, interval: Duration) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(interval).await;
            let task_cell = Arc::clone(&cell);
            let res = tokio::task::spawn_blocking(move || task_cell.reload()).await;
            if let Ok(Err(error)) = res {
                tracing::warn!(%error, "could not reload certificates; keeping the current ones");
            }
        }
    })
}

impl TlsCell {
    /// Reloads the files; a changed certificate is used for new connections.
    pub fn reload(&self) -> io::Result<()> {
        let loaded = load(&self.files)?;
        if loaded.digest != self.current.load().digest {
            self.current.store(Arc::new(loaded));
        }
        Ok(())
    }

    pub(crate) async fn accept(&self, stream: TcpStream) -> io::Result<TlsStream<TcpStream>> {
        let acceptor = self.current.load().acceptor.clone();
        acceptor.accept(stream).await
    }
}

fn load(files: &TlsFiles) -> io::Result<Loaded> {
    let chain_pem = read(&files.certificates)?;
    let key_pem = read(&files.key)?;
    let mut hasher = blake3::Hasher::new();
    hasher.update(&chain_pem).update(&key_pem);
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(&chain_pem)
        .collect::<Result<_, _>>()
        .map_err(|error| invalid(&files.certificates, &error))?;
    let key =
        PrivateKeyDer::from_pem_slice(&key_pem).map_err(|error| invalid(&files.key, &error))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .and_then(|it| it.with_no_client_auth().with_single_cert(chain, key))
        .map_err(|error| invalid(&files.certificates, &error))?;
    Ok(Loaded { digest: hasher.finalize(), acceptor: TlsAcceptor::from(Arc::new(config)) })
}

fn read(path: &Path) -> io::Result<Vec<u8>> {
    std::fs::read(path)
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))
}

fn invalid(path: &Path, cause: &dyn std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("{}: {cause}", path.display()))
}

#[cfg(test)]
mod tests;
