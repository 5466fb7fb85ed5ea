//! A stream of JSON objects is cut into single ones, however it comes.
#![allow(clippy::unwrap_used)]
#[path = "../src/discovery/json_stream.rs"]
#[allow(dead_code, reason = "the program uses the rest")]
mod objects;

use objects::{Faulty, Objects, LONGEST};

fn cut(parts: &[&[u8]]) -> Result<(Vec<String>, bool), Faulty> {
    let (mut objects, mut found) = (Objects::default(), Vec::new());
    for part in parts {
        objects.body().extend_from_slice(part);
        while let Some(place) = objects.next()? {
            found.push(String::from_utf8(objects.at(place).to_vec()).unwrap());
        }
    }
    Ok((found, objects.line()))
}

#[test]
fn objects_are_cut_wherever_lines_and_parts_end() {
    let one = "{\n  \"a\": [\n    {\"b\": \"}]\\\"{\\\\\"}\n  ]\n}";
    let text = format!("\n{one}\r\n\n{{\"generation\":1}}\n{one}{one}\n");
    for at in 0..text.len() {
        let parts = [&text.as_bytes()[..at], &text.as_bytes()[at..]];
        let (found, lines) = cut(&parts).unwrap();
        assert_eq!(found, [one, "{\"generation\":1}", one, one], "cut at {at}");
        assert!(lines);
    }
}

#[test]
fn half_an_object_is_waited_for_and_blanks_keep_no_half_alive() {
    let mut objects = Objects::default();
    objects.body().extend_from_slice(b"\n");
    assert_eq!(objects.next(), Ok(None));
    assert!(objects.line() && objects.alive(), "a heartbeat");
    objects.body().extend_from_slice(b"{\n \"a\":");
    assert_eq!(objects.next(), Ok(None));
    assert!(!objects.line() && objects.alive());
    objects.body().extend_from_slice(b"\n\n");
    assert_eq!(objects.next(), Ok(None));
    assert!(!objects.line() && !objects.alive(), "a heartbeat within an object is none");
}

#[test]
fn other_text_and_what_never_ends_is_faulty_and_the_memory_is_bounded() {
    assert_eq!(cut(&[b"{}\nnull\n"]), Err(Faulty));
    assert_eq!(cut(&[b"}"]), Err(Faulty));
    let piece = vec![b' '; LONGEST / 4];
    let mut parts = vec![b"{".as_slice()];
    parts.extend([piece.as_slice(); 5]);
    assert_eq!(cut(&parts), Err(Faulty));
    let mut objects = Objects::default();
    for _ in 0..100 {
        objects.body().extend_from_slice(&[b' '; 100_000]);
        assert_eq!(objects.next(), Ok(None));
    }
    assert!(objects.body().is_empty());
}
