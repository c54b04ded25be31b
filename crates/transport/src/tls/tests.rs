//! Tests of certificate reloading.

use std::sync::atomic::{AtomicU64, Ordering};

use rustls::{ClientConfig, RootCertStore, pki_types::ServerName};
use tokio::net::TcpListener;
use tokio_rustls::TlsConnector;

use super::*;

struct Issued {
    chain_pem: String,
    key_pem: String,
    der: CertificateDer<'static>,
}

fn issue() -> Issued {
    let issued = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    Issued {
        chain_pem: issued.cert.pem(),
        key_pem: issued.signing_key.serialize_pem(),
        der: issued.cert.der().clone(),
    }
}

fn new_files() -> TlsFiles {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = |kind| format!("citrongw-tls-{}-{count}-{kind}.pem", std::process::id());
    let dir = std::env::temp_dir();
    TlsFiles { certificates: dir.join(name("chain")), key: dir.join(name("key")) }
}

fn write_files(files: &TlsFiles, issued: &Issued) {
    std::fs::write(&files.certificates, &issued.chain_pem).unwrap();
    std::fs::write(&files.key, &issued.key_pem).unwrap();
}

/// Certificate that the server presents to a new connection that trusts `root`,
/// or `None` if the handshake fails.
async fn presented_certificate(cell: &TlsCell, root: &Issued) -> Option<CertificateDer<'static>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(root.der.clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let name = ServerName::try_from("localhost").unwrap();
    let connector = TlsConnector::from(Arc::new(config));
    let (client, _server) = tokio::join!(connector.connect(name, stream), cell.accept(accepted));
    let (_, session) = client.as_ref().ok()?.get_ref();
    session.peer_certificates().map(|it| it[0].clone())
}

#[tokio::test]
async fn new_connections_use_a_changed_certificate_unless_it_is_invalid() {
    let files = new_files();
    let (old, new) = (issue(), issue());
    write_files(&files, &old);
    let cell = open(files.clone()).unwrap();
    assert_eq!(presented_certificate(&cell, &old).await, Some(old.der.clone()));

    std::fs::write(&files.key, "no key").unwrap();
    assert!(cell.reload().is_err());
    assert_eq!(presented_certificate(&cell, &old).await, Some(old.der.clone()));

    write_files(&files, &new);
    cell.reload().unwrap();
    assert_eq!(presented_certificate(&cell, &old).await, None);
    assert_eq!(presented_certificate(&cell, &new).await, Some(new.der.clone()));
    std::fs::remove_file(files.certificates).unwrap();
    std::fs::remove_file(files.key).unwrap();
}

#[test]
fn missing_file_is_named() {
    let error = open(new_files()).err().unwrap();
    assert!(error.to_string().contains("chain.pem"), "{error}");
}
