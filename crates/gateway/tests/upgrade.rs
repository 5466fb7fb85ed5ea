//! A second process of a gateway starts beside the first and takes over: no client is rejected, and what operators have
//! banned holds for both.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#![allow(clippy::match_bool, clippy::too_many_lines, reason = "not split yet")]
mod common;
use common::{address, call, config, spawn_in, Program};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(8);

fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn pinged(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 7];
    let asked = stream.write_all(b"*1\r\n$4\r\nPING\r\n").and_then(|()| stream.read_exact(&mut answer));
    asked.is_ok() && &answer == b"+PONG\r\n"
}

fn ping(stream: &mut TcpStream) {
    assert!(pinged(stream));
}

#[test]
fn second_process_takes_over_without_rejections() {
    let ip = address();
    let folder = std::env::temp_dir().join(format!("lichenrudder-{ip}"));
    std::fs::create_dir_all(&folder).unwrap();
    // What an earlier process left that was killed.
    let stale = format!("lichenrudder-n0_{}_6379.00000000000000000001.live", ip.replace('.', "_"));
    std::fs::write(folder.join(&stale), "9\n").unwrap();
    let disk = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let all = config(&ip);
    let begin = all.find("[agent]").unwrap();
    let text = format!("{}{}", &all[..begin], &all[all.find("[known]").unwrap()..])
        .replace("speaks = \"iscsi\"", "");
    let start = |port: u16| -> Program {
        spawn_in(&text.replace(":6382", &format!(":{port}")), &ip, Stdio::null(), Some(&folder))
    };
    let mut old = start(6382);
    let mut usual = old.connect(6379);
    ping(&mut usual);
    assert!(!folder.join(&stale).exists(), "it is taken for a process");
    // One request is out while the other process comes, and is answered by the one that took it.
    let list = "c=stock-read,t=premium,d=1200,volume=00000003b4d60021,units=1,shard=0,hosts=1";
    let mut ask = vec![];
    resp::write_command(&mut ask, &[b"PREAD", b"7f3a9c21e0b4d655", b"01", list.as_bytes()]);
    let mut asking = old.connect(6379);
    asking.write_all(&ask).unwrap();
    let (mut served, _) = disk.accept().unwrap();
    served.read_exact(&mut [0; 8]).unwrap();
    assert_eq!(call(&ip, 6382, "POST /v1/chunk-servers/box-1/suspend"), 200);
    let mut new = start(6383);
    wait_for("the new one is not ready", || call(&ip, 6383, "GET /v1/readyz") == 200);
    assert_eq!(new.child.try_wait().unwrap(), None);
    let banned = |port: u16| {
        let mut stream = TcpStream::connect((ip.as_str(), port)).unwrap();
        stream.write_all(b"GET /v1/metrics HTTP/1.1\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text.lines().find_map(|l| l.strip_prefix("app.out_of_rotation=")).unwrap().to_string()
    };
    assert_eq!(banned(6383), "1", "the ban holds for the one that follows");
    assert_eq!(call(&ip, 6383, "POST /v1/chunk-servers/box-0/suspend"), 200);
    wait_for("the ban does not hold for both", || banned(6382) == "2");
    assert_eq!(call(&ip, 6383, "POST /v1/chunk-servers/box-0/resume"), 200);
    assert_eq!(call(&ip, 6383, "POST /v1/chunk-servers/box-1/resume"), 200);
    // Any client that connects while the old one goes is served.
    old.signal("TERM");
    served.write_all(b"*3\r\n$1\r\nA\r\n$-1\r\n$-1\r\n").unwrap();
    let end = Instant::now() + TIMEOUT;
    let (mut connected, mut reset) = (0, 0);
    while old.child.try_wait().unwrap().is_none() {
        assert!(Instant::now() < end, "the old one does not end");
        // One may come just between the last look at those that wait and the closing.
        match pinged(&mut new.connect(6379)) {
            true => connected += 1,
            false => reset += 1,
        }
    }
    assert!(reset <= 1, "{reset} of {connected}");
    assert!(connected > 10, "{connected}");
    assert_eq!(old.exit(), 0);
    let mut answer = [0; 7];
    asking.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"$1\r\nA\r\n");
    assert_eq!(usual.read(&mut [0; 8]).unwrap(), 0, "an idle connection is closed once another serves");
    ping(&mut new.connect(6379));
    drop(new);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn without_a_folder_of_its_own_a_second_process_does_not_start() {
    let ip = address();
    let first = Program::start(&config(&ip), &ip);
    ping(&mut first.connect(6379));
    let mut second = Program::start(&config(&ip).replace(":6382", ":6383"), &ip);
    assert_eq!(second.exit(), 1);
}

#[test]
fn hanging_disk_delays_no_client() {
    let ip = address();
    let folder = std::env::temp_dir().join(format!("lichenrudder-{ip}"));
    std::fs::create_dir_all(&folder).unwrap();
    let mut program = spawn_in(&config(&ip), &ip, Stdio::null(), Some(&folder));
    let mut client = program.connect(6379);
    ping(&mut client);
    // Whoever opens a pipe without a writer waits for ever.
    let pipe =
        folder.join(format!("lichenrudder-n0_{}_6379.00000000000000000002.live", ip.replace('.', "_")));
    assert!(std::process::Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    std::thread::sleep(Duration::from_millis(300));
    ping(&mut client);
    assert_eq!(call(&ip, 6382, "POST /v1/chunk-servers/box-0/suspend"), 200);
    program.signal("TERM");
    assert_eq!(program.exit(), 0);
    std::fs::remove_dir_all(&folder).unwrap();
}
