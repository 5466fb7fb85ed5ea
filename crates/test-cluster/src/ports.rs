//! Addresses on loopback. Each site has 256 of its own, so that tests at the same time don't meet.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;

/// A site holds its addresses while this port of its last one is bound.
const GUARD: (u8, u16) = (255, 6999);
/// Other tests of this workspace take the lower networks.
const NETWORKS: std::ops::Range<u32> = 192 * 256..255 * 256;

/// The addresses `127.x.y.*`, held until the last copy is dropped; an engine has one, for what it carries listens there.
#[derive(Clone, Debug)]
pub struct Site {
    network: (u8, u8),
    _guard: Arc<TcpListener>,
}

impl Site {
    /// Takes addresses that no other site of any process has.
    pub fn new() -> io::Result<Site> {
        let count = NETWORKS.end - NETWORKS.start;
        let start = std::process::id().wrapping_mul(97) % count;
        for n in 0..count {
            let number = NETWORKS.start + (start + n) % count;
            let network = ((number >> 8) as u8, number as u8);
            match TcpListener::bind(address(network, GUARD.0, GUARD.1)) {
                Ok(guard) => return Ok(Site { network, _guard: Arc::new(guard) }),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no network on loopback is free"))
    }

    /// A port of one of its hosts.
    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        address(self.network, host, port)
    }
}

fn address(network: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, host)), port)
}
