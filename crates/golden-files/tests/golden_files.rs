//! A value that differs from its golden file, a file with more than the value, and a missing file each fail a test.
use golden_files::GoldenFiles;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

#[test]
fn value_that_equals_its_file_passes() {
    GOLDEN.assert_postcard("number.bin", &300_u32);
}

#[test]
#[should_panic(expected = "number.bin: encoding 301")]
fn value_that_differs_fails() {
    GOLDEN.assert_postcard("number.bin", &301_u32);
}

#[test]
#[should_panic(expected = "trailing.bin: encoding 300")]
fn file_with_trailing_bytes_fails() {
    GOLDEN.assert_postcard("trailing.bin", &300_u32);
}

#[test]
#[should_panic(expected = "missing.bin")]
fn missing_file_fails_even_for_an_empty_value() {
    GOLDEN.assert_postcard("missing.bin", &());
}
