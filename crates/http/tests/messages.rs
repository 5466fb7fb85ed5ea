//! Parsing of complete, incomplete and invalid heads, bodies and chunks.
#![allow(clippy::unwrap_used)]
use http::{
    request_body, request_head, response_head, BodyLength, ChunkDecoder, ResponseHead, MAX_BODY_BYTES,
};

#[test]
fn decodes_chunked_response_byte_by_byte() {
    let head = b"HTTP/1.1 200 OK\r\nServer: x\r\ntransfer-encoding: Chunked\r\nContent-Length: 9\r\n\r\n";
    for part in 0..head.len() {
        assert_eq!(response_head(&head[..part]), Ok(None));
    }
    assert_eq!(
        response_head(head),
        Ok(Some(ResponseHead { status: 200, body: BodyLength::Chunked, length: head.len() }))
    );
    let body = b"5;x=y\r\nhello\r\n1\r\n\n\r\n0\r\n\r\n";
    let (mut decoder, mut decoded, mut unread) = (ChunkDecoder::default(), vec![], vec![]);
    for byte in body {
        unread.push(*byte);
        let consumed = decoder.read(&unread, &mut decoded).unwrap();
        unread.drain(..consumed);
    }
    assert_eq!((decoded.as_slice(), decoder), (&b"hello\n"[..], ChunkDecoder::Done));
}

#[test]
fn rejects_invalid_heads_and_chunks() {
    assert!(response_head(b"SMTP 220\r\n\r\n").is_err());
    assert!(response_head(b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n").is_err());
    assert!(response_head(&[b'x'; 9000]).is_err(), "a head without end is not buffered");
    assert!(request_head(b"GET /\r\n\r\n").is_err());
    assert!(ChunkDecoder::Size.read(b"zz\r\n", &mut vec![]).is_err());
    assert!(ChunkDecoder::Size.read(&[b'1'; 300], &mut vec![]).is_err());
    assert!(ChunkDecoder::LineEnd.read(b"xx", &mut vec![]).is_err());
    assert_eq!(
        ChunkDecoder::Size.read(b"ffffffffffffffff\r\nx", &mut vec![]),
        Ok(19),
        "a huge chunk is not buffered"
    );
}

#[test]
fn request_body_has_the_declared_length() {
    let whole = b"POST /x HTTP/1.1\r\nHost: x\r\ncontent-length: 4\r\n\r\n{\"\"}and more";
    let body = whole.len() - 12;
    for part in 0..body + 4 {
        assert_eq!(request_body(&whole[..part]), Ok(None));
    }
    assert_eq!(request_body(whole), Ok(Some(&b"{\"\"}"[..])));
    assert_eq!(request_body(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Ok(Some(&b""[..])));
    for line in [
        "Transfer-Encoding: chunked",
        "Content-Length: -1",
        "no header",
        &format!("Content-Length: {}", MAX_BODY_BYTES + 1),
    ] {
        assert!(request_body(format!("POST / HTTP/1.1\r\n{line}\r\n\r\n").as_bytes()).is_err(), "{line}");
    }
}
