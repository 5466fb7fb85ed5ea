//! Framing of PDUs.
use iscsi::opcode;
use iscsi::pdu::{decode, Header, FINAL, HEADER_BYTES};

#[test]
fn decodes_pdu_only_once_complete_and_rejects_oversized_data() {
    let mut out = vec![];
    Header::new(opcode::NOP_OUT, FINAL, 7).write(b"hello", &mut out);
    assert_eq!(out.len(), HEADER_BYTES + 8);
    for part in 0..out.len() {
        assert_eq!(decode(&out[..part]), Ok(None));
    }
    let pdu = decode(&out).unwrap().unwrap();
    assert_eq!(
        (pdu.header.opcode(), pdu.header.tag(), pdu.data, pdu.length),
        (opcode::NOP_OUT, 7, &b"hello"[..], out.len())
    );
    out[5] = 2;
    assert!(decode(&out).is_err(), "an oversized length in a header is rejected before its data is buffered");
}
