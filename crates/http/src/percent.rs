//! Percent-encoding (RFC 3986, section 2.1).

/// Decodes the percent escapes in a part of a request target; anything else stays unchanged.
pub fn percent_decode(text: &str) -> String {
    let hex_digit = |byte: Option<&u8>| byte.and_then(|digit| char::from(*digit).to_digit(16));
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut offset = 0;
    while let Some(byte) = bytes.get(offset) {
        match (byte, hex_digit(bytes.get(offset + 1)), hex_digit(bytes.get(offset + 2))) {
            (b'%', Some(high), Some(low)) => {
                decoded.push((16 * high + low) as u8);
                offset += 3;
            }
            _ => {
                decoded.push(*byte);
                offset += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
