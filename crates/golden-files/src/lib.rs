//! Golden files: stored and wire encodings that a package must not change, one file each below its `tests/golden/`.
//! This is test support, used only by the tests of other packages.
#![allow(clippy::panic, reason = "a missing golden file fails the test")]
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::path::{Path, PathBuf};

/// The golden files of one package.
#[derive(Clone, Copy, Debug)]
pub struct GoldenFiles {
    package_folder: &'static str,
}

impl GoldenFiles {
    /// The golden files of the package in this folder: the package's tests pass `env!("CARGO_MANIFEST_DIR")`.
    pub const fn of_package(folder: &'static str) -> GoldenFiles {
        GoldenFiles { package_folder: folder }
    }

    /// The path of a golden file.
    pub fn path(&self, name: &str) -> PathBuf {
        Path::new(self.package_folder).join("tests/golden").join(name)
    }

    /// The bytes of a golden file.
    ///
    /// # Panics
    /// If the file can't be read.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// The text of a golden file.
    ///
    /// # Panics
    /// If the file can't be read or is not UTF-8.
    pub fn text(&self, name: &str) -> String {
        let path = self.path(name);
        std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
    }

    /// Checks that postcard encodes the value to exactly the golden file, decodes the whole file to the value, and encodes the
    /// decoded value to the same bytes again.
    ///
    /// # Panics
    /// If one of these checks fails, or the file can't be read.
    pub fn assert_postcard<T>(&self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let file = self.bytes(name);
        assert_eq!(postcard::to_stdvec(value).as_ref(), Ok(&file), "{name}: encoding {value:?}");
        let (decoded, rest) =
            postcard::take_from_bytes::<T>(&file).unwrap_or_else(|error| panic!("{name}: decoding: {error}"));
        assert_eq!(rest, [0u8; 0], "{name}: bytes after the value");
        assert_eq!(decoded, *value, "{name}: decoding");
        assert_eq!(postcard::to_stdvec(&decoded).as_ref(), Ok(&file), "{name}: encoding what was decoded");
    }
}
