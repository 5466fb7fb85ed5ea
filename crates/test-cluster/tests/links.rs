//! Links pass, hold, lose and refuse what they should.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use test_cluster::engine::{reset_at_end, until, Engine};
use test_cluster::links::{Condition, Links};
use test_cluster::ports::Site;

const SOON: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_secs(10);

struct Bench {
    links: Links,
    listener: TcpListener,
    near: SocketAddr,
    _engine: Engine,
    site: Site,
}

/// `a` reaches `b`, which listens, through a link.
fn bench() -> Bench {
    let site = Site::new().unwrap();
    let engine = Engine::start(&site).unwrap();
    let links = Links::new(engine.clock(), engine.spawner(), 7);
    let (near, far) = (site.at(1, 7000), site.at(2, 7000));
    let listener = TcpListener::bind(far).unwrap();
    links.tcp("a", "b", near, far).unwrap();
    Bench { links, site, listener, near, _engine: engine }
}

impl Bench {
    fn pair(&self) -> (TcpStream, TcpStream) {
        let a = TcpStream::connect(self.near).unwrap();
        let b = self.listener.accept().unwrap().0;
        [&a, &b].iter().for_each(|s| s.set_read_timeout(Some(PATIENCE)).unwrap());
        (a, b)
    }
}

fn gets(stream: &mut TcpStream, text: &[u8]) {
    let mut got = vec![0; text.len()];
    stream.read_exact(&mut got).unwrap();
    assert_eq!(got, text);
}

fn gets_nothing(stream: &mut TcpStream) {
    stream.set_read_timeout(Some(SOON)).unwrap();
    let got = stream.read(&mut [0; 64]);
    assert!(got.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock), "{got:?}");
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
}

#[test]
fn each_direction_is_cut_alone_and_gives_what_it_held_when_healed() {
    let bench = bench();
    let (mut a, mut b) = bench.pair();
    a.write_all(b"one").unwrap();
    gets(&mut b, b"one");
    bench.links.cut("a", "b");
    a.write_all(b"two").unwrap();
    b.write_all(b"back").unwrap();
    gets(&mut a, b"back");
    gets_nothing(&mut b);
    drop(a);
    gets_nothing(&mut b);
    bench.links.heal("a", "b");
    gets(&mut b, b"two");
    assert_eq!(b.read(&mut [0; 8]).unwrap(), 0, "the end comes after what was held");
    let pauses = bench.links.pauses();
    assert_eq!(pauses.len(), 1);
    assert!(pauses[0].from == "a" && pauses[0].to == "b" && pauses[0].until > Some(pauses[0].since));
}

#[test]
fn while_cut_no_connection_comes_up_and_others_are_untouched() {
    let bench = bench();
    let other = TcpListener::bind(bench.site.at(3, 7000)).unwrap();
    bench.links.tcp("a", "c", bench.site.at(1, 7001), bench.site.at(3, 7000)).unwrap();
    let (_a, _b) = bench.pair();
    // The way back alone is enough: nobody hears that it is up.
    bench.links.cut("b", "a");
    let late = |e: &std::io::Error| e.kind() == ErrorKind::TimedOut;
    until(PATIENCE, || TcpStream::connect_timeout(&bench.near, SOON).err().filter(late)).unwrap();
    let _c = TcpStream::connect_timeout(&bench.site.at(1, 7001), PATIENCE).unwrap();
    other.accept().unwrap();
    bench.listener.set_nonblocking(true).unwrap();
    assert!(bench.listener.accept().is_err(), "nobody but the first has come");
    bench.listener.set_nonblocking(false).unwrap();
    bench.links.heal("a", "b");
    // One whose maker gave up meanwhile may come up too, and ends at once.
    let mut a = until(PATIENCE, || TcpStream::connect_timeout(&bench.near, PATIENCE).ok()).unwrap();
    a.write_all(b"up").unwrap();
    let up = until(PATIENCE, || {
        let mut b = bench.listener.accept().unwrap().0;
        b.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut got = [0; 2];
        b.read_exact(&mut got).ok().map(|()| got)
    });
    assert_eq!(&up.unwrap(), b"up");
}

