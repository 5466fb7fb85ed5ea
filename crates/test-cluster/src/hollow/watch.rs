//! One call of a hollow caller, and the watch that it becomes.
use async_io::Async;
use backoff::Failure;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{BodyLength, ChunkDecoder, ResponseHead};
use std::net::{SocketAddr, TcpStream};

/// A watch that is up: its first line has come.
pub(super) struct Watch {
    stream: Async<TcpStream>,
    came: Vec<u8>,
    body: Vec<u8>,
    chunks: ChunkDecoder,
}

impl Watch {
    /// Asks for all changes after a generation, until the first line is here; gives the generation that is held then.
    pub(super) async fn call(discovery: SocketAddr, from: i64) -> Result<(Watch, i64), Failure> {
        let stream = Async::<TcpStream>::connect(discovery).await.map_err(|_| Failure::Down)?;
        let _ = stream.get_ref().set_nodelay(true);
        let mut watch = Watch { stream, came: vec![], body: vec![], chunks: ChunkDecoder::default() };
        let ask = format!("GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        watch.stream.write_all(ask.as_bytes()).await.map_err(|_| Failure::Overloaded)?;
        while !watch.head()? {
            watch.more().await.ok_or(Failure::Overloaded)?;
        }
        let line = watch.line().await.ok_or(Failure::Overloaded)?;
        let generation = generation(&line, from).ok_or(Failure::Overloaded)?;
        Ok((watch, generation))
    }

    /// The next line; none where the watch has ended.
    pub(super) async fn next(&mut self, held: i64) -> Option<i64> {
        generation(&self.line().await?, held)
    }

    fn head(&mut self) -> Result<bool, Failure> {
        match http::response_head(&self.came) {
            Ok(None) => Ok(false),
            Ok(Some(ResponseHead { status: 200, body: BodyLength::Chunked, length: used })) => {
                self.came.drain(..used);
                Ok(true)
            }
            _ => Err(Failure::Overloaded),
        }
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.body.iter().position(|b| *b == b'\n') {
                let line = self.body.drain(..=end).collect();
                return String::from_utf8(line).ok();
            }
            let used = self.chunks.read(&self.came, &mut self.body).ok()?;
            self.came.drain(..used);
            if used == 0 {
                self.more().await?;
            }
        }
    }

    async fn more(&mut self) -> Option<()> {
        let mut bytes = [0; 2048];
        let count = self.stream.read(&mut bytes).await.ok().filter(|count| *count > 0)?;
        self.came.extend_from_slice(&bytes[..count]);
        Some(())
    }
}

/// The generation after a line: an empty one changes nothing. None where it is no line of a watch.
fn generation(line: &str, held: i64) -> Option<i64> {
    match line.trim() {
        "" => Some(held),
        line => serde_json::from_str::<serde_json::Value>(line).ok()?["generation"].as_i64(),
    }
}
