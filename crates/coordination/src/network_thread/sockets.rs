//! The sockets of the network thread.
use crate::error::StartError;
use async_io::Async;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// The sockets, bound before any thread is started, so that an error prevents the start.
pub(crate) struct Sockets {
    pub(crate) udp: Async<UdpSocket>,
    pub(crate) tcp: Async<TcpListener>,
}

impl Sockets {
    /// Binds both sockets to one address.
    pub(crate) fn bind(address: SocketAddr) -> Result<Sockets, StartError> {
        let error = |source| StartError::Listen { address, source };
        let udp = Async::<UdpSocket>::bind(address).map_err(error)?;
        let tcp = Async::<TcpListener>::bind(address).map_err(error)?;
        Ok(Sockets { udp, tcp })
    }
}