#[test]
fn refused_and_reset() {
    let bench = bench();
    let (mut a, mut b) = bench.pair();
    bench.links.refuse("a", "b", true);
    let refused =
        || TcpStream::connect(bench.near).err().filter(|e| e.kind() == ErrorKind::ConnectionRefused);
    until(PATIENCE, refused).unwrap();
    a.write_all(b"still").unwrap();
    gets(&mut b, b"still");
    bench.links.reset("a", "b");
    assert_eq!(a.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(b.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    bench.links.refuse("a", "b", false);
    until(PATIENCE, || TcpStream::connect(bench.near).ok()).unwrap();
}

#[test]
fn a_target_that_is_gone_resets_and_an_end_goes_through() {
    let bench = bench();
    let (a, mut b) = bench.pair();
    a.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(b.read(&mut [0; 8]).unwrap(), 0);
    let mut a = a;
    b.write_all(b"late").unwrap();
    gets(&mut a, b"late");
    // A reset goes through too, but not where the direction is cut.
    let (c, mut d) = bench.pair();
    bench.links.cut("a", "b");
    reset_at_end(&c);
    drop(c);
    gets_nothing(&mut d);
    bench.links.heal("a", "b");
    assert_eq!(d.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    drop(bench.listener);
    let mut gone = until(PATIENCE, || TcpStream::connect_timeout(&bench.near, PATIENCE).ok()).unwrap();
    gone.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(gone.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[test]
fn delayed_and_slowed_is_never_early() {
    let bench = bench();
    let (mut a, mut b) = bench.pair();
    bench.links.set("a", "b", Condition { delay: Duration::from_millis(120), ..Condition::default() });
    let since = Instant::now();
    a.write_all(b"later").unwrap();
    gets(&mut b, b"later");
    assert!(since.elapsed() >= Duration::from_millis(120));
    bench.links.set("a", "b", Condition { rate: Some(10_000), ..Condition::default() });
    let since = Instant::now();
    a.write_all(&[7; 4000]).unwrap();
    gets(&mut b, &[7; 4000]);
    // All but the last part has been waited for.
    assert!(since.elapsed() >= Duration::from_millis(350), "{:?}", since.elapsed());
}

#[test]
fn datagrams_are_relayed_lost_by_the_seed_and_cut() {
    let lost: Vec<u64> = (0..2)
        .map(|_| {
            let site = Site::new().unwrap();
            let engine = Engine::start(&site).unwrap();
            let links = Links::new(engine.clock(), engine.spawner(), 11);
            let [a, b] = [1, 2].map(|host| UdpSocket::bind(site.at(host, 7000)).unwrap());
            let doors = [site.at(3, 7000), site.at(4, 7000)];
            let at = [&a, &b].map(|s| s.local_addr().unwrap());
            links.udp(("a", at[0], doors[0]), ("b", at[1], doors[1])).unwrap();
            [&a, &b].iter().for_each(|s| s.set_read_timeout(Some(PATIENCE)).unwrap());
            let mut bytes = [0; 64];
            a.send_to(b"there", doors[0]).unwrap();
            assert_eq!(b.recv_from(&mut bytes).unwrap(), (5, doors[1]), "it comes from where a is reached");
            b.send_to(b"back", doors[1]).unwrap();
            assert_eq!(a.recv_from(&mut bytes).unwrap(), (4, doors[0]));
            links.set("a", "b", Condition { loss: 0.5, ..Condition::default() });
            for n in 0..100 {
                a.send_to(b"maybe", doors[0]).unwrap();
                let seen = || Some(links.carried("a", "b")).filter(|c| c.1 + c.2 == n + 2);
                until(PATIENCE, seen).unwrap();
            }
            let (_, passed, lost) = links.carried("a", "b");
            assert_eq!(passed + lost, 101);
            links.cut("b", "a");
            b.send_to(b"cut", doors[1]).unwrap();
            until(PATIENCE, || Some(()).filter(|()| links.carried("b", "a").2 == 1)).unwrap();
            lost
        })
        .collect();
    assert_eq!(lost[0], lost[1], "the seed decides");
    assert!((30..70).contains(&lost[0]));
}
