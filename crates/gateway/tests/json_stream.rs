//! Splitting a stream of JSON objects.
#![allow(clippy::unwrap_used)]
use gateway::discovery::json_stream::{JsonStream, NotObjects, MAX_OBJECT_BYTES};

fn cut(parts: &[&[u8]]) -> Result<(Vec<String>, bool), NotObjects> {
    let (mut objects, mut found) = (JsonStream::default(), Vec::new());
    for part in parts {
        objects.buffer().extend_from_slice(part);
        while let Some(range) = objects.next_object()? {
            found.push(String::from_utf8(objects.bytes(range).to_vec()).unwrap());
        }
    }
    Ok((found, objects.take_line_end()))
}

#[test]
fn splits_objects_wherever_lines_and_reads_end() {
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
fn blanks_within_an_object_are_no_sign_of_life() {
    let mut objects = JsonStream::default();
    objects.buffer().extend_from_slice(b"\n");
    assert_eq!(objects.next_object(), Ok(None));
    assert!(objects.take_line_end() && objects.take_has_activity(), "a heartbeat");
    objects.buffer().extend_from_slice(b"{\n \"a\":");
    assert_eq!(objects.next_object(), Ok(None));
    assert!(!objects.take_line_end() && objects.take_has_activity());
    objects.buffer().extend_from_slice(b"\n\n");
    assert_eq!(objects.next_object(), Ok(None));
    assert!(!objects.take_line_end() && !objects.take_has_activity(), "a heartbeat within an object is none");
}

#[test]
fn other_text_and_what_never_ends_is_faulty_and_the_memory_is_bounded() {
    assert_eq!(cut(&[b"{}\nnull\n"]), Err(NotObjects));
    assert_eq!(cut(&[b"}"]), Err(NotObjects));
    let piece = vec![b' '; MAX_OBJECT_BYTES / 4];
    let mut parts = vec![b"{".as_slice()];
    parts.extend([piece.as_slice(); 5]);
    assert_eq!(cut(&parts), Err(NotObjects));
    let mut objects = JsonStream::default();
    for _ in 0..100 {
        objects.buffer().extend_from_slice(&[b' '; 100_000]);
        assert_eq!(objects.next_object(), Ok(None));
    }
    assert!(objects.buffer().is_empty());
}
