//! Links pass, hold back, lose and refuse data.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use test_cluster::links::{Condition, Links};
use test_cluster::loopback::LoopbackNetwork;
use test_cluster::runtime::{poll_until, reset_on_close, Runtime};

const SHORT_TIMEOUT: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    links: Links,
    listener: TcpListener,
    near: SocketAddr,
    _runtime: Runtime,
    network: LoopbackNetwork,
}

/// `a` reaches `b`, which listens, through a link.
fn fixture() -> Fixture {
    let network = LoopbackNetwork::new().unwrap();
    let runtime = Runtime::start(&network).unwrap();
    let links = Links::new(runtime.clock(), runtime.spawner(), 7);
    let (near, far) = (network.address(1, 7000), network.address(2, 7000));
    let listener = TcpListener::bind(far).unwrap();
    links.tcp("a", "b", near, far).unwrap();
    Fixture { links, network, listener, near, _runtime: runtime }
}

impl Fixture {
    fn connect(&self) -> (TcpStream, TcpStream) {
        let a = TcpStream::connect(self.near).unwrap();
        let b = self.listener.accept().unwrap().0;
        [&a, &b].iter().for_each(|s| s.set_read_timeout(Some(TIMEOUT)).unwrap());
        (a, b)
    }
}

fn expect_bytes(stream: &mut TcpStream, text: &[u8]) {
    let mut got = vec![0; text.len()];
    stream.read_exact(&mut got).unwrap();
    assert_eq!(got, text);
}

fn expect_nothing(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(SHORT_TIMEOUT)).unwrap();
    let got = stream.read(&mut [0; 64]);
    assert!(got.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock), "{got:?}");
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
}

#[test]
fn cuts_each_direction_separately_and_delivers_held_data_on_heal() {
    let fixture = fixture();
    let (mut a, mut b) = fixture.connect();
    a.write_all(b"one").unwrap();
    expect_bytes(&mut b, b"one");
    fixture.links.cut("a", "b");
    a.write_all(b"two").unwrap();
    b.write_all(b"back").unwrap();
    expect_bytes(&mut a, b"back");
    expect_nothing(&mut b);
    drop(a);
    expect_nothing(&mut b);
    fixture.links.heal("a", "b");
    expect_bytes(&mut b, b"two");
    assert_eq!(b.read(&mut [0; 8]).unwrap(), 0, "the end of the stream follows the data that was held back");
    let impairments = fixture.links.impairments();
    assert_eq!(impairments.len(), 1);
    assert!(
        impairments[0].from == "a"
            && impairments[0].to == "b"
            && impairments[0].until > Some(impairments[0].since)
    );
}

#[test]
fn cut_link_establishes_no_connection_and_leaves_other_links_alone() {
    let fixture = fixture();
    let other = TcpListener::bind(fixture.network.address(3, 7000)).unwrap();
    fixture.links.tcp("a", "c", fixture.network.address(1, 7001), fixture.network.address(3, 7000)).unwrap();
    let (_a, _b) = fixture.connect();
    // Cutting the return direction is enough: the client does not learn that the connection was established.
    fixture.links.cut("b", "a");
    let is_timeout = |e: &std::io::Error| e.kind() == ErrorKind::TimedOut;
    poll_until(TIMEOUT, || TcpStream::connect_timeout(&fixture.near, SHORT_TIMEOUT).err().filter(is_timeout))
        .unwrap();
    let _c = TcpStream::connect_timeout(&fixture.network.address(1, 7001), TIMEOUT).unwrap();
    other.accept().unwrap();
    fixture.listener.set_nonblocking(true).unwrap();
    assert!(fixture.listener.accept().is_err(), "only the first connection was forwarded");
    fixture.listener.set_nonblocking(false).unwrap();
    fixture.links.heal("a", "b");
    // A connection whose client gave up meanwhile may come first, and is reset.
    let mut a = poll_until(TIMEOUT, || TcpStream::connect_timeout(&fixture.near, TIMEOUT).ok()).unwrap();
    a.write_all(b"up").unwrap();
    let up = poll_until(TIMEOUT, || {
        let mut b = fixture.listener.accept().unwrap().0;
        b.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut got = [0; 2];
        b.read_exact(&mut got).ok().map(|()| got)
    });
    assert_eq!(&up.unwrap(), b"up");
}

