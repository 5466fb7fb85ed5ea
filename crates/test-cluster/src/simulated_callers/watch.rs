//! One call of a simulated caller, and the watch that results from it.
use async_io::Async;
use backoff::Failure;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{BodyLength, ChunkDecoder, ResponseHead};
use std::net::{SocketAddr, TcpStream};

/// An open watch, whose first line has been received.
pub(super) struct Watch {
    stream: Async<TcpStream>,
    received: Vec<u8>,
    body: Vec<u8>,
    chunks: ChunkDecoder,
}

impl Watch {
    /// Requests all changes after a generation and waits for the first line; returns the generation that is
    /// known then.
    pub(super) async fn open(discovery: SocketAddr, from: i64) -> Result<(Watch, i64), Failure> {
        let stream = Async::<TcpStream>::connect(discovery).await.map_err(|_| Failure::Down)?;
        let _ = stream.get_ref().set_nodelay(true);
        let mut watch = Watch { stream, received: vec![], body: vec![], chunks: ChunkDecoder::default() };
        let request = format!("GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        watch.stream.write_all(request.as_bytes()).await.map_err(|_| Failure::Overloaded)?;
        while !watch.read_head()? {
            watch.read_more().await.ok_or(Failure::Overloaded)?;
        }
        let line = watch.next_line().await.ok_or(Failure::Overloaded)?;
        let generation = generation(&line, from).ok_or(Failure::Overloaded)?;
        Ok((watch, generation))
    }

    /// The generation after the next line; none if the watch has ended.
    pub(super) async fn next_generation(&mut self, known: i64) -> Option<i64> {
        generation(&self.next_line().await?, known)
    }

    fn read_head(&mut self) -> Result<bool, Failure> {
        match http::response_head(&self.received) {
            Ok(None) => Ok(false),
            Ok(Some(ResponseHead { status: 200, body: BodyLength::Chunked, length: used })) => {
                self.received.drain(..used);
                Ok(true)
            }
            _ => Err(Failure::Overloaded),
        }
    }

    async fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.body.iter().position(|b| *b == b'\n') {
                let line = self.body.drain(..=end).collect();
                return String::from_utf8(line).ok();
            }
            let used = self.chunks.read(&self.received, &mut self.body).ok()?;
            self.received.drain(..used);
            if used == 0 {
                self.read_more().await?;
            }
        }
    }

    async fn read_more(&mut self) -> Option<()> {
        let mut bytes = [0; 2048];
        let count = self.stream.read(&mut bytes).await.ok().filter(|count| *count > 0)?;
        self.received.extend_from_slice(&bytes[..count]);
        Some(())
    }
}

/// The generation after a line; an empty line does not change it. None if the line is invalid.
fn generation(line: &str, known: i64) -> Option<i64> {
    match line.trim() {
        "" => Some(known),
        line => serde_json::from_str::<serde_json::Value>(line).ok()?["generation"].as_i64(),
    }
}
