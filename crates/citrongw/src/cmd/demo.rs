//! `citrongw demo`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::{
    cmd::{args, run},
    demo,
    error::Result,
    log,
};

/// Loopback address.
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Default address for callers.
const DEFAULT_LISTEN: SocketAddr = SocketAddr::new(LOCALHOST, 8080);
/// Default address for operators.
const DEFAULT_ADMIN: SocketAddr = SocketAddr::new(LOCALHOST, 8082);

/// Runs the demo until a stop is requested.
pub(super) async fn run(args: &args::Demo) -> Result<()> {
    log::open("info");
    let admin_addr = args.admin.unwrap_or(DEFAULT_ADMIN);
    let demo = demo::spawn(args.listen.unwrap_or(DEFAULT_LISTEN), admin_addr).await?;
    let addr = demo.node.caller_addr();
    println!("citrongw is serving on http://{addr}; try:");
    println!("{}", demo::curl_line(addr));
    let admin_addr = demo.node.admin_addr();
    println!("citrongwctl --node {admin_addr} --token {} status", demo::DEMO_TOKEN);
    run::wait_for_stop(demo.node.shared()).await?;
    demo.node.stop().await;
    Ok(())
}
