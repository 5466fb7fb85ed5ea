//! Bytes as recorded exchanges write them.
#![allow(dead_code)]
/// One item of a pattern: a byte, a run of digits, or any byte.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    Byte(u8),
    Digits,
    Any,
}

/// Reads `"text"`, hex bytes, `HEX*COUNT` for repeated ones, `??` for any byte, `{n}` in text for digits, and
/// `cmd WORD...` for a RESP2 command. `pdu HEAD | DATA` fills in
/// the length of an iSCSI PDU's data and pads it. `chunk LINE` is a line of discovery, sent as a chunk in three parts.
pub fn pattern(text: &str) -> Vec<Item> {
    let mut items = Vec::new();
    if let Some(words) = text.strip_prefix("cmd ") {
        let words: Vec<&str> = words.split(' ').collect();
        items.extend(format!("*{}\r\n", words.len()).bytes().map(Item::Byte));
        for word in words {
            items.extend(format!("${}\r\n{word}\r\n", word.len()).bytes().map(Item::Byte));
        }
        return items;
    }
    if let Some((head, data)) = text.strip_prefix("pdu ").and_then(|t| t.split_once('|')) {
        let (mut head, data) = (pattern(head), pattern(data));
        assert_eq!(head.len(), 48, "{text}");
        let length = (data.len() as u32).to_be_bytes();
        (1..4).for_each(|i| head[4 + i] = Item::Byte(length[i]));
        let padding = data.len().next_multiple_of(4) - data.len();
        return [head, data, vec![Item::Byte(0); padding]].concat();
    }
    let mut rest = text.trim();
    while !rest.is_empty() {
        if let Some(quoted) = rest.strip_prefix('"') {
            let end = quoted.find('"').expect("an open quote");
            let mut chars = quoted[..end].chars();
            while let Some(c) = chars.next() {
                match c {
                    '\\' => items.push(Item::Byte(match chars.next() {
                        Some('r') => b'\r',
                        Some('n') => b'\n',
                        Some('0') => 0,
                        other => panic!("unknown escape {other:?}"),
                    })),
                    '{' => {
                        assert_eq!((chars.next(), chars.next()), (Some('n'), Some('}')));
                        items.push(Item::Digits);
                    }
                    c => items.push(Item::Byte(c as u8)),
                }
            }
            rest = quoted[end + 1..].trim_start();
            continue;
        }
        let (word, after) = rest.split_once(' ').unwrap_or((rest, ""));
        let (hex, count) = word.split_once('*').unwrap_or((word, "1"));
        for _ in 0..count.parse::<usize>().expect("a count") {
            for i in (0..hex.len()).step_by(2) {
                items.push(match &hex[i..i + 2] {
                    "??" => Item::Any,
                    byte => Item::Byte(u8::from_str_radix(byte, 16).expect("a hex byte")),
                });
            }
        }
        rest = after.trim_start();
    }
    items
}

pub enum Match {
    Whole(usize),
    Part,
    No,
}

pub fn matches(items: &[Item], bytes: &[u8]) -> Match {
    let mut at = 0;
    for item in items {
        match (item, bytes.get(at)) {
            (_, None) => return Match::Part,
            (Item::Any, Some(_)) => at += 1,
            (Item::Byte(b), Some(c)) if b == c => at += 1,
            (Item::Digits, Some(c)) if c.is_ascii_digit() => {
                at += bytes[at..].iter().take_while(|c| c.is_ascii_digit()).count();
            }
            _ => return Match::No,
        }
    }
    Match::Whole(at)
}
