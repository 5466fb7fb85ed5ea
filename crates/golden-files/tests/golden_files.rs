//! A value that differs from its golden file, a file with trailing bytes and a missing file each fail a test.
use golden_files::GoldenFiles;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

#[test]
fn accepts_value_equal_to_its_file() {
    GOLDEN.assert_postcard("number.bin", &300_u32);
}

#[test]
#[should_panic(expected = "number.bin: encoding 301")]
fn rejects_different_value() {
    GOLDEN.assert_postcard("number.bin", &301_u32);
}

#[test]
#[should_panic(expected = "trailing.bin: encoding 300")]
fn rejects_file_with_trailing_bytes() {
    GOLDEN.assert_postcard("trailing.bin", &300_u32);
}

#[test]
#[should_panic(expected = "missing.bin")]
fn rejects_missing_file_even_for_empty_value() {
    GOLDEN.assert_postcard("missing.bin", &());
}
