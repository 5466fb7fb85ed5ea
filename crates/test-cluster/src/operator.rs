//! Calls at an operators' address, and whether a front answers.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a call may take.
const PATIENCE: Duration = Duration::from_secs(5);
/// The longest answer.
const LONGEST: u64 = 8 * 1024 * 1024;

/// Calls, and gives the status and the body.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let faulty = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes())?;
    let mut bytes = Vec::new();
    let http::ResponseHead { status, body: form, length: used } = loop {
        if let Some(head) = http::response_head(&bytes).map_err(|e| faulty(&e.to_string()))? {
            break head;
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let rest = bytes.split_off(used);
    let mut body = rest;
    match form {
        http::BodyLength::Known(length) => {
            let more = length.min(LONGEST).saturating_sub(body.len() as u64);
            if stream.take(more).read_to_end(&mut body)? as u64 != more {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        form => {
            stream.take(LONGEST).read_to_end(&mut body)?;
            if form == http::BodyLength::Chunked {
                let raw = std::mem::take(&mut body);
                http::ChunkDecoder::default().read(&raw, &mut body).map_err(|e| faulty(&e.to_string()))?;
            }
        }
    }
    String::from_utf8(body).map(|text| (status, text)).map_err(|_| faulty("the body is not text"))
}

/// Whether somebody answers `PING` there.
pub fn pings(at: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"+PONG\r\n")
    };
    ask().unwrap_or(false)
}
