//! Loopback addresses. Each network has 256 of its own, so that tests that run at the same time do not
//! collide.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;

/// A network is reserved while this port on its last address is bound.
const GUARD_ADDRESS: (u8, u16) = (255, 6999);
/// Other tests of this workspace use the lower networks.
const NETWORK_NUMBERS: std::ops::Range<u32> = 192 * 256..255 * 256;

/// The addresses `127.x.y.*`, reserved until the last clone is dropped. The runtime holds a clone, since its
/// tasks listen there.
#[derive(Clone, Debug)]
pub struct LoopbackNetwork {
    network: (u8, u8),
    _guard: Arc<TcpListener>,
}

impl LoopbackNetwork {
    /// Reserves a network that no other process uses.
    pub fn new() -> io::Result<LoopbackNetwork> {
        let count = NETWORK_NUMBERS.end - NETWORK_NUMBERS.start;
        let start = std::process::id().wrapping_mul(97) % count;
        for n in 0..count {
            let number = NETWORK_NUMBERS.start + (start + n) % count;
            let network = ((number >> 8) as u8, number as u8);
            match TcpListener::bind(address(network, GUARD_ADDRESS.0, GUARD_ADDRESS.1)) {
                Ok(guard) => return Ok(LoopbackNetwork { network, _guard: Arc::new(guard) }),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "no free loopback network"))
    }

    /// A port on one address of the network.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        address(self.network, host, port)
    }
}

fn address(network: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, host)), port)
}
