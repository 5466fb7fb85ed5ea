//! Parsing of complete, incomplete and invalid messages.
#![allow(clippy::unwrap_used)]
use resp::{command, reply, ParseError, Reply};

#[test]
fn parses_command_only_once_complete() {
    let mut bytes = vec![];
    resp::write_command(&mut bytes, &[b"PWRITE", b"", b"a\r\nb"]);
    for part in 0..bytes.len() {
        assert_eq!(command(&bytes[..part]), Ok(None), "{part}");
    }
    let length = bytes.len();
    bytes.extend_from_slice(b"*1\r\n");
    assert_eq!(command(&bytes), Ok(Some((vec![&b"PWRITE"[..], b"", b"a\r\nb"], length))));
}

#[test]
fn parses_reply_only_once_complete() {
    let bytes = b"*3\r\n$2\r\nok\r\n$-1\r\n*2\r\n:-7\r\n-ERR x\r\n";
    for part in 0..bytes.len() {
        assert_eq!(reply(&bytes[..part], 100), Ok(None), "{part}");
    }
    let inner = Reply::Array(vec![Reply::Integer(-7), Reply::Error(b"ERR x")]);
    let whole = Reply::Array(vec![Reply::Bulk(Some(b"ok")), Reply::Bulk(None), inner]);
    assert_eq!(reply(bytes, 100), Ok(Some((whole, bytes.len()))));
}

#[test]
fn rejects_invalid_or_unbounded_input() {
    let long = [b"*".as_slice(), &[b'1'; 2000]].concat();
    for bytes in [
        &b"GET /"[..],
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\nx",
        b"*65\r\n",
        &long,
    ] {
        assert!(command(bytes).is_err(), "{}", bytes.escape_ascii());
    }
    // Unbounded nesting of arrays must not overflow the stack.
    assert_eq!(reply(&b"*1\r\n".repeat(100_000), 100), Err(ParseError::ArrayTooLarge));
    assert!(reply(b"*1000000\r\n", 100).is_err());
    assert!(reply(b"?\r\n", 100).is_err());
    assert_eq!(reply(b"$101\r\n", 100), Err(ParseError::ValueTooLong));
}
