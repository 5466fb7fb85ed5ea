//! Discovery with one backend: a watch tells the list, and later starts of the server.
#![allow(clippy::let_underscore_must_use, reason = "a call may fail here: its peer may have gone")]
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// An empty line comes so often while nothing changes.
const HEARTBEAT: Duration = Duration::from_secs(1);

pub struct Discovery {
    ip: String,
    notify: Sender<String>,
    watched: Receiver<()>,
}

fn entry(ip: &str, generation: u32, started_at_ms: i64) -> String {
    format!(
        r#"{{"generation":{generation},"reset":{},"instances":[{{"instanceId":"box-0","hostPort":"{ip}:6390","zone":"hall-a","machineType":"m","cell":0,"lifecycle":"active","weight":1.0,"startedAtMs":{started_at_ms}}}]}}"#,
        generation == 1
    )
}

fn chunk(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

impl Discovery {
    /// Listens, with a server that has started then.
    pub fn start(ip: &str, started_at_ms: i64) -> Discovery {
        let listener = TcpListener::bind((ip, 8500)).unwrap();
        let (notify, notified) = channel::<String>();
        let (watches, watched) = channel();
        let first = entry(ip, 1, started_at_ms);
        std::thread::spawn(move || {
            // One watch after the other.
            for mut stream in listener.incoming().flatten() {
                let _ = stream.read(&mut [0; 1024]);
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut told = stream.write_all(head.as_bytes()).and_then(|()| chunk(&mut stream, &first));
                let _ = watches.send(());
                while told.is_ok() {
                    let line = notified.recv_timeout(HEARTBEAT).unwrap_or_default();
                    told = chunk(&mut stream, &line);
                }
            }
        });
        Discovery { ip: ip.into(), notify, watched }
    }

    /// Waits until the gateway has its list.
    pub fn wait_for_watch(&self) {
        self.watched.recv_timeout(Duration::from_secs(8)).unwrap();
    }

    /// Tells that the server has started again.
    pub fn notify(&mut self, started_at_ms: i64) {
        self.notify.send(entry(&self.ip, 2, started_at_ms)).unwrap();
    }
}
