//! Percent-encoding (RFC 3986, section 2.1).

/// Resolves the `%` escapes of a part of a request target; anything else stays as it is.
pub fn percent_decode(text: &str) -> String {
    let hex_digit = |byte: Option<&u8>| byte.and_then(|digit| char::from(*digit).to_digit(16));
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while let Some(byte) = bytes.get(at) {
        match (byte, hex_digit(bytes.get(at + 1)), hex_digit(bytes.get(at + 2))) {
            (b'%', Some(high), Some(low)) => {
                decoded.push((16 * high + low) as u8);
                at += 3;
            }
            _ => {
                decoded.push(*byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