#[test]
fn refuses_new_and_resets_established_connections() {
    let fixture = fixture();
    let (mut a, mut b) = fixture.connect();
    fixture.links.set_refused("a", "b", true);
    let refused =
        || TcpStream::connect(fixture.near).err().filter(|e| e.kind() == ErrorKind::ConnectionRefused);
    poll_until(TIMEOUT, refused).unwrap();
    a.write_all(b"still").unwrap();
    expect_bytes(&mut b, b"still");
    fixture.links.reset("a", "b");
    assert_eq!(a.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(b.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    fixture.links.set_refused("a", "b", false);
    poll_until(TIMEOUT, || TcpStream::connect(fixture.near).ok()).unwrap();
}

#[test]
fn forwards_end_of_stream_and_resets() {
    let fixture = fixture();
    let (a, mut b) = fixture.connect();
    a.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(b.read(&mut [0; 8]).unwrap(), 0);
    let mut a = a;
    b.write_all(b"late").unwrap();
    expect_bytes(&mut a, b"late");
    // A reset passes through, too, but not while the direction is cut.
    let (c, mut d) = fixture.connect();
    fixture.links.cut("a", "b");
    reset_on_close(&c);
    drop(c);
    expect_nothing(&mut d);
    fixture.links.heal("a", "b");
    assert_eq!(d.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    drop(fixture.listener);
    let mut gone = poll_until(TIMEOUT, || TcpStream::connect_timeout(&fixture.near, TIMEOUT).ok()).unwrap();
    gone.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(gone.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[test]
fn delay_and_rate_limit_are_lower_bounds() {
    let fixture = fixture();
    let (mut a, mut b) = fixture.connect();
    fixture.links.set_condition(
        "a",
        "b",
        Condition { delay: Duration::from_millis(120), ..Condition::default() },
    );
    let since = Instant::now();
    a.write_all(b"later").unwrap();
    expect_bytes(&mut b, b"later");
    assert!(since.elapsed() >= Duration::from_millis(120));
    fixture.links.set_condition("a", "b", Condition { max_bytes_s: Some(10_000), ..Condition::default() });
    let since = Instant::now();
    a.write_all(&[7; 4000]).unwrap();
    expect_bytes(&mut b, &[7; 4000]);
    // Each part but the last one was delayed.
    assert!(since.elapsed() >= Duration::from_millis(350), "{:?}", since.elapsed());
}

#[test]
fn datagrams_are_forwarded_and_lost_as_seed_determines() {
    let lost: Vec<u64> = (0..2)
        .map(|_| {
            let network = LoopbackNetwork::new().unwrap();
            let runtime = Runtime::start(&network).unwrap();
            let links = Links::new(runtime.clock(), runtime.spawner(), 11);
            let [a, b] = [1, 2].map(|host| UdpSocket::bind(network.address(host, 7000)).unwrap());
            let link_addresses = [network.address(3, 7000), network.address(4, 7000)];
            let at = [&a, &b].map(|s| s.local_addr().unwrap());
            links.udp(("a", at[0], link_addresses[0]), ("b", at[1], link_addresses[1])).unwrap();
            [&a, &b].iter().for_each(|s| s.set_read_timeout(Some(TIMEOUT)).unwrap());
            let mut bytes = [0; 64];
            a.send_to(b"there", link_addresses[0]).unwrap();
            assert_eq!(
                b.recv_from(&mut bytes).unwrap(),
                (5, link_addresses[1]),
                "comes from the address on which a is reached"
            );
            b.send_to(b"back", link_addresses[1]).unwrap();
            assert_eq!(a.recv_from(&mut bytes).unwrap(), (4, link_addresses[0]));
            links.set_condition("a", "b", Condition { loss_share: 0.5, ..Condition::default() });
            for n in 0..100 {
                a.send_to(b"maybe", link_addresses[0]).unwrap();
                let seen = || Some(links.traffic("a", "b")).filter(|c| c.1 + c.2 == n + 2);
                poll_until(TIMEOUT, seen).unwrap();
            }
            let (_, passed, lost) = links.traffic("a", "b");
            assert_eq!(passed + lost, 101);
            links.cut("b", "a");
            b.send_to(b"cut", link_addresses[1]).unwrap();
            poll_until(TIMEOUT, || Some(()).filter(|()| links.traffic("b", "a").2 == 1)).unwrap();
            lost
        })
        .collect();
    assert_eq!(lost[0], lost[1], "the seed determines the losses");
    assert!((30..70).contains(&lost[0]));
}
