//! A listener on which connections come up late: the system drops what knocks while one connection waits to be accepted,
//! and the other side knocks again after a second, three, and seven.
use rustix::net::{self, sockopt, AddressFamily, SocketType};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The listener, closed to all but the one that fills it.
pub struct Late {
    listener: TcpListener,
    filler: Option<TcpStream>,
}

impl Late {
    /// Listens, and accepts no connection.
    pub fn listen(address: SocketAddr) -> Late {
        let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        sockopt::set_socket_reuseaddr(&socket, true).unwrap();
        net::bind(&socket, &address).unwrap();
        net::listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        Late { listener, filler: Some(TcpStream::connect(address).unwrap()) }
    }

    /// Lets in who knocks from now on.
    pub fn open(mut self) -> TcpListener {
        self.filler = None;
        drop(self.listener.accept().unwrap());
        self.listener
    }
}

/// Resets a connection: what waits unsent or unread is lost.
pub fn reset(stream: TcpStream) {
    sockopt::set_socket_linger(&stream, Some(std::time::Duration::ZERO)).unwrap();
}
