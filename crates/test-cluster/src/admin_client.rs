//! HTTP requests to a gateway's admin address, and a check that a gateway answers `PING`.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of connecting and of each read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the size of a response body.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Sends one HTTP request and returns the status and the body of the response.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    let invalid_data = |what: &str| io::Error::new(io::ErrorKind::InvalidData, what.to_string());
    let mut stream = TcpStream::connect_timeout(&at, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all((head + body).as_bytes())?;
    let mut bytes = Vec::new();
    let http::ResponseHead { status, body: body_length, length: used } = loop {
        if let Some(head) = http::response_head(&bytes).map_err(|e| invalid_data(&e.to_string()))? {
            break head;
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let remaining = bytes.split_off(used);
    let mut body = remaining;
    match body_length {
        http::BodyLength::Known(length) => {
            let more = length.min(MAX_BODY_BYTES).saturating_sub(body.len() as u64);
            if stream.take(more).read_to_end(&mut body)? as u64 != more {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body_length => {
            stream.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
            if body_length == http::BodyLength::Chunked {
                let raw = std::mem::take(&mut body);
                http::ChunkDecoder::default()
                    .read(&raw, &mut body)
                    .map_err(|e| invalid_data(&e.to_string()))?;
            }
        }
    }
    String::from_utf8(body).map(|text| (status, text)).map_err(|_| invalid_data("the body is not text"))
}

/// Whether something answers a RESP `PING` at this address.
pub fn answers_ping(at: SocketAddr) -> bool {
    let ping = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut answer = [0; 7];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"+PONG\r\n")
    };
    ping().unwrap_or(false)
}
