//! A backend that serves every request after a while, and notes what came and when.
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub piece: String,
    /// The time left that the command tells.
    pub deadline: Duration,
}

/// The backend; it lives as long as the test.
#[derive(Clone, Default)]
pub struct Server {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    /// Listens at the address of the first backend.
    pub fn start(ip: &str, delay: Duration) -> Server {
        Server::listen(TcpListener::bind((ip, 6390)).unwrap(), delay)
    }

    pub fn listen(listener: TcpListener, delay: Duration) -> Server {
        let server = Server::default();
        let accepts = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serves = accepts.clone();
                std::thread::spawn(move || serves.serve(stream, delay));
            }
        });
        server
    }

    /// What has come so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream, delay: Duration) {
        let (mut seen, mut chunk) = (vec![], [0; 65536]);
        loop {
            while let Ok(Some((words, used))) = resp::command(&seen) {
                let arrival = arrival(&words);
                let answer = format!("*3\r\n$16\r\n{}\r\n$-1\r\n$-1\r\n", arrival.piece);
                seen.drain(..used);
                self.arrivals.lock().unwrap().push(arrival);
                std::thread::sleep(delay);
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut chunk) {
                Ok(count @ 1..) => seen.extend_from_slice(&chunk[..count]),
                Ok(0) | Err(_) => return,
            }
        }
    }
}

fn arrival(words: &[&[u8]]) -> Arrival {
    let list = String::from_utf8(words[3].to_vec()).unwrap();
    let told = list.split(',').find_map(|pair| pair.strip_prefix("d=")).unwrap();
    Arrival {
        at: Instant::now(),
        piece: String::from_utf8(words[1].to_vec()).unwrap(),
        deadline: Duration::from_millis(told.parse().unwrap()),
    }
}
